package dispatch

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// screenEvery is the interval at which it is worked out which accounts ask
	// for much more than they can get.
	screenEvery = 50 * time.Millisecond
	// comeBackLate is when a request of such an account may come back, at the
	// earliest; up to as much again is added by chance.
	comeBackLate = time.Second
)

var errOverShare = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share",
	"the client account asks for much more than its share; come back as told")

var errOverloaded = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "overloaded",
	"this entry instance has no time for the request; send it again, another one may have")

// screen refuses requests of accounts that ask for much more than they can
// get, in the callers' own tasks: a flood must not cost the decisions of
// others their time.
type screen struct {
	// parts is which part of an account's requests is tried, keep which part
	// this router has time for.
	parts, keep atomic.Pointer[map[wire.Key]float64]
	mu          sync.Mutex
	// refused is what was asked for by refused requests since it was last
	// counted, in tokens.
	refused map[wire.Key]float64
	// count counts the refused requests since the start.
	count atomic.Int64
}

// Screen implements front.Scheduler.
func (d *Dispatcher) Screen(r front.Request) *verdict.Error {
	if r.Account == "" {
		return nil
	}
	key := wire.KeyOf(r.Account)
	share, inTime := partOf(&d.screen.parts, key), partOf(&d.screen.keep, key)
	// What is refused for the one reason takes no time either, so that the lesser
	// part counts and not both: else an account whose callers come to few small
	// routers gets a fraction of its share.
	switch {
	case rand.Float64() < min(share, inTime):
		return nil
	case share <= inTime:
		d.screen.note(key, r)
		return errOverShare.After(comeBackLate + rand.N(comeBackLate))
	default:
		d.screen.note(key, r)
		return errOverloaded.After(front.RetryElsewhere())
	}
}

// partOf returns the part of an account's requests that is worked on.
func partOf(parts *atomic.Pointer[map[wire.Key]float64], key wire.Key) float64 {
	m := parts.Load()
	if m == nil {
		return 1
	}
	if part, ok := (*m)[key]; ok {
		return part
	}
	return 1
}

// note counts what was asked for by a refused request.
func (sc *screen) note(key wire.Key, r front.Request) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.count.Add(1)
	sc.refused[key] += admit.Cost(r.Prompt, r.Output)
}

// screenIfDue counts what was refused and works out anew what is to be.
func (s *state) screenIfDue() {
	if s.now-s.screened < screenEvery {
		return
	}
	s.screened = s.now
	sc := &s.d.screen
	sc.mu.Lock()
	refused := sc.refused
	if len(refused) > 0 {
		sc.refused = map[wire.Key]float64{}
	}
	sc.mu.Unlock()
	for key, tokens := range refused {
		s.core.Screened(s.now, key, tokens)
	}
	store(&sc.parts, s.core.Screen(s.now))
	store(&sc.keep, s.core.Keep(s.now, s.pace.Part()))
	s.logShares()
}

// sharesEvery is the interval at which the shares are logged while accounts
// ask for more than theirs.
const sharesEvery = time.Second

func (s *state) logShares() {
	if s.now-s.sharesAt < sharesEvery {
		return
	}
	s.sharesAt = s.now
	if sh := s.core.Shares(s.now); sh.Screened > 0 {
		s.d.opt.log.Info("shares", "asked", int64(sh.Asked), "begun", int64(sh.Begun), "level", int64(sh.Level),
			"screened", sh.Screened, "least_part", sh.LeastPart)
	}
}

func store(parts *atomic.Pointer[map[wire.Key]float64], m map[wire.Key]float64) {
	if len(m) == 0 {
		parts.Store(nil)
		return
	}
	parts.Store(&m)
}
