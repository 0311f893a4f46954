package front

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// wholeAnswer is up to how many bytes a plain answer is taken whole
	// before it is passed on.
	wholeAnswer = 64 << 10
	// patiencePart of the target is how long a request may wait that may yet
	// be refused. A caller makes use of a refusal that it hears within a quarter of
	// its target, of which its own way here and back takes a part: 15 ms of a
	// target of 300 ms are left for that.
	patiencePart = 5
	// maxUnsent bounds the attempts that did not reach a backend server.
	maxUnsent = 8
)

// Refusals of routed requests.
var (
	errUnknownKey = verdict.New(verdict.PhaseAdmit, http.StatusUnauthorized, "unknown-key", "no client account has this key")
	errNoID       = verdict.New(verdict.PhaseAdmit, http.StatusBadRequest, "no-request-id", "the header with the request's id is missing")
)

// routing is what a request's route adds to it.
type routing struct {
	*table.Route
	prompt
	// sent counts the backend servers that were sent the request, unsent the
	// attempts that reached none.
	sent, unsent int
	avoid        []string
	// lastEvent is the last event that the caller has.
	lastEvent uint64
	began     bool
	// doubt says that the request may have run already.
	doubt bool
	// paid says that the next attempt was taken out of the allowance already.
	paid atomic.Bool
}

// pathOf returns the path as the caller wrote it, without the query.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// routed serves a request by its route.
func (s *Server) routed(w http.ResponseWriter, r *http.Request, t *table.Table, route *table.Route) {
	a := &ask{
		id: r.Header.Get(s.opt.dialect.RequestID), arrived: s.clock().Now(), method: r.Method, host: r.Host, path: r.RequestURI,
		route: &routing{Route: route}, model: route.Pick(rand.Float64()),
		events: route.Stream, once: route.Repeat == table.RepeatNever,
	}
	s.serve(w, r, a, func() *verdict.Error { return s.readRouted(w, r, t, a) })
}

func (s *Server) readRouted(w http.ResponseWriter, r *http.Request, t *table.Table, a *ask) *verdict.Error {
	if _, err := s.tableFor(r); err != nil {
		return err
	}
	if a.id == "" {
		return errNoID
	}
	if err := s.readAccount(a, r, t); err != nil {
		return err
	}
	if err := s.readStated(a, r); err != nil {
		return err
	}
	if c := connOf(r); !c.wasScreened() {
		req := a.request()
		req.Forwarded = c.wasForwarded()
		if err := s.scheduler.CheckAdmission(req); err != nil {
			return err
		}
	}
	body, err := s.readBody(w, r)
	a.body = body
	return err
}

func (s *Server) readAccount(a *ask, r *http.Request, t *table.Table) *verdict.Error {
	if a.route.Public {
		return nil
	}
	d := &s.opt.dialect
	key, ok := strings.CutPrefix(r.Header.Get(d.Key), d.KeyPrefix)
	if !ok || key == "" {
		return errUnknownKey
	}
	account, ok := accountOf(t, []byte(key))
	if !ok {
		return errUnknownKey
	}
	a.account = account
	return nil
}

// readStated reads what the headers state: deadline, prompt, last event.
func (s *Server) readStated(a *ask, r *http.Request) *verdict.Error {
	d := &s.opt.dialect
	wait, ok := s.statedTime(r)
	if !ok {
		return badHeader(d.Deadline)
	}
	a.deadline = a.arrived.Add(wait)
	if held := a.arrived.Add(a.route.Timeout); a.route.Timeout > 0 && held.Before(a.deadline) {
		a.deadline = held
	}
	if v := r.Header.Get(d.LastEvent); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return badHeader(d.LastEvent)
		}
		a.route.lastEvent = n
	}
	p, err := d.readPrompt(r.Header)
	a.route.prompt = p
	return err
}

// describe tells the scheduler what the route says of the request.
func (x *routing) describe(req *Request) {
	req.Prefix = x.prefix
	req.Rank = x.Rank
	req.Prompt, req.Shared, req.Output = x.tokens, x.shared, x.output
	req.Target = x.TargetLatency
	req.MaxWait = x.TargetLatency / patiencePart
	req.Avoid = x.avoid
	req.MayHaveRun, req.Resuming = x.doubt, x.began
}

// tried notes how an attempt ended.
func (x *routing) tried(g Grant, result backend.Result) {
	if result.Sent {
		x.sent++
	} else {
		x.unsent++
	}
	x.lastEvent = result.LastEvent
	x.began = x.began || result.Began
	x.doubt = x.doubt || result.Sent && result.Err != nil && result.Err.Verdict != verdict.NotRun
	if result.Err != nil {
		x.avoid = append(x.avoid, g.Backend)
	}
}

// againRouted reports whether a routed request is tried once more.
func (s *Server) againRouted(a *ask, result backend.Result, err *verdict.Error) bool {
	x := a.route
	if result.Err == nil {
		// It was refused a place, which another try would not mend.
		return false
	}
	if err.Code == "caller-gone" || x.sent >= x.MaxAttempts() || x.unsent >= maxUnsent {
		return false
	}
	if x.began && x.Repeat != table.RepeatResume {
		return false
	}
	if err.Verdict != verdict.NotRun && x.Repeat == table.RepeatNever {
		return false
	}
	return !result.Sent || x.paid.Swap(false) || s.scheduler.SpendRetry(a.request())
}

const (
	// leastPatience is for how long a backend server may be silent at least
	// before its requests are taken elsewhere.
	leastPatience = 500 * time.Millisecond
	// firstTargets and betweenPauses are how many times its target a first
	// event may be late, and its longest pause an event, while nothing else
	// comes from there either.
	firstTargets  = 2
	betweenPauses = 3
)

// patience is how long the backend server of a request that may be sent to
// another one may be silent.
func (s *Server) patience(a *ask) backend.Failover {
	x := a.route
	if x.Repeat == table.RepeatNever || x.sent+1 >= x.MaxAttempts() {
		return backend.Failover{}
	}
	req := a.request()
	p := backend.Failover{
		FirstByteTimeout: max(leastPatience, firstTargets*x.TargetLatency),
		AcquireRetry: func() bool {
			if !s.scheduler.SpendRetry(req) {
				return false
			}
			x.paid.Store(true)
			return true
		},
	}
	if x.Repeat == table.RepeatResume {
		p.EventTimeout = max(leastPatience, betweenPauses*x.TargetGap)
	}
	return p
}

func (s *Server) routedCall(a *ask, r *http.Request, g Grant) backend.Call {
	header := r.Header.Clone()
	header.Del(s.opt.dialect.Key)
	return backend.Call{
		Address: g.Address, Instance: g.Backend, StartTime: g.StartTime, Host: r.Host, Method: r.Method, Path: a.path, Header: header, Body: a.body,
		RequestID: a.id, Account: a.account.Name, Deadline: a.deadline, NotRepeatable: a.once, MayStream: a.events, Opaque: true,
		Resume: a.route.began, LastEvent: a.route.lastEvent, BufferLimit: wholeAnswer,
		WithholdServerErrors: a.route.Repeat != table.RepeatNever && a.route.sent+1 < a.route.MaxAttempts(),
		CopyPrefixFrom:       g.CopyPrefixFrom, MaxConnections: g.MaxConnections, Failover: s.patience(a), MayStart: g.MayStart, Served: g.Served, OnFirstByte: g.OnFirstEvent, OnNotice: g.OnNotice,
		BatchDelay: s.gatherFor(a.route, g.Saturated),
	}
}

// A router without time gathers a stream's events for gatherPart of the time within
// which they are to reach the caller, and for gatherPause of the longest pause that
// is in time at the most.
const (
	gatherPart  = 1.0 / 3
	gatherPause = 1.0 / 4
)

// gatherFor returns what tells for how long a stream's events are gathered.
func (s *Server) gatherFor(x *routing, hurried func() bool) func() time.Duration {
	if hurried == nil {
		return nil
	}
	return func() time.Duration {
		if !hurried() {
			return 0
		}
		wait := time.Duration(gatherPart * float64(s.callers.Load().MaxEventDelay))
		if x.TargetGap > 0 {
			wait = min(wait, time.Duration(gatherPause*float64(x.TargetGap)))
		}
		return wait
	}
}

// final turns an error into what the caller is told: a request that did not
// run gets a promise that it will not, and a time to come back.
func (a *ask) final(e *verdict.Error) *verdict.Error {
	if a.route == nil || e.Status < http.StatusInternalServerError {
		return e
	}
	c := *e
	if e.Verdict != verdict.NotRun {
		c.Status = max(c.Status, http.StatusBadGateway)
		if c.Status == http.StatusServiceUnavailable {
			c.Status = http.StatusBadGateway
		}
		c.RetryAfter = 0
		return &c
	}
	c.Status = http.StatusServiceUnavailable
	if c.RetryAfter == 0 {
		c.RetryAfter = comeBack
	}
	return &c
}

// comeBack is when the caller of a request that did not run may try again
// where nothing better is known.
const comeBack = 250 * time.Millisecond
