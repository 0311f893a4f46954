package admit

import (
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
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
	// MaxWait is how long it may wait; 0 means until its deadline.
	MaxWait time.Duration
	// Deadline is when it is worth nothing.
	Deadline time.Duration
	// Retry says that it was sent to a backend server before.
	Retry bool
	// MayHaveRun says that it may have run at one of them: it cannot be refused as
	// not run any more, and waits until its deadline for any place.
	MayHaveRun bool
	// Avoid lists backend servers that failed it.
	Avoid []string
	// Resuming says that its answer has begun.
	Resuming bool
	// Priority orders the requests of an account where accounts are served by weights, from
	// 0 to 9; the higher goes first.
	Priority int
	// Digest identifies it, whichever try it is; 0 if nobody can.
	Digest suspect.Digest
}

// request is one that this router holds.
type request struct {
	Request
	account wire.NameHash
	arrived time.Duration
	// cost is what it is counted as for its account, in tokens.
	cost float64
	// asks are the owners that were asked for a place.
	asks []*ask
	// at is the backend server it was sent to, nil while it waits.
	at *server
	// started is when it was sent.
	started time.Duration
	// unread is its tokens to be read; 0 once its first event came.
	unread int64
	// turn orders it among its account's requests, where accounts are served by weights.
	turn time.Duration
	// charged is what it is counted as for its account's weight, in tokens.
	charged int64
}

// ask is a question to the owner of a backend server.
type ask struct {
	server *server
	owner  string
	at     time.Duration
	why    string
	// source keeps the prompt's shared parts, nil if they are kept at server or
	// nowhere.
	source *server
	state  askState
	// caution is that with which the place was asked for.
	caution caution
}

type askState uint8

const (
	askSent askState = iota
	askQueued
	askDenied
	askUnanswered
)

// outputCost is how many tokens read a token made counts as.
const outputCost = 2

// Arrive is a new request, or a new attempt of one.
type Arrive struct{ Request }

// Cancel takes back a request that waits, or one that was started and will
// not be sent.
type Cancel struct{ ID uint64 }

// FirstEvent says that the first event of an answer came.
type FirstEvent struct{ ID uint64 }

// AttemptEnd says that an attempt ended.
type AttemptEnd struct {
	ID     uint64
	Result Result
	// Digest identifies the request, 0 if nobody can.
	Digest suspect.Digest
	// Disconnected says that the backend server broke off while the request was under way there.
	Disconnected bool
	// Completed says that the request has run to its end.
	Completed bool
	// Tokens is what it has used.
	Tokens int64
}

// Refusals. None of the requests has run.
var (
	errNoServer = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-backend",
		"no backend server of the service takes requests")
	errClosed = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "zone-closed",
		"operators have closed the availability zones of the service's backend servers; come back as told")
	errBusy = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "busy",
		"no backend server could answer in time; come back as told")
	errDeadline = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "deadline",
		"the deadline passed while the request waited for a backend server")
)

func (e Arrive) apply(c *Core) {
	r := &request{Request: e.Request, arrived: c.now}
	r.cost = Cost(r.Prompt, r.Output)
	if r.Account != "" {
		r.account = wire.HashName(r.Account)
		if !r.Retry {
			c.accounts.get(r.account).ask(c.now, r.cost)
		}
	}
	c.requests[r.ID] = r
	if c.weights != nil {
		if err := c.weights.enqueue(r, c.now); err != nil {
			delete(c.requests, r.ID)
			c.act(Refuse{ID: r.ID, Err: err})
			return
		}
	}
	c.waiting = append(c.waiting, r)
	c.advance(r)
}

func (e Cancel) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok {
		return
	}
	if r.at == nil {
		c.forget(r)
		return
	}
	c.endTrial(r, false)
	c.finishUse(r, 0)
	c.end(r, Unknown)
}

func (e FirstEvent) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.at == nil || r.unread == 0 {
		return
	}
	r.unread = 0
	c.lives(r.at, r.started)
	c.endTrial(r, true)
	c.note(r, &wire.RequestUpdate{Kind: wire.RequestFirstEvent, FirstEventMillis: (c.now - r.started).Milliseconds()})
}

func (e AttemptEnd) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.at == nil {
		return
	}
	r.at.health.ended(c.now, e.Result)
	c.learnOfEnd(r, e)
	c.endTrial(r, false)
	if r.account != 0 && (e.Result == Refused || e.Result == Unreachable) {
		c.accounts.get(r.account).begun.add(c.now, -r.cost)
	}
	c.finishUse(r, e.Tokens)
	c.end(r, e.Result)
}

// finishUse counts what a request that ran has used.
func (c *Core) finishUse(r *request, tokens int64) {
	if c.weights != nil {
		c.weights.finish(r, tokens, c.now)
	}
}

// learnOfEnd takes in what an attempt's end says of the request and of whether its backend
// server lives.
func (c *Core) learnOfEnd(r *request, e AttemptEnd) {
	switch {
	case e.Disconnected:
		c.noteEnd(r.at, suspect.Crash{Digest: e.Digest, At: c.now, Sent: r.started, Unanswered: r.unread > 0})
	case e.Result == Answered || e.Result == Failed || e.Result == Refused:
		c.lives(r.at, r.started)
	case e.Result == Stalled || e.Result == Unknown:
		c.noteSilence(r, e.Digest)
	}
	if e.Completed {
		c.ranWhole(e.Digest)
	}
}

// end gives a request's place back.
func (c *Core) end(r *request, result Result) {
	delete(c.requests, r.ID)
	delete(r.at.own, r.ID)
	c.note(r, &wire.RequestUpdate{Kind: wire.RequestEnded, Result: uint8(result)})
}

// note tells the owner of a request's backend server what became of it.
func (c *Core) note(r *request, n *wire.RequestUpdate) {
	n.ID, n.Server = r.ID, r.at.key
	c.send(r.at.owner, n)
}

// start sends a request to a backend server.
func (c *Core) start(r *request, s *server, a Start) {
	r.at = s
	r.started = c.now
	s.own[r.ID] = r
	c.unwait(r)
	c.withdraw(r, s)
	if r.account != 0 {
		c.accounts.get(r.account).begun.add(c.now, r.cost)
	}
	if c.weights != nil {
		c.weights.leave(r, c.now)
		c.weights.begin(r, c.now)
	}
	c.beginTrial(r)
	s.health.started(c.now)
	a.ID, a.Backend, a.Waited = r.ID, s.Backend, c.now-r.arrived
	c.act(a)
}

// withdraw takes back the questions to other owners.
func (c *Core) withdraw(r *request, chosen *server) {
	for _, q := range r.asks {
		if q.server != chosen && q.waits() {
			c.send(q.owner, &wire.RequestUpdate{ID: r.ID, Server: q.server.key, Kind: wire.RequestCanceled})
		}
	}
}

// waits reports whether the owner that was asked may still give the place.
func (a *ask) waits() bool {
	return a.state == askQueued || a.state == askSent
}

func (c *Core) unwait(r *request) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *request) bool { return w == r })
}

// forget drops a request that waits.
func (c *Core) forget(r *request) {
	delete(c.requests, r.ID)
	c.unwait(r)
	c.withdraw(r, nil)
	if c.weights != nil {
		c.weights.leave(r, c.now)
	}
}

func (c *Core) refuse(r *request, err *verdict.Error) {
	c.forget(r)
	a := Refuse{ID: r.ID, Err: err, Waited: c.now - r.arrived}
	if err.Code == codeEnds || err.Code == codeTwin {
		a.Crashes = c.suspects.Status(c.now, r.Digest).Crashes
	}
	c.act(a)
}
