package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// errDraining is a refusal that has not run.
var errDraining = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "draining",
	"this entry instance is stopping; send the request again")

var errGone = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stopping", "this entry instance is stopping; send the request again")

// decision is what became of an attempt.
type decision struct {
	id     uint64
	start  admit.Start
	err    *verdict.Error
	waited time.Duration
	// at is when it was taken.
	at time.Duration
	// served counts its tokens, where it was started.
	served *atomic.Int64
}

// attempt is a request that a caller's task waits for.
type attempt struct {
	request front.Request
	// digest identifies the request, 0 if nobody can.
	digest suspect.Digest
	at     time.Time
	answer chan decision
}

// Acquire implements front.Scheduler.
func (d *Dispatcher) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	a := &attempt{request: r, at: d.opt.clock.Now(), answer: make(chan decision, 1)}
	// Always: a backend server may end under another try while this one waits.
	if r.Digest != nil {
		a.digest = suspect.Digest(r.Digest())
	}
	if !d.post(arrive{a}) {
		return front.Grant{}, errGone
	}
	select {
	case got := <-a.answer:
		return d.grant(r, got)
	case <-ctx.Done():
		d.post(abandon{a})
		return front.Grant{}, ctx.Err()
	case <-d.ctx.Done():
		return front.Grant{}, errGone
	}
}

func (d *Dispatcher) grant(r front.Request, got decision) (front.Grant, error) {
	if got.err != nil {
		return front.Grant{}, got.err
	}
	return front.Grant{
		ID: got.id, Backend: got.start.Backend.Name, Address: got.start.Backend.Address, StartTime: got.start.Backend.StartTime, Reason: got.start.Reason,
		CopyPrefixFrom: got.start.FetchFrom, MaxConnections: d.connectionsPart(r.Model),
		TokensAhead: got.start.TokensAhead, ExpectedFirstEvent: got.start.ExpectedDelay, Running: got.start.Running,
		Served: got.served, Waited: r.Waited + got.waited,
		OnFirstEvent: func() { d.post(began{got.id}) },
		OnNotice:     func(w backend.Notice) { d.post(said{got.id, w}) },
		Saturated:    d.Saturated,
		// A router that stood still for longer has lost its place to another.
		MayStart: func() bool { return d.now()-got.at < d.startWithin() },
	}, nil
}

// startWithin is how long a place may be used after it was given.
func (d *Dispatcher) startWithin() time.Duration {
	if d.opt.weights {
		return admit.GrantTTL
	}
	return admit.AttemptTTL
}

// restingPart of the connections that a backend server takes is divided among the
// routers; the rest is for those that carry requests, of which one router may have
// many while others have none.
const restingPart = 0.5

// connectionsPart returns this router's part of the connections that each backend
// server of a service takes, 0 if the table does not say how many these are. Routers
// that each kept what they opened had 1.5 times as many as three plain backend servers
// take (430) at 62 routers and 300 requests a second, and the rest were reset with
// requests on them: 774 to 1,379 of 13,600 a day.
func (d *Dispatcher) connectionsPart(service string) int {
	t := d.Table()
	if t == nil {
		return 0
	}
	row, ok := t.ServiceByName(service)
	if !ok || row.MaxConnections <= 0 {
		return 0
	}
	routers := max(1, d.shared.routers.Load())
	return max(1, int(restingPart*float64(row.MaxConnections)/float64(routers)))
}

// Release implements front.Scheduler.
func (d *Dispatcher) Release(g front.Grant, u front.Usage) {
	e := ended{id: g.ID, tokens: u.Tokens, result: resultOf(u), request: u.Request, cut: wasCut(u), whole: u.Error == nil && u.Status < http.StatusInternalServerError}
	if u.Digest != nil {
		e.digest = suspect.Digest(u.Digest())
	}
	d.post(e)
}

// wasCut reports whether the backend server broke off while the request was under way
// there. One that falls silent may only be slow, as all are where a machine has no time.
func wasCut(u front.Usage) bool {
	return u.Error != nil && u.Sent && !u.Stalled && (u.Error.Code == "answer-cut" || u.Error.Code == "backend-broke")
}

// resultOf tells what an attempt's end says of the backend server.
func resultOf(u front.Usage) admit.Result {
	switch {
	case u.Error == nil && u.Status >= http.StatusInternalServerError:
		return admit.Failed
	case u.Error == nil:
		return admit.Answered
	case u.Stalled:
		return admit.Stalled
	case u.Unreachable:
		return admit.Unreachable
	}
	switch u.Error.Code {
	case "backend-refused":
		return admit.Refused
	case "backend-failed":
		return admit.Failed
	case "backend-replaced":
		return admit.Unreachable
	case "caller-gone", "deadline", "lease-expired":
		return admit.Unknown
	default:
		return admit.Broken
	}
}

// SpendRetry implements front.Scheduler.
func (d *Dispatcher) SpendRetry(r front.Request) bool {
	answer := make(chan bool, 1)
	if !d.post(spend{r.Model, answer}) {
		return false
	}
	select {
	case ok := <-answer:
		return ok
	case <-d.ctx.Done():
		return false
	}
}

type spend struct {
	service string
	answer  chan<- bool
}

func (e spend) apply(s *state) {
	routers := s.roster.CountRecent(s.now, s.rule.Window)
	e.answer <- s.allowance.Spend(s.now, e.service, routers)
}

type arrive struct{ *attempt }

func (e arrive) apply(s *state) {
	s.nextID++
	id := s.nextID
	s.waiting[id] = e.attempt
	if s.d.opt.weights && s.d.Draining() {
		s.reply(id, decision{err: errDraining.WithRetryAfter(time.Second)})
		return
	}
	r := &e.request
	if r.Attempt == 0 {
		s.allowance.Request(s.now, r.Model)
	}
	s.step(admit.Arrive{Request: admit.Request{
		ID: id, Service: r.Model, Account: r.Account, AccountRank: r.AccountRank, Rank: r.Rank, Prefix: r.Prefix,
		Prompt: r.Prompt, Shared: r.Shared, Output: r.Output, Target: r.Target, MaxWait: r.MaxWait,
		Deadline: s.now + r.Deadline.Sub(e.at), Retry: r.Attempt > 0, MayHaveRun: r.MayHaveRun, Avoid: r.Avoid,
		Resuming: r.Resuming, Digest: e.digest, Priority: r.Priority,
	}})
}

// reply tells the caller's task of the decision.
func (s *state) reply(id uint64, got decision) {
	a, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	got.id, got.at = id, s.now
	a.answer <- got
}

// abandon takes back an attempt whose caller has left: it still waits, or it
// was started a moment ago and will not be sent.
type abandon struct{ *attempt }

func (e abandon) apply(s *state) {
	for id, a := range s.waiting {
		if a == e.attempt {
			delete(s.waiting, id)
			s.step(admit.Cancel{ID: id})
			return
		}
	}
	select {
	case got := <-e.answer:
		delete(s.served, got.id)
		s.step(admit.Cancel{ID: got.id})
	default:
	}
}

// drained has what waits refused: the router takes nothing more.
type drained struct{}

func (drained) apply(s *state) {
	if !s.d.opt.weights {
		return
	}
	for id := range s.waiting {
		s.step(admit.Cancel{ID: id})
		s.reply(id, decision{err: errDraining.WithRetryAfter(time.Second)})
	}
}

type began struct{ id uint64 }

func (e began) apply(s *state) { s.step(admit.FirstEvent{ID: e.id}) }

type said struct {
	id   uint64
	word backend.Notice
}

func (e said) apply(s *state) {
	s.step(admit.BackendNotice{ID: e.id, Leaving: e.word.Leaving, Backoff: e.word.RetryAfter})
}

type ended struct {
	id     uint64
	result admit.Result
	// request is the caller's id of the request, digest identifies it whichever try it
	// is, 0 if nobody can.
	request    string
	digest     suspect.Digest
	cut, whole bool
	// tokens is what it has used.
	tokens int64
}

func (e ended) apply(s *state) {
	result := blamed(e.result, s.d.Saturated())
	s.ending = e.request
	delete(s.served, e.id)
	s.step(admit.AttemptEnd{ID: e.id, Tokens: e.tokens, Result: result, Digest: e.digest, Disconnected: e.cut && result != admit.Unknown, Completed: e.whole})
	s.ending = ""
}

// blamed is what an attempt's end says of the backend server, told by a router that is
// hurried or not: one that cannot keep up hears late of everything, so that a silence may
// be its own.
func blamed(result admit.Result, hurried bool) admit.Result {
	if hurried && (result == admit.Stalled || result == admit.Unreachable) {
		return admit.Unknown
	}
	return result
}
