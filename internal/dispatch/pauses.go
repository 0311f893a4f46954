package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// streamPauseEvent is a pause between two events of a response that exceeds the target of its route.
type streamPauseEvent struct {
	id            uint64
	pause, target time.Duration
}

func (e streamPauseEvent) apply(s *state) {
	s.step(admit.StreamPause{ID: e.id, Pause: e.pause, Target: e.target})
}

// reportPause reports a pause of a response. While this router is saturated, its own lag may have caused
// the pause.
func (d *Dispatcher) reportPause(id uint64, pause, target time.Duration) {
	if !d.Saturated() {
		d.post(streamPauseEvent{id, pause, target})
	}
}

// pauseLogInterval is the least interval between two lines about the limit of an engine.
const pauseLogInterval = time.Second

// loggedPauseLimit is what was last logged about an engine that is limited by its pauses.
type loggedPauseLimit struct {
	at time.Duration
	admit.LimitedEngine
}

// logPauseLimits logs the engines owned here whose limit changed, and those that are no longer limited.
func (s *state) logPauseLimits(all []admit.LimitedEngine) {
	logged := make(map[string]loggedPauseLimit, len(all))
	for _, e := range all {
		last, known := s.pauseLogged[e.Name]
		if known && (e.Limit == last.Limit || s.now-last.at < pauseLogInterval) {
			logged[e.Name] = last
			continue
		}
		logged[e.Name] = loggedPauseLimit{s.now, e}
		s.d.opt.log.Info("pause_limit", "backend", e.Name, "slots", e.Slots, "limit", e.Limit, "running", e.Running, "waiting", e.Waiting,
			"pause_ms", e.Pause.Milliseconds(), "target_ms", e.Target.Milliseconds())
	}
	for name, last := range s.pauseLogged {
		if _, still := logged[name]; !still {
			s.d.opt.log.Info("pause_limit", "backend", name, "slots", last.Slots, "limit", last.Slots)
		}
	}
	s.pauseLogged = logged
}

// setPauseStatus adds what is known about pauses at the engines owned here.
func (s *state) setPauseStatus(st *Status) {
	st.LimitedEngines, st.Pauses = s.core.LimitedEngines(s.now), s.core.PauseCounts()
	s.logPauseLimits(st.LimitedEngines)
}
