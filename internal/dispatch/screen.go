package dispatch

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// screenEvery is the interval at which it is worked out which accounts ask for much
// more than they can get.
const admissionInterval = 50 * time.Millisecond

var errOverShare = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share",
	"the client account asks for much more than its share; come back as told")

var errOverloaded = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, front.CodeOverloaded,
	"this entry instance has no time for the request; come back as told")

// admission refuses requests of accounts that ask for much more than they can
// get, in the callers' own tasks: a flood must not cost the decisions of
// others their time.
type admission struct {
	// fractions is which part of an account's requests is tried.
	fractions atomic.Pointer[map[wire.Key]float64]
	mu        sync.Mutex
	// plan is what this router has time for, left how many requests more of any
	// account are let in by it.
	plan   admit.AdmissionPlan
	budget int
	// forwards is how many more are handed on.
	forwardBudget float64
	// tallies are by account since plan was made, at planned.
	counters  map[wire.Key]*accountCounter
	plannedAt time.Duration
	// refused counts the refused requests since the start.
	refused atomic.Int64
}

// tally counts an account's requests since the last plan.
type accountCounter struct {
	// wanted are to be worked on as far as the account's share goes, refused were
	// refused for any reason.
	withinShare, refused int
	// tokens is what refused requests asked for.
	tokens float64
	// forwarded were handed on to another router, where they are counted.
	forwarded int
	// budget is how many more are let in; of what is budget at the next plan, up to one is
	// kept.
	budget float64
}

func newAdmission() admission {
	return admission{plan: admit.AdmissionPlan{PerAccount: math.Inf(1)}, budget: math.MaxInt, counters: map[wire.Key]*accountCounter{}}
}

// CheckAdmission implements front.Scheduler.
func (d *Dispatcher) CheckAdmission(r front.Request) *verdict.Error {
	if r.Account == "" {
		return nil
	}
	key := wire.KeyOf(r.Account)
	within := r.Forwarded || d.opt.random() < fractionOf(&d.admission.fractions, key)
	if d.admission.tryAdmit(key, r, within) {
		return nil
	}
	// Balancers send a caller to the same router again: one that comes back soon is
	// refused again, in the time that is left for work.
	later := front.RetryDelay(d.opt.clock.Until(r.Deadline))
	if !within {
		return errOverShare.WithRetryAfter(later)
	}
	return errOverloaded.WithRetryAfter(later)
}

// partOf returns the part of an account's requests that is worked on.
func fractionOf(parts *atomic.Pointer[map[wire.Key]float64], key wire.Key) float64 {
	m := parts.Load()
	if m == nil {
		return 1
	}
	if part, ok := (*m)[key]; ok {
		return part
	}
	return 1
}

// letIn counts a request, which is within its account's share or not, and reports whether
// it is worked on. What is beyond the share takes nothing of what this router has time
// for, so that the lesser of both counts and not their product: else an account whose
// callers come to few small routers gets a fraction of its share.
func (sc *admission) tryAdmit(key wire.Key, r front.Request, within bool) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	t, ok := sc.counters[key]
	if !ok {
		t = &accountCounter{budget: 1 + sc.plan.PerAccount*admissionInterval.Seconds()}
		sc.counters[key] = t
	}
	if within {
		t.withinShare++
		if sc.budget > 0 && t.budget >= 1 {
			sc.budget--
			t.budget--
			return true
		}
	}
	t.refused++
	t.tokens += admit.Cost(r.Prompt, r.Output)
	sc.refused.Add(1)
	return false
}

// MayForward implements front.Scheduler. A request that is handed on is counted as asked
// for by the router that takes it.
func (d *Dispatcher) MayForward(r front.Request) bool {
	sc := &d.admission
	sc.mu.Lock()
	defer sc.mu.Unlock()
	t, ok := sc.counters[wire.KeyOf(r.Account)]
	if !ok || sc.forwardBudget < 1 {
		return false
	}
	sc.forwardBudget--
	t.forwarded++
	t.refused--
	t.tokens -= admit.Cost(r.Prompt, r.Output)
	sc.refused.Add(-1)
	return true
}

// longestPlan is the longest time for which a plan lets requests in: one that is made
// later than that is not made up for.
const maxPlanAge = 150 * time.Millisecond

// screenIfDue counts what was refused and works out anew what is to be.
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

// planWork makes a plan of what this router has time for until the next one, and returns
// what was counted since the last.
func (s *state) replan() map[wire.Key]*accountCounter {
	sc := &s.d.admission
	sc.mu.Lock()
	defer sc.mu.Unlock()
	counted, in := sc.counters, s.now-sc.plannedAt
	came, refused := make(map[wire.Key]int, len(counted)), 0
	for key, t := range counted {
		came[key] = t.withinShare
		refused += t.refused
	}
	sc.plan = s.estimator.Plan(in, came, refused, s.forwardPeers > 0)
	sc.plannedAt, sc.budget = s.now, sc.plan.Burst
	sc.forwardBudget = min(sc.forwardBudget, 1) + sc.plan.Forward*min(in, maxPlanAge).Seconds()
	sc.counters = make(map[wire.Key]*accountCounter, len(counted))
	for key, t := range counted {
		if t.withinShare > 0 || t.budget < 1 {
			sc.counters[key] = &accountCounter{budget: min(t.budget, 1) + sc.plan.PerAccount*min(in, maxPlanAge).Seconds()}
		}
	}
	s.d.shared.shedding.Store(float64(refused) >= sheddingThreshold*in.Seconds())
	s.publishLoadStats()
	return counted
}

// sharesEvery is the interval at which the shares are logged while accounts
// ask for more than theirs.
const sharesLogInterval = time.Second

func (s *state) logShares() {
	if s.now-s.sharesLoggedAt < sharesLogInterval {
		return
	}
	s.sharesLoggedAt = s.now
	if sh := s.core.Shares(s.now); sh.Throttled > 0 {
		s.d.opt.log.Info("shares", "asked", int64(sh.Demand), "begun", int64(sh.Started), "level", int64(sh.FairShare),
			"screened", sh.Throttled, "least_part", sh.MinFraction, "least_served", sh.LeastServedFraction, "least_account", s.accountName(sh.LeastServedAccount))
	}
}

// accountName returns the name of an account in the table, "" if it has none.
func (s *state) accountName(key wire.Key) string {
	t := s.d.Table()
	if t == nil || key == 0 {
		return ""
	}
	for i := range t.Accounts {
		if wire.KeyOf(t.Accounts[i].Name) == key {
			return t.Accounts[i].Name
		}
	}
	return ""
}

func storeFractions(parts *atomic.Pointer[map[wire.Key]float64], m map[wire.Key]float64) {
	if len(m) == 0 {
		parts.Store(nil)
		return
	}
	parts.Store(&m)
}
