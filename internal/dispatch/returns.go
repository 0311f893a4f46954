package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// maxReportedRefusals bounds the refusals by share that are reported in one tick. Callers of
	// further ones are not recognized when they return.
	maxReportedRefusals = 256
	// overShareService is the part of its target that a request is assumed to take once it is
	// admitted. No engine has been asked when it is refused.
	overShareService = 0.5
)

// overShareError returns the refusal of a request of which only a fraction of its account's is
// admitted. The refused ones have capacity when those of the last second could have been served at
// the account's rate. That is not certain, so that none is told that it can't be served at all.
func (d *Dispatcher) overShareError(r *front.Request, remaining time.Duration, admitted float64) *verdict.Error {
	what, after := returns.Decide(returns.Refusal{
		Ready: min(returns.ShareDelay(admitted), remaining/2), Service: min(time.Duration(overShareService*float64(r.Target)), remaining/2-time.Millisecond),
		TargetLeft: r.Target, Remaining: remaining,
	}, d.opt.random())
	if r.Key != 0 && r.Prefix != 0 && what != returns.None {
		d.admission.expectReturn(r, d.now(), after, remaining)
	}
	return errOverShare.WithReturn(what, after)
}

// expectReturn remembers a refusal until the next tick.
func (adm *admission) expectReturn(r *front.Request, now, after, remaining time.Duration) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if len(adm.returning) >= maxReportedRefusals {
		return
	}
	adm.returning = append(adm.returning, admit.Refusal{
		Service: r.Model, Account: r.Account, Regions: r.Regions, Prefix: r.Prefix, Key: r.Key, Prompt: r.Prompt, Shared: r.Shared,
		ArrivedAt: now, Due: now + after, Deadline: now + remaining,
	})
}

// reportRefusals passes the refusals since the last tick to the core.
func (s *state) reportRefusals() {
	adm := &s.d.admission
	adm.mu.Lock()
	list := adm.returning
	adm.returning = nil
	adm.mu.Unlock()
	if len(list) > 0 {
		s.step(admit.EarlyRefusals{List: list})
	}
}

// drainingError returns the refusal of a request while this router stops.
func (s *state) drainingError(a *attempt) *verdict.Error {
	return errDraining.WithReturn(returns.Elsewhere(s.d.opt.clock.Until(a.request.Deadline), s.d.opt.random()))
}

// returnsLogInterval is the interval of log lines on promised retries.
const returnsLogInterval = time.Second

// logReturns logs what became of promised retries since the last line, if anything did.
func (s *state) logReturns() {
	if s.now-s.returnsLoggedAt < returnsLogInterval {
		return
	}
	counts := s.core.ReturnCounts()
	n := counts.Since(s.returnsLogged)
	s.returnsLogged, s.returnsLoggedAt = counts, s.now
	if n != (returns.Counts{}) {
		s.d.opt.log.Info("returns", "promised", n.Promised, "kept", n.Kept, "early", n.Early, "missed", n.Missed, "dropped", n.Dropped)
	}
}
