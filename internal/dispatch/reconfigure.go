package dispatch

import "time"

// removalGraceFraction of the apply time is how long backend servers stay in use if their
// entries vanish together.
const removalGraceFraction = 0.6

// unlistedGraceFraction of the apply time is how long backend servers stay in use that a
// platform restored from a backup does not list. Live servers register again with their next
// heartbeat.
const unlistedGraceFraction = 0.75

// gracePeriods returns the grace periods of the catalog.
func gracePeriods(applyWithin time.Duration) (removal, unlisted time.Duration) {
	scale := func(p float64) time.Duration { return time.Duration(p * float64(applyWithin)) }
	return scale(removalGraceFraction), scale(unlistedGraceFraction)
}

// setApplyWithinEvent replaces the time within which platform changes must be applied.
type setApplyWithinEvent struct{ applyWithin time.Duration }

func (e setApplyWithinEvent) apply(s *state) {
	s.catalog.SetGracePeriods(gracePeriods(e.applyWithin))
}

// SetSeeds replaces the addresses of the routers to contact first. They are contacted at once.
func (d *Dispatcher) SetSeeds(seeds []string) {
	d.shared.seeds.Store(&seeds)
	d.post(setSeedsEvent{seeds})
}

type setSeedsEvent struct{ seeds []string }

func (e setSeedsEvent) apply(s *state) {
	s.roster.SetSeeds(e.seeds)
	s.scheduleMembersUpdate()
}
