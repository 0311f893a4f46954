package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// A backend server that has just started bears only so many requests a second, and
// fails if it gets many more. The bound holds for what all routers send together, so
// that only the owner gives places there, spaced evenly: routers that each had a part
// of the rate would leave most of it unused, since their load differs.

const (
	// warmupWindow is the time over which the rate is counted.
	warmupWindow = time.Second
	// warmupBurst is how many places an owner may give at once after a pause: what
	// clocks and ticks of 10 ms would else lose of the rate.
	warmupBurst = 2
	// newOwnerPart of the rate is what a router gives in the first second in which
	// it owns a backend server: the owner before it may still give places to
	// routers that have not heard of the change.
	newOwnerPart = 1.0 / 3
)

// pacer spaces the places that an owner gives at one backend server.
type pacer struct {
	// given are the times of the places given within warmupWindow, oldest first.
	given []time.Duration
	// next is when the next place is due if places are given without a pause.
	next time.Duration
}

// note counts a place that was given, also while the backend server is warm: it may
// turn out that it was not.
func (p *pacer) note(now time.Duration, rate float64) {
	p.given = append(p.forget(now), now)
	gap := time.Duration(float64(warmupWindow) / rate)
	p.next = min(max(p.next, now-(warmupBurst-1)*gap), now) + gap
}

func (p *pacer) forget(now time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(p.given, now-warmupWindow+1)
	p.given = p.given[i:]
	return p.given
}

// mayGive reports whether a place more keeps to a rate of places a second.
func (p *pacer) mayGive(now time.Duration, rate float64) bool {
	return now >= p.next && float64(len(p.forget(now))) < rate+warmupBurst
}

// noteStart counts a request that is sent to a backend server.
func (c *Core) noteStart(s *server) {
	if s.warmupRate > 0 {
		c.ownedOf(s).pace.note(c.now, s.warmupRate)
	}
}

// isWarming reports whether a backend server bears only its warm-up rate.
func (s *server) isWarming(now time.Duration) bool {
	return s.warmupRate > 0 && now < max(s.warmUntil, s.doubtUntil)
}

// doubt notes how a request ended at a backend server: one that could not be reached, or
// said nothing, may come back as after a start, before its entry says so.
func (s *server) doubt(now time.Duration, r Result) {
	if s.warmupRate > 0 && (r == Stalled || r == Unreachable) {
		s.doubtUntil = now + s.warmupTime
	}
}

// Warming returns how many backend servers warm up.
func (c *Core) Warming() int {
	n := 0
	for _, s := range c.ordered {
		if s.isWarming(c.now) {
			n++
		}
	}
	return n
}

// setWarmup takes in what the table says of a backend server's warm-up.
func (s *server) setWarmup(t *table.Table, now time.Duration) {
	s.warmupRate, s.warmupTime = 0, 0
	for _, m := range s.Models {
		if row, ok := t.ServiceByName(m); ok {
			s.warmupRate, s.warmupTime = row.WarmupRate, row.WarmupTime
		}
	}
	s.warmUntil = now + s.WarmupLeft
}

// mayGiveWarming reports whether this router, as the owner of a backend server that
// warms up, may give a place there now.
func (c *Core) mayGiveWarming(s *server) bool {
	if !c.isOnlyOwner(s) {
		return false
	}
	rate := s.warmupRate
	if c.now-s.ownedSince < warmupWindow {
		rate *= newOwnerPart
	}
	return c.ownedOf(s).pace.mayGive(c.now, rate)
}

// isOnlyOwner reports whether no other router can take itself for the owner of a
// backend server: most of the known routers of its zone are heard. A router that is
// cut off from the others would else add its own places to theirs.
func (c *Core) isOnlyOwner(s *server) bool {
	known := c.known[s.Zone]
	if known == 0 {
		return s.owner == c.opt.self.Address
	}
	heard := 0
	for i := range c.routers {
		if c.routers[i].Zone == s.Zone {
			heard++
		}
	}
	return s.owner == c.opt.self.Address && 2*heard > known
}
