package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const (
	// warmRate is the warm-up rate of the tests; a backend server bears half as
	// much more and some requests besides in any second, summed over all routers.
	warmRate  = 18.0
	mostWarm  = warmRate*1.5 + 5
	warmFor   = 3 * time.Second
	warming   = "x-s0"
	fleetEach = 21
)

// warmWorld is 63 routers in three zones before two backend servers each, and a flood
// that comes to all routers.
func warmWorld(seed uint64) *world {
	w := newWorld(seed, fleetEach, zones[:3], 2)
	w.change(func(t *table.Table) {
		t.Services[0].WarmupRate, t.Services[0].WarmupTime = warmRate, warmFor
	})
	w.every(2*time.Millisecond, func() {
		router := w.order[w.rng.IntN(len(w.order))]
		if !w.down[router] {
			w.ask(router, admit.Request{Prefix: 1 + w.rng.Uint64N(40), Prompt: 900, Shared: 300, Output: 20, Account: fmt.Sprint(w.rng.IntN(4))})
		}
	})
	return w
}

// warm has a backend server say for how much longer it warms up.
func (w *world) warm(name string, left time.Duration) {
	w.change(func(t *table.Table) {
		for i := range t.Backends {
			t.Backends[i].WarmupLeft = 0
			if t.Backends[i].Name == name {
				t.Backends[i].WarmupLeft = left
			}
		}
	})
}

// mostInASecond returns the most requests that a backend server got in any second
// between two times.
func (w *world) mostInASecond(name string, from, to time.Duration) int {
	most := 0
	for i, at := range w.sent[name] {
		if at < from || at >= to {
			continue
		}
		n := 0
		for _, later := range w.sent[name][i:] {
			if later < at+time.Second && later < to {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (w *world) sentBetween(name string, from, to time.Duration) int {
	n := 0
	for _, at := range w.sent[name] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func (w *world) ownerOf(name string) string {
	for _, router := range w.order {
		if !w.down[router] {
			for _, owned := range w.cores[router].Owned() {
				if owned == name {
					return router
				}
			}
		}
	}
	return ""
}

// isolate cuts a router off from all others, which lose sight of each other.
func (w *world) isolate(router string, cut bool) {
	for _, other := range w.order {
		w.cut[[2]string{router, other}], w.cut[[2]string{other, router}] = cut, cut
	}
	w.tellRouters()
}

// TestWarmingServerIsPaced floods a backend server that warms up while routers are
// cut off, replaced and lost: in no second does it get more than it bears from all of
// them together.
func TestWarmingServerIsPaced(t *testing.T) {
	tests := map[string]struct {
		trouble func(w *world)
		// least is the part of the rate that is used at least.
		least float64
	}{
		"calm": {func(*world) {}, 0.9},
		"its owner is cut off from the others": {func(w *world) {
			owner := w.ownerOf(warming)
			w.at(500*time.Millisecond, func() { w.isolate(owner, true) })
			w.at(2*time.Second, func() { w.isolate(owner, false) })
		}, 0.5},
		"routers beside it are cut off, each alone": {func(w *world) {
			for i := range 5 {
				w.at(time.Duration(i)*100*time.Millisecond, func() { w.isolate(fmt.Sprintf("x-%d", i), true) })
			}
		}, 0.6},
		"its owner ends": {func(w *world) {
			w.at(700*time.Millisecond, func() { w.kill(w.ownerOf(warming), 20*time.Millisecond) })
		}, 0.6},
		"half of the routers end at once": {func(w *world) {
			w.at(700*time.Millisecond, func() {
				for i := range fleetEach / 2 {
					w.kill(fmt.Sprintf("x-%d", i), 20*time.Millisecond)
				}
			})
		}, 0.4},
		"the zone is cut off from the others": {func(w *world) {
			w.at(500*time.Millisecond, func() {
				for _, a := range w.order {
					for _, b := range w.order {
						if (zoneOf(a) == "x") != (zoneOf(b) == "x") {
							w.cut[[2]string{a, b}] = true
						}
					}
				}
				w.tellRouters()
			})
		}, 0.6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := warmWorld(seed)
				w.run(3 * time.Second)
				from := w.now
				w.warm(warming, warmFor)
				tc.trouble(w)
				w.run(from + warmFor)
				if got := w.mostInASecond(warming, from, w.now); float64(got) > mostWarm {
					t.Errorf("seed %d: %d requests in a second, want at most %v", seed, got, mostWarm)
				}
				used := float64(w.sentBetween(warming, from+time.Second, w.now)) / (warmRate * (warmFor - time.Second).Seconds())
				if used < tc.least {
					t.Errorf("seed %d: %.2f of the rate used after the first second, want %v", seed, used, tc.least)
				}
				t.Logf("seed %d: %d in the busiest second, %.2f of the rate", seed, w.mostInASecond(warming, from, w.now), used)
			}
		})
	}
}

// TestServerThatFellSilentIsPaced has requests find a backend server dark, and then well
// again: until it would have said that it warms up it gets no more than it bears then.
func TestServerThatFellSilentIsPaced(t *testing.T) {
	for name, result := range map[string]admit.Result{"silent": admit.Stalled, "not reached": admit.Unreachable} {
		t.Run(name, func(t *testing.T) {
			w := warmWorld(1)
			w.run(3 * time.Second)
			for id, s := range w.starts {
				if s.Backend.Name == warming && s.first == 0 {
					w.step(s.router, admit.AttemptEnd{ID: id, Result: result})
				}
			}
			w.run(w.now + 10*time.Millisecond)
			from := w.now
			w.run(from + 2*time.Second)
			if got := w.mostInASecond(warming, from, w.now); float64(got) > mostWarm || got < warmRate/2 {
				t.Errorf("%d requests in a second after it came back, want some and at most %v", got, mostWarm)
			}
		})
	}
}

// TestWarmUpEnds looks for full use once a backend server says that it is warm.
func TestWarmUpEnds(t *testing.T) {
	w := warmWorld(1)
	w.run(2 * time.Second)
	w.warm(warming, warmFor)
	w.run(w.now + time.Second)
	w.warm(warming, 0)
	from := w.now
	w.run(from + time.Second)
	if got := w.sentBetween(warming, from, w.now); float64(got) <= mostWarm {
		t.Errorf("%d requests in a second after the warm-up, want more than %v", got, mostWarm)
	}
}

// TestClosedZoneGetsNothing closes zones of a fleet under load: places that were given
// and not yet used lapse, requests that wait go elsewhere or are refused at once.
func TestClosedZoneGetsNothing(t *testing.T) {
	tests := map[string]struct {
		closed []string
		// cut is a zone that loses the others.
		cut string
	}{
		"one":                       {closed: zones[:1]},
		"two":                       {closed: zones[:2]},
		"all":                       {closed: zones[:3]},
		"all but one, which is cut": {closed: zones[:2], cut: zones[2]},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := warmWorld(1)
			w.run(2 * time.Second)
			from := w.now
			for _, a := range w.order {
				for _, b := range w.order {
					if (zoneOf(a) == tc.cut) != (zoneOf(b) == tc.cut) {
						w.cut[[2]string{a, b}] = true
					}
				}
			}
			w.tellRouters()
			w.change(func(t *table.Table) {
				for _, zone := range tc.closed {
					t.Zones = append(t.Zones, table.ZoneRow{Name: zone, Mark: table.ZoneClosed})
				}
			})
			w.run(from + time.Second)
			for server, times := range w.sent {
				for _, zone := range tc.closed {
					if zoneOf(server) == zone && times[len(times)-1] > from {
						t.Errorf("%s got a request %v after its zone was closed", server, times[len(times)-1]-from)
					}
				}
			}
			refused := 0
			for id, after := range w.refusals {
				a := w.asked[id]
				if a.at <= from || len(tc.closed) < 3 && (tc.cut == "" || zoneOf(a.router) == tc.cut) {
					continue
				}
				refused++
				if after > 0 {
					t.Errorf("refused after %v, want at once", after)
					break
				}
			}
			if len(tc.closed) == 3 && refused < 400 {
				t.Errorf("%d refused at once, want all", refused)
			}
		})
	}
}
