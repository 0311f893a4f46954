package admit

import (
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

// newReceivedRequest returns the slot request of a holder, whose times are counted from now.
func (c *Core) newReceivedRequest(from string, m *wire.SlotRequest) *receivedRequest {
	context := c.takeSlotContext(from, m)
	return &receivedRequest{
		SlotRequest: m, from: from, context: context,
		expiresAt:  c.now + time.Duration(m.WaitMillis)*time.Millisecond,
		due:        c.now + time.Duration(m.TargetMillis)*time.Millisecond,
		deadlineAt: c.now + promiseTime(context.DeadlineMillis),
	}
}

// key returns the key of the entry that a grant creates.
func (a *receivedRequest) key() entryKey { return entryKey{a.from, a.ID} }

// isFirst reports whether this is the first slot request for a request that has not run anywhere.
func (a *receivedRequest) isFirst() bool { return !a.Spill && !a.MayHaveRun }

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
	a := c.newReceivedRequest(from, m)
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
	if a.isFirst() {
		c.serviceOf(s).shortestTarget.observe(c.now, time.Duration(m.TargetMillis)*time.Millisecond)
	}
	switch {
	case c.managesPlain(s, a):
		c.handlePlainRequest(s, a)
	case c.isEjected(s):
		c.handleAtEjected(s, a)
	default:
		c.grantOrQueue(s, a)
	}
}

// grantOrQueue grants a slot to a request that may go before those in the queue, and queues or denies
// others.
func (c *Core) grantOrQueue(s *server, a *receivedRequest) {
	o := c.ownerStateOf(s)
	c.recognizeReturn(s, a)
	goesFirst := len(o.queue) == 0 || !a.Spill && !a.early && !a.late
	granted := goesFirst && c.tryGrant(s, a)
	if a.isFirst() {
		c.recordAdmission(a.Account, granted)
	}
	switch {
	case granted:
	case a.Spill && !c.accounts.isUnderserved(a.Account, c.now) || c.now >= a.expiresAt || c.weighted != nil && s.owner != c.opt.self.Address:
		c.reply(s, a, wire.SlotDenied)
	default:
		o.dequeue(a.key())
		o.queue = append(o.queue, a)
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
	prefill := s.prefillOf(a.SlotRequest, c.now)
	if !c.canAdmit(c.serviceOf(s), s, a, prefill) {
		return false
	}
	hasPrefix := s.hasPrefix(a.SlotRequest, c.now)
	e := c.newGrantedEntry(s, a, prefill, hasPrefix)
	c.recordGrant(s, a, e)
	c.predict(s, a, e)
	c.send(a.from, &wire.SlotReply{
		ID: a.ID, Server: s.key, State: wire.SlotGranted, Running: o.running, PrefillTokens: o.prefill,
		CopyPrefix: a.CopyPrefix && !hasPrefix, OwnPrefillTokens: prefill, TokensAhead: e.ahead,
		ExpectedMillis: c.expectedFirst(s, e).Milliseconds(),
	})
	return true
}

// newGrantedEntry returns the entry of a request that is granted a slot. hasPrefix says that the backend
// server has its shared prefix, or will have processed it before.
func (c *Core) newGrantedEntry(s *server, a *receivedRequest, prefill int64, hasPrefix bool) *entry {
	e := &entry{
		prefill: prefill, ahead: c.unread(s) + prefill, others: s.owned.running, startedAt: c.now, confirmedAt: c.now,
		sharedPrefix: a.Prefix, shared: a.SharedTokens, own: ownTokens(a.PromptTokens, a.SharedTokens, a.context.OutputTokens),
	}
	if hasPrefix {
		e.waitsFor = a.Prefix
		return e
	}
	e.prefix = a.Prefix
	if a.CopyPrefix {
		e.copied = a.SharedTokens
	}
	return e
}

// recordGrant adds the entry of a request that is granted a slot, and records what follows from it for
// later ones.
func (c *Core) recordGrant(s *server, a *receivedRequest, e *entry) {
	o, svc := s.owned, c.serviceOf(s)
	o.add(a.key(), e)
	c.recordEngineGrant(svc, s, a)
	if a.Exclusive {
		o.setExclusive(a.key(), c.now)
	}
	c.recordStart(s)
	if c.weighted != nil && a.from != c.opt.self.Address {
		c.weighted.recordGrant(usageKey{wire.HashName(svc.name), a.Account}, c.now)
	}
	if a.Prefix != 0 {
		svc.sizes.learn(a.Prefix, a.SharedTokens)
		o.prefixes.add(svc.cacheTokens, a.Prefix, a.SharedTokens, c.now)
	}
}
