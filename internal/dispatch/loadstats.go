package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

const (
	// A router is overloaded while it can process less than overloadThreshold of its
	// requests, and for at least minOverloadDuration.
	overloadThreshold   = 0.5
	minOverloadDuration = 2 * time.Second
)

// observeLag records a lag measurement of this process.
func (s *state) observeLag(lag time.Duration) {
	s.estimator.ObserveLag(s.now, lag)
	s.step(admit.ProcessingLag{Lag: s.estimator.Lag()})
	s.updateOverloaded()
}

// publishLoadStats publishes the load statistics to the callers' goroutines and logs changes of
// saturation.
func (s *state) publishLoadStats() {
	stats := &LoadStats{AdmittedFraction: s.estimator.AdmittedFraction(), Lag: s.estimator.Lag(), Rate: s.estimator.Rate()}
	s.d.shared.loadStats.Store(stats)
	if stats.AdmittedFraction < 1 {
		s.saturatedAt = s.now
	}
	limited := s.saturatedAt > 0 && s.now-s.saturatedAt < saturatedHold
	if s.d.shared.saturated.Swap(limited) != limited {
		s.d.opt.log.Warn("router_pace", "limited", limited, "late_ms", stats.Lag.Milliseconds(), "can_per_s", int(stats.Rate))
	}
}

// saturatedHold is how long a router stays saturated after it last lacked time. At its limit,
// it would otherwise change state several times a second.
const saturatedHold = time.Second

// sheddingThreshold is the number of refusals per second from which new connections are checked
// before the HTTP server accepts them. The check has a cost for every connection.
const sheddingThreshold = 20

// Shedding implements front.Scheduler.
func (d *Dispatcher) Shedding() bool { return d.Saturated() || d.shared.shedding.Load() }

// updateOverloaded sets the overload flag, which makes load balancers send new connections
// elsewhere.
func (s *state) updateOverloaded() {
	overloaded := s.d.shared.overloaded.Load()
	switch {
	case s.estimator.AdmittedFraction() < overloadThreshold:
		s.overloadedAt = s.now
		if !overloaded {
			s.d.shared.overloaded.Store(true)
			s.d.opt.log.Warn("router_overloaded", "late_ms", s.estimator.Lag().Milliseconds())
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
	// AdmittedFraction is the fraction of requests that the router has processor time for.
	AdmittedFraction float64
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
	stats := LoadStats{AdmittedFraction: 1}
	if last := d.shared.loadStats.Load(); last != nil {
		stats = *last
	}
	stats.RefusedEarly = d.admission.refusedTotal.Load()
	return stats
}
