package front

import (
	"sync"
	"time"
)

// throttleEvery is the least time between two lines about the same repeated
// event: what sends many of them does not fill the log.
const throttleEvery = time.Second

// throttle bounds how often a running count is logged.
type throttle struct {
	mu sync.Mutex
	// logged is when a line was last due, told the count it told of.
	logged time.Time
	told   int64
}

// due reports whether a line is to be logged now, and by how much the count has
// grown since the last one.
func (t *throttle) due(now time.Time, count int64) (since int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.logged) < throttleEvery {
		return 0, false
	}
	since = count - t.told
	t.logged, t.told = now, count
	return since, true
}
