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

var errDraining = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "draining",
	"this entry instance is stopping; send the request again")

var errStopping = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stopping", "this entry instance is stopping; send the request again")

// decision is the outcome of an attempt.
type decision struct {
	id        uint64
	start     admit.Start
	err       *verdict.Error
	waited    time.Duration
	decidedAt time.Duration
	// tokens counts the tokens of a started request.
	tokens *atomic.Int64
}

// attempt is a request that waits for a decision.
type attempt struct {
	request front.Request
	// digest identifies the request across attempts, 0 if unknown.
	digest    suspect.Digest
	arrivedAt time.Time
	result    chan decision
}

// Acquire implements front.Scheduler.
func (d *Dispatcher) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	a := &attempt{request: r, arrivedAt: d.opt.clock.Now(), result: make(chan decision, 1)}
	// The digest is needed even for first attempts: a backend server may crash under
	// another attempt of the same request while this one waits.
	if r.Digest != nil {
		a.digest = suspect.Digest(r.Digest())
	}
	if !d.post(arriveEvent{a}) {
		return front.Grant{}, errStopping
	}
	select {
	case dec := <-a.result:
		return d.grant(r, dec)
	case <-ctx.Done():
		d.post(cancelEvent{a})
		return front.Grant{}, ctx.Err()
	case <-d.ctx.Done():
		return front.Grant{}, errStopping
	}
}

func (d *Dispatcher) grant(r front.Request, dec decision) (front.Grant, error) {
	if dec.err != nil {
		return front.Grant{}, dec.err
	}
	start := &dec.start
	return front.Grant{
		ID:                 dec.id,
		Backend:            start.Backend.Name,
		Address:            start.Backend.Address,
		StartTime:          start.Backend.StartTime,
		Software:           start.Backend.Software(),
		Reason:             start.Reason,
		CopyPrefixFrom:     start.CopyPrefixFrom,
		MaxConnections:     d.connectionShare(r.Model),
		TokensAhead:        start.TokensAhead,
		ExpectedFirstEvent: start.ExpectedFirstEvent,
		FirstEventMargin:   start.FirstEventMargin,
		Running:            start.Running,
		Served:             dec.tokens,
		Waited:             r.Waited + dec.waited,
		OnFirstEvent:       func() { d.post(firstOutputEvent{dec.id}) },
		OnPause:            func(pause, target time.Duration) { d.reportPause(dec.id, pause, target) },
		OnNotice:           func(n backend.Notice) { d.post(noticeEvent{dec.id, n}) },
		Saturated:          d.Saturated,
		// After a longer pause the owner may have granted the slot to another request.
		MayStart: func() bool { return d.now()-dec.decidedAt < d.startTimeout() },
	}, nil
}

// startTimeout returns how long after its decision a request may still be sent.
func (d *Dispatcher) startTimeout() time.Duration {
	if d.opt.weighted {
		return admit.GrantTTL
	}
	return admit.AttemptTTL
}

// evenConnectionFraction is the fraction of a backend server's connection limit that is divided
// evenly among the routers. The rest is left for requests in flight, which may be spread
// unevenly. Without the division 62 routers kept 1.5 times as many connections as three backend servers
// took, and the rest were reset with requests on them.
const evenConnectionFraction = 0.5

// connectionShare returns this router's share of the connections to each backend server of a
// service, 0 if the table states no limit. Idle connections beyond the share are closed, since
// those of many routers would exceed the limit.
func (d *Dispatcher) connectionShare(service string) int {
	t := d.Table()
	if t == nil {
		return 0
	}
	row, ok := t.ServiceByName(service)
	if !ok || row.MaxConnections <= 0 {
		return 0
	}
	routers := max(1, d.shared.routerCount.Load())
	return max(1, int(evenConnectionFraction*float64(row.MaxConnections)/float64(routers)))
}

// Release implements front.Scheduler.
func (d *Dispatcher) Release(g front.Grant, u front.Usage) {
	e := endEvent{
		id: g.ID, tokens: u.Tokens, result: resultOf(u), request: u.Request,
		disconnected: wasDisconnected(u), completed: isCompleted(u), unframed: u.Unframed,
		longestPause: u.LongestPause, pauseTarget: u.PauseTarget,
	}
	if u.Digest != nil {
		e.digest = suspect.Digest(u.Digest())
	}
	d.post(e)
}

// wasDisconnected reports whether the backend server closed the connection while the request
// was in flight. A stalled server does not count: it may only be slow.
func wasDisconnected(u front.Usage) bool {
	return u.Error != nil && u.Sent && !u.Stalled && (u.Error.Code == "answer-cut" || u.Error.Code == "backend-broke")
}

// isCompleted reports whether the request ran to its end. An error of the caller or an empty stream does not show
// that the backend server has begun to respond to the prompt.
func isCompleted(u front.Usage) bool {
	return u.Error == nil && u.Status >= http.StatusOK && u.Status < http.StatusMultipleChoices && !u.Empty
}

// resultOf classifies the outcome of an attempt with respect to the backend server.
func resultOf(u front.Usage) admit.Result {
	switch {
	case u.Error == nil && u.Status >= http.StatusInternalServerError:
		return admit.Failed
	case u.Error == nil:
		return admit.Succeeded
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
	result := make(chan bool, 1)
	if !d.post(retryEvent{r, result}) {
		return false
	}
	select {
	case ok := <-result:
		return ok
	case <-d.ctx.Done():
		return false
	}
}

type retryEvent struct {
	request front.Request
	result  chan<- bool
}

func (e retryEvent) apply(s *state) {
	r := &e.request
	if software := s.resolveSoftware(r); software != nil && !s.core.CanContinue(r.Model, r.Regions, *software, r.Leaves) {
		e.result <- false
		return
	}
	routers := s.roster.CountRecent(s.now, s.retryConfig.Window)
	e.result <- s.retryBudget.Spend(s.now, r.Model, routers)
}

type arriveEvent struct{ *attempt }

func (e arriveEvent) apply(s *state) {
	s.nextID++
	id := s.nextID
	s.waiting[id] = e.attempt
	if s.d.opt.weighted && s.d.Draining() {
		s.reply(id, decision{err: s.drainingError(e.attempt)})
		return
	}
	r := &e.request
	if r.Attempt == 0 {
		s.retryBudget.CountRequest(s.now, r.Model)
	}
	s.step(admit.Arrive{Request: admit.Request{
		ID:          id,
		Service:     r.Model,
		Account:     r.Account,
		Route:       r.Route,
		Regions:     r.Regions,
		Software:    s.resolveSoftware(r),
		Continues:   r.Continues,
		AccountRank: r.AccountRank,
		Rank:        r.Rank,
		Priority:    r.Priority,
		Prefix:      r.Prefix,
		Prompt:      r.Prompt,
		Shared:      r.Shared,
		Output:      r.Output,
		Target:      r.Target,
		MaxWait:     r.MaxWait,
		Deadline:    s.now + r.Deadline.Sub(e.arrivedAt),
		Retry:       r.Attempt > 0,
		MayHaveRun:  r.MayHaveRun,
		Resuming:    r.Resuming,
		Avoid:       r.Avoid,
		Digest:      e.digest,
		Parts:       partDigests(r.Parts),
		Key:         r.Key,
	}})
}

// reply sends a decision to the waiting caller.
func (s *state) reply(id uint64, dec decision) {
	a, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	dec.id, dec.decidedAt = id, s.now
	a.result <- dec
}

// cancelEvent cancels an attempt whose caller disconnected, whether it still waits or was just
// granted a slot.
type cancelEvent struct{ *attempt }

func (e cancelEvent) apply(s *state) {
	for id, a := range s.waiting {
		if a == e.attempt {
			delete(s.waiting, id)
			s.step(admit.Cancel{ID: id})
			return
		}
	}
	select {
	case dec := <-e.result:
		delete(s.tokenCounts, dec.id)
		s.step(admit.Cancel{ID: dec.id})
	default:
	}
}

// drainEvent refuses all waiting requests, if accounts are scheduled by weight.
type drainEvent struct{}

func (drainEvent) apply(s *state) {
	if !s.d.opt.weighted {
		return
	}
	for id, a := range s.waiting {
		s.step(admit.Cancel{ID: id})
		s.reply(id, decision{err: s.drainingError(a)})
	}
}

type firstOutputEvent struct{ id uint64 }

func (e firstOutputEvent) apply(s *state) { s.step(admit.FirstEvent{ID: e.id}) }

type noticeEvent struct {
	id     uint64
	notice backend.Notice
}

func (e noticeEvent) apply(s *state) {
	s.step(admit.BackendNotice{ID: e.id, Leaving: e.notice.Leaving, Backoff: e.notice.RetryAfter})
}

type endEvent struct {
	id     uint64
	result admit.Result
	// request is the request's id, digest identifies it across attempts, 0 if unknown.
	request                 string
	digest                  suspect.Digest
	disconnected, completed bool
	// unframed says that only the end of the connection marked the end of the response.
	unframed bool
	tokens   int64
	// longestPause is the longest pause between two events, pauseTarget that which the route
	// desires, 0 if no pause was measured.
	longestPause, pauseTarget time.Duration
}

func (e endEvent) apply(s *state) {
	result := adjustResult(e.result, s.d.Saturated())
	s.endingRequest = e.request
	delete(s.tokenCounts, e.id)
	s.step(admit.AttemptEnd{ID: e.id, Tokens: e.tokens, Result: result, Digest: e.digest, Disconnected: e.disconnected && result != admit.Unknown, Completed: e.completed, Unframed: e.unframed,
		LongestPause: e.longestPause, PauseTarget: e.pauseTarget})
	s.endingRequest = ""
}

// adjustResult discards stalls and connection failures while this router is saturated, since
// its own lag may have caused them.
func adjustResult(result admit.Result, saturated bool) admit.Result {
	if saturated && (result == admit.Stalled || result == admit.Unreachable) {
		return admit.Unknown
	}
	return result
}
