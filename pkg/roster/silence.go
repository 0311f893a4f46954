package roster

import "time"

// pauseGrace is the time that a router needs after a pause to read the messages that arrived
// meanwhile, with a margin: eight routers that start discover each other within 10 ms.
const pauseGrace = 150 * time.Millisecond

// pause is a time during which this process was paused.
type pause struct{ from, to time.Duration }

// RecordPause records that this process was paused. Until it has read the messages that
// arrived meanwhile, silence does not show that other routers are lost. Otherwise it would
// take itself for the only router and for the owner of every backend server.
func (r *Roster) RecordPause(from, to time.Duration) {
	r.cached = nil
	r.pause = pause{from, to}
}

// isExcused reports whether a silence may be due to the last pause: it was short when the
// pause began, and messages from the pause may still be unread.
func (r *Roster) isExcused(now, since time.Duration) bool {
	return now < r.pause.to+pauseGrace && r.pause.from-since < r.silenceTimeout()
}

// isSilent reports whether a silence exceeds the timeout and is not excused.
func (r *Roster) isSilent(now, since time.Duration) bool {
	return now-since >= r.silenceTimeout() && !r.isExcused(now, since)
}
