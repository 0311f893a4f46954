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
	s.pace.Heard(s.now, late)
	s.step(admit.Late{By: s.pace.Late()})
	s.seeWhetherOverloaded()
}

// notePace tells the callers' tasks, and operators, how well this router keeps up.
func (s *state) notePace() {
	p := &Pace{Part: s.pace.Part(), Late: s.pace.Late(), Rate: s.pace.Rate()}
	s.d.shared.pace.Store(p)
	if p.Part < 1 {
		s.limitedAt = s.now
	}
	limited := s.limitedAt > 0 && s.now-s.limitedAt < limitedFor
	if s.d.shared.hurried.Swap(limited) != limited {
		s.d.opt.log.Warn("router_pace", "limited", limited, "late_ms", p.Late.Milliseconds(), "can_per_s", int(p.Rate))
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
func (d *Dispatcher) Shedding() bool { return d.Hurried() || d.shared.refusing.Load() }

// seeWhetherOverloaded tells balancers to send new connections elsewhere while
// this router can work on a small part of its requests only.
func (s *state) seeWhetherOverloaded() {
	overloaded := s.d.shared.overloaded.Load()
	switch {
	case s.pace.Part() < overloadedPart:
		s.overloadedAt = s.now
		if !overloaded {
			s.d.shared.overloaded.Store(true)
			s.d.opt.log.Warn("router_overloaded", "late_ms", s.pace.Late().Milliseconds())
		}
	case overloaded && s.pace.Part() == 1 && s.now-s.overloadedAt >= overloadedFor:
		s.d.shared.overloaded.Store(false)
		s.d.opt.log.Info("router_recovered")
	}
}

// Hurried reports whether this router could not work on all of its requests a moment ago.
func (d *Dispatcher) Hurried() bool { return d.shared.hurried.Load() }

// Pace is how well a router keeps up with its requests.
type Pace struct {
	// Part is the part of the requests that it can work on.
	Part float64
	// Late is how late it hears of what comes to its sockets.
	Late time.Duration
	// Rate is how many requests it can work on a second while it refuses none.
	Rate float64
	// Screened counts the requests that were refused unseen since the start.
	Screened int64
}

// Pace returns how well this router keeps up.
func (d *Dispatcher) Pace() Pace {
	p := Pace{Part: 1}
	if last := d.shared.pace.Load(); last != nil {
		p = *last
	}
	p.Screened = d.screen.count.Load()
	return p
}
