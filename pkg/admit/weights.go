package admit

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/fair"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// If accounts are scheduled by weight, requests wait until their deadlines, and an owner grants
// slots first to the account with the least usage relative to its weight. Usage is what the
// requests of an account used in the whole fleet. Each router counts it per service and receives
// the counts of the other routers.

const (
	// priorityStep is how much later a request may arrive for each step of its priority and
	// still go before others of its account. It is finite so that low priorities are not
	// starved.
	priorityStep = 2 * time.Second
	// minRequestWindow is the least number of an account's requests for which a router asks for
	// slots at a service at a time. It asks for one request per backend server if there are
	// more of these, to keep all of them busy.
	minRequestWindow = 4
	// extraRequestInterval is the interval at which one more owner is asked for the same request.
	extraRequestInterval = 250 * time.Millisecond
	// renewRequestAfter is the time after which a queued slot request is repeated, since the owner
	// may have lost it.
	renewRequestAfter = 5 * time.Second
	// unreportedTTL is how long an owner charges an account for a slot granted to another
	// router, until that router reports the usage.
	unreportedTTL = 250 * time.Millisecond
	// peerWaitingTTL is how long an account counts as waiting after another router asked for a
	// slot for it. By then that router has reported whether more of its requests wait.
	peerWaitingTTL = 25 * time.Millisecond
	// defaultCost is the expected cost of a request before any request of its account has
	// ended, in tokens.
	defaultCost = 100
)

var errQueueFull = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "queue-full",
	"too many requests of this client account wait here; come back later")

// startsTimeConstant averages over several requests of an account, which take seconds.
const startsTimeConstant = 10 * time.Second

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
	// peers is the last report of each other source.
	peers map[reportSource]wire.AccountUsage
	// totalServed and totalRequests are sums over all routers.
	totalServed, totalRequests int64
	// unreported are the times of recent grants to other routers.
	unreported []time.Duration
	// limiter enforces the limits of the account, nil if it has none.
	limiter *limiter
	// peerWaitingAt is when another router last asked for a slot for the account.
	peerWaitingAt time.Duration
}

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
	return &weightedScheduler{accounts: map[wire.NameHash]table.Account{}, queues: map[wire.NameHash]*fair.Queue{}, usages: map[usageKey]*accountUsage{}}
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
		u = &accountUsage{starts: rate{tau: startsTimeConstant}, peers: map[reportSource]wire.AccountUsage{}, peerWaitingAt: -peerWaitingTTL}
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

func (u *accountUsage) isWaiting(now time.Duration) bool {
	if u.waiting > 0 || now-u.peerWaitingAt < peerWaitingTTL {
		return true
	}
	for _, x := range u.peers {
		if x.Waiting > 0 {
			return true
		}
	}
	return false
}

// recordPeerWaiting records that requests of an account wait at another router.
func (w *weightedScheduler) recordPeerWaiting(k usageKey, now time.Duration) {
	u := w.usage(k, now)
	w.refreshActive(k, u, now)
	u.peerWaitingAt = now
	w.refreshActive(k, u, now)
}

// expectedCost returns the average usage of the account's requests, in tokens.
func (u *accountUsage) expectedCost() int64 {
	if u.totalRequests == 0 {
		return defaultCost
	}
	return max(1, u.totalServed/u.totalRequests)
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

// applyReport applies the usage reported by another source.
func (w *weightedScheduler) applyReport(source reportSource, reported []wire.AccountUsage, now time.Duration) {
	listed := make(map[usageKey]bool, len(reported))
	for _, x := range reported {
		k := usageKey{x.Service, x.Account}
		listed[k] = true
		u := w.usage(k, now)
		before, known := u.peers[source]
		u.peers[source] = x
		if known && x.Requests >= before.Requests {
			w.addPeerUsage(k, u, x.Served-before.Served, x.Requests-before.Requests)
		}
		w.refreshActive(k, u, now)
	}
	for k, u := range w.usages {
		if _, known := u.peers[source]; known && !listed[k] {
			delete(u.peers, source)
			w.refreshActive(k, u, now)
		}
	}
}

func (w *weightedScheduler) addPeerUsage(k usageKey, u *accountUsage, served, requests int64) {
	u.totalServed += served
	u.totalRequests += requests
	u.limiter.spend(float64(served), float64(requests))
	w.queue(k.service).Charge(queueName(k.account), float64(served))
}

// dropSource removes the report of a source that is silent or gone.
func (w *weightedScheduler) dropSource(source reportSource, now time.Duration) {
	for k, u := range w.usages {
		if _, known := u.peers[source]; known {
			delete(u.peers, source)
			w.refreshActive(k, u, now)
		}
	}
}

// usageKey returns the key of the usage to which the request counts.
func (r *request) usageKey() usageKey { return usageKey{wire.HashName(r.Service), r.account} }

// enqueue adds a waiting request. It returns a refusal if too many requests of the account
// wait.
func (w *weightedScheduler) enqueue(r *request, now time.Duration, random func() float64) *verdict.Error {
	row, ok := w.accounts[r.account]
	u := w.usage(r.usageKey(), now)
	if ok && !r.Retry && row.Limits.Queued > 0 && w.waitingCount(r.account) >= row.Limits.Queued {
		return errQueueFull.WithReturn(returns.QueueFull(w.waitingCount(r.account), u.starts.get(now), r.Deadline-now, random()))
	}
	u.waiting++
	r.position = r.arrivedAt - time.Duration(r.Priority)*priorityStep
	at, _ := slices.BinarySearchFunc(u.queue, r, compareQueued)
	u.queue = slices.Insert(u.queue, at, r)
	w.refreshActive(r.usageKey(), u, now)
	return nil
}

// compareQueued orders the requests of an account. Those that may have run go first.
func compareQueued(a, b *request) int {
	return cmp.Or(trueFirst(a.MayHaveRun, b.MayHaveRun), cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID))
}

// mayRequestSlot reports whether a request may ask for slots, because it is among the first of its
// account.
func (c *Core) mayRequestSlot(r *request) bool {
	if c.weighted == nil || len(r.slotRequests) > 0 {
		return true
	}
	u := c.weighted.usage(r.usageKey(), c.now)
	window := max(minRequestWindow, len(c.service(r.Service).servers))
	at, _ := slices.BinarySearchFunc(u.queue, r, compareQueued)
	return at < window
}

// waitingCount returns the number of an account's requests that wait at this router.
func (w *weightedScheduler) waitingCount(account wire.NameHash) int {
	n := 0
	for k, u := range w.usages {
		if k.account == account {
			n += u.waiting
		}
	}
	return n
}

// dequeue removes a waiting request.
func (w *weightedScheduler) dequeue(r *request, now time.Duration) {
	u := w.usage(r.usageKey(), now)
	u.waiting--
	if at, ok := slices.BinarySearchFunc(u.queue, r, compareQueued); ok {
		u.queue = slices.Delete(u.queue, at, at+1)
	}
	w.refreshActive(r.usageKey(), u, now)
}

// recordStart charges the expected cost of a request that starts.
func (w *weightedScheduler) recordStart(r *request, now time.Duration) {
	u := w.usage(r.usageKey(), now)
	u.running++
	u.starts.add(now, 1)
	r.charged = u.expectedCost()
	if !r.Retry {
		u.requests++
		u.totalRequests++
		u.limiter.spend(0, 1)
	}
	w.charge(r.usageKey(), r.charged, now)
	w.refreshActive(r.usageKey(), u, now)
}

// recordProgress charges what a running request has used beyond its charge so far.
func (w *weightedScheduler) recordProgress(r *request, tokens int64, now time.Duration) {
	if more := tokens - r.charged; more > 0 {
		r.charged = tokens
		w.charge(r.usageKey(), more, now)
	}
}

// recordEnd corrects the charge of a request to what it has used.
func (w *weightedScheduler) recordEnd(r *request, tokens int64, now time.Duration) {
	u := w.usage(r.usageKey(), now)
	u.running--
	w.charge(r.usageKey(), tokens-r.charged, now)
	r.charged = tokens
}

// Progress reports the tokens that a running request has used so far.
type Progress struct {
	ID     uint64
	Tokens int64
}

func (e Progress) apply(c *Core) {
	if r, ok := c.requests[e.ID]; ok && r.server != nil && c.weighted != nil {
		c.weighted.recordProgress(r, e.Tokens, c.now)
	}
}

// compareVirtualTime orders queued slot requests by the virtual time of their accounts.
func (c *Core) compareVirtualTime(s *server, a, b *receivedRequest) int {
	if a.Account == b.Account {
		return cmp.Compare(a.due, b.due)
	}
	service := wire.HashName(c.serviceOf(s).name)
	return cmp.Or(
		cmp.Compare(c.weighted.virtualTime(usageKey{service, a.Account}, c.now), c.weighted.virtualTime(usageKey{service, b.Account}, c.now)),
		cmp.Compare(a.due, b.due),
	)
}

// recordGrant records a grant to another router.
func (w *weightedScheduler) recordGrant(k usageKey, now time.Duration) {
	u := w.usage(k, now)
	u.unreported = append(u.unreported, now)
}

// Usage returns the account usage of a scope for a receiver.
func (s *Snapshot) Usage(scope wire.Scope, receiver string) []wire.AccountUsage {
	if s.core.weighted == nil {
		return nil
	}
	var list []wire.AccountUsage
	for k, u := range s.core.weighted.usages {
		x := wire.AccountUsage{Service: k.service, Account: k.account, Served: u.served, Requests: u.requests, Running: u.running, Waiting: u.waiting}
		for source, o := range u.peers {
			if s.core.includesSource(source, scope, receiver) {
				x.Served += o.Served
				x.Requests += o.Requests
				x.Running += o.Running
				x.Waiting += o.Waiting
			}
		}
		if x.Requests > 0 || x.Running+x.Waiting > 0 {
			list = append(list, x)
		}
	}
	return list
}

// PeerUsage is another router's report of account usage.
type PeerUsage struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.Usage
}

func (e PeerUsage) apply(c *Core) {
	if c.weighted == nil || e.Msg.Scope == wire.ScopeNone {
		return
	}
	source := sourceOf(e.Msg.Scope, e.From, e.Zone)
	c.weighted.applyReport(source, e.Msg.Accounts, c.now)
	c.serveQueues()
}
