package admit

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/fair"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Where the table weighs accounts, and requests may wait until their deadlines, the account
// goes first at an owner that had the least service for its weight, by what its requests have
// used all over the fleet, not by what they are expected to. Each router counts that for each
// service by itself, and is told what others have served.

const (
	// priorityLead is how much later a request may come and still go before others of its
	// account for each step of its priority. As it is finite, no priority starves another.
	priorityLead = 2 * time.Second
	// leastWindow is how many of an account's requests ask for places at a service from each
	// router at least, where there are fewer backend servers: the others wait for their turn.
	// One for each backend server keeps all of these busy.
	leastWindow = 4
	// moreAsksEvery is the time for which one more owner is asked for a request that asks.
	moreAsksEvery = 250 * time.Millisecond
	// askAgainAfter is when an owner that has a request in its queue is asked again, since
	// it may have lost it.
	askAgainAfter = 5 * time.Second
	// untoldFor is how long an owner counts a place that it gave to another router as used
	// by its account, until that router tells what it has served.
	untoldFor = 250 * time.Millisecond
	// askedFor is how long an account counts as waiting here after another router asked for a
	// place for it: until then that router has told whether more of it waits.
	askedFor = 25 * time.Millisecond
	// firstCost is what a request counts as before any of its account has ended, in tokens.
	firstCost = 100
)

// errQueueFull is a refusal that has not run.
var errQueueFull = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "queue-full",
	"too many requests of this client account wait here; come back later")

// queueFullRetryAfter is when a caller whose account has too much waiting may return.
const queueFullRetryAfter = 2 * time.Second

// useKey names an account's use of a service.
type useKey struct{ service, account wire.NameHash }

// use of a service by an account, as this router knows it.
type serviceUse struct {
	// served is what this router's requests used since its start, in tokens.
	served int64
	// requests, running and waiting count this router's.
	requests         int64
	running, waiting int
	// turns are those that wait, the first to go first.
	turns []*request
	// others is what each other source last told.
	others map[reportSource]wire.AccountUsage
	// allServed and allRequests are what all routers together have served, as known here.
	allServed, allRequests int64
	// untold are places that this router gave to others as an owner, and when.
	untold []time.Duration
	// limit holds the account to its limits, nil if it has none.
	limit *limiter
	// askedAt is when another router last asked this one for a place for the account.
	askedAt time.Duration
}

// weights is the service of accounts by their weights.
type weights struct {
	rows map[wire.NameHash]table.Account
	// queues order the accounts of each service by their service.
	queues map[wire.NameHash]*fair.Queue
	uses   map[useKey]*serviceUse
}

// WithWeightedAccounts has accounts served by their weights and held to their limits, as the table
// says, and requests wait until their deadlines.
func WithWeightedAccounts() Option {
	return func(o *options) { o.weights = true }
}

func newWeights() *weights {
	return &weights{rows: map[wire.NameHash]table.Account{}, queues: map[wire.NameHash]*fair.Queue{}, uses: map[useKey]*serviceUse{}}
}

// setRows replaces the accounts' rows.
func (w *weights) setRows(accounts []table.Account, now time.Duration) {
	w.rows = make(map[wire.NameHash]table.Account, len(accounts))
	for _, a := range accounts {
		w.rows[wire.HashName(a.Name)] = a
	}
	for k, u := range w.uses {
		w.queue(k.service).SetWeight(nameOf(k.account), w.rows[k.account].Weight)
		u.limit = u.limit.renew(w.rows[k.account].Limits, now)
	}
}

func (w *weights) queue(service wire.NameHash) *fair.Queue {
	q, ok := w.queues[service]
	if !ok {
		q = fair.New()
		w.queues[service] = q
	}
	return q
}

// use returns an account's use of a service.
func (w *weights) use(k useKey, now time.Duration) *serviceUse {
	u, ok := w.uses[k]
	if !ok {
		row := w.rows[k.account]
		u = &serviceUse{others: map[reportSource]wire.AccountUsage{}, askedAt: -askedFor}
		u.limit = u.limit.renew(row.Limits, now)
		w.uses[k] = u
		w.queue(k.service).SetWeight(nameOf(k.account), row.Weight)
	}
	return u
}

// nameOf returns an account's name in a fair.Queue.
func nameOf(account wire.NameHash) string { return strconv.FormatUint(uint64(account), 36) }

// charge counts what this router's requests used.
func (w *weights) charge(k useKey, tokens int64, now time.Duration) {
	u := w.use(k, now)
	u.served += tokens
	u.allServed += tokens
	u.limit.spend(float64(tokens), 0)
	w.queue(k.service).Charge(nameOf(k.account), float64(tokens))
}

// refresh puts an account with waiting work among those that are to be served, or takes it
// out. One that comes back starts level with the others: service that it did not wait for is
// not owed.
func (w *weights) refresh(k useKey, u *serviceUse, now time.Duration) {
	q, name := w.queue(k.service), nameOf(k.account)
	if u.isWaiting(now) {
		q.Activate(name, true)
		return
	}
	q.Deactivate(name)
}

func (u *serviceUse) isWaiting(now time.Duration) bool {
	if u.waiting > 0 || now-u.askedAt < askedFor {
		return true
	}
	for _, x := range u.others {
		if x.Waiting > 0 {
			return true
		}
	}
	return false
}

// asked notes that another router has work of an account waiting.
func (w *weights) asked(k useKey, now time.Duration) {
	u := w.use(k, now)
	w.refresh(k, u, now)
	u.askedAt = now
	w.refresh(k, u, now)
}

// cost is what a request of the account most likely uses, in tokens.
func (u *serviceUse) cost() int64 {
	if u.allRequests == 0 {
		return firstCost
	}
	return max(1, u.allServed/u.allRequests)
}

// lag is how much service an account has had for its weight, with what it is about to use of
// the places that this router has just given to others.
func (w *weights) lag(k useKey, now time.Duration) float64 {
	u := w.use(k, now)
	for len(u.untold) > 0 && now-u.untold[0] >= untoldFor {
		u.untold = u.untold[1:]
	}
	a := w.queue(k.service).Get(nameOf(k.account))
	return a.VirtualTime + float64(int64(len(u.untold))*u.cost())/a.Weight
}

// told takes in what another source tells of what it has served.
func (w *weights) told(from reportSource, uses []wire.AccountUsage, now time.Duration) {
	listed := make(map[useKey]bool, len(uses))
	for _, x := range uses {
		k := useKey{x.Service, x.Account}
		listed[k] = true
		u := w.use(k, now)
		before, known := u.others[from]
		u.others[from] = x
		if known && x.Requests >= before.Requests {
			w.learn(k, u, x.Served-before.Served, x.Requests-before.Requests)
		}
		w.refresh(k, u, now)
	}
	for k, u := range w.uses {
		if _, known := u.others[from]; known && !listed[k] {
			delete(u.others, from)
			w.refresh(k, u, now)
		}
	}
}

func (w *weights) learn(k useKey, u *serviceUse, served, requests int64) {
	u.allServed += served
	u.allRequests += requests
	u.limit.spend(float64(served), float64(requests))
	w.queue(k.service).Charge(nameOf(k.account), float64(served))
}

// forget drops what a source told that is silent or gone.
func (w *weights) forget(from reportSource, now time.Duration) {
	for k, u := range w.uses {
		if _, known := u.others[from]; known {
			delete(u.others, from)
			w.refresh(k, u, now)
		}
	}
}

// keyOfUse returns what a request uses.
func (r *request) use() useKey { return useKey{wire.HashName(r.Service), r.account} }

// enqueue takes in a request that is to wait, and returns why it is refused if too many do.
func (w *weights) enqueue(r *request, now time.Duration) *verdict.Error {
	row, ok := w.rows[r.account]
	u := w.use(r.use(), now)
	if ok && !r.Retry && row.Limits.Queued > 0 && w.waitingOf(r.account) >= row.Limits.Queued {
		return errQueueFull.WithRetryAfter(queueFullRetryAfter)
	}
	u.waiting++
	r.turn = r.arrived - time.Duration(r.Priority)*priorityLead
	at, _ := slices.BinarySearchFunc(u.turns, r, byTurn)
	u.turns = slices.Insert(u.turns, at, r)
	w.refresh(r.use(), u, now)
	return nil
}

// byTurn orders an account's requests; one that may have run goes first.
func byTurn(a, b *request) int {
	return cmp.Or(compareFirst(a.MayHaveRun, b.MayHaveRun), cmp.Compare(a.turn, b.turn), cmp.Compare(a.ID, b.ID))
}

// mayAsk reports whether it is a request's turn to ask for places.
func (c *Core) mayAsk(r *request) bool {
	if c.weights == nil || len(r.asks) > 0 {
		return true
	}
	u := c.weights.use(r.use(), c.now)
	window := max(leastWindow, len(c.service(r.Service).servers))
	at, _ := slices.BinarySearchFunc(u.turns, r, byTurn)
	return at < window
}

// waitingOf returns how many of an account's requests wait here.
func (w *weights) waitingOf(account wire.NameHash) int {
	n := 0
	for k, u := range w.uses {
		if k.account == account {
			n += u.waiting
		}
	}
	return n
}

// leave takes a request out of those that wait.
func (w *weights) leave(r *request, now time.Duration) {
	u := w.use(r.use(), now)
	u.waiting--
	if at, ok := slices.BinarySearchFunc(u.turns, r, byTurn); ok {
		u.turns = slices.Delete(u.turns, at, at+1)
	}
	w.refresh(r.use(), u, now)
}

// begin counts a request that is sent.
func (w *weights) begin(r *request, now time.Duration) {
	u := w.use(r.use(), now)
	u.running++
	r.charged = u.cost()
	if !r.Retry {
		u.requests++
		u.allRequests++
		u.limit.spend(0, 1)
	}
	w.charge(r.use(), r.charged, now)
	w.refresh(r.use(), u, now)
}

// progress counts what a request has used beyond what it is counted as.
func (w *weights) progress(r *request, tokens int64, now time.Duration) {
	if more := tokens - r.charged; more > 0 {
		r.charged = tokens
		w.charge(r.use(), more, now)
	}
}

// finish counts what a request has used.
func (w *weights) finish(r *request, tokens int64, now time.Duration) {
	u := w.use(r.use(), now)
	u.running--
	w.charge(r.use(), tokens-r.charged, now)
	r.charged = tokens
}

// Progress is what a request that runs has used so far.
type Progress struct {
	ID     uint64
	Tokens int64
}

func (e Progress) apply(c *Core) {
	if r, ok := c.requests[e.ID]; ok && r.at != nil && c.weights != nil {
		c.weights.progress(r, e.Tokens, c.now)
	}
}

// compareLag orders what waits at an owner by the service that accounts had for their
// weights.
func (c *Core) compareLag(s *server, a, b *asking) int {
	if a.Account == b.Account {
		return cmp.Compare(a.due, b.due)
	}
	service := wire.HashName(c.serviceOf(s).name)
	return cmp.Or(
		cmp.Compare(c.weights.lag(useKey{service, a.Account}, c.now), c.weights.lag(useKey{service, b.Account}, c.now)),
		cmp.Compare(a.due, b.due),
	)
}

// noteGiven counts a place that this router gave to another as its owner.
func (w *weights) noteGiven(k useKey, now time.Duration) {
	u := w.use(k, now)
	u.untold = append(u.untold, now)
}

// Uses returns what this router tells a receiver of what accounts have used, for a scope.
func (t *Snapshot) Uses(scope wire.Scope, receiver string) []wire.AccountUsage {
	if t.core.weights == nil {
		return nil
	}
	var list []wire.AccountUsage
	for k, u := range t.core.weights.uses {
		x := wire.AccountUsage{Service: k.service, Account: k.account, Served: u.served, Requests: u.requests, Running: u.running, Waiting: u.waiting}
		for from, o := range u.others {
			if t.core.passesOn(from, scope, receiver) {
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

// passesOn reports whether what a source told is part of what a receiver is told for a scope.
func (c *Core) passesOn(from reportSource, scope wire.Scope, receiver string) bool {
	switch scope {
	case wire.ScopeZone:
		return from.scope == wire.ScopeOwn
	case wire.ScopeRest:
		return from.scope == wire.ScopeOwn && from.name != receiver || from.scope == wire.ScopeZone && from.name != c.opt.self.Zone
	default:
		return false
	}
}

// PeerUsage is what another router tells of what accounts have used.
type PeerUsage struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.Usage
}

func (e PeerUsage) apply(c *Core) {
	if c.weights == nil || e.Msg.Scope == wire.ScopeNone {
		return
	}
	from := sourceOf(e.Msg.Scope, e.From, e.Zone)
	c.weights.told(from, e.Msg.Accounts, c.now)
	c.serveOwned()
}

// sourceOf returns whose sums a telling of a scope are.
func sourceOf(scope wire.Scope, from, zone string) reportSource {
	s := reportSource{scope: scope}
	switch scope {
	case wire.ScopeOwn:
		s.name = from
	case wire.ScopeZone:
		s.name = zone
	}
	return s
}
