package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

const (
	// overloadedPart is the part of its requests from which a router that can
	// work on no more has new connections sent elsewhere, overloadedFor for how
	// long it stays so at least.
	overloadThreshold   = 0.5
	minOverloadDuration = 2 * time.Second
)

// keepPace learns from how late this process heard of something.
func (s *state) observeDelay(late time.Duration) {
	s.estimator.ObserveDelay(s.now, late)
	s.step(admit.ProcessingDelay{Delay: s.estimator.Delay()})
	s.updateOverloaded()
}

// notePace tells the callers' tasks, and operators, how well this router keeps up.
func (s *state) publishLoadStats() {
	p := &LoadStats{AdmitRatio: s.estimator.AdmittedFraction(), Lag: s.estimator.Delay(), Rate: s.estimator.Rate()}
	s.d.shared.loadStats.Store(p)
	if p.AdmitRatio < 1 {
		s.saturatedAt = s.now
	}
	limited := s.saturatedAt > 0 && s.now-s.saturatedAt < saturatedHold
	if s.d.shared.saturated.Swap(limited) != limited {
		s.d.opt.log.Warn("router_pace", "limited", limited, "late_ms", p.Lag.Milliseconds(), "can_per_s", int(p.Rate))
	}
}

// limitedFor is for how long a router must have had time for all to count as one that
// has: at its limit it has, and has not, several times a second.
const saturatedHold = time.Second

// refusingFrom is how many requests a second are refused from which on new connections
// are looked at before the HTTP server has them: to look costs a tenth of what it saves
// for each that is refused.
const sheddingThreshold = 20

// Shedding implements front.Scheduler.
func (d *Dispatcher) Shedding() bool { return d.Saturated() || d.shared.shedding.Load() }

// seeWhetherOverloaded tells balancers to send new connections elsewhere while
// this router can work on a small part of its requests only.
func (s *state) updateOverloaded() {
	overloaded := s.d.shared.overloaded.Load()
	switch {
	case s.estimator.AdmittedFraction() < overloadThreshold:
		s.overloadedAt = s.now
		if !overloaded {
			s.d.shared.overloaded.Store(true)
			s.d.opt.log.Warn("router_overloaded", "late_ms", s.estimator.Delay().Milliseconds())
		}
	case overloaded && s.estimator.AdmittedFraction() == 1 && s.now-s.overloadedAt >= minOverloadDuration:
		s.d.shared.overloaded.Store(false)
		s.d.opt.log.Info("router_recovered")
	}
}

// Saturated reports whether this router recently lacked processor time for some of its requests.
func (d *Dispatcher) Saturated() bool { return d.shared.saturated.Load() }

// LoadStats describes how well a router keeps up with its requests.
type LoadStats struct {
	// AdmitRatio is the fraction of requests that the router has processor time for.
	AdmitRatio float64
	// Lag is the delay between data arriving at a socket and the process reading it.
	Lag time.Duration
	// Rate is the number of requests per second that the router can process when it
	// refuses none.
	Rate float64
	// RefusedEarly counts the requests refused by admission control since the start.
	RefusedEarly int64
}

// LoadStats returns the current load statistics.
func (d *Dispatcher) LoadStats() LoadStats {
	p := LoadStats{AdmitRatio: 1}
	if last := d.shared.loadStats.Load(); last != nil {
		p = *last
	}
	p.RefusedEarly = d.admission.refused.Load()
	return p
}
