package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// replyTimeout bounds the wait for an owner's reply. It allows for two round trips between
	// regions that are 8 ms apart.
	replyTimeout = 40 * time.Millisecond
	// lagFactor is how often the router's own lag is added to timeouts: once for
	// the reply, and once for a change of the lag before it is measured again.
	lagFactor = 2
	// grantValidFor is the longest pause of the process after which a granted slot may still be
	// used: the owner reassigns the slots of a holder that has been silent for AttemptTTL, and
	// sooner those that the holder does not list. Messages that are processed within
	// resumeGrace after a pause may have been sent during the pause.
	grantValidFor = time.Second
	resumeGrace   = 200 * time.Millisecond
	// unresponsivePeriod is how long an owner that did not reply is not asked, unless a message
	// of it arrives.
	unresponsivePeriod = 500 * time.Millisecond
	// spillAfterFraction of its maximum wait must have passed before a request may go to a
	// backend server that does not have its shared prefix.
	spillAfterFraction = 0.7
	// smallPrefixFraction is the fraction of a prompt up to which processing the shared
	// prefix again is cheap.
	smallPrefixFraction = 0.25
	// maxSlotRequests bounds the slot requests per request.
	maxSlotRequests = 4
	// extraRequestInterval is the interval at which one more owner is asked for the same request.
	extraRequestInterval = 250 * time.Millisecond
	// renewRequestAfter is the time after which a queued slot request is repeated, since the owner
	// may have lost it.
	renewRequestAfter = 5 * time.Second
	// busyPeriod is how long a backend server without a free slot is skipped if there are
	// others.
	busyPeriod = 30 * time.Millisecond
	// defaultTarget is used if the request has no target.
	defaultTarget = time.Second
	// localSlotFraction is the fraction of its slots that a router uses at a backend server
	// whose owner does not reply.
	localSlotFraction = 0.75
)

// Reasons for the choice of a backend server.
const (
	reasonPreferred = "prefix"
	reasonCopy      = "copy"
	reasonSpill     = "spill"
	// reasonBalance: the preferred backend server has far more than its share of the backlog.
	reasonBalance = "balance"
	// reasonLarge: a large prompt is processed there first.
	reasonLarge    = "large"
	reasonLessBusy = "less-busy"
	// reasonRepeat: the request may have run, and is expected late at the preferred backend server.
	reasonRepeat = "repeat"
	// reasonOwnerTimeout: the owner did not reply in time, and the holder admitted the request
	// on its own estimate.
	reasonOwnerTimeout = "owner-timeout"
)

// advanceWaiting advances every waiting request.
func (c *Core) advanceWaiting() {
	for _, r := range slices.Clone(c.waiting) {
		if r.server == nil {
			c.advance(r)
		}
	}
}

// advance refuses a request that has waited too long, and otherwise asks for a slot if one more
// slot request is due.
func (c *Core) advance(r *request) {
	if err := c.refusal(r); err != nil {
		c.refuse(r, err)
		return
	}
	if c.expireSlotRequests(r) {
		return
	}
	if c.isPlainRequest(r) {
		c.advancePlain(r)
		return
	}
	if c.weighted != nil {
		c.renewSlotRequests(r)
	} else {
		c.renewDenied(r)
	}
	if r.awaitsReply() || c.waitsForTrial(r) || !c.mayRequestSlot(r) || !c.withinLimits(r) {
		return
	}
	if r.isQueued() && !c.maySpill(r) || len(r.slotRequests) >= c.slotRequestLimit(r) {
		return
	}
	if s, reason := c.nextServer(r); s != nil {
		c.requestSlot(r, s, reason)
	}
}

// slotRequestLimit returns the maximum number of slot requests of a request. If accounts are
// scheduled by weight it grows with the waiting time, so that no backend server stays idle.
func (c *Core) slotRequestLimit(r *request) int {
	if c.weighted == nil {
		return c.unweightedLimit(r)
	}
	if len(r.slotRequests) == 0 {
		return 1
	}
	return min(maxSlotRequests, 1+int((c.now-r.slotRequests[0].sentAt)/extraRequestInterval))
}

// renewSlotRequests drops slot requests that are no longer valid, so that others can be made,
// and repeats those that have been queued for long.
func (c *Core) renewSlotRequests(r *request) {
	r.slotRequests = slices.DeleteFunc(r.slotRequests, func(a *slotRequest) bool {
		switch a.state {
		case slotDenied:
			return c.now >= a.server.busyUntil
		case slotUnanswered:
			return !c.isUnresponsive(a.owner)
		default:
			return a.owner != a.server.owner
		}
	})
	for _, a := range r.slotRequests {
		if a.state == slotQueued && c.now-a.sentAt >= renewRequestAfter {
			a.sentAt = c.now
			c.sendSlotRequest(r, a)
		}
	}
}

// awaitsReply reports whether any slot request has had no reply yet.
func (r *request) awaitsReply() bool {
	return slices.ContainsFunc(r.slotRequests, func(a *slotRequest) bool { return a.state == slotRequested })
}

func (r *request) isQueued() bool {
	return slices.ContainsFunc(r.slotRequests, func(a *slotRequest) bool { return a.state == slotQueued })
}

// expireSlotRequests handles owners that did not reply in time. It reports whether the request was
// admitted without a grant.
func (c *Core) expireSlotRequests(r *request) bool {
	for _, a := range r.slotRequests {
		// Replies could not be processed during a pause of this process.
		if a.state != slotRequested || c.now-max(a.sentAt, c.pause.to) < replyTimeout+lagFactor*c.lag {
			continue
		}
		a.state = slotUnanswered
		c.unresponsiveSince[a.owner] = c.now
		if c.admitLocally(r, a) {
			return true
		}
	}
	return false
}

func (c *Core) isUnresponsive(owner string) bool {
	at, ok := c.unresponsiveSince[owner]
	return ok && c.now-at < unresponsivePeriod
}

// admitLocally starts a request without a grant, on this router's own estimate of the load at
// the backend server.
func (c *Core) admitLocally(r *request, a *slotRequest) bool {
	s := a.server
	if c.weighted != nil || c.waitsForTrial(r) || !c.accepts(s) || !c.mayProcess(s, r.candidates()) || s.isWarming(c.now) || float64(s.running(c.now)) >= localSlotFraction*float64(s.Slots) {
		return false
	}
	if c.service(r.Service).engine && s.ownPrefill() > 0 {
		return false
	}
	r.prefill = max(1, r.Prompt-r.Shared)
	// Without a copy the engine would process the shared prefix again.
	from := ""
	if r.Prefix != 0 && !c.knownPrefix(r, s) {
		from, r.readsPrefix = a.source.address(), true
		c.chargeCopy(r, a.source)
		if !a.sourceKnown {
			r.prefill = max(1, r.Prompt)
		}
	}
	c.startRequest(r, s, Start{CopyPrefixFrom: from, Reason: reasonOwnerTimeout, Running: s.running(c.now)})
	c.notifyOwner(r, &wire.RequestUpdate{Kind: wire.RequestStarted, PrefillTokens: r.prefill})
	return true
}

// requestSlot requests a slot from the owner of a backend server.
func (c *Core) requestSlot(r *request, s *server, reason string) {
	source := c.copySource(r, s)
	a := &slotRequest{
		server: s, owner: s.owner, sentAt: c.now, reason: reason, isolation: c.isolation(r),
		source: source, sourceKnown: source != nil && c.knownPrefix(r, source),
	}
	r.slotRequests = append(r.slotRequests, a)
	if c.isUnresponsive(s.owner) {
		a.state = slotUnanswered
		c.admitLocally(r, a)
		return
	}
	c.sendSlotRequest(r, a)
}

// sendSlotRequest sends a slot request.
func (c *Core) sendSlotRequest(r *request, a *slotRequest) {
	s, reason := a.server, a.reason
	target := r.Target
	if target == 0 {
		target = defaultTarget
	}
	if c.weighted != nil {
		target -= time.Duration(r.Priority) * priorityStep
	}
	wait := r.Deadline - c.now
	if r.MaxWait > 0 && !r.MayHaveRun {
		wait = min(wait, r.arrivedAt+r.MaxWait-c.now)
	}
	if c.isPlainRequest(r) || c.service(r.Service).engine && (r.Key != 0 || r.Output != 0) {
		c.send(s.owner, &wire.SlotContext{
			ID: r.ID, Server: s.key, Key: r.Key, OutputTokens: r.Output,
			DeadlineMillis: (r.Deadline - c.now).Milliseconds(), ElapsedMillis: (c.now - r.arrivedAt).Milliseconds(),
		})
	}
	c.send(s.owner, &wire.SlotRequest{
		ID: r.ID, Server: s.key, Account: r.account, AccountRank: r.AccountRank, Rank: r.Rank,
		Prefix: r.Prefix, PromptTokens: r.Prompt, SharedTokens: r.Shared,
		TargetMillis: (r.arrivedAt + target - c.now).Milliseconds(), WaitMillis: wait.Milliseconds(), Spill: c.isSpill(r, reason),
		MayHaveRun: r.MayHaveRun || r.Continues, CopyPrefix: a.sourceKnown, Exclusive: a.isolation == exclusive,
	})
}

// handleSlotReply processes an owner's reply to a slot request.
func (c *Core) handleSlotReply(from string, reply *wire.SlotReply) {
	if s, ok := c.servers[reply.Server]; ok {
		s.reported, s.reportedAt = occupancy{running: reply.Running, prefill: reply.PrefillTokens}, c.now
		c.recordUse(s, reply.Running)
		if reply.State != wire.SlotGranted {
			s.busyUntil = c.now + busyPeriod
		}
	}
	r, ok := c.requests[reply.ID]
	a := r.slotRequestAt(reply.Server)
	if !ok || r.server != nil || a == nil {
		if reply.State == wire.SlotGranted && (r == nil || r.server == nil || r.server.key != reply.Server) {
			c.send(from, &wire.RequestUpdate{ID: reply.ID, Server: reply.Server, Kind: wire.RequestEnded, Result: uint8(Unknown)})
		}
		return
	}
	c.observeReply(a, reply)
	switch {
	case reply.State == wire.SlotGranted && c.grantExpired(r, a):
		c.send(from, &wire.RequestUpdate{ID: reply.ID, Server: reply.Server, Kind: wire.RequestEnded, Result: uint8(Unknown)})
		a.state = slotDenied
		c.advance(r)
	case reply.State == wire.SlotGranted:
		c.startGranted(r, a, reply)
	case reply.State == wire.SlotQueued:
		a.state = slotQueued
		c.advance(r)
	case reply.State == wire.SlotDenied:
		a.state = slotDenied
		c.advance(r)
	}
}

// grantExpired reports whether a granted slot must not be used: since the slot request was
// sent, the backend server may have stopped taking requests, the table may have restricted the
// request to other regions, the server may run another software, the account may have reached its limits, the request may need stricter isolation, be blocked for crashes or have passed its deadline, or the owner may
// have reassigned the slot.
func (c *Core) grantExpired(r *request, a *slotRequest) bool {
	return !c.accepts(a.server) || !c.mayProcess(a.server, r.candidates()) || !c.withinLimits(r) || c.isolation(r) > a.isolation || c.crashRefusal(r) != nil || c.waitsForTrial(r) || c.now >= r.Deadline || c.mayBeReassigned(a)
}

// mayBeReassigned reports whether the reply may have arrived during a pause of this process so
// long that the owner has reassigned the slot.
func (c *Core) mayBeReassigned(a *slotRequest) bool {
	long := c.pause.to-c.pause.from >= grantValidFor
	return long && a.sentAt <= c.pause.from && c.now-c.pause.to < resumeGrace
}

func (r *request) slotRequestAt(server wire.NameHash) *slotRequest {
	if r == nil {
		return nil
	}
	for _, a := range r.slotRequests {
		if a.server.key == server {
			return a
		}
	}
	return nil
}

// startGranted starts a request for which a slot was granted.
func (c *Core) startGranted(r *request, a *slotRequest, reply *wire.SlotReply) {
	r.prefill = reply.OwnPrefillTokens
	readsWhole := reply.OwnPrefillTokens > r.Prompt-r.Shared
	r.readsPrefix = reply.CopyPrefix || readsWhole
	from := ""
	if r.readsPrefix {
		from = a.source.address()
		c.chargeCopy(r, a.source)
	}
	c.startRequest(r, a.server, Start{
		CopyPrefixFrom: from, Reason: a.reason, TokensAhead: reply.TokensAhead, ExpectedFirstEvent: time.Duration(reply.ExpectedMillis) * time.Millisecond, FirstEventMargin: a.margin, Running: reply.Running,
	})
}
