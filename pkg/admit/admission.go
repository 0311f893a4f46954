package admit

import "time"

const (
	// aheadFraction of the shortest target of a service bounds the prefill time queued ahead of
	// any request. A higher value leaves no slots to requests with short targets, a lower one
	// leaves engines idle.
	aheadFraction = 0.6
	// Within startupPeriod after its start an owner grants only one slot at a time at each
	// engine: routers that have not discovered each other may all act as its owner, and
	// requests of earlier processes may still run. The period ends discoveryPeriod after the
	// first other router appears: eight routers discover each other in 10 ms, and each lost packet adds
	// 100 ms.
	startupPeriod   = time.Second
	discoveryPeriod = 250 * time.Millisecond
	// longPromptFraction of its target is the longest time that a prompt may wait behind others
	// if its own prefill takes longer than that.
	longPromptFraction = 0.25
	// spillFraction of the usual limits applies to a request at a backend server that has to process its
	// shared prefix again or to copy it. This pays off only if that server is much less loaded: with the
	// full limits for copies, engines spent more time on copies than requests gained by them. It does not apply
	// to an underserved account, which would otherwise get no more than its preferred engine has room for.
	spillFraction = 0.55
	// extraSlotFraction is added to the fraction of slots that an account above its engine share
	// may use.
	extraSlotFraction = 0.25
)

// isStartingUp reports whether this router may not have discovered all others yet.
func (c *Core) isStartingUp() bool {
	if c.now-c.startedAt >= startupPeriod {
		return false
	}
	return c.firstPeerAt == 0 || c.now-c.firstPeerAt < discoveryPeriod
}

// canAdmit reports whether a request can start at a backend server now.
func (c *Core) canAdmit(svc *service, s *server, a *receivedRequest, prefill int64) bool {
	o := c.ownerStateOf(s)
	if s.isWarming(c.now) && !c.mayGrantWarming(s) {
		return false
	}
	if o.isExclusive(c.now) || !c.memoryFits(svc, o, a) {
		return false
	}
	if c.weighted != nil {
		return c.hasFreeSlot(s)
	}
	if !svc.engine {
		return c.canAdmitPlain(s)
	}
	if o.running >= c.slotLimit(s) {
		return false
	}
	if a.MayHaveRun {
		return c.admitsRepeat(svc, s, a, prefill)
	}
	if turn := c.lateTurnOf(svc, o); turn != nil && c.goesBefore(turn, a) {
		return a == turn && c.admitsLateTurn(svc, s)
	}
	return c.hasRoom(svc, s, a, prefill)
}

// hasRoom reports whether an engine has room for a request, of which it leaves some to other accounts if
// the request's account is above its share.
func (c *Core) hasRoom(svc *service, s *server, a *receivedRequest, prefill int64) bool {
	o := s.owned
	fraction := c.targetFraction(a.Account)
	readsPrefix := prefill > a.PromptTokens-a.SharedTokens
	if a.Spill && !c.accounts.isUnderserved(a.Account, c.now) {
		fraction *= spillFraction
	}
	if float64(o.running) >= float64(c.slotLimit(s))*min(1, fraction+extraSlotFraction) {
		return false
	}
	if c.isStartingUp() {
		return o.prefill == 0
	}
	if o.prefill == 0 && (!a.Spill || !readsPrefix && c.copyTime(s, a) == 0) && (fraction == 1 || o.running < s.Slots/2) {
		// Waiting does not help here, and only a new request updates the latency estimate.
		return true
	}
	return c.meetsTarget(svc, s, a, prefill, fraction) || c.admitsLongPrompt(svc, s, a, prefill, fraction)
}

// meetsTarget reports whether the first event of a request is predicted, with the margin of its engine,
// within a fraction of its remaining target.
func (c *Core) meetsTarget(svc *service, s *server, a *receivedRequest, prefill int64, fraction float64) bool {
	remaining := (c.usableTarget(a) - c.transfers[a.from]).Seconds()
	ahead := c.unread(s)
	if c.exceedsShare(a.Account) {
		// Count the load that this request adds, so that other accounts find a slot at once.
		ahead += prefill
	}
	if c.readTime(s, ahead) > aheadFraction*svc.shortestTarget.get(c.now).Seconds() {
		return false
	}
	return c.expectedWithMargin(s, a, prefill) <= fraction*remaining
}

// admitsLongPrompt reports whether the prefill of a prompt takes too long to meet its target at
// any backend server, and little else is queued ahead of it at this one.
func (c *Core) admitsLongPrompt(svc *service, s *server, a *receivedRequest, prefill int64, fraction float64) bool {
	limit := longPromptFraction * (time.Duration(a.TargetMillis) * time.Millisecond).Seconds()
	behind := c.readTime(s, c.unread(s))
	return behind <= fraction*limit && float64(prefill)/c.averageReadRate(svc) > limit
}
