package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// receivedRequest is a slot request as received by the owner.
type receivedRequest struct {
	*wire.SlotRequest
	from string
	// context is zero if the holder did not send it.
	context wire.SlotContext
	// expiresAt is when the holder stops waiting, due when the first event is due, deadlineAt the
	// deadline of the request, the time of its arrival if there is no context.
	expiresAt, due, deadlineAt time.Duration
	// early and late are set for the queue of an engine: early says that the caller returned before
	// it was told to, late that the request can no longer meet its target.
	early, late bool
}

// takeSlotContext returns the context that precedes a slot request on the same connection, zero if
// there is none.
func (c *Core) takeSlotContext(from string, m *wire.SlotRequest) wire.SlotContext {
	x, ok := c.slotContexts[from]
	delete(c.slotContexts, from)
	if !ok || x.ID != m.ID || x.Server != m.Server {
		return wire.SlotContext{}
	}
	return *x
}

// handleSlotRequest replies to a slot request.
func (c *Core) handleSlotRequest(from string, m *wire.SlotRequest) {
	context := c.takeSlotContext(from, m)
	s, ok := c.servers[m.Server]
	if !ok || !s.isOpen() {
		if ok {
			c.notifyLeaving(s, from)
		}
		c.send(from, &wire.SlotReply{ID: m.ID, Server: m.Server, State: wire.SlotDenied})
		return
	}
	if c.weighted != nil && from != c.opt.self.Address {
		c.weighted.recordPeerWaiting(usageKey{wire.HashName(c.serviceOf(s).name), m.Account}, c.now)
	}
	o := c.ownerStateOf(s)
	isFirstRequest := !m.Spill && !m.MayHaveRun
	if isFirstRequest {
		c.serviceOf(s).shortestTarget.observe(c.now, time.Duration(m.TargetMillis)*time.Millisecond)
	}
	a := &receivedRequest{
		SlotRequest: m, from: from, context: context,
		expiresAt:  c.now + time.Duration(m.WaitMillis)*time.Millisecond,
		due:        c.now + time.Duration(m.TargetMillis)*time.Millisecond,
		deadlineAt: c.now + promiseTime(context.DeadlineMillis),
	}
	if c.managesPlain(s, a) {
		c.handlePlainRequest(s, a)
		return
	}
	if c.handleAtEjected(s, a) {
		return
	}
	c.recognizeReturn(s, a)
	granted := (len(o.queue) == 0 || !m.Spill && !a.early && !a.late) && c.tryGrant(s, a)
	if isFirstRequest {
		c.recordAdmission(m.Account, granted)
	}
	switch {
	case granted:
	case m.Spill || c.now >= a.expiresAt || c.weighted != nil && s.owner != c.opt.self.Address:
		c.reply(s, a, wire.SlotDenied)
	default:
		o.queue = append(slices.DeleteFunc(o.queue, func(x *receivedRequest) bool { return x.from == from && x.ID == m.ID }), a)
		c.reply(s, a, wire.SlotQueued)
	}
}

func (c *Core) reply(s *server, a *receivedRequest, state wire.SlotState) {
	o := c.ownerStateOf(s)
	c.sendReturnOffer(s, a)
	c.send(a.from, &wire.SlotReply{ID: a.ID, Server: s.key, State: state, Running: o.running, PrefillTokens: o.prefill})
}

// tryGrant grants a slot if the backend server can take the request now.
func (c *Core) tryGrant(s *server, a *receivedRequest) bool {
	o := c.ownerStateOf(s)
	svc := c.serviceOf(s)
	prefill := s.prefillOf(a.SlotRequest, c.now)
	if !c.canAdmit(svc, s, a, prefill) {
		return false
	}
	hasPrefix := s.hasPrefix(a.SlotRequest, c.now)
	copyPrefix := a.CopyPrefix && !hasPrefix
	e := &entry{
		prefill: prefill, ahead: c.unread(s) + prefill, others: o.running, startedAt: c.now, confirmedAt: c.now,
		sharedPrefix: a.Prefix, shared: a.SharedTokens, own: ownTokens(a.PromptTokens, a.SharedTokens, a.context.OutputTokens),
	}
	if copyPrefix {
		e.copied = a.SharedTokens
	}
	if hasPrefix {
		e.waitsFor = a.Prefix
	} else {
		e.prefix = a.Prefix
	}
	key := entryKey{a.from, a.ID}
	o.add(key, e)
	c.recordEngineGrant(svc, s, a)
	if a.Exclusive {
		o.setExclusive(key, c.now)
	}
	c.recordStart(s)
	if c.weighted != nil && a.from != c.opt.self.Address {
		c.weighted.recordGrant(usageKey{wire.HashName(svc.name), a.Account}, c.now)
	}
	if a.Prefix != 0 {
		svc.sizes.learn(a.Prefix, a.SharedTokens)
		o.prefixes.add(svc.cacheTokens, a.Prefix, a.SharedTokens, c.now)
	}
	c.predict(s, a, e)
	c.send(a.from, &wire.SlotReply{
		ID: a.ID, Server: s.key, State: wire.SlotGranted, Running: o.running, PrefillTokens: o.prefill,
		CopyPrefix: copyPrefix, OwnPrefillTokens: prefill, TokensAhead: e.ahead, ExpectedMillis: c.expectedFirst(s, e).Milliseconds(),
	})
	return true
}
