package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// unreportedTTL is how long an owner charges an account for a slot granted to another
	// router, until that router reports the usage.
	unreportedTTL = 250 * time.Millisecond
	// peerWaitingTTL is how long an account counts as waiting after another router asked for a
	// slot for it. By then that router has reported whether more of its requests wait.
	peerWaitingTTL = 25 * time.Millisecond
	// defaultCost is the expected cost of a request before any request of its account has
	// ended, in tokens.
	defaultCost = 100
	// startsTimeConstant averages over several requests of an account, which take seconds.
	startsTimeConstant = 10 * time.Second
)

// usageKey identifies an account's usage of a service.
type usageKey struct{ service, account wire.NameHash }

// accountUsage is an account's usage of a service as this router knows it.
type accountUsage struct {
	// served is the number of tokens used by this router's requests since it started.
	served int64
	// requests, running and waiting count the requests of this router.
	requests         int64
	running, waiting int
	// starts is the rate of this router's requests that start.
	starts rate
	// queue are the waiting requests of this router in order.
	queue []*request
	// reports are the last reports of the other sources.
	reports map[reportSource]wire.AccountUsage
	// totalServed and totalRequests are sums over all routers.
	totalServed, totalRequests int64
	// unreported are the times of recent grants to other routers.
	unreported []time.Duration
	// limiter enforces the limits of the account, nil if it has none.
	limiter *limiter
	// peerWaitingAt is when another router last asked for a slot for the account.
	peerWaitingAt time.Duration
}

func (u *accountUsage) isWaiting(now time.Duration) bool {
	if u.waiting > 0 || now-u.peerWaitingAt < peerWaitingTTL {
		return true
	}
	for _, x := range u.reports {
		if x.Waiting > 0 {
			return true
		}
	}
	return false
}

// expectedCost returns the average usage of the account's requests, in tokens.
func (u *accountUsage) expectedCost() int64 {
	if u.totalRequests == 0 {
		return defaultCost
	}
	return max(1, u.totalServed/u.totalRequests)
}
