package front

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// retryAfter is when a caller may come back to another entry instance.
const retryAfter = time.Second

// admit does what every request needs first: an account and its headers.
func (s *Server) admit(a *ask, r *http.Request) *verdict.Error {
	t, err := s.tableFor(r)
	if err != nil {
		return err
	}
	account, err := authenticate(r, t)
	if err != nil {
		return err
	}
	a.account = account
	a.path = r.URL.RequestURI()
	return s.readHeaders(a, r)
}

// tableFor returns the table to decide a new request by.
func (s *Server) tableFor(*http.Request) (*table.Table, *verdict.Error) {
	if s.draining.Load() {
		return nil, errDraining.WithRetryAfter(retryAfter)
	}
	t := s.scheduler.Table()
	if t == nil {
		return nil, errNotReady.WithRetryAfter(retryAfter)
	}
	return t, nil
}

// handle runs one request of the own interfaces from its admission to its end.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, read func(*ask) *verdict.Error) {
	a := &ask{id: s.requestID(), arrived: s.clock().Now(), method: r.Method, host: r.Host}
	s.serve(w, r, a, func() *verdict.Error {
		err := s.admit(a, r)
		if err == nil {
			err = read(a)
		}
		if err == nil && !s.serves(a.model) {
			err = errNoModel
		}
		return err
	})
}

// serve runs one request, which read makes out, to its end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, a *ask, read func() *verdict.Error) {
	s.requests.Add(1)
	defer s.open.Add(-1)
	var err *verdict.Error
	if s.open.Add(1) > s.callers.Load().MaxOpen {
		err = errTooManyOpen.WithRetryAfter(retryAfter)
	} else {
		err = read()
	}
	out := s.answerTo(w, a)
	outcome := Outcome{Account: a.account.Name, Model: a.model}
	if err == nil {
		err = s.schedule(r.Context(), a, r, out, &outcome)
	}
	if err != nil {
		err = a.final(err)
		out.fail(err)
		outcome.Code = err.Code
		outcome.Status = err.Status
		outcome.Verdict = err.Verdict.String()
	}
	outcome.Total = s.clock().Since(a.arrived)
	s.opt.observer.RequestEnded(outcome)
	s.log(a, &outcome)
	if err != nil && out.began {
		// The answer has no end, so the connection must not have one either.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serves(model string) bool {
	t := s.scheduler.Table()
	return t != nil && t.HasModel(model)
}

func (s *Server) log(a *ask, o *Outcome) {
	var stated prompt
	if a.route != nil {
		stated = a.route.prompt
	}
	var revision uint64
	if t := s.scheduler.Table(); t != nil {
		revision = t.Revision
	}
	s.opt.log.LogAttrs(context.Background(), slog.LevelInfo, "request_end",
		slog.String("request", a.id), slog.String("account", o.Account), slog.String("model", o.Model),
		slog.Int64("prompt", stated.tokens), slog.Int64("output", stated.output), slog.Uint64("table", revision),
		slog.Int("status", o.Status), slog.String("code", o.Code), slog.String("verdict", o.Verdict),
		slog.Int64("tokens", o.Tokens), slog.Int("attempts", o.Attempts),
		slog.Int64("waited_ms", o.Waited.Milliseconds()), slog.Int64("total_ms", o.Total.Milliseconds()))
}

// schedule tries the request until it ends, by the rules of verdicts.
func (s *Server) schedule(ctx context.Context, a *ask, r *http.Request, out *answer, o *Outcome) *verdict.Error {
	ctx, cancel := s.clock().WithDeadline(ctx, a.deadline)
	defer cancel()
	if a.key == "" {
		return s.tryAll(ctx, a, r, out, o)
	}
	claim := Claim{Account: a.account.Name, Request: a.id, Key: a.key, FirstUsed: a.keyTime}
	if err := s.scheduler.Claim(ctx, claim); err != nil {
		return acquireFailed(ctx, err)
	}
	err := s.tryAll(ctx, a, r, out, o)
	if err != nil && err.Verdict == verdict.NotRun {
		s.scheduler.Unclaim(claim)
	}
	return err
}

// tryAll attempts the request until it ends.
func (s *Server) tryAll(ctx context.Context, a *ask, r *http.Request, out *answer, o *Outcome) *verdict.Error {
	doubt := false
	for {
		result, err := s.attempt(ctx, a, r, out, o)
		if err == nil {
			return nil
		}
		doubt = doubt || result.Sent && err.Verdict != verdict.NotRun
		if !s.again(ctx, a, result, err) {
			return inDoubt(err, doubt)
		}
	}
}

// inDoubt keeps an earlier attempt's doubt: a request that may have run once
// cannot end as not run.
func inDoubt(err *verdict.Error, doubt bool) *verdict.Error {
	if !doubt || err.Verdict != verdict.NotRun {
		return err
	}
	e := *err
	e.Verdict = verdict.MayHaveRun
	return &e
}

// again reports whether the request is tried once more.
func (s *Server) again(ctx context.Context, a *ask, result backend.Result, err *verdict.Error) bool {
	if ctx.Err() != nil || err.Phase == verdict.PhaseAdmit || err.Code == "" {
		return false
	}
	if a.route != nil {
		return s.againRouted(a, result, err)
	}
	if result.Began || !verdict.MayRetry(err.Verdict, !a.once) || !retryable(err.Code) {
		return false
	}
	return s.scheduler.SpendRetry(a.request())
}

// retryable lists the causes that another attempt may mend.
func retryable(code string) bool {
	return slices.Contains([]string{"lease-expired", "backend-unreachable", "backend-broke", "backend-refused", "answer-cut"}, code)
}

// request is what the scheduler needs to know.
func (a *ask) request() Request {
	req := Request{
		ID: a.id, Account: a.account.Name, Model: a.model, Priority: a.priority, Deadline: a.deadline, Digest: a.digest,
	}
	if a.route != nil {
		a.route.describe(&req)
		return req
	}
	req.Prefix = prefixOf(a.body)
	return req
}

func (s *Server) call(a *ask, r *http.Request, g Grant) backend.Call {
	if a.route != nil {
		return s.routedCall(a, r, g)
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	return backend.Call{
		Address: g.Address, Method: r.Method, Path: a.path, Header: header, Body: a.body,
		RequestID: a.id, Priority: max(a.priority, a.account.Priority), NotRepeatable: a.once, MayStream: a.events,
		MayStart: g.MayStart, Served: g.Served,
	}
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, func(a *ask) *verdict.Error {
		a.events = true
		body, err := s.readBody(w, r)
		if err != nil {
			return err
		}
		a.body = body
		a.model, err = modelOf(body)
		return err
	})
}

// service passes a request on to a plain service, any method and body.
// Methods that may change something are not repeated unless marked so.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, func(a *ask) *verdict.Error {
		a.model = r.PathValue("service")
		a.path = servicePath(r)
		if r.Header.Get(HeaderNotRepeatable) == "" {
			a.once = r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions
		}
		body, err := s.readBody(w, r)
		a.body = body
		return err
	})
}

func servicePath(r *http.Request) string {
	u := *r.URL
	u.Path = "/" + r.PathValue("rest")
	u.RawPath = ""
	return u.RequestURI()
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuseUnrouted(w, r, errNotFound)
}

func (s *Server) notReady(w http.ResponseWriter, r *http.Request) {
	s.refuseUnrouted(w, r, errNotReady.WithRetryAfter(retryAfter))
}

// refuseUnrouted answers a request that no route or interface takes.
func (s *Server) refuseUnrouted(w http.ResponseWriter, r *http.Request, err *verdict.Error) {
	a := &ask{id: r.Header.Get(s.opt.dialect.RequestID), arrived: s.clock().Now()}
	if a.id == "" {
		a.id = s.requestID()
	}
	s.answerTo(w, a).fail(err)
	s.log(a, &Outcome{Status: err.Status, Code: err.Code, Verdict: err.Verdict.String()})
}
