package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

const (
	// overloadedPart is the part of its requests from which a router that can
	// work on no more has new connections sent elsewhere, overloadedFor for how
	// long it stays so at least.
	overloadedPart = 0.5
	overloadedFor  = 2 * time.Second
)

// keepPace learns from how late this process heard of something.
func (s *state) keepPace(late time.Duration) {
	s.pace.ObserveDelay(s.now, late)
	s.step(admit.ProcessingDelay{Delay: s.pace.Delay()})
	s.seeWhetherOverloaded()
}

// notePace tells the callers' tasks, and operators, how well this router keeps up.
func (s *state) notePace() {
	p := &LoadStats{AdmitRatio: s.pace.AdmittedFraction(), Lag: s.pace.Delay(), Rate: s.pace.Rate()}
	s.d.shared.pace.Store(p)
	if p.AdmitRatio < 1 {
		s.limitedAt = s.now
	}
	limited := s.limitedAt > 0 && s.now-s.limitedAt < limitedFor
	if s.d.shared.hurried.Swap(limited) != limited {
		s.d.opt.log.Warn("router_pace", "limited", limited, "late_ms", p.Lag.Milliseconds(), "can_per_s", int(p.Rate))
	}
}

// limitedFor is for how long a router must have had time for all to count as one that
// has: at its limit it has, and has not, several times a second.
const limitedFor = time.Second

// refusingFrom is how many requests a second are refused from which on new connections
// are looked at before the HTTP server has them: to look costs a tenth of what it saves
// for each that is refused.
const refusingFrom = 20

// Shedding implements front.Scheduler.
func (d *Dispatcher) Shedding() bool { return d.Saturated() || d.shared.refusing.Load() }

// seeWhetherOverloaded tells balancers to send new connections elsewhere while
// this router can work on a small part of its requests only.
func (s *state) seeWhetherOverloaded() {
	overloaded := s.d.shared.overloaded.Load()
	switch {
	case s.pace.AdmittedFraction() < overloadedPart:
		s.overloadedAt = s.now
		if !overloaded {
			s.d.shared.overloaded.Store(true)
			s.d.opt.log.Warn("router_overloaded", "late_ms", s.pace.Delay().Milliseconds())
		}
	case overloaded && s.pace.AdmittedFraction() == 1 && s.now-s.overloadedAt >= overloadedFor:
		s.d.shared.overloaded.Store(false)
		s.d.opt.log.Info("router_recovered")
	}
}

// Saturated reports whether this router recently lacked processor time for some of its requests.
func (d *Dispatcher) Saturated() bool { return d.shared.hurried.Load() }

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
	if last := d.shared.pace.Load(); last != nil {
		p = *last
	}
	p.RefusedEarly = d.screen.count.Load()
	return p
}
