package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// attempt acquires a slot, sends the request to its backend server and relays the response.
func (s *Server) attempt(ctx context.Context, in *inboundRequest, r *http.Request, resp *response, outcome *Outcome) (backend.Result, *verdict.Error) {
	outcome.Attempts++
	req := in.schedulerRequest()
	req.Waited, req.Attempt, req.Key = outcome.Waited, outcome.Attempts-1, in.key()
	acquireStart := s.clock().Now()
	grant, err := s.scheduler.Acquire(ctx, req)
	if err != nil {
		outcome.Waited += s.clock().Since(acquireStart)
		return backend.Result{}, acquireError(ctx, err)
	}
	outcome.Waited = grant.Waited
	started := s.clock().Now()
	result := s.send(ctx, in, r, grant, resp)
	outcome.Tokens = s.chargedTokens(in, grant, started)
	longestPause, pauseTarget := in.pauses(result)
	s.scheduler.Release(grant, Usage{
		LongestPause: longestPause, PauseTarget: pauseTarget,
		Tokens: outcome.Tokens, Sent: result.Sent, Unreachable: result.Unreachable,
		Status: result.Status, Error: result.Err, Stalled: result.Stalled,
		Unframed: result.Framing == backend.FramingClose, Empty: result.Empty, Malformed: result.Malformed,
		Request: in.id, Digest: in.digest,
	})
	if in.route != nil {
		in.route.recordAttempt(grant, result)
	}
	s.logAttempt(in, grant, outcome, result, started)
	if result.Err != nil {
		return result, result.Err
	}
	outcome.Status = result.Status
	outcome.Verdict = verdict.Ran.String()
	outcome.FirstByte = result.FirstByte.Sub(in.arrived)
	return result, nil
}

// send sends the request to its backend server and relays the response, unless its caller has left or a planned stop
// would cut it.
func (s *Server) send(ctx context.Context, in *inboundRequest, r *http.Request, grant Grant, resp *response) backend.Result {
	if c := connOf(r); c != nil && hasLeft(c.Conn) {
		return backend.Result{Err: errCallerGone, LastEvent: in.lastEvent()}
	}
	if !s.endsInTime(&grant) {
		err := errEndsTooLate.WithReturn(returns.Elsewhere(s.clock().Until(in.deadline), rand.Float64()))
		return backend.Result{Err: err, LastEvent: in.lastEvent()}
	}
	return s.backend.Do(ctx, s.backendCall(in, r, grant), resp)
}

// lastEvent returns the number of the last event that the caller has, 0 for none.
func (in *inboundRequest) lastEvent() uint64 {
	if in.route == nil {
		return 0
	}
	return in.route.lastEvent
}

// pauses returns the longest pause between the events of an attempt and that which the route desires,
// 0 if no pause was measured.
func (in *inboundRequest) pauses(result backend.Result) (longest, target time.Duration) {
	if in.route == nil || result.Pauses == 0 {
		return 0, 0
	}
	return result.LongestPause, in.route.TargetGap
}

func (s *Server) logAttempt(in *inboundRequest, grant Grant, outcome *Outcome, result backend.Result, started time.Time) {
	code := ""
	if result.Err != nil {
		code = result.Err.Code
	}
	firstByteMillis := int64(-1)
	if !result.FirstByte.IsZero() {
		firstByteMillis = result.FirstByte.Sub(started).Milliseconds()
	}
	pauseMillis := int64(-1)
	if result.Pauses > 0 {
		pauseMillis = result.LongestPause.Milliseconds()
	}
	s.opt.log.Info("attempt_end", "request", in.id, "attempt", outcome.Attempts,
		"backend", grant.Backend, "version", grant.Software.String(), "why", grant.Reason, "copied_from", grant.CopyPrefixFrom,
		"ahead", grant.TokensAhead, "running", grant.Running,
		"expected_ms", grant.ExpectedFirstEvent.Milliseconds(), "margin_ms", grant.FirstEventMargin.Milliseconds(),
		"first_ms", firstByteMillis, "pause_ms", pauseMillis, "total_ms", s.clock().Since(started).Milliseconds(),
		"sent", result.Sent, "events", result.LastEvent, "framing", result.Framing.String(), "malformed", result.Malformed, "parts", in.loggedParts(), "code", code)
	s.logNotice(in, grant, outcome, result.Notice)
	s.logInvalid(in, grant, outcome, result.Invalid)
}

// loggedParts returns the shared parts of the prompt for log lines.
func (in *inboundRequest) loggedParts() string {
	if in.route == nil {
		return ""
	}
	return formatParts(in.route.parts)
}

// logNotice logs what the backend server announced about itself, if anything.
func (s *Server) logNotice(in *inboundRequest, grant Grant, outcome *Outcome, notice backend.Notice) {
	if notice == (backend.Notice{}) {
		return
	}
	s.opt.log.Info("backend_said", "request", in.id, "attempt", outcome.Attempts, "backend", grant.Backend,
		"leaving", notice.Leaving, "rest_ms", notice.RetryAfter.Milliseconds(), "unread", notice.Invalid)
}

// logInvalid logs that a stream was broken off for bytes that are no event of it.
func (s *Server) logInvalid(in *inboundRequest, grant Grant, outcome *Outcome, invalid *backend.InvalidEventError) {
	if invalid == nil {
		return
	}
	s.opt.log.Warn("invalid_event", "request", in.id, "attempt", outcome.Attempts, "backend", grant.Backend,
		"reason", string(invalid.Reason), "after", invalid.After)
}

// chargedTokens returns what an attempt costs the account: the tokens that were generated, or
// the duration in milliseconds for a plain service.
func (s *Server) chargedTokens(in *inboundRequest, grant Grant, started time.Time) int64 {
	if in.mayStream {
		return grant.Served.Load()
	}
	return max(1, s.clock().Since(started).Milliseconds())
}

// acquireError converts an error of Scheduler. It distinguishes an expired deadline from a
// disconnected caller.
func acquireError(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() == nil {
		return toVerdictError(err)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.New(verdict.PhaseQueue, http.StatusGatewayTimeout, "deadline", "the deadline passed while the request waited for a slot")
	}
	return errCallerGone
}

var errCallerGone = verdict.New(verdict.PhaseQueue, statusClientClosedRequest, "caller-gone", "the caller went away")

// statusClientClosedRequest is logged for callers that disconnected; it is never sent.
const statusClientClosedRequest = 499
