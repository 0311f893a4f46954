package admit

import "time"

// recent remembers keys for a while.
type recent struct {
	at map[uint64]time.Duration
}

const (
	// recentFor is how long a prompt's beginning is taken to be kept by a
	// backend server after it was last sent there.
	recentFor = 20 * time.Second
	// recentMost bounds what is remembered for each backend server.
	recentMost = 4096
)

// note remembers a key.
func (r *recent) note(key uint64, now time.Duration) {
	if r.at == nil {
		r.at = map[uint64]time.Duration{}
	}
	if len(r.at) >= recentMost {
		r.drop(now)
	}
	r.at[key] = now
}

// drop forgets what is old, and everything if nothing is.
func (r *recent) drop(now time.Duration) {
	for key, at := range r.at {
		if now-at > recentFor {
			delete(r.at, key)
		}
	}
	if len(r.at) >= recentMost {
		clear(r.at)
	}
}

// has reports whether a key was noted lately.
func (r *recent) has(key uint64, now time.Duration) bool {
	at, ok := r.at[key]
	return ok && now-at <= recentFor
}
