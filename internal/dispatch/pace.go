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
	before := s.pace.Part()
	s.pace.Step(late)
	s.step(admit.Late{By: s.pace.Late()})
	s.seeWhetherOverloaded()
	s.d.shared.pace.Store(&Pace{Part: s.pace.Part(), Late: s.pace.Late()})
	if now := s.pace.Part(); (now < 1) != (before < 1) {
		s.d.opt.log.Warn("router_pace", "limited", now < 1, "late_ms", s.pace.Late().Milliseconds())
	}
}

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

// Hurried reports whether this router cannot work on all of its requests.
func (d *Dispatcher) Hurried() bool {
	p := d.shared.pace.Load()
	return p != nil && p.Part < 1
}

// Pace is how well a router keeps up with its requests.
type Pace struct {
	// Part is the part of the requests that it can work on.
	Part float64
	// Late is how late it hears of what comes to its sockets.
	Late time.Duration
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
