package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// replyWithin is how long an owner may take to reply before the holder admits
	// the request on its own estimate: longer than two ways there and back between
	// regions that are 8 ms apart.
	replyWithin = 40 * time.Millisecond
	// waysHeard is how many times this router's own lateness is added to that, and
	// to the time that a request waits for an answer: for the answer itself, and for
	// what its lateness changes until it is measured again.
	waysHeard = 2
	// placeFor is for how long a router may stand still and use a place that it was given
	// meanwhile: an owner gives away what it heard nothing of for three seconds, and sooner
	// what its holder does not list among its requests. wakeFor is for how long after that
	// what it hears may have been sent meanwhile.
	placeFor = time.Second
	wakeFor  = 200 * time.Millisecond
	// unresponsiveFor is how long such an owner is not asked, unless it is heard.
	unresponsiveFor = 500 * time.Millisecond
	// spillAfter is the part of its patience after which a request may go
	// where its shared parts must be read again.
	spillAfter = 0.7
	// smallShared is the part of a prompt up to which reading its shared
	// parts again matters little.
	smallShared = 0.25
	// mostAsks bounds how many owners are asked for one request.
	mostAsks = 4
	// busyFor is how long a backend server without a place is passed over
	// where another will do.
	busyFor = 30 * time.Millisecond
	// defaultTarget is used where none is stated.
	defaultTarget = time.Second
	// minRetryAfter is when a request that found no place may come back at the
	// earliest; up to as much again is added by chance. In that time an engine
	// reads a prompt of middle size, and the request may yet be in time.
	minRetryAfter = 60 * time.Millisecond
	// retryAfterNoServer is the same where no backend server is there at all.
	retryAfterNoServer = 250 * time.Millisecond
	// retryAfterClosed is the same where operators have closed the zones: they open
	// them again after seconds at the earliest.
	retryAfterClosed = time.Second
	// localSlots is the part of its slots that a router uses at a backend
	// server whose owner it cannot ask.
	localSlots = 0.75
)

// Why a backend server was chosen.
const (
	reasonFirst = "prefix"
	reasonCopy  = "copy"
	reasonSpill = "spill"
	reasonIdle  = "less-busy"
	// reasonOwnerTimeout: its owner did not reply in time, so that the holder
	// admitted the request on its own estimate.
	reasonOwnerTimeout = "owner-timeout"
)

// advanceWaiting goes on with every request that waits.
func (c *Core) advanceWaiting() {
	for _, r := range slices.Clone(c.waiting) {
		if r.at == nil {
			c.advance(r)
		}
	}
}

// advance asks for a place where that is due, and refuses a request that has
// waited for as long as it may.
func (c *Core) advance(r *request) {
	if err := c.refusal(r); err != nil {
		c.refuse(r, err)
		return
	}
	if c.expireAsks(r) {
		return
	}
	if c.weights != nil {
		c.askAgain(r)
	}
	if r.pending() || c.behindTwin(r) || !c.mayAsk(r) || !c.withinLimits(r) {
		return
	}
	if r.queued() && !c.maySpill(r) || len(r.asks) >= c.mostAsks(r) {
		return
	}
	if s, why := c.candidate(r); s != nil {
		c.ask(r, s, why)
	}
}

// mostAsks bounds how many owners are asked for a request. One that may wait asks more the
// longer it does: no backend server is to be idle meanwhile.
func (c *Core) mostAsks(r *request) int {
	if c.weights == nil {
		return mostAsks
	}
	if len(r.asks) == 0 {
		return 1
	}
	return min(mostAsks, 1+int((c.now-r.asks[0].at)/moreAsksEvery))
}

// askAgain asks the owners anew that have had a request in their queues for long, and drops
// the questions that nobody answers any more, so that others are asked instead.
func (c *Core) askAgain(r *request) {
	r.asks = slices.DeleteFunc(r.asks, func(a *ask) bool {
		switch a.state {
		case askDenied:
			return c.now >= a.server.busyUntil
		case askUnanswered:
			return !c.isUnresponsive(a.owner)
		default:
			return a.owner != a.server.owner
		}
	})
	for _, a := range r.asks {
		if a.state == askQueued && c.now-a.at >= askAgainAfter {
			a.at = c.now
			c.sendAsk(r, a)
		}
	}
}

func (c *Core) refusal(r *request) *verdict.Error {
	switch {
	case c.now >= r.Deadline:
		return errDeadline
	case !r.MayHaveRun && !c.anyOpen(r.Service):
		return c.noneOpen(r.Service)
	}
	if err := cmp.Or(c.endsRefusal(r), c.restRefusal(r)); err != nil {
		return err
	}
	switch {
	case !r.MayHaveRun && r.MaxWait > 0 && c.now-r.arrived >= c.patience(r):
		if c.behindTwin(r) {
			return errTwin.WithRetryAfter(twinRetryAfter + c.retryAfter())
		}
		return errBusy.WithRetryAfter(c.retryAfter())
	default:
		return nil
	}
}

// anyOpen reports whether any backend server of a service takes new requests that
// this router can be expected to reach.
func (c *Core) anyOpen(service string) bool {
	return slices.ContainsFunc(c.service(service).servers, c.reaches)
}

// reaches reports whether a backend server takes new requests and its zone is not cut
// off from here.
func (c *Core) reaches(s *server) bool { return s.open() && !c.cutOff[s.Zone] }

// findCutOff finds the zones of which routers were known and none is heard any more.
// What is sent to their backend servers is only found out to be lost when a connection
// is not answered for 300 ms, by each router for each of them: with half of the open
// engines cut off 62 of 98 requests were sent there (model, two zones of 5 routers).
func (c *Core) findCutOff() {
	c.cutOff = map[string]bool{}
	for zone, known := range c.known {
		c.cutOff[zone] = known > 0 && zone != c.opt.self.Zone
	}
	for i := range c.routers {
		delete(c.cutOff, c.routers[i].Zone)
	}
}

// noneOpen is why no backend server of a service takes new requests.
func (c *Core) noneOpen(service string) *verdict.Error {
	if slices.ContainsFunc(c.service(service).servers, func(s *server) bool { return s.closed }) {
		return errClosed.WithRetryAfter(retryAfterClosed)
	}
	return errNoServer.WithRetryAfter(retryAfterNoServer)
}

// patience returns how long a request may wait here. While an owner's answer is due
// that this router may only not have heard of yet, it waits for that: a place that
// was given would be lost with what was spent on the request.
func (c *Core) patience(r *request) time.Duration {
	if !r.pending() {
		return r.MaxWait
	}
	return r.MaxWait + waysHeard*c.late
}

// retryAfter returns when a request that was refused may find a place.
func (c *Core) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(c.rng.Int64N(int64(minRetryAfter)))
}

// pending reports whether a question waits for its first answer.
func (r *request) pending() bool {
	return slices.ContainsFunc(r.asks, func(a *ask) bool { return a.state == askSent })
}

func (r *request) queued() bool {
	return slices.ContainsFunc(r.asks, func(a *ask) bool { return a.state == askQueued })
}

// expireAsks passes over owners that did not reply in time. It reports whether the
// request was admitted without them.
func (c *Core) expireAsks(r *request) bool {
	for _, a := range r.asks {
		// While this router stood still it could hear no reply.
		if a.state != askSent || c.now-max(a.at, c.stood.to) < replyWithin+waysHeard*c.late {
			continue
		}
		a.state = askUnanswered
		c.unresponsive[a.owner] = c.now
		if c.admitLocally(r, a) {
			return true
		}
	}
	return false
}

func (c *Core) isUnresponsive(owner string) bool {
	at, ok := c.unresponsive[owner]
	return ok && c.now-at < unresponsiveFor
}

// admitLocally sends a request without an owner's word, on this router's own
// estimate of what is under way there and of what is kept there.
func (c *Core) admitLocally(r *request, a *ask) bool {
	s := a.server
	if c.weights != nil || !c.takes(s) || s.isWarming(c.now) || float64(s.running(c.now)) >= localSlots*float64(s.Slots) {
		return false
	}
	if c.service(r.Service).engine && s.ownUnread() > 0 {
		return false
	}
	r.unread = max(1, r.Prompt-r.Shared)
	// The engine would read the shared parts again: 6.0, 2.7 and 1.5 M tokens on three
	// days with floods at 61 to 85 routers, 4.4, 2.5 and 1.4 M with copies.
	from := ""
	if r.Prefix != 0 && !s.copies.has(r.Prefix, c.now) {
		from = a.source.address()
		c.noteCopy(s, r.Prefix)
	}
	c.start(r, s, Start{FetchFrom: from, Reason: reasonOwnerTimeout, Running: s.running(c.now)})
	c.note(r, &wire.RequestUpdate{Kind: wire.RequestStarted, PrefillTokens: r.unread})
	return true
}

// ask asks the owner of a backend server for a place.
func (c *Core) ask(r *request, s *server, why string) {
	a := &ask{server: s, owner: s.owner, at: c.now, why: why, source: c.sourceFor(r, s), caution: c.caution(r)}
	r.asks = append(r.asks, a)
	if c.isUnresponsive(s.owner) {
		a.state = askUnanswered
		c.admitLocally(r, a)
		return
	}
	c.sendAsk(r, a)
}

// sendAsk sends a question to the owner of a backend server.
func (c *Core) sendAsk(r *request, a *ask) {
	s, why := a.server, a.why
	target := r.Target
	if target == 0 {
		target = defaultTarget
	}
	if c.weights != nil {
		target -= time.Duration(r.Priority) * priorityLead
	}
	wait := r.Deadline - c.now
	if r.MaxWait > 0 && !r.MayHaveRun {
		wait = min(wait, r.arrived+r.MaxWait-c.now)
	}
	c.send(s.owner, &wire.SlotRequest{
		ID: r.ID, Server: s.key, Account: r.account, AccountRank: r.AccountRank, Rank: r.Rank,
		Prefix: r.Prefix, PromptTokens: r.Prompt, SharedTokens: r.Shared,
		TargetMillis: (r.arrived + target - c.now).Milliseconds(), WaitMillis: wait.Milliseconds(), Spill: why == reasonSpill,
		MayHaveRun: r.MayHaveRun, CopyPrefix: a.source != nil, Exclusive: a.caution == alone,
	})
}

// replied takes in an owner's answer.
func (c *Core) replied(from string, m *wire.SlotReply) {
	if s, ok := c.servers[m.Server]; ok {
		s.seen, s.seenAt = use{running: m.Running, unread: m.PrefillTokens}, c.now
		if m.State != wire.SlotGranted {
			s.busyUntil = c.now + busyFor
		}
	}
	r, ok := c.requests[m.ID]
	a := r.askOf(m.Server)
	if !ok || r.at != nil || a == nil {
		if m.State == wire.SlotGranted && (r == nil || r.at == nil || r.at.key != m.Server) {
			c.send(from, &wire.RequestUpdate{ID: m.ID, Server: m.Server, Kind: wire.RequestEnded, Result: uint8(Unknown)})
		}
		return
	}
	switch {
	case m.State == wire.SlotGranted && c.lapsed(r, a):
		c.send(from, &wire.RequestUpdate{ID: m.ID, Server: m.Server, Kind: wire.RequestEnded, Result: uint8(Unknown)})
		a.state = askDenied
		c.advance(r)
	case m.State == wire.SlotGranted:
		c.granted(r, a, m)
	case m.State == wire.SlotQueued:
		a.state = askQueued
		c.advance(r)
	case m.State == wire.SlotDenied:
		a.state = askDenied
		c.advance(r)
	}
}

// lapsed reports whether a place that was given is not to be used: the backend server was
// closed, marked or turned away, or the request suspected, since it was asked for, or its time
// has passed or the owner may have given the place away.
func (c *Core) lapsed(r *request, a *ask) bool {
	return !c.takes(a.server) || !c.withinLimits(r) || c.caution(r) > a.caution || c.behindTwin(r) || c.now >= r.Deadline || c.mayBeStale(a)
}

// mayBeStale reports whether the answer to a question may have lain here while this router
// stood still for so long that its owner has given the place to another.
func (c *Core) mayBeStale(a *ask) bool {
	long := c.stood.to-c.stood.from >= placeFor
	return long && a.at <= c.stood.from && c.now-c.stood.to < wakeFor
}

func (r *request) askOf(server wire.NameHash) *ask {
	if r == nil {
		return nil
	}
	for _, a := range r.asks {
		if a.server.key == server {
			return a
		}
	}
	return nil
}

// granted starts a request that was given a place.
func (c *Core) granted(r *request, a *ask, m *wire.SlotReply) {
	r.unread = m.OwnPrefillTokens
	if r.Prefix != 0 && (a.why != reasonFirst || m.CopyPrefix || m.OwnPrefillTokens > r.Prompt-r.Shared) {
		c.noteCopy(a.server, r.Prefix)
	}
	from := ""
	if m.CopyPrefix {
		from = a.source.address()
	}
	c.start(r, a.server, Start{
		FetchFrom: from, Reason: a.why, TokensAhead: m.TokensAhead, ExpectedDelay: time.Duration(m.ExpectedMillis) * time.Millisecond, Running: m.Running,
	})
}

// mostCopies bounds what is told of copies at once.
const mostCopies = 64

// noteCopy remembers where a prompt's beginning was not kept before, and has the
// others told.
func (c *Core) noteCopy(s *server, prefix uint64) {
	s.copies.note(prefix, c.now)
	if len(c.copies) < mostCopies {
		c.copies = append(c.copies, wire.PrefixCopy{Prefix: prefix, Server: s.key})
	}
}
