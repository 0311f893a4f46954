package admit

import "time"

// shortest is the least duration seen lately.
type shortest struct {
	// least and before are the least of this period and of the one before it.
	least, before time.Duration
	since         time.Duration
}

// shortestFor is the period: a kind of request that comes less often does not
// count for long.
const shortestFor = 2 * time.Second

// observe adds a sample.
func (s *shortest) observe(now, d time.Duration) {
	s.turn(now)
	if d > 0 && (s.least == 0 || d < s.least) {
		s.least = d
	}
}

// get returns the least duration of the last one to two periods, or
// defaultTarget if nothing was seen.
func (s *shortest) get(now time.Duration) time.Duration {
	s.turn(now)
	switch {
	case s.least == 0 && s.before == 0:
		return defaultTarget
	case s.least == 0:
		return s.before
	case s.before == 0:
		return s.least
	default:
		return min(s.least, s.before)
	}
}

func (s *shortest) turn(now time.Duration) {
	if now-s.since < shortestFor {
		return
	}
	s.before, s.least = s.least, 0
	if now-s.since >= 2*shortestFor {
		s.before = 0
	}
	s.since = now
}
