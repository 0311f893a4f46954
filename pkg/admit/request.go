package admit

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Request is a request that waits for its place.
type Request struct {
	// ID is unique at this router.
	ID uint64
	// Service is the service or model.
	Service string
	// Account is whose request it is, "" if nobody's.
	Account string
	// AccountRank and Rank order waiting requests: lower goes first.
	AccountRank, Rank int
	// Prefix is a hash of the prompt's shared parts, 0 if it has none.
	Prefix uint64
	// Prompt, Shared and Output are sizes in tokens, 0 if not stated.
	Prompt, Shared, Output int64
	// Target is the time within which the first event is worth most.
	Target time.Duration
	// Patience is how long it may wait; 0 means until its deadline.
	Patience time.Duration
	// Deadline is when it is worth nothing.
	Deadline time.Duration
	// Again says that it was sent to a backend server before.
	Again bool
	// Avoid lists backend servers that failed it.
	Avoid []string
}

// request is one that this router holds.
type request struct {
	Request
	arrived time.Duration
	// cost is what it is counted as for its account, in tokens.
	cost float64
	// at is the backend server it was sent to, nil while it waits.
	at *server
	// started is when it was sent, ahead the tokens to be read before its
	// first event as known then, its own included.
	started time.Duration
	ahead   int64
	// unread is its own tokens to be read; 0 once its first event came.
	unread int64
}

// outputCost is how many tokens read a token made counts as.
const outputCost = 2

// Arrive is a new request, or a new attempt of one.
type Arrive struct{ Request }

// Cancel takes back a request that waits, or one that was started and will
// not be sent.
type Cancel struct{ ID uint64 }

// First says that the first event of an answer came.
type First struct{ ID uint64 }

// End says that an attempt ended.
type End struct {
	ID     uint64
	Result Result
}

// Refusals. None of the requests has run.
var (
	errNoServer = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-backend",
		"no backend server of the service takes requests")
	errBusy = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "busy",
		"no backend server could answer in time; come back as told")
	errDeadline = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "deadline",
		"the deadline passed while the request waited for a backend server")
)

func (e Arrive) apply(c *Core) {
	r := &request{Request: e.Request, arrived: c.now}
	r.cost = float64(r.Prompt + outputCost*r.Output)
	if r.Account != "" && !r.Again {
		c.account(r.Account).asked.add(c.now, r.cost)
	}
	c.requests[r.ID] = r
	s := c.service(r.Service)
	if c.tryStart(s, r) {
		return
	}
	s.queue = append(s.queue, r)
	c.refuseLate(s)
}

func (e Cancel) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok {
		return
	}
	delete(c.requests, e.ID)
	s := c.service(r.Service)
	if r.at == nil {
		s.queue = slices.DeleteFunc(s.queue, func(q *request) bool { return q == r })
		return
	}
	c.leave(r)
	c.serveWaiting(s)
}

func (e First) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.at == nil || r.unread == 0 && r.ahead == 0 {
		return
	}
	s := c.service(r.Service)
	took := c.now - r.started
	s.line.see(r.ahead, took)
	r.at.health.first(took, s.line.predict(r.ahead))
	r.at.own.unread -= r.unread
	r.unread, r.ahead = 0, 0
	c.serveWaiting(s)
}

func (e End) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok {
		return
	}
	delete(c.requests, e.ID)
	if r.at == nil {
		return
	}
	r.at.health.ended(c.now, e.Result)
	if r.Account != "" && (e.Result == Refused || e.Result == Unreached) {
		c.account(r.Account).begun.add(c.now, -r.cost)
	}
	c.leave(r)
	c.serveWaiting(c.service(r.Service))
}

// leave takes a request's share of its backend server back.
func (c *Core) leave(r *request) {
	r.at.own.running--
	r.at.own.unread -= r.unread
	r.unread = 0
}

// serveWaiting starts what can be started of the service's queue, the account
// that had least first, and refuses what has waited too long.
func (c *Core) serveWaiting(s *service) {
	if len(s.queue) == 0 {
		return
	}
	c.order(s)
	left := s.queue[:0]
	for _, r := range s.queue {
		if !c.tryStart(s, r) {
			left = append(left, r)
		}
	}
	clear(s.queue[len(left):])
	s.queue = left
	c.refuseLate(s)
}

// order sorts the queue: by rank, by what the account has had, by the time at
// which the answer is due.
func (c *Core) order(s *service) {
	over := make(map[string]float64, len(s.queue))
	for _, r := range s.queue {
		if _, ok := over[r.Account]; !ok {
			over[r.Account] = c.accounts.over(r.Account, c.now)
		}
	}
	slices.SortStableFunc(s.queue, func(a, b *request) int {
		return cmp.Or(
			cmp.Compare(a.AccountRank, b.AccountRank), cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(over[a.Account], over[b.Account]), cmp.Compare(a.due(), b.due()),
		)
	})
}

func (r *request) due() time.Duration { return r.arrived + r.Target }

// refuseLate refuses what has waited for as long as it may.
func (c *Core) refuseLate(s *service) {
	left := s.queue[:0]
	for _, r := range s.queue {
		err := c.refusal(s, r)
		if err == nil {
			left = append(left, r)
			continue
		}
		delete(c.requests, r.ID)
		c.act(Refuse{ID: r.ID, Err: err, Waited: c.now - r.arrived})
	}
	clear(s.queue[len(left):])
	s.queue = left
}

func (c *Core) refusal(s *service, r *request) *verdict.Error {
	switch {
	case c.now >= r.Deadline:
		return errDeadline
	case r.Patience > 0 && c.now-r.arrived >= r.Patience:
		if len(s.servers) == 0 {
			return errNoServer.After(comeBackSoon)
		}
		return errBusy.After(c.comeBack(s, r))
	default:
		return nil
	}
}
