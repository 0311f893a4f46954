package dispatch

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Processor times of the modelled routers.
const (
	// smallRouterCores is a fifth of a core minus the baseline use.
	smallRouterCores = 0.145
	refusalCost      = 55 * time.Microsecond
	// startCost is the cost of a request until it is sent, streamCost that of forwarding
	// its events during streamDuration.
	startCost      = 320 * time.Microsecond
	streamCost     = 270 * time.Microsecond
	streamDuration = 1200 * time.Millisecond
)

const (
	loadStep = 10 * time.Millisecond
	// healthCheckInterval is the load balancer's interval. Two failed checks remove a
	// router.
	healthCheckInterval = time.Second
	// A caller waits at most 1/retryFraction of its remaining time before it retries.
	retryFraction = 3
	// Two in five callers have shortDeadline, the others longDeadline.
	shortDeadline, longDeadline = 3 * time.Second, 12 * time.Second
)

// loadedRouter is a router with a limited processor share behind a load balancer that checks
// its health.
type loadedRouter struct {
	s *state
	// backlog is the pending work in processor time. scheduled is the work that each coming
	// step adds for started requests.
	backlog      time.Duration
	scheduled    []time.Duration
	failedChecks int
	removed      bool
}

func newLoadedRouter(s *state) loadedRouter {
	return loadedRouter{s: s, scheduled: make([]time.Duration, streamDuration/loadStep)}
}

// advance works off the backlog for one step.
func (r *loadedRouter) advance(cores float64) {
	r.backlog += r.scheduled[0]
	r.scheduled = append(r.scheduled[1:], 0)
	r.backlog = max(0, r.backlog-time.Duration(cores*float64(loadStep)))
}

// scheduleWork spreads the cost of forwarding a response over the coming steps.
func (r *loadedRouter) scheduleWork(cost time.Duration) {
	for i := range r.scheduled {
		r.scheduled[i] += cost / time.Duration(len(r.scheduled))
	}
}

// healthCheck runs the load balancer's check if it is due.
func (r *loadedRouter) healthCheck(now time.Duration) {
	switch {
	case now%healthCheckInterval != 0:
	case !r.s.d.Overloaded():
		r.failedChecks, r.removed = 0, false
	default:
		r.failedChecks++
		r.removed = r.removed || r.failedChecks >= 2
	}
}

// throttlingRouter is a loadedRouter with a fixed admit fraction for one account.
type throttlingRouter struct {
	loadedRouter
	started int
}

func newThrottlingRouter(key wire.NameHash, share float64) *throttlingRouter {
	d := &Dispatcher{opt: options{clock: clock.System(), log: slog.New(slog.DiscardHandler), random: rand.Float64}}
	d.admission = newAdmission()
	storeFractions(&d.admission.fractions, map[wire.NameHash]float64{key: share})
	return &throttlingRouter{loadedRouter: newLoadedRouter(&state{d: d, core: admit.New(admit.Router{Address: "r"}), estimator: admit.NewCapacityEstimator(smallCores)})}
}

// step advances the router by one step.
func (r *throttlingRouter) step(now time.Duration) {
	r.advance(smallRouterCores)
	if now%(50*time.Millisecond) == 0 {
		r.s.now = time.Hour + now
		r.s.observeLag(time.Duration(float64(r.backlog) / smallRouterCores))
		r.s.replan()
	}
	r.healthCheck(now)
}

// handleRequest handles a request and returns its Retry-After, 0 if it was admitted.
func (r *throttlingRouter) handleRequest(q front.Request) (retryAfter time.Duration) {
	if err := r.s.d.CheckAdmission(q); err != nil {
		r.backlog += refusalCost
		return err.RetryAfter
	}
	r.backlog += startCost
	r.scheduleWork(streamCost)
	r.started++
	return 0
}

// TestOverloadAtSmallRouters guards against early retries that use up the processor time of an
// overloaded router. The callers of one account send three times its share, reach the first
// healthy router, and retry once.
func TestOverloadAtSmallRouters(t *testing.T) {
	tests := map[string]struct {
		duration time.Duration
		want     float64
	}{
		"2 s": {2 * time.Second, 0.5},
		"4 s": {4 * time.Second, 0.3},
		"6 s": {6 * time.Second, 0.25},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := startedFraction(900, tc.duration, 1/3.0); got < tc.want {
				t.Errorf("%.2f of the requests started, want at least %.2f", got, tc.want)
			}
		})
	}
}

// startedFraction returns the fraction of the requests that start, including retries.
func startedFraction(perSecond int, duration time.Duration, share float64) float64 {
	started, sent := 0, 0
	key := wire.HashName("moka")
	var routers []*throttlingRouter
	for range 4 {
		routers = append(routers, newThrottlingRouter(key, share))
	}
	runs := duration + longDeadline
	retriesByStep := make([]int, runs/loadStep+1)
	for now := time.Duration(0); now < runs; now += loadStep {
		first := routers[0]
		for _, r := range routers {
			if !r.removed {
				first = r
				break
			}
		}
		arrivals := 0
		if now < duration {
			arrivals = perSecond * int(loadStep) / int(time.Second)
		} else {
			storeFractions(&first.s.d.admission.fractions, nil)
		}
		sent += arrivals
		for n := range arrivals + retriesByStep[now/loadStep] {
			remaining := longDeadline
			if n%5 < 2 {
				remaining = shortDeadline
			}
			delay := first.handleRequest(front.Request{Account: "moka", Prompt: 1000, Deadline: time.Now().Add(remaining)})
			if at := now + min(delay, remaining/retryFraction); delay > 0 && n < arrivals && at < runs {
				retriesByStep[at/loadStep]++
			}
		}
		for _, r := range routers {
			r.step(now)
		}
	}
	for _, r := range routers {
		started += r.started
	}
	return float64(started) / float64(sent)
}
