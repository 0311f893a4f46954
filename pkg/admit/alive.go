package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// interval is the half-open time interval [from, to). It is empty unless to is after from.
type interval struct{ from, to time.Duration }

func (x interval) contains(at time.Duration) bool { return x.from <= at && at < x.to }

// aliveMargin is cut off both ends of the interval between a request and its response: the
// connection may have been opened after the slot was granted, and the response may have been
// sent before a crash.
const aliveMargin = 500 * time.Millisecond

// pauseThreshold is the gap between two steps that counts as a pause of the process. Steps are
// due at least every 50 ms.
const pauseThreshold = 300 * time.Millisecond

// detectPause records a pause that ends now.
func (c *Core) detectPause(now time.Duration) {
	if c.startedAt > 0 && now-c.now >= pauseThreshold {
		c.pause = interval{from: c.now, to: now}
	}
}

// confirmAlive records that a backend server responded to a request sent at the given time, so
// that its incarnation did not crash in between. If a backend server may restart under the same
// name before the directory shows it, a response says nothing about the time before the request
// was sent.
func (c *Core) confirmAlive(s *server, sent time.Duration) {
	s.answeredAt = c.now
	c.confirmCompletions(s, sent)
	if c.opt.uniqueIncarnations && s.StartTime == 0 {
		s.alive = interval{to: max(s.alive.to, sent)}
		c.suspects.MarkAlive(suspect.Server(s.key), s.alive.from, s.alive.to)
	}
	alive := interval{from: sent + aliveMargin, to: c.now - aliveMargin - lagFactor*c.lag}
	if sent < c.pause.to {
		// The response may have arrived at any time during a pause of this process.
		alive.to = min(alive.to, c.pause.from)
	}
	if alive.to <= alive.from {
		return
	}
	if alive.from <= s.alive.to && s.alive.from <= alive.to {
		alive = interval{from: min(alive.from, s.alive.from), to: max(alive.to, s.alive.to)}
	}
	s.alive = alive
	c.suspects.MarkAlive(suspect.Server(s.key), alive.from, alive.to)
}
