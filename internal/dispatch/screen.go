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

// screen refuses requests of accounts that ask for much more than they can
// get, in the callers' own tasks: a flood must not cost the decisions of
// others their time.
type screen struct {
	// parts is which part of an account's requests is tried.
	parts atomic.Pointer[map[wire.Key]float64]
	mu    sync.Mutex
	// refused is what was asked for by refused requests since it was last
	// counted, in tokens.
	refused map[wire.Key]float64
}

// Screen implements front.Scheduler.
func (d *Dispatcher) Screen(r front.Request) *verdict.Error {
	parts := d.screen.parts.Load()
	if parts == nil || r.Account == "" {
		return nil
	}
	key := wire.KeyOf(r.Account)
	part, ok := (*parts)[key]
	if !ok || rand.Float64() < part {
		return nil
	}
	d.screen.mu.Lock()
	d.screen.refused[key] += admit.Cost(r.Prompt, r.Output)
	d.screen.mu.Unlock()
	return errOverShare.After(comeBackLate + time.Duration(rand.Int64N(int64(comeBackLate))))
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
	parts := s.core.Screen(s.now)
	if parts == nil {
		sc.parts.Store(nil)
		return
	}
	sc.parts.Store(&parts)
}
