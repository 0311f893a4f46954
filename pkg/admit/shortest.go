package admit

import "time"

// windowMin is the minimum of recent durations.
type windowMin struct {
	// current and previous are the minima of the current and the previous window, 0 if there is
	// none.
	current, previous time.Duration
	startedAt         time.Duration
}

// minWindow is the length of a window.
const minWindow = 2 * time.Second

// observe adds a sample.
func (s *windowMin) observe(now, d time.Duration) {
	s.rotate(now)
	if d > 0 && (s.current == 0 || d < s.current) {
		s.current = d
	}
}

// get returns the minimum of the last two windows, or defaultTarget without samples.
func (s *windowMin) get(now time.Duration) time.Duration {
	s.rotate(now)
	switch {
	case s.current == 0 && s.previous == 0:
		return defaultTarget
	case s.current == 0:
		return s.previous
	case s.previous == 0:
		return s.current
	default:
		return min(s.current, s.previous)
	}
}

func (s *windowMin) rotate(now time.Duration) {
	if now-s.startedAt < minWindow {
		return
	}
	s.previous, s.current = s.current, 0
	if now-s.startedAt >= 2*minWindow {
		s.previous = 0
	}
	s.startedAt = now
}
