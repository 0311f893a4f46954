package front

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// bufferLimit is the size, in bytes, up to which a plain response is read completely
	// before it is relayed.
	bufferLimit = 64 << 10
	// maxWaitDivisor divides the latency target into the time after which a waiting request is
	// refused. A refusal is useful to callers within a quarter of the target, network time
	// included; a fifth leaves time for that.
	maxWaitDivisor = 5
	// maxUnsentAttempts bounds the attempts that did not reach a backend server.
	maxUnsentAttempts = 8
)

// Refusals of routed requests.
var (
	errUnknownKey  = verdict.New(verdict.PhaseAdmit, http.StatusUnauthorized, "unknown-key", "no client account has this key")
	errNoRequestID = verdict.New(verdict.PhaseAdmit, http.StatusBadRequest, "no-request-id", "the header with the request's id is missing")
)

// routeState is the state of a routed request.
type routeState struct {
	*table.Route
	prompt
	// sent counts the attempts that reached a backend server, unsent those that did not.
	sent, unsent int
	avoid        []string
	// lastEvent is the number of the last event that the caller received.
	lastEvent uint64
	// resumes is the ID of the caller's attempt that began the stream, "" if the request begins one.
	resumes string
	// resumedAfter is the number of the last event that an earlier attempt of the caller brought.
	resumedAfter uint64
	// software is what began the stream, and the only software at which it may go on; nil before its
	// first event. recorded says that the fleet remembers the stream from an earlier attempt of its caller.
	software atomic.Pointer[table.Software]
	recorded bool
	started  bool
	// key identifies the request across the attempts of its caller, 0 without stated prompt parts.
	key uint64
	// parts are the parts of the prompt that other requests may share.
	parts []Part
	// mayHaveRun says that an earlier attempt may have run.
	mayHaveRun bool
	// retryPaid says that the next attempt has already been taken from the retry budget.
	retryPaid atomic.Bool
}

// pathOf returns the path as sent by the caller, without the query.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// serveRoute handles a request that matches a route.
func (s *Server) serveRoute(w http.ResponseWriter, r *http.Request, t *table.Table, route *table.Route) {
	in := &inboundRequest{
		id: r.Header.Get(s.opt.headers.RequestID), arrived: s.clock().Now(), method: r.Method, host: r.Host, path: r.RequestURI,
		route: &routeState{Route: route}, model: route.Pick(rand.Float64()),
		mayStream: route.Stream, notRepeatable: route.Repeat == table.RepeatNever,
	}
	s.serve(w, r, in, func() *verdict.Error { return s.readRoutedRequest(w, r, t, in) })
}

// readRoutedRequest authenticates and reads a routed request. It asks the scheduler to admit
// the request before it reads the body, unless the early check has done so.
func (s *Server) readRoutedRequest(w http.ResponseWriter, r *http.Request, t *table.Table, in *inboundRequest) *verdict.Error {
	if _, err := s.currentTable(r); err != nil {
		return err
	}
	if in.id == "" {
		return errNoRequestID
	}
	if err := s.readAccount(in, r, t); err != nil {
		return err
	}
	if err := s.readRoutedHeaders(in, r); err != nil {
		return err
	}
	if c := connOf(r); !c.consumeAdmissionCheck() {
		req := in.schedulerRequest()
		req.Forwarded = c.wasForwarded()
		if err := s.scheduler.CheckAdmission(req); err != nil {
			return err
		}
	}
	return s.readBody(in, w, r)
}

func (s *Server) readAccount(in *inboundRequest, r *http.Request, t *table.Table) *verdict.Error {
	if in.route.Public {
		return nil
	}
	headers := &s.opt.headers
	key, ok := strings.CutPrefix(r.Header.Get(headers.Key), headers.KeyPrefix)
	if !ok || key == "" {
		return errUnknownKey
	}
	account, ok := accountByKey(t, []byte(key))
	if !ok {
		return errUnknownKey
	}
	in.account = account
	return nil
}

// readRoutedHeaders reads the deadline, the last event and the prompt's sizes from the
// headers.
func (s *Server) readRoutedHeaders(in *inboundRequest, r *http.Request) *verdict.Error {
	headers := &s.opt.headers
	timeout, ok := s.requestTimeout(r)
	if !ok {
		return badHeader(headers.Deadline)
	}
	in.deadline = in.arrived.Add(timeout)
	in.callerDeadline = in.deadline
	if routeDeadline := in.arrived.Add(in.route.Timeout); in.route.Timeout > 0 && routeDeadline.Before(in.deadline) {
		in.deadline = routeDeadline
	}
	if v := r.Header.Get(headers.LastEvent); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return badHeader(headers.LastEvent)
		}
		in.route.lastEvent, in.route.resumedAfter = n, n
	}
	if err := in.route.readResumes(headers, r.Header); err != nil {
		return err
	}
	p, err := headers.parsePrompt(r.Header)
	in.route.prompt = p
	if headers.Parts != "" {
		in.route.parts = sharedParts(in.account.Name, r.Header.Get(headers.Parts))
		in.route.key = requestKey(in.account.Name, pathOf(r), r.Header.Get(headers.Parts))
	}
	return err
}

// fillRequest fills in the fields that depend on the route and earlier attempts.
func (state *routeState) fillRequest(req *Request) {
	req.Route, req.Regions = state.Name, req.Regions.Intersect(table.NewRegionSet(state.Route.Regions))
	req.Prefix, req.Key, req.Parts = state.prefix, state.key, state.parts
	req.Rank = state.Rank
	req.Prompt, req.Shared, req.Output = state.tokens, state.shared, state.output
	req.Target = state.TargetLatency
	req.MaxWait = state.TargetLatency / maxWaitDivisor
	req.Avoid = state.avoid
	req.MayHaveRun, req.Resuming = state.mayHaveRun, state.started
	req.Software, req.Continues = state.software.Load(), state.recorded
	req.MayResume = state.Stream && state.Repeat == table.RepeatResume && !state.started && !state.isResumption()
}

// recordAttempt updates the state with the result of an attempt.
func (state *routeState) recordAttempt(grant Grant, result backend.Result) {
	if result.Sent {
		state.sent++
	} else {
		state.unsent++
	}
	state.lastEvent = result.LastEvent
	state.started = state.started || result.Began
	state.mayHaveRun = state.mayHaveRun || result.Sent && result.Err != nil && result.Err.Verdict != verdict.NotRun
	if result.Err != nil {
		state.avoid = append(state.avoid, grant.Backend)
	}
}

// shouldRetryRouted reports whether to attempt a routed request again.
func (s *Server) shouldRetryRouted(in *inboundRequest, result backend.Result, err *verdict.Error) bool {
	state := in.route
	if result.Err == nil {
		// The scheduler granted no slot; it would refuse again.
		return false
	}
	if err.Code == "caller-gone" || state.sent >= state.MaxAttempts() || state.unsent >= maxUnsentAttempts {
		return false
	}
	if state.started && state.Repeat != table.RepeatResume {
		return false
	}
	if err.Verdict != verdict.NotRun && state.Repeat == table.RepeatNever {
		return false
	}
	return !result.Sent || state.retryPaid.Swap(false) || s.scheduler.SpendRetry(in.schedulerRequest())
}

const (
	// minStallTimeout is the least time without data before a request moves to another backend
	// server.
	minStallTimeout = 500 * time.Millisecond
	// A backend server is considered stalled if it sends nothing, on any connection, for
	// stallTargets times the latency target before the first event, or for stallPauses times
	// the route's pause between events.
	stallTargets = 2
	stallPauses  = 3
)

// failover returns when to move the request from a stalled backend server to another one.
func (s *Server) failover(in *inboundRequest, grant *Grant) backend.Failover {
	state := in.route
	if state.Repeat == table.RepeatNever || state.sent+1 >= state.MaxAttempts() {
		return backend.Failover{}
	}
	sent := in.schedulerRequest()
	sent.Leaves = grant.Backend
	p := backend.Failover{
		FirstByteTimeout: max(minStallTimeout, stallTargets*state.TargetLatency),
		// It runs beside the attempt, which may have begun the stream since it was sent.
		AcquireRetry: func() bool {
			req := sent
			req.Software = state.software.Load()
			if !s.scheduler.SpendRetry(req) {
				return false
			}
			state.retryPaid.Store(true)
			return true
		},
	}
	if state.Repeat == table.RepeatResume {
		p.EventTimeout = max(minStallTimeout, stallPauses*state.TargetGap)
	}
	return p
}

func (s *Server) routedBackendCall(in *inboundRequest, r *http.Request, grant Grant) backend.Call {
	header := r.Header.Clone()
	header.Del(s.opt.headers.Key)
	return backend.Call{
		Address:       grant.Address,
		Instance:      grant.Backend,
		StartTime:     grant.StartTime,
		Software:      grant.Software,
		Host:          r.Host,
		Method:        r.Method,
		Path:          in.path,
		Header:        header,
		Body:          in.body,
		RequestID:     in.id,
		Account:       in.account.Name,
		Deadline:      in.deadline,
		NotRepeatable: in.notRepeatable,
		MayStream:     in.mayStream,
		Opaque:        true,
		Resume:        in.route.started,
		LastEvent:     in.route.lastEvent,
		BufferLimit:   bufferLimit,
		ReserveMemory: s.reserveMemory(in),

		WithholdServerErrors: in.route.Repeat != table.RepeatNever && in.route.sent+1 < in.route.MaxAttempts(),
		CopyPrefixFrom:       grant.CopyPrefixFrom,
		MaxConnections:       grant.MaxConnections,
		Failover:             s.failover(in, &grant),
		MayStart:             grant.MayStart,
		Served:               grant.Served,
		OnFirstByte:          s.onFirstByte(in, &grant),
		OnNotice:             grant.OnNotice,
		BatchDelay:           s.batchDelay(in.route, grant.Saturated),
		PauseTarget:          in.route.TargetGap,
		OnPause:              grant.OnPause,
	}
}

// The delay for batching events while the router is saturated: batchDelayFraction of the
// maximum event delay, but at most batchPauseFraction of the route's pause between events.
const (
	batchDelayFraction = 1.0 / 3
	batchPauseFraction = 1.0 / 4
)

// batchDelay returns a function for the current batching delay, nil if events are never
// batched.
func (s *Server) batchDelay(state *routeState, saturated func() bool) func() time.Duration {
	if saturated == nil {
		return nil
	}
	return func() time.Duration {
		if !saturated() {
			return 0
		}
		delay := time.Duration(batchDelayFraction * float64(s.limits.Load().MaxEventDelay))
		if state.TargetGap > 0 {
			delay = min(delay, time.Duration(batchPauseFraction*float64(state.TargetGap)))
		}
		return delay
	}
}

// finalError adjusts a routed request's error before it is sent to the caller: a request that
// did not run gets status 503 with a retry delay, any other a status that does not invite a
// retry.
func (in *inboundRequest) finalError(e *verdict.Error) *verdict.Error {
	if in.route == nil || e.Status < http.StatusInternalServerError {
		return e
	}
	c := *e
	if e.Verdict != verdict.NotRun {
		c.Status = max(c.Status, http.StatusBadGateway)
		if c.Status == http.StatusServiceUnavailable {
			c.Status = http.StatusBadGateway
		}
		c.RetryAfter, c.Return = 0, returns.Unstated
		return &c
	}
	c.Status = http.StatusServiceUnavailable
	if c.RetryAfter == 0 {
		c.RetryAfter = defaultRetryAfter
	}
	return &c
}

// defaultRetryAfter is the retry delay of requests that did not run, unless another one is
// set.
const defaultRetryAfter = 250 * time.Millisecond
