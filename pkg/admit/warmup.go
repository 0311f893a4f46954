package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// A backend server that has just started takes only a limited number of requests per second
// from all routers together. Only its owner grants slots during the warm-up, evenly spaced.
// Dividing the rate among routers would leave most of it unused, since their loads differ.

const (
	// warmupWindow is the period over which the rate is counted.
	warmupWindow = time.Second
	// warmupBurst is the number of slots that may be granted at once after a gap, to make up
	// for the tick interval.
	warmupBurst = 2
	// newOwnerFraction of the rate is granted within warmupWindow after a change of ownership,
	// while the previous owner may still grant slots.
	newOwnerFraction = 1.0 / 3
)

// pacer spaces an owner's grants at one backend server.
type pacer struct {
	// granted are the times of the grants within warmupWindow, the oldest first.
	granted []time.Duration
	// next is when the next grant is due at a steady rate.
	next time.Duration
}

// record adds a grant. Grants are recorded without a warm-up too, since one may turn out to
// have begun.
func (p *pacer) record(now time.Duration, rate float64) {
	p.granted = append(p.trim(now), now)
	gap := time.Duration(float64(warmupWindow) / rate)
	p.next = min(max(p.next, now-(warmupBurst-1)*gap), now) + gap
}

func (p *pacer) trim(now time.Duration) []time.Duration {
	i, _ := slices.BinarySearch(p.granted, now-warmupWindow+1)
	p.granted = p.granted[i:]
	return p.granted
}

// mayGrant reports whether one more grant keeps to the rate, in grants per second.
func (p *pacer) mayGrant(now time.Duration, rate float64) bool {
	return now >= p.next && float64(len(p.trim(now))) < rate+warmupBurst
}

// recordStart counts a request sent to a backend server.
func (c *Core) recordStart(s *server) {
	if s.warmupRate > 0 {
		c.ownerStateOf(s).pace.record(c.now, s.warmupRate)
	}
}

// isWarming reports whether a backend server takes only its warm-up rate.
func (s *server) isWarming(now time.Duration) bool {
	return s.warmupRate > 0 && now < max(s.warmUntil, s.mayWarmUntil)
}

// assumeWarmup assumes a warm-up after an attempt that stalled or could not reach the backend
// server: it may have restarted, which the directory does not show yet.
func (s *server) assumeWarmup(now time.Duration, r Result) {
	if s.warmupRate > 0 && (r == Stalled || r == Unreachable) {
		s.mayWarmUntil = now + s.warmupTime
	}
}

// Warming returns the number of backend servers in a warm-up.
func (c *Core) Warming() int {
	n := 0
	for _, s := range c.sortedServers {
		if s.isWarming(c.now) {
			n++
		}
	}
	return n
}

// setWarmup updates the warm-up settings and the remaining warm-up time from the table.
func (s *server) setWarmup(t *table.Table, now time.Duration) {
	s.warmupRate, s.warmupTime = 0, 0
	for _, m := range s.Models {
		if row, ok := t.ServiceByName(m); ok {
			s.warmupRate, s.warmupTime = row.WarmupRate, row.WarmupTime
		}
	}
	s.warmUntil = now + s.WarmupLeft
}

// mayGrantWarming reports whether this router, as the owner of a backend server in a warm-up,
// may grant a slot there now.
func (c *Core) mayGrantWarming(s *server) bool {
	if !c.isSoleOwner(s) {
		return false
	}
	rate := s.warmupRate
	if c.now-s.ownedSince < warmupWindow {
		rate *= newOwnerFraction
	}
	return c.ownerStateOf(s).pace.mayGrant(c.now, rate)
}

// isSoleOwner reports whether no other router can act as the owner of a backend server, because
// this one reaches the majority of the known routers of the zone, and knows of most seeds. Otherwise each side of a
// network partition, or each router that started alone, could grant slots.
func (c *Core) isSoleOwner(s *server) bool {
	if c.missesSeeds {
		return false
	}
	known := c.routersByZone[s.Zone]
	if known == 0 {
		return s.owner == c.opt.self.Address
	}
	reachable := 0
	for i := range c.routers {
		if c.routers[i].Zone == s.Zone {
			reachable++
		}
	}
	return s.owner == c.opt.self.Address && 2*reachable > known
}
