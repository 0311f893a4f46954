package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// An engine may respond to prompts in time and then generate too slowly, because it is slow or because it
// processes prompts without interruption. First events don't show it. The holders measure the pauses
// between the events of their streams, and the owner limits the running requests of an engine whose
// streams exceed the pauses of their routes.

const (
	// minPauseLimit streams at a time still show whether an engine has recovered.
	minPauseLimit = 2
	// pauseLimitDecrease of the limit is kept at each decrease.
	pauseLimitDecrease = 0.8
	// pauseDecreaseInterval is the least interval between two decreases: a decrease shows only in pauses
	// that begin after it.
	pauseDecreaseInterval = 300 * time.Millisecond
	// keptPauseFraction of its target is the longest pause of a stream that raises the limit.
	keptPauseFraction = 0.5
	// pauseConfirmPeriod is how long a long pause of one stream confirms that of another. It is twice the
	// interval at which a stream repeats its report.
	pauseConfirmPeriod = time.Second
	// pauseDenyPeriod is how long a stream without a long pause contradicts the long pauses of another
	// holder. Streams report it only at their ends, so that it is several times their usual length.
	pauseDenyPeriod = 5 * time.Second
	// pauseLimitTTL is how long a limit is kept without reports, as when only routes without a pause are
	// left, or holders of an older version.
	pauseLimitTTL = 10 * time.Second
)

// pauseLimit limits the running requests of an engine by the pauses of its streams. Its zero value does
// not limit them.
type pauseLimit struct {
	// limit is 0 while the slots are the limit.
	limit int
	// decreasedAt is when the limit last decreased, reportedAt when the last report arrived.
	decreasedAt, reportedAt time.Duration
	// exceeded and kept are the last streams that exceeded their pauses, and that kept them.
	exceeded, kept pauseEvidence
	// pause is the last reported pause that exceeded its target, target that target.
	pause, target time.Duration
}

// pauseEvidence is a report on the pauses of a stream.
type pauseEvidence struct {
	key entryKey
	at  time.Duration
	// isKnown is false for the zero value.
	isKnown bool
}

// isWithin reports whether the report arrived within a period.
func (e pauseEvidence) isWithin(period, now time.Duration) bool {
	return e.isKnown && now-e.at < period
}

// value returns the limit of an engine.
func (l *pauseLimit) value(slots int, now time.Duration) int {
	if l.limit == 0 || now-l.reportedAt >= pauseLimitTTL {
		return slots
	}
	return min(l.limit, slots)
}

// observeExceeded records that a stream exceeded its pause while some requests ran, and reports whether
// the limit decreased. soleHolder says that all of them are of that stream's holder.
func (l *pauseLimit) observeExceeded(key entryKey, running, slots int, soleHolder bool, now time.Duration) bool {
	before := l.exceeded
	limit := l.value(slots, now)
	l.exceeded, l.reportedAt = pauseEvidence{key, now, true}, now
	isSecondStream := before.isWithin(pauseConfirmPeriod, now) && before.key != key
	isSecondHolder := isSecondStream && before.key.holder != key.holder
	if !isSecondHolder && l.kept.isWithin(pauseDenyPeriod, now) && l.kept.key.holder != key.holder {
		// Only this holder sees long pauses: its link or the router itself is slow.
		return false
	}
	if l.decreasedAt != 0 && now-l.decreasedAt < pauseDecreaseInterval {
		return false
	}
	from := limit
	if isSecondHolder || isSecondStream && soleHolder {
		// The engine is too slow for the requests that it has, which may be far fewer than its limit.
		from = min(limit, running)
	}
	l.limit = min(limit, max(minPauseLimit, int(pauseLimitDecrease*float64(from))))
	l.decreasedAt = now
	return l.limit < limit
}

// observeKept records that a stream ended without a pause of more than keptPauseFraction of its target,
// and reports whether the limit increased.
func (l *pauseLimit) observeKept(key entryKey, slots int, now time.Duration) bool {
	limit := l.value(slots, now)
	l.kept, l.reportedAt = pauseEvidence{key, now, true}, now
	if limit >= slots {
		l.limit = 0
		return false
	}
	l.limit = limit + 1
	return true
}

// slotLimit returns the number of requests that may run at an engine owned here.
func (c *Core) slotLimit(s *server) int {
	return c.ownerStateOf(s).pauses.value(s.Slots, c.now)
}

// atPauseLimit reports whether an engine has a free slot that its pauses forbid to use.
func (c *Core) atPauseLimit(s *server) bool {
	running := c.ownerStateOf(s).running
	return running < s.Slots && running >= c.slotLimit(s)
}

// handleStreamPauses updates the limits of the engines owned here.
func (c *Core) handleStreamPauses(from string, m *wire.StreamPauses) {
	for _, p := range m.Pauses {
		if s, ok := c.servers[p.Server]; ok && s.owned != nil && p.TargetMillis > 0 {
			c.observePause(s, entryKey{from, p.ID}, p)
		}
	}
}

// observePause applies a report on a request in flight. Reports on others are late: the engine may have
// changed since, and a new owner that does not know the request yet gets the next report.
func (c *Core) observePause(s *server, key entryKey, p wire.StreamPause) {
	o := s.owned
	if _, ok := o.entries[key]; !ok || !c.serviceOf(s).engine {
		return
	}
	switch {
	case p.PauseMillis > p.TargetMillis:
		c.pauseCounts.Exceeded++
		o.pauses.pause, o.pauses.target = time.Duration(p.PauseMillis)*time.Millisecond, time.Duration(p.TargetMillis)*time.Millisecond
		o.pauses.observeExceeded(key, o.running, s.Slots, o.hasSoleHolder(key.holder), c.now)
	case p.Ended:
		c.pauseCounts.Kept++
		if float64(p.PauseMillis) > keptPauseFraction*float64(p.TargetMillis) {
			return
		}
		if o.pauses.observeKept(key, s.Slots, c.now) {
			c.serveQueue(s)
		}
	}
}

// hasSoleHolder reports whether all requests in flight are of one holder.
func (o *ownerState) hasSoleHolder(holder string) bool {
	for key := range o.entries {
		if key.holder != holder {
			return false
		}
	}
	return true
}

// StreamPause reports a pause between two events of a response that exceeds the target of its route.
type StreamPause struct {
	ID            uint64
	Pause, Target time.Duration
}

func (e StreamPause) apply(c *Core) {
	if c.now-e.Pause < c.pause.to {
		// The events may have arrived while this process did not run.
		return
	}
	if r, ok := c.requests[e.ID]; ok && r.server != nil {
		c.sendPause(r, e.Pause, e.Target, false)
	}
}

// reportKeptPauses reports a complete response without too long a pause.
func (c *Core) reportKeptPauses(r *request, e AttemptEnd) {
	if e.Completed && e.PauseTarget > 0 && e.LongestPause <= e.PauseTarget {
		c.sendPause(r, e.LongestPause, e.PauseTarget, true)
	}
}

// sendPause reports to the owner. Scheduling by weight does not use the reports.
func (c *Core) sendPause(r *request, pause, target time.Duration, ended bool) {
	if c.weighted != nil || !c.service(r.Service).engine {
		return
	}
	c.send(r.server.owner, &wire.StreamPauses{Pauses: []wire.StreamPause{{
		ID: r.ID, Server: r.server.key, PauseMillis: pause.Milliseconds(), TargetMillis: target.Milliseconds(), Ended: ended,
	}}})
}
