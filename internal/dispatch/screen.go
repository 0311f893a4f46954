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
const screenEvery = 50 * time.Millisecond

var errOverShare = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share",
	"the client account asks for much more than its share; come back as told")

var errOverloaded = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, front.CodeOverloaded,
	"this entry instance has no time for the request; come back as told")

// screen refuses requests of accounts that ask for much more than they can
// get, in the callers' own tasks: a flood must not cost the decisions of
// others their time.
type screen struct {
	// parts is which part of an account's requests is tried.
	parts atomic.Pointer[map[wire.NameHash]float64]
	mu    sync.Mutex
	// plan is what this router has time for, left how many requests more of any
	// account are let in by it.
	plan admit.AdmissionPlan
	left int
	// forwards is how many more are handed on.
	forwards float64
	// tallies are by account since plan was made, at planned.
	tallies map[wire.NameHash]*tally
	planned time.Duration
	// count counts the refused requests since the start.
	count atomic.Int64
}

// tally counts an account's requests since the last plan.
type tally struct {
	// wanted are to be worked on as far as the account's share goes, refused were
	// refused for any reason.
	wanted, refused int
	// tokens is what refused requests asked for.
	tokens float64
	// forwarded were handed on to another router, where they are counted.
	forwarded int
	// left is how many more are let in; of what is left at the next plan, up to one is
	// kept.
	left float64
}

func newScreen() screen {
	return screen{plan: admit.AdmissionPlan{PerAccount: math.Inf(1)}, left: math.MaxInt, tallies: map[wire.NameHash]*tally{}}
}

// CheckAdmission implements front.Scheduler.
func (d *Dispatcher) CheckAdmission(r front.Request) *verdict.Error {
	if r.Account == "" {
		return nil
	}
	key := wire.HashName(r.Account)
	within := r.Forwarded || d.opt.draw() < partOf(&d.screen.parts, key)
	if d.screen.letIn(key, r, within) {
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
func partOf(parts *atomic.Pointer[map[wire.NameHash]float64], key wire.NameHash) float64 {
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
func (sc *screen) letIn(key wire.NameHash, r front.Request, within bool) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	t, ok := sc.tallies[key]
	if !ok {
		t = &tally{left: 1 + sc.plan.PerAccount*screenEvery.Seconds()}
		sc.tallies[key] = t
	}
	if within {
		t.wanted++
		if sc.left > 0 && t.left >= 1 {
			sc.left--
			t.left--
			return true
		}
	}
	t.refused++
	t.tokens += admit.Cost(r.Prompt, r.Output)
	sc.count.Add(1)
	return false
}

// MayForward implements front.Scheduler. A request that is handed on is counted as asked
// for by the router that takes it.
func (d *Dispatcher) MayForward(r front.Request) bool {
	sc := &d.screen
	sc.mu.Lock()
	defer sc.mu.Unlock()
	t, ok := sc.tallies[wire.HashName(r.Account)]
	if !ok || sc.forwards < 1 {
		return false
	}
	sc.forwards--
	t.forwarded++
	t.refused--
	t.tokens -= admit.Cost(r.Prompt, r.Output)
	sc.count.Add(-1)
	return true
}

// longestPlan is the longest time for which a plan lets requests in: one that is made
// later than that is not made up for.
const longestPlan = 150 * time.Millisecond

// screenIfDue counts what was refused and works out anew what is to be.
func (s *state) screenIfDue() {
	if s.now-s.screened < screenEvery {
		return
	}
	s.screened = s.now
	for key, t := range s.planWork() {
		if t.refused > 0 {
			s.core.CountRefused(s.now, key, t.tokens)
		}
	}
	store(&s.d.screen.parts, s.core.AdmitFractions(s.now))
	s.logShares()
}

// planWork makes a plan of what this router has time for until the next one, and returns
// what was counted since the last.
func (s *state) planWork() map[wire.NameHash]*tally {
	sc := &s.d.screen
	sc.mu.Lock()
	defer sc.mu.Unlock()
	counted, in := sc.tallies, s.now-sc.planned
	came, refused := make(map[wire.NameHash]int, len(counted)), 0
	for key, t := range counted {
		came[key] = t.wanted
		refused += t.refused
	}
	sc.plan = s.pace.Plan(in, came, refused, s.neighbours > 0)
	sc.planned, sc.left = s.now, sc.plan.Burst
	sc.forwards = min(sc.forwards, 1) + sc.plan.Forward*min(in, longestPlan).Seconds()
	sc.tallies = make(map[wire.NameHash]*tally, len(counted))
	for key, t := range counted {
		if t.wanted > 0 || t.left < 1 {
			sc.tallies[key] = &tally{left: min(t.left, 1) + sc.plan.PerAccount*min(in, longestPlan).Seconds()}
		}
	}
	s.d.shared.refusing.Store(float64(refused) >= refusingFrom*in.Seconds())
	s.notePace()
	return counted
}

// sharesEvery is the interval at which the shares are logged while accounts
// ask for more than theirs.
const sharesEvery = time.Second

func (s *state) logShares() {
	if s.now-s.sharesAt < sharesEvery {
		return
	}
	s.sharesAt = s.now
	if sh := s.core.Shares(s.now); sh.Throttled > 0 {
		s.d.opt.log.Info("shares", "asked", int64(sh.Demand), "begun", int64(sh.Started), "level", int64(sh.FairShare),
			"screened", sh.Throttled, "least_part", sh.MinFraction, "least_served", sh.LeastServedFraction, "least_account", s.accountName(sh.LeastServedAccount))
	}
}

// accountName returns the name of an account in the table, "" if it has none.
func (s *state) accountName(key wire.NameHash) string {
	t := s.d.Table()
	if t == nil || key == 0 {
		return ""
	}
	for i := range t.Accounts {
		if wire.HashName(t.Accounts[i].Name) == key {
			return t.Accounts[i].Name
		}
	}
	return ""
}

func store(parts *atomic.Pointer[map[wire.NameHash]float64], m map[wire.NameHash]float64) {
	if len(m) == 0 {
		parts.Store(nil)
		return
	}
	parts.Store(&m)
}
