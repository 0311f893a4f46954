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
func (w *windowMin) observe(now, d time.Duration) {
	w.rotate(now)
	if d > 0 && (w.current == 0 || d < w.current) {
		w.current = d
	}
}

// known returns the minimum of the last two windows, 0 without samples.
func (w *windowMin) known(now time.Duration) time.Duration {
	w.rotate(now)
	if w.current == 0 && w.previous == 0 {
		return 0
	}
	return w.get(now)
}

// get returns the minimum of the last two windows, or defaultTarget without samples.
func (w *windowMin) get(now time.Duration) time.Duration {
	w.rotate(now)
	switch {
	case w.current == 0 && w.previous == 0:
		return defaultTarget
	case w.current == 0:
		return w.previous
	case w.previous == 0:
		return w.current
	default:
		return min(w.current, w.previous)
	}
}

func (w *windowMin) rotate(now time.Duration) {
	if now-w.startedAt < minWindow {
		return
	}
	w.previous, w.current = w.current, 0
	if now-w.startedAt >= 2*minWindow {
		w.previous = 0
	}
	w.startedAt = now
}
