package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// maxPromiseTime bounds the times of a promise from another router.
const maxPromiseTime = time.Hour

// handleReturnPromise records the refusals of another router. Times in the message are relative to its
// sending; one that arrives late moves them by its delay.
func (c *Core) handleReturnPromise(m *wire.ReturnPromise) {
	for i := range m.Promises {
		p := &m.Promises[i]
		s, ok := c.servers[p.Server]
		if !ok || !c.serviceOf(s).engine {
			continue
		}
		o := c.ownerStateOf(s)
		if o.returns == nil {
			o.returns = returns.New(returns.DefaultLimit, &c.returnCounts)
		}
		o.returns.Add(c.now, returns.Promise{
			Key: p.Key, Account: uint64(p.Account), Tokens: max(0, p.Tokens),
			FirstArrival: c.now - promiseTime(p.ElapsedMillis), Due: c.now + promiseTime(p.DueMillis), Deadline: c.now + promiseTime(p.DeadlineMillis),
		})
	}
}

func promiseTime(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxPromiseTime.Milliseconds())) * time.Millisecond
}

// recognizeReturn counts the target and the deadline of a request that was refused before from the
// caller's first attempt.
func (c *Core) recognizeReturn(s *server, a *receivedRequest) {
	o := s.owned
	if !c.serviceOf(s).engine {
		return
	}
	if a.isFirst() {
		o.arriving.add(c.now, float64(s.prefillOf(a.SlotRequest, c.now)))
	}
	if o.returns != nil {
		if p, ok := o.returns.Find(c.now, a.context.Key); ok {
			arrivedAt := c.now - promiseTime(a.context.ElapsedMillis)
			a.due -= max(0, arrivedAt-p.FirstArrival)
			a.expiresAt, a.deadlineAt = min(a.expiresAt, p.Deadline), min(a.deadlineAt, p.Deadline)
			a.early = p.IsEarly(c.now)
		}
	}
	a.late = c.isLate(s, a)
}

// sendReturnOffer tells the holder of a request that is queued or denied at an engine when its caller
// should return if it is refused. The estimate does not know the rate of a warm-up, nor
// when a response ends at an engine that is limited by its pauses.
func (c *Core) sendReturnOffer(s *server, a *receivedRequest) {
	if a.context.Key == 0 || !c.serviceOf(s).engine || c.weighted != nil || s.isWarming(c.now) || c.atPauseLimit(s) {
		return
	}
	offer := &wire.ReturnOffer{ID: a.ID, Server: s.key, RetryMillis: -1}
	if after, ok := c.returnDelay(s, a); ok {
		offer.RetryMillis = after.Milliseconds()
	}
	c.send(a.from, offer)
}

// returnDelay returns when the caller of a request should return, false if the request cannot be
// served before its deadline. A caller that returned early is given the same time again.
func (c *Core) returnDelay(s *server, a *receivedRequest) (time.Duration, bool) {
	o := s.owned
	if o.returns != nil {
		if p, ok := o.returns.Find(c.now, a.context.Key); ok && p.IsEarly(c.now) {
			return p.Due - c.now, true
		}
	}
	e := c.newEstimate(s, a)
	r := returns.Refusal{
		Ready: e.inTarget(), Service: e.service,
		TargetLeft: a.due - c.now, Remaining: a.deadlineAt - c.now,
	}
	// A slot is expected to become free at the mean rate, which is not certain enough for none.
	r.Ready = max(r.Ready, min(e.untilFreeSlot(), r.Remaining-r.Service-returns.MinDelay-time.Millisecond))
	what, after := returns.Decide(r, c.rng.Float64())
	switch what {
	case returns.InTarget:
		return after, true
	case returns.None:
		return 0, false
	}
	// An account above its share may not use the whole engine, and late requests get what new ones
	// leave. They wait for longer, but may still be served.
	left := max(1.0/lateGrantInterval, 1-e.perToken*o.arriving.get(c.now))
	r.Ready = time.Duration(float64(max(e.idle(), e.untilFreeSlot())) / (left * c.targetFraction(a.Account)))
	r.Ready = max(0, min(r.Ready, r.Remaining-r.Service-returns.MinDelay-time.Millisecond))
	if what, later := returns.Decide(r, c.rng.Float64()); what != returns.None {
		after = later
	}
	return after, true
}

// ReturnCounts returns what became of the promised retries at the engines that this router owned.
func (c *Core) ReturnCounts() returns.Counts { return c.returnCounts }
