package front

import (
	"sync"
	"time"
)

// throttleInterval is the minimum time between two log lines about the same repeated event.
const throttleInterval = time.Second

// throttle limits how often a running count is logged.
type throttle struct {
	mu sync.Mutex
	// lastLogged is the time of the last line, lastCount the count at that time.
	lastLogged time.Time
	lastCount  int64
}

// due reports whether to log now, and how much the count has grown since the last line.
func (t *throttle) due(now time.Time, count int64) (added int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastLogged) < throttleInterval {
		return 0, false
	}
	added = count - t.lastCount
	t.lastLogged, t.lastCount = now, count
	return added, true
}
