package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// refusalRetryAfter is the retry delay of refusals that are specific to this router.
const refusalRetryAfter = time.Second

// readAccountAndHeaders authenticates a request to the built-in API and reads its headers.
func (s *Server) readAccountAndHeaders(in *inboundRequest, r *http.Request) *verdict.Error {
	t, err := s.currentTable(r)
	if err != nil {
		return err
	}
	account, err := authenticate(r, t)
	if err != nil {
		return err
	}
	in.account = account
	in.path = r.URL.RequestURI()
	return s.readHeaders(in, r)
}

// currentTable returns the table for a new request, or an error while draining or before the
// first table.
func (s *Server) currentTable(r *http.Request) (*table.Table, *verdict.Error) {
	if s.draining.Load() {
		timeout, ok := s.requestTimeout(r)
		if !ok {
			timeout = s.limits.Load().Deadline
		}
		return nil, errDraining.WithReturn(returns.Elsewhere(timeout, rand.Float64()))
	}
	t := s.scheduler.Table()
	if t == nil {
		return nil, errNoTable.WithRetryAfter(refusalRetryAfter)
	}
	return t, nil
}

// handleBuiltin handles a request to the built-in API; parse reads the rest of it.
func (s *Server) handleBuiltin(w http.ResponseWriter, r *http.Request, parse func(*inboundRequest) *verdict.Error) {
	in := &inboundRequest{id: s.newRequestID(), arrived: s.clock().Now(), method: r.Method, host: r.Host}
	s.serve(w, r, in, func() *verdict.Error {
		err := s.readAccountAndHeaders(in, r)
		if err == nil {
			err = parse(in)
		}
		if err == nil && !s.hasModel(in.model) {
			err = errNoSuchModel
		}
		return err
	})
}

// serve handles one request from parsing to the end of its response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, in *inboundRequest, parse func() *verdict.Error) {
	s.requests.Add(1)
	defer s.openRequests.Add(-1)
	defer in.bodyMemory.Release()
	defer in.responseMemory.Release()
	var err *verdict.Error
	if s.openRequests.Add(1) > s.limits.Load().MaxOpen {
		err = errTooManyOpen.WithRetryAfter(refusalRetryAfter)
	} else {
		err = parse()
	}
	resp := s.newResponse(w, in)
	outcome := Outcome{Account: in.account.Name, Model: in.model}
	if err == nil {
		err = s.run(r.Context(), in, r, resp, &outcome)
	}
	if err != nil {
		err = in.finalError(err)
		resp.fail(err)
		outcome.Code = err.Code
		outcome.Status = err.Status
		outcome.Verdict = err.Verdict.String()
		outcome.RetryAfter, outcome.Return = err.RetryAfter, err.Return
	}
	outcome.Total = s.clock().Since(in.arrived)
	s.opt.observer.RequestEnded(outcome)
	s.logEnd(in, &outcome)
	if err != nil && resp.started {
		// The response is incomplete; abort the connection so that the caller notices.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) hasModel(model string) bool {
	t := s.scheduler.Table()
	return t != nil && t.HasModel(model)
}

func (s *Server) logEnd(in *inboundRequest, outcome *Outcome) {
	var sizes prompt
	var target time.Duration
	if in.route != nil {
		sizes, target = in.route.prompt, in.route.TargetLatency
	}
	var revision uint64
	if t := s.scheduler.Table(); t != nil {
		revision = t.Revision
	}
	attrs := []slog.Attr{
		slog.String("request", in.id), slog.String("account", outcome.Account), slog.String("model", outcome.Model),
		slog.Int64("prompt", sizes.tokens), slog.Int64("output", sizes.output), slog.Uint64("table", revision),
		slog.Int("status", outcome.Status), slog.String("code", outcome.Code), slog.String("verdict", outcome.Verdict),
		slog.Int64("tokens", outcome.Tokens), slog.Int("attempts", outcome.Attempts),
		slog.Int64("waited_ms", outcome.Waited.Milliseconds()), slog.Int64("target_ms", target.Milliseconds()),
		slog.Int64("total_ms", outcome.Total.Milliseconds()),
		slog.Int64("retry_after_ms", outcome.RetryAfter.Milliseconds()), slog.String("return", outcome.Return.String()),
	}
	if outcome.RetryAfter == 0 {
		attrs = attrs[:len(attrs)-2]
	}
	if in.route != nil && (in.route.resumes != "" || in.route.resumedAfter > 0) {
		attrs = append(attrs, slog.String("resumes", in.route.resumes), slog.Uint64("after", in.route.resumedAfter))
	}
	s.opt.log.LogAttrs(context.Background(), slog.LevelInfo, "request_end", attrs...)
}

// run claims the request's idempotency key, if it has one, and runs the request. It
// releases the claim if the request did not run.
func (s *Server) run(ctx context.Context, in *inboundRequest, r *http.Request, resp *response, outcome *Outcome) *verdict.Error {
	ctx, cancel := s.clock().WithDeadline(ctx, in.deadline)
	defer cancel()
	if in.route != nil && in.route.isResumption() {
		if err := s.resume(ctx, in); err != nil {
			return err
		}
	}
	if in.idempotencyKey == "" {
		return s.runAttempts(ctx, in, r, resp, outcome)
	}
	claim := Claim{Account: in.account.Name, Request: in.id, Key: in.idempotencyKey, FirstUsed: in.keyFirstUsed}
	if err := s.scheduler.Claim(ctx, claim); err != nil {
		return acquireError(ctx, err)
	}
	err := s.runAttempts(ctx, in, r, resp, outcome)
	if err != nil && err.Verdict == verdict.NotRun {
		s.scheduler.Unclaim(claim)
	}
	return err
}

// runAttempts attempts the request until it succeeds or must not be retried.
func (s *Server) runAttempts(ctx context.Context, in *inboundRequest, r *http.Request, resp *response, outcome *Outcome) *verdict.Error {
	mayHaveRun := false
	for {
		result, err := s.attempt(ctx, in, r, resp, outcome)
		if err == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || result.Sent && err.Verdict != verdict.NotRun
		if !s.shouldRetry(ctx, in, result, err) {
			return withEarlierAttempts(err, mayHaveRun)
		}
	}
}

// withEarlierAttempts changes the verdict NotRun to MayHaveRun if an earlier attempt may have
// run.
func withEarlierAttempts(err *verdict.Error, mayHaveRun bool) *verdict.Error {
	if !mayHaveRun || err.Verdict != verdict.NotRun {
		return err
	}
	e := *err
	e.Verdict = verdict.MayHaveRun
	return &e
}

// shouldRetry reports whether to attempt the request again.
func (s *Server) shouldRetry(ctx context.Context, in *inboundRequest, result backend.Result, err *verdict.Error) bool {
	if ctx.Err() != nil || err.Phase == verdict.PhaseAdmit || err.Code == "" {
		return false
	}
	if in.route != nil {
		return s.shouldRetryRouted(in, result, err)
	}
	if result.Began || !verdict.MayRetry(err.Verdict, !in.notRepeatable) || !retryableCode(err.Code) {
		return false
	}
	return s.scheduler.SpendRetry(in.schedulerRequest())
}

// retryableCode reports whether another attempt may succeed after a failure with this code.
func retryableCode(code string) bool {
	return slices.Contains([]string{"lease-expired", "backend-unreachable", "backend-broke", "backend-refused", "answer-cut"}, code)
}

// schedulerRequest returns the request in the form that the scheduler needs.
func (in *inboundRequest) schedulerRequest() Request {
	req := Request{
		ID: in.id, Account: in.account.Name, Model: in.model, Priority: in.priority, Deadline: in.deadline, Digest: in.digest,
		Regions: table.NewRegionSet(in.account.Regions),
	}
	if in.route != nil {
		in.route.fillRequest(&req)
		return req
	}
	req.Prefix = hashPrefix(in.body)
	return req
}

func (s *Server) backendCall(in *inboundRequest, r *http.Request, grant Grant) backend.Call {
	if in.route != nil {
		return s.routedBackendCall(in, r, grant)
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	return backend.Call{
		Address: grant.Address, Method: r.Method, Path: in.path, Header: header, Body: in.body,
		RequestID: in.id, Priority: max(in.priority, in.account.Priority), NotRepeatable: in.notRepeatable, MayStream: in.mayStream,
		MayStart: grant.MayStart, Served: grant.Served, ReserveMemory: s.reserveMemory(in),
	}
}

// reserveMemory returns a function that reserves memory for what is held of a response until the request ends.
func (s *Server) reserveMemory(in *inboundRequest) func(n int64) bool {
	in.responseMemory.Memory = &s.bodyMemory
	return func(n int64) bool { return in.responseMemory.Grow(n, s.limits.Load().MaxBodyMemory) }
}

// completions handles a request for a completion or chat completion.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.handleBuiltin(w, r, func(in *inboundRequest) *verdict.Error {
		in.mayStream = true
		if err := s.readBody(in, w, r); err != nil {
			return err
		}
		var err *verdict.Error
		in.model, err = parseModel(in.body)
		return err
	})
}

// plainService relays a request to a plain service. Requests with a method that may change
// state are not repeatable unless the caller says so.
func (s *Server) plainService(w http.ResponseWriter, r *http.Request) {
	s.handleBuiltin(w, r, func(in *inboundRequest) *verdict.Error {
		in.model = r.PathValue("service")
		in.path = servicePath(r)
		if r.Header.Get(HeaderNotRepeatable) == "" {
			in.notRepeatable = r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions
		}
		return s.readBody(in, w, r)
	})
}

func servicePath(r *http.Request) string {
	u := *r.URL
	u.Path = "/" + r.PathValue("rest")
	u.RawPath = ""
	return u.RequestURI()
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuseUnrouted(w, r, errNoSuchPath)
}

func (s *Server) noTable(w http.ResponseWriter, r *http.Request) {
	s.refuseUnrouted(w, r, errNoTable.WithRetryAfter(refusalRetryAfter))
}

// refuseUnrouted refuses a request that is not handled further.
func (s *Server) refuseUnrouted(w http.ResponseWriter, r *http.Request, err *verdict.Error) {
	in := &inboundRequest{id: r.Header.Get(s.opt.headers.RequestID), arrived: s.clock().Now()}
	if in.id == "" {
		in.id = s.newRequestID()
	}
	s.newResponse(w, in).fail(err)
	s.logEnd(in, &Outcome{Status: err.Status, Code: err.Code, Verdict: err.Verdict.String(), RetryAfter: err.RetryAfter, Return: err.Return})
}
