package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// span is a time, from and up to two moments; it is empty if to is not after from.
type span struct{ from, to time.Duration }

func (x span) holds(at time.Duration) bool { return x.from <= at && at < x.to }

// aliveMargin is left out of the time between a request's sending and its answer, at both
// ends: a connection may have been opened some time after the request was given its place,
// and what is heard now may have been sent before the backend server ended.
const aliveMargin = 500 * time.Millisecond

// pausedFor is a gap between two steps that means that this router stood still: it is due a
// step each 50 ms at the least.
const pausedFor = 300 * time.Millisecond

// notePause notes that this router stood still until now, if it did.
func (c *Core) notePause(now time.Duration) {
	if c.started > 0 && now-c.now >= pausedFor {
		c.stood = span{from: c.now, to: now}
	}
}

// lives takes in that a backend server answers a request which it was sent at a time: the
// start that took it has not ended meanwhile. An answer to what was sent after an end says that
// it had not ended only where no other start can bear its name: servers may start again under
// their names before the directory tells.
func (c *Core) lives(s *server, sent time.Duration) {
	s.heard = c.now
	if c.opt.uniqueStarts && s.StartTime == 0 {
		s.alive = span{to: max(s.alive.to, sent)}
		c.suspects.MarkAlive(suspect.Server(s.key), s.alive.from, s.alive.to)
	}
	now := span{from: sent + aliveMargin, to: c.now - aliveMargin - waysHeard*c.late}
	if sent < c.stood.to {
		// It may have been answered at any moment while this router stood still.
		now.to = min(now.to, c.stood.from)
	}
	if now.to <= now.from {
		return
	}
	if now.from <= s.alive.to && s.alive.from <= now.to {
		now = span{from: min(now.from, s.alive.from), to: max(now.to, s.alive.to)}
	}
	s.alive = now
	c.suspects.MarkAlive(suspect.Server(s.key), now.from, now.to)
}
