package admit

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// priorityStep is how much later a request may arrive for each step of its priority and
	// still go before others of its account. It is finite so that low priorities are not
	// starved.
	priorityStep = 2 * time.Second
	// minRequestWindow is the least number of an account's requests for which a router asks for
	// slots at a service at a time. It asks for one request per backend server if there are
	// more of these, to keep all of them busy.
	minRequestWindow = 4
)

var errQueueFull = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "queue-full",
	"too many requests of this client account wait here; come back later")

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
