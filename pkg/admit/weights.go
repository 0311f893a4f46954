package admit

import (
	"cmp"
	"strconv"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/fair"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// If accounts are scheduled by weight, requests wait until their deadlines, and an owner grants
// slots first to the account with the least usage relative to its weight. Usage is what the
// requests of an account used in the whole fleet. Each router counts it per service and receives
// the counts of the other routers.

// weightedScheduler schedules accounts by weight.
type weightedScheduler struct {
	accounts map[wire.NameHash]table.Account
	// queues order the accounts of each service by virtual time.
	queues map[wire.NameHash]*fair.Queue
	usages map[usageKey]*accountUsage
}

// WithWeightedAccounts schedules accounts by the weights in the table and enforces their
// limits. Requests wait until their deadlines.
func WithWeightedAccounts() Option {
	return func(o *options) { o.weighted = true }
}

func newWeightedScheduler() *weightedScheduler {
	return &weightedScheduler{
		accounts: map[wire.NameHash]table.Account{},
		queues:   map[wire.NameHash]*fair.Queue{},
		usages:   map[usageKey]*accountUsage{},
	}
}

// setAccounts replaces the account rows.
func (w *weightedScheduler) setAccounts(accounts []table.Account, now time.Duration) {
	w.accounts = make(map[wire.NameHash]table.Account, len(accounts))
	for _, a := range accounts {
		w.accounts[wire.HashName(a.Name)] = a
	}
	for k, u := range w.usages {
		w.queue(k.service).SetWeight(queueName(k.account), w.accounts[k.account].Weight)
		u.limiter = u.limiter.update(w.accounts[k.account].Limits, now)
	}
}

func (w *weightedScheduler) queue(service wire.NameHash) *fair.Queue {
	q, ok := w.queues[service]
	if !ok {
		q = fair.New()
		w.queues[service] = q
	}
	return q
}

// usage returns an account's usage of a service.
func (w *weightedScheduler) usage(k usageKey, now time.Duration) *accountUsage {
	u, ok := w.usages[k]
	if !ok {
		row := w.accounts[k.account]
		u = &accountUsage{starts: rate{tau: startsTimeConstant}, reports: map[reportSource]wire.AccountUsage{}, peerWaitingAt: -peerWaitingTTL}
		u.limiter = u.limiter.update(row.Limits, now)
		w.usages[k] = u
		w.queue(k.service).SetWeight(queueName(k.account), row.Weight)
	}
	return u
}

// queueName returns the name of an account in a fair.Queue.
func queueName(account wire.NameHash) string { return strconv.FormatUint(uint64(account), 36) }

// charge adds usage of this router's requests.
func (w *weightedScheduler) charge(k usageKey, tokens int64, now time.Duration) {
	u := w.usage(k, now)
	u.served += tokens
	u.totalServed += tokens
	u.limiter.spend(float64(tokens), 0)
	w.queue(k.service).Charge(queueName(k.account), float64(tokens))
}

// refreshActive updates whether an account counts as active in its queue. An account that
// becomes active starts level with the others and gets no credit for the time without waiting
// requests.
func (w *weightedScheduler) refreshActive(k usageKey, u *accountUsage, now time.Duration) {
	q, name := w.queue(k.service), queueName(k.account)
	if u.isWaiting(now) {
		q.Activate(name, true)
		return
	}
	q.Deactivate(name)
}

// recordPeerWaiting records that requests of an account wait at another router.
func (w *weightedScheduler) recordPeerWaiting(k usageKey, now time.Duration) {
	u := w.usage(k, now)
	w.refreshActive(k, u, now)
	u.peerWaitingAt = now
	w.refreshActive(k, u, now)
}

// virtualTime returns the usage of an account relative to its weight, including the expected
// usage of recent grants to other routers.
func (w *weightedScheduler) virtualTime(k usageKey, now time.Duration) float64 {
	u := w.usage(k, now)
	for len(u.unreported) > 0 && now-u.unreported[0] >= unreportedTTL {
		u.unreported = u.unreported[1:]
	}
	a := w.queue(k.service).Get(queueName(k.account))
	return a.VirtualTime + float64(int64(len(u.unreported))*u.expectedCost())/a.Weight
}

// compareVirtualTime orders queued slot requests by the virtual time of their accounts.
func (c *Core) compareVirtualTime(s *server, a, b *receivedRequest) int {
	if a.Account == b.Account {
		return compareDue(a, b)
	}
	service := wire.HashName(c.serviceOf(s).name)
	return cmp.Or(
		cmp.Compare(c.weighted.virtualTime(usageKey{service, a.Account}, c.now), c.weighted.virtualTime(usageKey{service, b.Account}, c.now)),
		compareDue(a, b),
	)
}

// recordGrant records a grant to another router.
func (w *weightedScheduler) recordGrant(k usageKey, now time.Duration) {
	u := w.usage(k, now)
	u.unreported = append(u.unreported, now)
}
