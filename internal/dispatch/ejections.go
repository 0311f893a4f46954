package dispatch

import "github.com/yarrowmast/yarrowmast/pkg/admit"

// logEngineEjected logs that this router ejected an engine for all holders.
func (s *state) logEngineEjected(a admit.EngineEjected) {
	s.d.opt.log.Warn("backend_ejected", "backend", a.Backend, "reason", a.Reason, "holders", a.Holders, "failed_part", a.FailureRate,
		"strikes", a.Count, "next_trial_ms", a.Period.Milliseconds())
}
