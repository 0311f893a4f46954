package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// addHarmless sends distinct requests to random routers. Callers retry those that were
// disconnected.
func (w *world) addHarmless(until time.Duration) {
	w.every(4*time.Millisecond, func() {
		if w.now >= until {
			return
		}
		n := w.nextID + 1
		w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{
			Prefix: 1 + w.rng.Uint64N(40), Prompt: 900, Shared: 300, Output: 20, Digest: suspect.Digest(1_000_000 + n),
		})
	})
}

// addCrashing sends the same request to random routers at regular intervals.
func (w *world) addCrashing(d suspect.Digest, from, until, gap time.Duration) {
	w.schedule(from, func() {
		w.every(gap, func() {
			if w.now < until {
				w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prefix: 7, Prompt: 900, Shared: 300, Output: 20, Digest: d})
			}
		})
	})
}

// TestCrashingRequestIsBlocked: a request that crashes its backend servers must be blocked
// after three crashes, and no other request may be blocked.
func TestCrashingRequestIsBlocked(t *testing.T) {
	const end = 12 * time.Second
	tests := map[string]struct {
		crashAfter, gap time.Duration
		inject          func(w *world)
		// maxCrashes bounds the number of crashes under the request. If it is three, no send may
		// follow.
		maxCrashes int
	}{
		"at once":                   {5 * time.Millisecond, 200 * time.Millisecond, nil, 3},
		"while the prompt is read":  {400 * time.Millisecond, 500 * time.Millisecond, nil, 3},
		"a router restarts":         {200 * time.Millisecond, 300 * time.Millisecond, func(w *world) { w.schedule(3*time.Second, func() { w.restart(w.order[0]) }) }, 3},
		"the zones are partitioned": {200 * time.Millisecond, 300 * time.Millisecond, func(w *world) { w.cutZones() }, 6},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newWorld(seed, 3, []string{"a", "b"}, 6)
				x := withCrashes(w, map[suspect.Digest]time.Duration{7: tc.crashAfter})
				w.addHarmless(end)
				w.addCrashing(7, 500*time.Millisecond, end, tc.gap)
				if tc.inject != nil {
					tc.inject(w)
				}
				w.run(end)
				if x.crashed[7] == 0 || x.crashed[7] > tc.maxCrashes || tc.maxCrashes == suspect.MaxCrashes && x.lateSends > 0 {
					t.Errorf("seed %d: %d servers crashed; %d sends, %d of them after the limit", seed, x.crashed[7], x.sends[7], x.lateSends)
				}
				if x.blocked > 0 {
					t.Errorf("seed %d: %d harmless requests were refused for crashes", seed, x.blocked)
				}
			}
		})
	}
}

// TestFrequentCrashingRequestIsBlocked: if attempts at several backend servers are in flight
// before the first crash, no other servers may crash.
func TestFrequentCrashingRequestIsBlocked(t *testing.T) {
	const end, first = 8 * time.Second, 500 * time.Millisecond
	for seed := range uint64(10) {
		w := newWorld(seed, 3, []string{"a", "b"}, 6)
		x := withCrashes(w, map[suspect.Digest]time.Duration{7: 550 * time.Millisecond})
		w.addHarmless(end)
		w.addCrashing(7, first, end, 100*time.Millisecond)
		w.run(end)
		early := 0
		for id, s := range w.starts {
			if w.requests[id].request.Digest == 7 && s.at < first+100*time.Millisecond+x.crashAfter[7] {
				early++
			}
		}
		if x.crashed[7] < 2 || x.crashed[7] > max(suspect.MaxCrashes, early) {
			t.Errorf("seed %d: %d servers crashed, %d attempts were in flight before the first crash", seed, x.crashed[7], early)
		}
	}
}

// restart restarts a router without its state. The others send it their crash records.
func (w *world) restart(router string) {
	for id, a := range w.requests {
		if a.router == router {
			w.crashes.disconnected[id] = true
			w.crashes.onEnded(id)
		}
	}
	w.cores[router] = admit.New(admit.Router{Address: router, Zone: zoneOf(router)}, admit.WithSeed(99))
	w.step(router, admit.TableUpdate{Table: w.table})
	w.updateRouters()
	for _, other := range w.order {
		if other == router {
			continue
		}
		w.step(other, admit.PeerGone{From: router})
		for _, m := range w.cores[other].WorstSuspects(w.now) {
			w.deliver(other, router, m)
		}
	}
}

// restartAll restarts all routers without their state.
func (w *world) restartAll(opts ...admit.Option) {
	for id := range w.requests {
		w.crashes.disconnected[id] = true
		w.crashes.onEnded(id)
	}
	for i, router := range w.order {
		w.cores[router] = admit.New(admit.Router{Address: router, Zone: zoneOf(router)}, append(opts, admit.WithSeed(uint64(200+i)))...)
		w.step(router, admit.TableUpdate{Table: w.table})
	}
	w.updateRouters()
}

// cutZones partitions the network between the zones.
func (w *world) cutZones() {
	for _, a := range w.order {
		for _, b := range w.order {
			if zoneOf(a) != zoneOf(b) {
				w.blocked[[2]string{a, b}] = true
			}
		}
	}
	w.updateRouters()
}

// TestUnrelatedCrashesBlockNoRequest: crashes that no request causes must not block any
// request, even if requests are disconnected repeatedly.
func TestUnrelatedCrashesBlockNoRequest(t *testing.T) {
	const end = 10 * time.Second
	tests := map[string]func(w *world, x *crashSim){
		"one at a time": func(w *world, x *crashSim) {
			for i := range 8 {
				w.schedule(time.Duration(1000+700*i)*time.Millisecond, func() { x.crash(w.table.Backends[0].Name) })
			}
		},
		"a rack": func(w *world, x *crashSim) {
			w.schedule(2*time.Second, func() {
				for _, b := range w.table.Backends[:4] {
					x.crash(b.Name)
				}
			})
		},
		"a rack, then the servers that got its requests": func(w *world, x *crashSim) {
			for i := range 2 {
				w.schedule(2*time.Second+time.Duration(i)*20*time.Millisecond, func() {
					for _, b := range w.table.Backends[4*i : 4*i+4] {
						x.crash(b.Name)
					}
				})
			}
		},
		"a rack stalls": func(w *world, x *crashSim) {
			x.stallOnCrash = true
			w.schedule(2*time.Second, func() {
				for _, b := range w.table.Backends[:4] {
					x.crash(b.Name)
				}
			})
		},
		"a fifth stalls repeatedly": func(w *world, x *crashSim) {
			x.stallOnCrash = true
			w.every(2*time.Second, func() {
				for _, b := range w.table.Backends {
					if w.rng.Float64() < 0.2 {
						x.crash(b.Name)
					}
				}
			})
		},
		"a fifth repeatedly": func(w *world, x *crashSim) {
			w.every(2*time.Second, func() {
				for _, b := range w.table.Backends {
					if w.rng.Float64() < 0.2 {
						x.crash(b.Name)
					}
				}
			})
		},
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newWorld(seed, 3, []string{"a", "b"}, 6)
				x := withCrashes(w, nil)
				w.addHarmless(end)
				inject(w, x)
				w.run(end)
				if x.blocked > 0 {
					t.Errorf("seed %d: %d harmless requests were refused", seed, x.blocked)
				}
			}
		})
	}
}

// TestPolledRequestIsServedAfterOutage: a request that many callers send must be served after
// all backend servers crashed while they ran it.
func TestPolledRequestIsServedAfterOutage(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(10) {
		w := newWorld(seed, 3, []string{"a"}, 3)
		x := withCrashes(w, nil)
		w.every(4*time.Millisecond, func() {
			if w.now < end-time.Second {
				w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: 8})
			}
		})
		w.schedule(2*time.Second, func() {
			for _, b := range w.table.Backends {
				x.crash(b.Name)
			}
		})
		w.run(end)
		served := 0
		for _, s := range w.starts {
			if s.at > 6*time.Second && s.first > 0 {
				served++
			}
		}
		if x.blocked > 0 || served < 500 {
			t.Errorf("seed %d: %d requests were refused for crashes, %d answered after the restart", seed, x.blocked, served)
		}
	}
}

// TestPolledRequestIsNotBlocked: a request that many callers send must not be blocked because
// backend servers sometimes break connections.
func TestPolledRequestIsNotBlocked(t *testing.T) {
	const end = 8 * time.Second
	for seed := range uint64(10) {
		w := newWorld(seed, 3, []string{"a"}, 4)
		x := withCrashes(w, nil)
		w.every(20*time.Millisecond, func() {
			if w.now < end-time.Second {
				w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: 8})
			}
		})
		w.every(700*time.Millisecond, func() { x.breakConnections(w.table.Backends[w.rng.IntN(4)].Name) })
		w.run(end)
		if x.blocked > 0 || x.waited > 0 {
			t.Errorf("seed %d: %d requests were refused for crashes, %d for another attempt", seed, x.blocked, x.waited)
		}
	}
}

// TestOneAttemptAtATime: a second attempt of a request under which a backend server crashed
// must wait until the first begins to respond, and is refused if that takes too long.
func TestOneAttemptAtATime(t *testing.T) {
	for name, latency := range map[string]time.Duration{"first attempt responds": 20 * time.Millisecond, "first attempt does not respond": time.Second} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 2, []string{"a"}, 3)
			w.baseLatency = latency
			for _, r := range w.order {
				w.step(r, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 99}}}})
			}
			first := w.submit(w.order[0], admit.Request{Prompt: 900, Digest: 7})
			w.run(w.now + 5*time.Millisecond)
			second := w.submit(w.order[1], admit.Request{Prompt: 900, Digest: 7})
			harmless := w.submit(w.order[1], admit.Request{Prompt: 900, Digest: 8})
			w.run(w.now + 5*time.Millisecond)
			_, firstStarted := w.starts[first]
			_, secondStarted := w.starts[second]
			_, otherStarted := w.starts[harmless]
			if !firstStarted || secondStarted || !otherStarted {
				t.Fatalf("started: first %v, second %v, harmless %v", firstStarted, secondStarted, otherStarted)
			}
			w.run(w.now + 500*time.Millisecond)
			_, secondStarted = w.starts[second]
			_, refused := w.refusals[second]
			if want := latency < time.Second; secondStarted != want || refused == want {
				t.Errorf("second: started %v, refused %v", secondStarted, refused)
			}
		})
	}
}

// TestExclusiveRequestKeepsOthersOut: no new request may join one under which two backend
// servers crashed until it begins to respond.
func TestExclusiveRequestKeepsOthersOut(t *testing.T) {
	w := newWorld(1, 1, []string{"a"}, 1)
	router := w.order[0]
	w.baseLatency = 100 * time.Millisecond
	crashes := []wire.SuspectCrash{{Digest: 7, Server: 98}, {Digest: 7, Server: 99}}
	w.step(router, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Crashes: crashes}})
	w.submit(router, admit.Request{Prompt: 900, Digest: 7})
	w.run(w.now + 50*time.Millisecond)
	other := w.submit(router, admit.Request{Prompt: 900, Digest: 8, MaxWait: time.Second})
	w.run(w.now + 20*time.Millisecond)
	if _, started := w.starts[other]; started {
		t.Error("another request joined the exclusive one")
	}
	w.run(w.now + 100*time.Millisecond)
	if _, started := w.starts[other]; !started {
		t.Error("another request still waits after the response began")
	}
}

// TestInvalidSuspectsAreIgnored: reports with impossible crash times must not be recorded, nor
// more crashes than one message may hold.
func TestInvalidSuspectsAreIgnored(t *testing.T) {
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
		t.Errorf("%d requests have recorded crashes, want 0", n)
	}
	w.step(w.order[0], admit.Message{From: w.order[1], Msg: &wire.SuspectUpdate{Crashes: many}})
	if n := c.SuspectCount(); n > 256 {
		t.Errorf("%d requests have recorded crashes after one message, want at most 256", n)
	}
}

// TestPolledRequestWithCrashingOneIsNotBlocked: a request that many callers send must not be
// blocked because it is in flight whenever another one crashes backend servers.
func TestPolledRequestWithCrashingOneIsNotBlocked(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(40) {
		w := newWorld(seed, 4, []string{"a"}, 3)
		x := withCrashes(w, map[suspect.Digest]time.Duration{7: time.Millisecond})
		x.restartAfter = 500 * time.Millisecond
		w.every(10*time.Millisecond, func() {
			if w.now < end-time.Second {
				w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: 8})
			}
		})
		w.addCrashing(7, 2*time.Second, end, 150*time.Millisecond)
		for i, at := range []time.Duration{1900, 2050, 2200} {
			w.schedule(at*time.Millisecond, func() { w.restart(w.order[i]) })
		}
		w.run(end)
		served := 0
		for id, s := range w.starts {
			if w.requests[id].request.Digest == 8 && s.at > 6*time.Second && s.first > 0 {
				served++
			}
		}
		if x.blocked > 0 || served < 300 {
			t.Errorf("seed %d: %d polled requests were refused for crashes, %d answered afterwards; %d servers crashed under the other request", seed, x.blocked, served, x.crashed[7])
		}
		if x.crashed[7] > suspect.MaxCrashes+2 {
			t.Errorf("seed %d: %d servers crashed under the crashing request", seed, x.crashed[7])
		}
	}
}

// TestDeadServersAccuseNoRequest: a request that many callers send must not be blocked because routers that have just
// started send it to backend servers that crashed before, and others crash soon afterwards.
func TestDeadServersAccuseNoRequest(t *testing.T) {
	const end = 12 * time.Second
	for seed := range uint64(10) {
		w := newWorld(seed, 4, []string{"a"}, 2, admit.WithUniqueIncarnations())
		x := withCrashes(w, nil)
		x.acceptsWhenDown, x.restartAfter = true, 500*time.Millisecond
		w.every(10*time.Millisecond, func() {
			if w.now < end-time.Second {
				digest := suspect.Digest(8 + w.rng.IntN(2))
				w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: digest})
			}
		})
		for _, at := range []time.Duration{2000, 2515} {
			w.schedule(at*time.Millisecond, func() {
				for _, b := range w.table.Backends {
					x.crash(b.Name)
				}
			})
		}
		w.schedule(2100*time.Millisecond, func() { w.restartAll(admit.WithUniqueIncarnations()) })
		w.run(end)
		if x.blocked > 0 {
			t.Errorf("seed %d: %d requests were refused for crashes", seed, x.blocked)
		}
	}
}

// TestLocalAdmissionWaitsForTrial: a request whose owner does not reply must not be sent while another attempt of it
// runs as a trial.
func TestLocalAdmissionWaitsForTrial(t *testing.T) {
	w := newWorld(1, 2, []string{"a"}, 1)
	owner, holder := w.order[0], w.order[1]
	if len(w.cores[owner].Owned()) == 0 {
		owner, holder = holder, owner
	}
	w.blocked[[2]string{holder, owner}] = true
	crash := &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 99}}}
	w.step(holder, admit.Message{From: "other", Msg: crash})
	suspected := w.submit(holder, admit.Request{Prompt: 900, Digest: 7, MaxWait: time.Second})
	harmless := w.submit(holder, admit.Request{Prompt: 900, Digest: 8, MaxWait: time.Second})
	w.step(holder, admit.Message{From: "other", Msg: &wire.SuspectUpdate{Retrying: []uint64{7}}})
	w.run(w.now + 500*time.Millisecond)
	if _, started := w.starts[harmless]; !started {
		t.Error("a harmless request was not admitted without its owner")
	}
	if _, started := w.starts[suspected]; started {
		t.Error("a suspected request was sent beside the trial of another attempt")
	}
}
