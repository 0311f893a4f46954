package front

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

func (s *Server) attempt(ctx context.Context, a *ask, r *http.Request, out *answer, o *Outcome) (backend.Result, *verdict.Error) {
	o.Attempts++
	req := a.request()
	req.Waited, req.Attempt = o.Waited, o.Attempts-1
	asked := s.clock().Now()
	g, err := s.scheduler.Acquire(ctx, req)
	if err != nil {
		o.Waited += s.clock().Since(asked)
		return backend.Result{}, acquireFailed(ctx, err)
	}
	o.Waited = g.Waited
	started := s.clock().Now()
	result := s.backend.Do(ctx, s.call(a, r, g), out)
	o.Tokens = s.tokens(a, g, started)
	s.scheduler.Release(g, Usage{
		Tokens: o.Tokens, Sent: result.Sent, Unreachable: result.Unreachable,
		Status: result.Status, Error: result.Err, Stalled: result.Stalled,
		Request: a.id, Digest: a.digest,
	})
	if a.route != nil {
		a.route.tried(g, result)
	}
	s.logAttempt(a, g, o, result, started)
	if result.Err != nil {
		return result, result.Err
	}
	o.Status = result.Status
	o.Verdict = verdict.Ran.String()
	o.FirstByte = result.FirstByte.Sub(a.arrived)
	return result, nil
}

func (s *Server) logAttempt(a *ask, g Grant, o *Outcome, result backend.Result, started time.Time) {
	code := ""
	if result.Err != nil {
		code = result.Err.Code
	}
	first := int64(-1)
	if !result.FirstByte.IsZero() {
		first = result.FirstByte.Sub(started).Milliseconds()
	}
	s.opt.log.Info("attempt_end", "request", a.id, "attempt", o.Attempts, "backend", g.Backend, "why", g.Reason, "copied_from", g.CopyPrefixFrom,
		"ahead", g.TokensAhead, "running", g.Running, "expected_ms", g.ExpectedFirstEvent.Milliseconds(), "first_ms", first,
		"total_ms", s.clock().Since(started).Milliseconds(), "sent", result.Sent, "events", result.LastEvent, "code", code)
	s.logSaid(a, g, o, result.Notice)
}

// logSaid logs what the backend server said of itself, if anything.
func (s *Server) logSaid(a *ask, g Grant, o *Outcome, said backend.Notice) {
	if said == (backend.Notice{}) {
		return
	}
	s.opt.log.Info("backend_said", "request", a.id, "attempt", o.Attempts, "backend", g.Backend,
		"leaving", said.Leaving, "rest_ms", said.RetryAfter.Milliseconds(), "unread", said.Invalid)
}

// tokens is what the attempt is charged: an engine's tokens, or a plain
// service's time in milliseconds.
func (s *Server) tokens(a *ask, g Grant, started time.Time) int64 {
	if a.events {
		return g.Served.Load()
	}
	return max(1, s.clock().Since(started).Milliseconds())
}

// acquireFailed tells a deadline from a caller that left.
func acquireFailed(ctx context.Context, err error) *verdict.Error {
	if ctx.Err() == nil {
		return asVerdict(err)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.New(verdict.PhaseQueue, http.StatusGatewayTimeout, "deadline", "the deadline passed while the request waited for a slot")
	}
	return verdict.New(verdict.PhaseQueue, statusClientGone, "caller-gone", "the caller went away")
}

// statusClientGone is logged for callers that left; nobody receives it.
const statusClientGone = 499
