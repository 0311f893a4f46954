package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// harmless has requests of their own come to all routers, of which callers whose request
// was cut off come back.
func (w *world) harmless(until time.Duration) {
	w.every(4*time.Millisecond, func() {
		if w.now >= until {
			return
		}
		n := w.nextID + 1
		w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{
			Prefix: 1 + w.rng.Uint64N(40), Prompt: 900, Shared: 300, Output: 20, Digest: suspect.Digest(1_000_000 + n),
		})
	})
}

// deadly has the callers of a request try it again and again, at any router.
func (w *world) deadly(d suspect.Digest, from, until, gap time.Duration) {
	w.at(from, func() {
		w.every(gap, func() {
			if w.now < until {
				w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{Prefix: 7, Prompt: 900, Shared: 300, Output: 20, Digest: d})
			}
		})
	})
}

// TestDeadlyRequestEndsThreeServers has requests end their servers, in fleets that lose
// routers and messages meanwhile.
func TestDeadlyRequestEndsThreeServers(t *testing.T) {
	const end = 12 * time.Second
	tests := map[string]struct {
		after, gap time.Duration
		disturb    func(w *world)
		// most is how many servers may end under a request; where it is three it is not
		// sent after that.
		most int
	}{
		"at once":              {5 * time.Millisecond, 200 * time.Millisecond, nil, 3},
		"while it is read":     {400 * time.Millisecond, 500 * time.Millisecond, nil, 3},
		"a router starts anew": {200 * time.Millisecond, 300 * time.Millisecond, func(w *world) { w.at(3*time.Second, func() { w.restart(w.order[0]) }) }, 3},
		"the zones are cut":    {200 * time.Millisecond, 300 * time.Millisecond, func(w *world) { w.cutZones() }, 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newWorld(seed, 3, []string{"a", "b"}, 6)
				x := withCrashes(w, map[suspect.Digest]time.Duration{7: tc.after})
				w.harmless(end)
				w.deadly(7, 500*time.Millisecond, end, tc.gap)
				if tc.disturb != nil {
					tc.disturb(w)
				}
				w.run(end)
				if x.under[7] == 0 || x.under[7] > tc.most || tc.most == suspect.MaxCrashes && x.late > 0 {
					t.Errorf("seed %d: %d servers ended, %d sends, %d of them late", seed, x.under[7], x.sends[7], x.late)
				}
				if x.barred > 0 {
					t.Errorf("seed %d: %d harmless requests were refused for ends of servers", seed, x.barred)
				}
			}
		})
	}
}

// TestHotDeadlyRequestIsNotSentOn has several tries of a request under way at different
// servers before the first of these ends: those servers end, and no other.
func TestHotDeadlyRequestIsNotSentOn(t *testing.T) {
	const end, first = 8 * time.Second, 500 * time.Millisecond
	for seed := range uint64(10) {
		w := newWorld(seed, 3, []string{"a", "b"}, 6)
		x := withCrashes(w, map[suspect.Digest]time.Duration{7: 550 * time.Millisecond})
		w.harmless(end)
		w.deadly(7, first, end, 100*time.Millisecond)
		w.run(end)
		early := 0
		for id, s := range w.starts {
			if w.asked[id].request.Digest == 7 && s.at < first+100*time.Millisecond+x.after[7] {
				early++
			}
		}
		if x.under[7] < 2 || x.under[7] > max(suspect.MaxCrashes, early) {
			t.Errorf("seed %d: %d servers ended, %d tries were under way before the first end", seed, x.under[7], early)
		}
	}
}

// restart has a router lose all that it knew; the others tell it what they know of ends.
func (w *world) restart(router string) {
	for id, a := range w.asked {
		if a.router == router {
			w.crash.dead[id] = true
			w.crash.ended(id)
		}
	}
	w.cores[router] = admit.New(admit.Router{Address: router, Zone: zoneOf(router)}, admit.WithSeed(99))
	w.step(router, admit.TableUpdate{Table: w.table})
	w.tellRouters()
	for _, other := range w.order {
		if other == router {
			continue
		}
		w.step(other, admit.PeerGone{From: router})
		if m := w.cores[other].WorstSuspects(w.now); m != nil {
			w.deliver(other, router, m)
		}
	}
}

// restartAll has all routers lose all that they knew.
func (w *world) restartAll() {
	for id := range w.asked {
		w.crash.dead[id] = true
		w.crash.ended(id)
	}
	for i, router := range w.order {
		w.cores[router] = admit.New(admit.Router{Address: router, Zone: zoneOf(router)}, admit.WithSeed(uint64(200+i)))
		w.step(router, admit.TableUpdate{Table: w.table})
	}
	w.tellRouters()
}

// cutZones keeps the routers of each zone from hearing those of the other.
func (w *world) cutZones() {
	for _, a := range w.order {
		for _, b := range w.order {
			if zoneOf(a) != zoneOf(b) {
				w.cut[[2]string{a, b}] = true
			}
		}
	}
	w.tellRouters()
}

// TestOtherEndsMakeNobodyASuspect ends servers by other causes, one after the other, many at
// once, and so that those that were cut off are cut off again: nobody is refused for it.
func TestOtherEndsMakeNobodyASuspect(t *testing.T) {
	const end = 10 * time.Second
	tests := map[string]func(w *world, x *crashes){
		"one after the other": func(w *world, x *crashes) {
			for i := range 8 {
				w.at(time.Duration(1000+700*i)*time.Millisecond, func() { x.end(w.table.Backends[0].Name) })
			}
		},
		"a rack": func(w *world, x *crashes) {
			w.at(2*time.Second, func() {
				for _, b := range w.table.Backends[:4] {
					x.end(b.Name)
				}
			})
		},
		"and again those that took over": func(w *world, x *crashes) {
			for i := range 2 {
				w.at(2*time.Second+time.Duration(i)*20*time.Millisecond, func() {
					for _, b := range w.table.Backends[4*i : 4*i+4] {
						x.end(b.Name)
					}
				})
			}
		},
		"a rack goes dark": func(w *world, x *crashes) {
			x.silent = true
			w.at(2*time.Second, func() {
				for _, b := range w.table.Backends[:4] {
					x.end(b.Name)
				}
			})
		},
		"a fifth goes dark, again and again": func(w *world, x *crashes) {
			x.silent = true
			w.every(2*time.Second, func() {
				for _, b := range w.table.Backends {
					if w.rng.Float64() < 0.2 {
						x.end(b.Name)
					}
				}
			})
		},
		"a fifth, again and again": func(w *world, x *crashes) {
			w.every(2*time.Second, func() {
				for _, b := range w.table.Backends {
					if w.rng.Float64() < 0.2 {
						x.end(b.Name)
					}
				}
			})
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newWorld(seed, 3, []string{"a", "b"}, 6)
				x := withCrashes(w, nil)
				w.harmless(end)
				disturb(w, x)
				w.run(end)
				if x.barred > 0 {
					t.Errorf("seed %d: %d harmless requests were refused", seed, x.barred)
				}
			}
		})
	}
}

// TestManyOfTheSame has callers poll, all with the same request, and all servers end at once
// while they run some: when servers are back, it is served.
func TestManyOfTheSame(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(10) {
		w := newWorld(seed, 3, []string{"a"}, 3)
		x := withCrashes(w, nil)
		w.every(4*time.Millisecond, func() {
			if w.now < end-time.Second {
				w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: 8})
			}
		})
		w.at(2*time.Second, func() {
			for _, b := range w.table.Backends {
				x.end(b.Name)
			}
		})
		w.run(end)
		served := 0
		for _, s := range w.starts {
			if s.at > 6*time.Second && s.first > 0 {
				served++
			}
		}
		if x.barred > 0 || served < 500 {
			t.Errorf("seed %d: %d are refused for ends of servers, %d served once servers are back", seed, x.barred, served)
		}
	}
}

// TestPolledRequestIsNobodysFault has callers poll, all with the same request, while servers
// break connections off, now here, now there, and go on: it is refused to nobody for that.
func TestPolledRequestIsNobodysFault(t *testing.T) {
	const end = 8 * time.Second
	for seed := range uint64(10) {
		w := newWorld(seed, 3, []string{"a"}, 4)
		x := withCrashes(w, nil)
		w.every(20*time.Millisecond, func() {
			if w.now < end-time.Second {
				w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: 8})
			}
		})
		w.every(700*time.Millisecond, func() { x.breakOff(w.table.Backends[w.rng.IntN(4)].Name) })
		w.run(end)
		if x.barred > 0 || x.waited > 0 {
			t.Errorf("seed %d: %d are refused for ends of servers, %d for another try", seed, x.barred, x.waited)
		}
	}
}

// TestOneTryRunsAtATime has two routers hold tries of a request under which a server ended:
// the second waits for the first to begin to answer, and is refused with a time to come
// back when it can wait no longer.
func TestOneTryRunsAtATime(t *testing.T) {
	for name, hold := range map[string]time.Duration{"the first begins to answer": 20 * time.Millisecond, "the first does not": time.Second} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 2, []string{"a"}, 3)
			w.base = hold
			for _, r := range w.order {
				w.step(r, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 99}}}})
			}
			first := w.ask(w.order[0], admit.Request{Prompt: 900, Digest: 7})
			w.run(w.now + 5*time.Millisecond)
			second := w.ask(w.order[1], admit.Request{Prompt: 900, Digest: 7})
			harmless := w.ask(w.order[1], admit.Request{Prompt: 900, Digest: 8})
			w.run(w.now + 5*time.Millisecond)
			_, one := w.starts[first]
			_, two := w.starts[second]
			_, other := w.starts[harmless]
			if !one || two || !other {
				t.Fatalf("started: first %v, second %v, a harmless one %v", one, two, other)
			}
			w.run(w.now + 500*time.Millisecond)
			_, two = w.starts[second]
			_, refused := w.refusals[second]
			if want := hold < time.Second; two != want || refused == want {
				t.Errorf("the second started: %v, is refused: %v", two, refused)
			}
		})
	}
}

// TestAloneKeepsOthersOff has a request run under which two servers ended: nothing new
// joins it until it begins to answer.
func TestAloneKeepsOthersOff(t *testing.T) {
	w := newWorld(1, 1, []string{"a"}, 1)
	router := w.order[0]
	w.base = 100 * time.Millisecond
	ends := []wire.SuspectCrash{{Digest: 7, Server: 98}, {Digest: 7, Server: 99}}
	w.step(router, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Crashes: ends}})
	w.ask(router, admit.Request{Prompt: 900, Digest: 7})
	w.run(w.now + 50*time.Millisecond)
	beside := w.ask(router, admit.Request{Prompt: 900, Digest: 8, MaxWait: time.Second})
	w.run(w.now + 20*time.Millisecond)
	if _, started := w.starts[beside]; started {
		t.Error("another request joined it")
	}
	w.run(w.now + 100*time.Millisecond)
	if _, started := w.starts[beside]; !started {
		t.Error("another request waits though it has begun to answer")
	}
}

// TestSuspectsThatAreDamaged tells of ends that cannot have been: nothing is kept of them.
func TestSuspectsThatAreDamaged(t *testing.T) {
	w := newWorld(1, 2, []string{"a"}, 1)
	c := w.cores[w.order[0]]
	var many []wire.SuspectCrash
	for i := range 10_000 {
		many = append(many, wire.SuspectCrash{Digest: uint64(1000 + i), Server: wire.HashName(fmt.Sprint(i))})
	}
	w.step(w.order[0], admit.Message{From: w.order[1], Msg: &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{
		{Digest: 0, Server: 1}, {Digest: 7, Server: 1, AgoMillis: -5}, {Digest: 7, Server: 2, AgoMillis: 1 << 62},
		{Digest: 7, Server: 3, SentBeforeMillis: -1}, {Digest: 7, Server: 4, SentBeforeMillis: 1 << 62},
	}}})
	if n := c.SuspectCount(); n != 0 {
		t.Errorf("%d requests are remembered", n)
	}
	w.step(w.order[0], admit.Message{From: w.order[1], Msg: &wire.SuspectUpdate{Crashes: many}})
	if n := c.SuspectCount(); n > 256 {
		t.Errorf("%d requests are remembered of one message", n)
	}
}

// TestPolledBesideADeadlyRequest has callers poll, all with the same request, while another one
// ends servers, and routers start anew: the polled one is at each end, and is refused to nobody
// for that, since it ran to its end a moment before.
func TestPolledBesideADeadlyRequest(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(40) {
		w := newWorld(seed, 4, []string{"a"}, 3)
		x := withCrashes(w, map[suspect.Digest]time.Duration{7: time.Millisecond})
		x.away = 500 * time.Millisecond
		w.every(10*time.Millisecond, func() {
			if w.now < end-time.Second {
				w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: 8})
			}
		})
		w.deadly(7, 2*time.Second, end, 150*time.Millisecond)
		for i, at := range []time.Duration{1900, 2050, 2200} {
			w.at(at*time.Millisecond, func() { w.restart(w.order[i]) })
		}
		w.run(end)
		served := 0
		for id, s := range w.starts {
			if w.asked[id].request.Digest == 8 && s.at > 6*time.Second && s.first > 0 {
				served++
			}
		}
		if x.barred > 0 || served < 300 {
			t.Errorf("seed %d: %d are refused for ends of servers, %d served once these are past; %d ended under the deadly one", seed, x.barred, served, x.under[7])
		}
		if x.under[7] > suspect.MaxCrashes+2 {
			t.Errorf("seed %d: %d servers ended under the deadly request", seed, x.under[7])
		}
	}
}
