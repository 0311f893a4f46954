package admit_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

var zones = []string{"x", "y", "z"}

// addLoad sends requests of an account to random routers at a mean rate until a time.
func (w *world) addLoad(account string, perSecond float64, routers []string, r admit.Request, until time.Duration) {
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		r.Account = account
		w.submit(routers[w.rng.IntN(len(routers))], r)
		w.schedule(time.Duration(w.rng.ExpFloat64()*float64(gap)), next)
	}
	w.schedule(0, next)
}

// startsByServer returns how many requests were sent to each backend server.
func (w *world) startsByServer() map[string]int {
	counts := map[string]int{}
	for _, s := range w.starts {
		counts[s.Backend.Name]++
	}
	return counts
}

// prefixMisses returns the backend servers that had to process the shared prefix, because they
// neither had it nor copied it.
func (w *world) prefixMisses() []string {
	order := slices.SortedFunc(maps.Values(w.starts), func(a, b startRecord) int { return cmp.Compare(a.ID, b.ID) })
	sent := map[string]bool{}
	var misses []string
	for _, s := range order {
		if !sent[s.Backend.Name] && s.CopyPrefixFrom == "" {
			misses = append(misses, s.Backend.Name)
		}
		sent[s.Backend.Name] = true
	}
	return misses
}

// TestRarePromptStaysOnOneServer: requests for the same prompt, one at a time at all routers,
// must go to one backend server.
func TestRarePromptStaysOnOneServer(t *testing.T) {
	w := newWorld(1, 3, zones, 4)
	for i := range 30 {
		w.schedule(time.Duration(i)*100*time.Millisecond, func() {
			w.submit(w.order[i%len(w.order)], admit.Request{Prefix: 77, Prompt: 3000, Shared: 2000, Output: 100})
		})
	}
	w.run(5 * time.Second)
	if len(w.starts) != 30 || len(w.startsByServer()) != 1 {
		t.Errorf("%d requests started at %v, want 30 at one backend server", len(w.starts), w.startsByServer())
	}
}

// TestFrequentPromptSpreads: a prompt that is too frequent for one backend server must spread
// over several, few of which process its shared prefix.
func TestFrequentPromptSpreads(t *testing.T) {
	w := newWorld(1, 3, zones, 4)
	w.addLoad("moka", 120, w.order, admit.Request{Prefix: 77, Prompt: 3000, Shared: 1000, Output: 100}, 4*time.Second)
	w.run(6 * time.Second)
	if served := float64(len(w.starts)) / float64(len(w.requests)); served < 0.9 {
		t.Errorf("only %.2f of the requests started, at %v", served, w.startsByServer())
	}
	if len(w.startsByServer()) < 3 {
		t.Errorf("the prompt was read only at %v", w.startsByServer())
	}
	if reads := w.prefixMisses(); len(reads) > len(zones) {
		t.Errorf("the shared prefix was read at %v, want at most one per zone", reads)
	}
}

// TestFirstEventsMeetTarget: under threefold overload, requests that start must meet their
// targets, and the others must be refused soon.
func TestFirstEventsMeetTarget(t *testing.T) {
	w := newWorld(1, 3, zones, 2)
	w.streamTime = 50 * time.Millisecond
	for i := range 6 {
		w.addLoad(fmt.Sprintf("account-%d", i), 60, w.order, admit.Request{Prompt: 5000, Output: 50}, 5*time.Second)
	}
	w.run(8 * time.Second)
	late := 0
	for _, s := range w.starts {
		if s.first > 400*time.Millisecond {
			late++
		}
	}
	if fraction := float64(late) / float64(len(w.starts)); fraction > 0.05 {
		t.Errorf("%.3f of %d first events missed the target", fraction, len(w.starts))
	}
	// Six engines read 600 prompts in 5 s, at 100,000 tokens per second each.
	if len(w.starts) < 420 {
		t.Errorf("only %d requests started", len(w.starts))
	}
	for id, waited := range w.refusals {
		if waited > 130*time.Millisecond {
			t.Fatalf("request %d was refused after %v", id, waited)
		}
	}
}

// TestSharesAreEven: under overload, accounts must get even shares even if some send ten times
// as many requests or use a single router.
func TestSharesAreEven(t *testing.T) {
	tests := map[string]struct {
		rates   []float64
		routers func(w *world, i int) []string
	}{
		"same rate":                             {[]float64{40, 40, 40, 40}, func(w *world, _ int) []string { return w.order }},
		"one account sends ten times as many":   {[]float64{300, 30, 30, 30}, func(w *world, _ int) []string { return w.order }},
		"one account uses one router":           {[]float64{60, 60, 60, 60}, func(w *world, i int) []string { return w.order[:len(w.order)-8*boolToInt(i == 0)] }},
		"each account uses its own router":      {[]float64{60, 60, 60, 60}, func(w *world, i int) []string { return w.order[i : i+1] }},
		"two accounts send ten times as many":   {[]float64{300, 300, 30, 30}, func(w *world, _ int) []string { return w.order }},
		"one account sends less than its share": {[]float64{60, 60, 60, 8}, func(w *world, _ int) []string { return w.order }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 3, zones, 2)
			w.streamTime = 50 * time.Millisecond
			for i, rate := range tc.rates {
				w.addLoad(fmt.Sprintf("account-%d", i), rate, tc.routers(w, i), admit.Request{Prompt: 5000, Output: 50}, 8*time.Second)
			}
			w.run(10 * time.Second)
			served, sent := make([]float64, len(tc.rates)), make([]float64, len(tc.rates))
			for id, a := range w.requests {
				if a.at < 2*time.Second {
					continue
				}
				var i int
				_, _ = fmt.Sscanf(a.request.Account, "account-%d", &i)
				sent[i]++
				if _, ok := w.starts[id]; ok {
					served[i]++
				}
			}
			best := slices.Max(served)
			for i := range served {
				if expected := min(sent[i], best); served[i] < 0.6*expected {
					t.Errorf("account %d sent %v requests, of which %v started; the best got %v", i, sent[i], served[i], best)
				}
			}
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestDecidesWithoutOwner: requests must be decided in time when owners are killed or isolated,
// or messages are lost.
func TestDecidesWithoutOwner(t *testing.T) {
	tests := map[string]func(w *world){
		"owner killed, detected late": func(w *world) { w.kill("x-0", 500*time.Millisecond) },
		"all but one killed": func(w *world) {
			for _, r := range w.order[1:] {
				w.kill(r, 500*time.Millisecond)
			}
		},
		"one router isolated": func(w *world) {
			for _, r := range w.order[1:] {
				w.blocked[[2]string{w.order[0], r}] = true
				w.blocked[[2]string{r, w.order[0]}] = true
			}
		},
		"message loss": func(w *world) { w.loss = 0.3 },
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 3, zones, 4)
			w.addLoad("moka", 60, w.order, admit.Request{Prompt: 1500, Output: 50, Prefix: 5}, 4*time.Second)
			w.schedule(time.Second, func() { inject(w) })
			w.run(6 * time.Second)
			started := 0
			for id, a := range w.requests {
				if w.down[a.router] {
					continue
				}
				s, ok := w.starts[id]
				waited, refused := w.refusals[id]
				if ok {
					waited = s.Waited
					started++
				}
				if !ok && !refused || waited > 130*time.Millisecond {
					t.Fatalf("request %d, sent at %v, waited %v (started %v, refused %v)", id, a.at, waited, ok, refused)
				}
			}
			if fraction := float64(started) / float64(len(w.requests)); name != "all but one killed" && fraction < 0.8 {
				t.Errorf("only %.2f of the requests started", fraction)
			}
		})
	}
}

// TestLeavingServerGetsNoRequests: a leaving backend server must get no requests, not even
// those that waited for it.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	w := newWorld(3, 2, zones, 1)
	w.addLoad("moka", 200, w.order, admit.Request{Prompt: 4000, Output: 50, Prefix: 5, Shared: 1000}, 3*time.Second)
	w.schedule(time.Second, func() {
		v := &table.Table{Revision: 2, Services: []table.ServiceRow{{Name: service, Engine: true}}}
		for name := range w.engines {
			b := table.Backend{Name: name, Zone: zoneOf(name[:len(name)-1] + "0"), Address: name, Models: []string{service}, Slots: 16, Mark: table.Serving}
			if name == "x-s0" {
				b.Mark = table.Leaving
			}
			v.Backends = append(v.Backends, b)
		}
		for _, r := range w.order {
			w.step(r, admit.TableUpdate{Table: v})
		}
	})
	w.run(5 * time.Second)
	for id, s := range w.starts {
		if s.Backend.Name == "x-s0" && s.at > time.Second {
			t.Fatalf("request %d was sent to x-s0 at %v", id, s.at)
		}
	}
	if len(w.starts) == 0 {
		t.Error("no request started")
	}
}

// TestRandomFaults: under random load and faults, live routers must decide every request in
// time, and no owner may count requests that have ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, zones, 2)
		w.streamTime = time.Duration(rapid.IntRange(10, 800).Draw(t, "hold")) * time.Millisecond
		for i := range rapid.IntRange(1, 4).Draw(t, "accounts") {
			r := admit.Request{
				Prompt: int64(rapid.IntRange(100, 9000).Draw(t, "prompt")), Output: 50,
				Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")), Shared: 90,
			}
			w.addLoad(fmt.Sprint("account-", i), float64(rapid.IntRange(5, 120).Draw(t, "rate")), w.order, r, 3*time.Second)
		}
		for range rapid.IntRange(0, 2).Draw(t, "faults") {
			victim := rapid.SampledFrom(w.order).Draw(t, "victim")
			at := time.Duration(rapid.IntRange(0, 2500).Draw(t, "at")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				w.schedule(at, func() { w.kill(victim, 300*time.Millisecond) })
			case 1:
				w.schedule(at, func() { w.loss = 0.2 })
				w.schedule(at+time.Second, func() { w.loss = 0 })
			case 2:
				other := rapid.SampledFrom(w.order).Draw(t, "other")
				w.schedule(at, func() { w.blocked[[2]string{victim, other}] = true })
				w.schedule(at+time.Second, func() { delete(w.blocked, [2]string{victim, other}) })
			}
		}
		w.run(10 * time.Second)
		for id, a := range w.requests {
			_, started := w.starts[id]
			waited, refused := w.refusals[id]
			if !w.down[a.router] && (!started && !refused || started && refused || waited > 130*time.Millisecond) {
				t.Fatalf("request %d: started %v, refused %v after %v", id, started, refused, waited)
			}
		}
		for _, name := range w.order {
			if n := w.cores[name].Waiting(); n > 0 && !w.down[name] {
				t.Fatalf("%d requests still wait at %s", n, name)
			}
			for server, n := range w.cores[name].RunningByBackend() {
				if !w.down[name] && n > 0 {
					t.Fatalf("%s counts %d requests at %s, all of which have ended", name, n, server)
				}
			}
		}
	})
}
