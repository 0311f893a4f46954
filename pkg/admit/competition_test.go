package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/shares"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// competitor is an account that asks for more than it can get.
type competitor struct {
	request   admit.Request
	perSecond float64
	// routers are those to which its callers come.
	routers []string
}

// competition is a fleet that is short of capacity, and the accounts that compete for it.
type competition struct {
	world       *world
	competitors []competitor
	// retries is how often a caller returns after a refusal.
	retries int
}

const (
	competitionTime = 14 * time.Second
	// competitionStart is when shares begin to count.
	competitionStart = 2 * time.Second
	// slotsPerEngine is the number of slots that newWorld gives an engine.
	slotsPerEngine = 16
	// returnAfter is when a caller returns after a refusal.
	returnAfter = 150 * time.Millisecond
)

// draw returns one of several values.
func draw[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// drawCompetition draws the size of a fleet, the speed of its engines, how much the table states that they can do, and
// the accounts with their requests, their rates and the routers to which they come. Their demand is a little above what
// the engines can do, or up to five times as much.
func drawCompetition(seed uint64) *competition {
	rng := rand.New(rand.NewPCG(seed, 77))
	w := newWorld(seed, 1+rng.IntN(3), zones, 1+rng.IntN(4))
	perToken := time.Duration(draw(rng, 1, 5, 10, 20)) * time.Microsecond
	for _, e := range w.engines {
		e.perToken = perToken
	}
	w.streamTime = time.Duration(draw(rng, 50, 200, 440, 1000)) * time.Millisecond
	stated := draw(rng, 0, 0.3, 0.8, 1.2, 3, 10)
	prompts := []admit.Request{
		{Prompt: 2000, Output: 60}, {Prompt: 12000, Shared: 5300, Output: 64}, {Prompt: 800, Shared: 200, Output: 50}, {Prompt: 2400, Shared: 560, Output: 4},
	}
	accounts, isMixed, usual := 2+rng.IntN(6), rng.IntN(2) == 0, draw(rng, prompts...)
	overload := draw(rng, 1.05, 1.2, 1.5, 2.5, 5)
	c := &competition{world: w}
	capacity, engines := 0.0, float64(len(w.engines))
	for i := range accounts {
		r := usual
		if isMixed {
			r = draw(rng, prompts...)
		}
		r.Account, r.Target = fmt.Sprint("account-", i), time.Duration(draw(rng, 250, 400, 600))*time.Millisecond
		if r.Shared > 0 {
			r.Prefix = uint64(100 + i)
		}
		routers := w.order
		if rng.IntN(3) > 0 {
			routers = []string{draw(rng, w.order...)}
		}
		bySlots := slotsPerEngine * engines / (w.streamTime + defaultBaseLatency).Seconds()
		byReading := engines / (perToken.Seconds() * float64(r.Prompt-r.Shared))
		possible := min(bySlots, byReading) / float64(accounts)
		capacity += possible * admit.Cost(r.Prompt, r.Output)
		c.competitors = append(c.competitors, competitor{r, overload * possible * (0.6 + 0.8*rng.Float64()), routers})
	}
	if stated > 0 {
		w.setCapacity(stated * capacity)
	}
	c.retries = rng.IntN(3)
	return c
}

// run plays the competition and returns its timeline and the cost of the largest request.
func (c *competition) run() (shares.Timeline, float64) {
	w := c.world
	for _, x := range c.competitors {
		var next func()
		next = func() {
			if w.now < competitionTime {
				c.try(x, c.retries)
				w.schedule(time.Duration(w.rng.ExpFloat64()*float64(time.Second)/x.perSecond), next)
			}
		}
		w.schedule(time.Duration(w.rng.Float64()*float64(time.Second)), next)
	}
	w.run(competitionTime + time.Second)
	timeline, outside, largest := shares.Timeline{}, shares.Timeline{}, 0.0
	at := func(t time.Duration) *shares.Interval {
		if t < competitionStart || t >= competitionTime {
			return outside.At(0)
		}
		return timeline.At(int64(t / time.Second))
	}
	for id, a := range w.requests {
		cost := admit.Cost(a.request.Prompt, a.request.Output)
		largest = max(largest, cost)
		at(a.at).Demand[a.request.Account] += cost
		s, isStarted := w.starts[id]
		if isStarted {
			at(s.at).Started[a.request.Account] += cost
		}
		if !isStarted || s.first > a.request.Target {
			at(a.at).Waiting[a.request.Account] = true
		}
	}
	return timeline, largest
}

// try sends a request, and again if it is refused.
func (c *competition) try(x competitor, retries int) {
	w, r := c.world, x.request
	router := draw(w.rng, x.routers...)
	if !w.submitThrottled(router, r) {
		w.nextID++
		w.requests[w.nextID], w.refusals[w.nextID] = arrival{router: router, request: r, at: w.now}, 0
	}
	id := w.nextID
	if retries > 0 {
		w.schedule(r.Target/4+returnAfter, func() {
			if _, refused := w.refusals[id]; refused {
				c.try(x, retries-1)
			}
		})
	}
}

// starvingSeeds are those of competitions in which an account was once starved.
var starvingSeeds = []uint64{0, 3, 10, 11, 13, 23, 24, 30, 59, 61, 67, 69}

// TestWaitingAccountIsNotStarved: an account that waits for six seconds gets at least half of what it asks, or of what the
// best served one gets, less three requests.
func TestWaitingAccountIsNotStarved(t *testing.T) {
	const intervals = 6
	for _, seed := range starvingSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			timeline, largest := drawCompetition(seed).run()
			lowest := timeline.Lowest(intervals)
			if len(lowest) == 0 {
				t.Fatal("no account waits")
			}
			for _, s := range lowest {
				if s.IsUnfair(largest) {
					t.Errorf("from second %d %s asked for %.0f and began %.0f, %s began %.0f", s.First, s.Account, s.Demand, s.Started, s.Best, s.BestStarted)
				}
			}
		})
	}
}
