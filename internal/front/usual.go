package front

import (
	"sync"
	"time"
)

// usualWaits is how long callers of each route say at most that they wait, lately. A
// request that states less by more than its target has been here or elsewhere before,
// and was refused: its answer would come late.
type usualWaits struct {
	mu sync.Mutex
	by map[string]*longest
}

// longest is the longest duration seen in this period, and in the one before it.
type longest struct {
	most, before time.Duration
	since        time.Time
}

const (
	// usualFor is the period: longer than callers wait until they come back.
	usualFor = 10 * time.Second
	// mostUsual bounds the routes that are remembered.
	mostUsual = 4096
)

// isLate reports whether a request of a route has used its target up before it came, by
// how long it says that it still waits.
func (u *usualWaits) isLate(now time.Time, route string, wait, target time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, ok := u.by[route]
	if !ok {
		if u.by == nil || len(u.by) >= mostUsual {
			u.by = map[string]*longest{}
		}
		l = &longest{since: now}
		u.by[route] = l
	}
	switch passed := now.Sub(l.since); {
	case passed >= 2*usualFor:
		l.before, l.most, l.since = 0, 0, now
	case passed >= usualFor:
		l.before, l.most, l.since = l.most, 0, now
	}
	l.most = max(l.most, wait)
	return target > 0 && wait < max(l.most, l.before)-target
}
