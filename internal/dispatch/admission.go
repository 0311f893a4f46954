package dispatch

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// admissionInterval is the interval of recomputing which accounts are throttled.
const admissionInterval = 50 * time.Millisecond

var errOverShare = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share",
	"the client account asks for much more than its share; come back as told")

var errOverloaded = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, front.CodeOverloaded,
	"this entry instance has no time for the request; come back as told")

// admission refuses requests of accounts that exceed their share. It runs in the callers'
// goroutines, so that an overload by one account does not delay the event loop.
type admission struct {
	// fractions holds the fraction of an account's requests to admit.
	fractions atomic.Pointer[map[wire.NameHash]float64]
	mu        sync.Mutex
	// plan is what this router has processor time for. budget is how many more requests of
	// any account it admits.
	plan   admit.AdmissionPlan
	budget int
	// forwardBudget is how many more requests may be forwarded.
	forwardBudget float64
	// counters count by account since plannedAt, when plan was made.
	counters  map[wire.NameHash]*accountCounter
	plannedAt time.Duration
	// refusedTotal counts refused requests since the start.
	refusedTotal atomic.Int64
	// returning are the requests refused since the last tick whose callers are expected back.
	returning []admit.Refusal
}

// accountCounter counts an account's requests since the last plan.
type accountCounter struct {
	// withinShare counts requests within the account's share, refused those that were
	// refused for any reason.
	withinShare, refused int
	// tokens is the sum over refused requests.
	tokens float64
	// forwarded counts requests that were forwarded to another router, which counts them as
	// demand.
	forwarded int
	// budget is how many more requests are admitted. The next plan keeps up to one of the
	// rest.
	budget float64
}

func newAdmission() admission {
	return admission{plan: admit.AdmissionPlan{PerAccount: math.Inf(1)}, budget: math.MaxInt, counters: map[wire.NameHash]*accountCounter{}}
}

// CheckAdmission implements front.Scheduler.
func (d *Dispatcher) CheckAdmission(r front.Request) *verdict.Error {
	if r.Account == "" {
		return nil
	}
	key := wire.HashName(r.Account)
	within := r.Forwarded || d.opt.random() < fractionOf(&d.admission.fractions, key)
	if d.admission.tryAdmit(key, r, within) {
		return nil
	}
	// Load balancers tend to send a caller to the same router again, where an early retry
	// would be refused too and cost processor time.
	remaining := d.opt.clock.Until(r.Deadline)
	if !within {
		return d.overShareError(&r, remaining, fractionOf(&d.admission.fractions, key))
	}
	return errOverloaded.WithReturn(returns.Later, front.RetryDelay(remaining))
}

// fractionOf returns the fraction of an account's requests to admit.
func fractionOf(fractions *atomic.Pointer[map[wire.NameHash]float64], key wire.NameHash) float64 {
	m := fractions.Load()
	if m == nil {
		return 1
	}
	if fraction, ok := (*m)[key]; ok {
		return fraction
	}
	return 1
}

// tryAdmit counts a request and reports whether it is admitted. Requests beyond the account's
// share do not use up the router's budget. Otherwise the two limits would multiply, and an
// account whose callers reach few small routers would get only a fraction of its share.
func (adm *admission) tryAdmit(key wire.NameHash, r front.Request, within bool) bool {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	t, ok := adm.counters[key]
	if !ok {
		t = &accountCounter{budget: 1 + adm.plan.PerAccount*admissionInterval.Seconds()}
		adm.counters[key] = t
	}
	if within {
		t.withinShare++
		if adm.budget > 0 && t.budget >= 1 {
			adm.budget--
			t.budget--
			return true
		}
	}
	t.refused++
	t.tokens += admit.Cost(r.Prompt, r.Output)
	adm.refusedTotal.Add(1)
	return false
}

// MayForward implements front.Scheduler. The router that receives a forwarded request counts it
// as demand.
func (d *Dispatcher) MayForward(r front.Request) bool {
	adm := &d.admission
	adm.mu.Lock()
	defer adm.mu.Unlock()
	t, ok := adm.counters[wire.HashName(r.Account)]
	if !ok || adm.forwardBudget < 1 {
		return false
	}
	adm.forwardBudget--
	t.forwarded++
	t.refused--
	t.tokens -= admit.Cost(r.Prompt, r.Output)
	adm.refusedTotal.Add(-1)
	return true
}

// maxPlanAge bounds the time for which a late plan grants budget.
const maxPlanAge = 150 * time.Millisecond

// updateAdmission reports refusals to the core and recomputes what to admit.
func (s *state) updateAdmission() {
	if s.now-s.admissionAt < admissionInterval {
		return
	}
	s.admissionAt = s.now
	for key, t := range s.replan() {
		if t.refused > 0 {
			s.core.CountRefused(s.now, key, t.tokens)
		}
	}
	storeFractions(&s.d.admission.fractions, s.core.AdmitFractions(s.now))
	s.logShares()
}

// replan plans the router's processor time until the next plan, and returns the counters since
// the last one.
func (s *state) replan() map[wire.NameHash]*accountCounter {
	adm := &s.d.admission
	adm.mu.Lock()
	defer adm.mu.Unlock()
	counted, elapsed := adm.counters, s.now-adm.plannedAt
	demand, refused := make(map[wire.NameHash]int, len(counted)), 0
	for key, t := range counted {
		demand[key] = t.withinShare
		refused += t.refused
	}
	adm.plan = s.estimator.Plan(elapsed, demand, refused, s.forwardPeers > 0)
	adm.plannedAt, adm.budget = s.now, adm.plan.Burst
	adm.forwardBudget = min(adm.forwardBudget, 1) + adm.plan.Forward*min(elapsed, maxPlanAge).Seconds()
	adm.counters = make(map[wire.NameHash]*accountCounter, len(counted))
	for key, t := range counted {
		if t.withinShare > 0 || t.budget < 1 {
			adm.counters[key] = &accountCounter{budget: min(t.budget, 1) + adm.plan.PerAccount*min(elapsed, maxPlanAge).Seconds()}
		}
	}
	s.d.shared.shedding.Store(float64(refused) >= sheddingThreshold*elapsed.Seconds())
	s.publishLoadStats()
	return counted
}

func storeFractions(fractions *atomic.Pointer[map[wire.NameHash]float64], m map[wire.NameHash]float64) {
	if len(m) == 0 {
		fractions.Store(nil)
		return
	}
	fractions.Store(&m)
}
