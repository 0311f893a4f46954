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

// flood has every router get requests of an account at a rate, for a time.
func (w *world) flood(account string, perSecond float64, routers []string, r admit.Request, until time.Duration) {
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		r.Account = account
		w.ask(routers[w.rng.IntN(len(routers))], r)
		w.at(time.Duration(w.rng.ExpFloat64()*float64(gap)), next)
	}
	w.at(0, next)
}

// servers returns how often requests were sent to each backend server.
func (w *world) servers() map[string]int {
	servers := map[string]int{}
	for _, s := range w.starts {
		servers[s.Backend.Name]++
	}
	return servers
}

// reads returns the backend servers that had to read a prompt's shared parts:
// they were sent it without having it or a copy.
func (w *world) reads() []string {
	order := slices.SortedFunc(maps.Values(w.starts), func(a, b startOf) int { return cmp.Compare(a.ID, b.ID) })
	sent := map[string]bool{}
	var reads []string
	for _, s := range order {
		if !sent[s.Backend.Name] && s.FetchFrom == "" {
			reads = append(reads, s.Backend.Name)
		}
		sent[s.Backend.Name] = true
	}
	return reads
}

// TestOnePromptOneServer asks for a prompt at all routers, one request at a time:
// the fleet has it at one backend server.
func TestOnePromptOneServer(t *testing.T) {
	w := newWorld(1, 3, zones, 4)
	for i := range 30 {
		w.at(time.Duration(i)*100*time.Millisecond, func() {
			w.ask(w.order[i%len(w.order)], admit.Request{Prefix: 77, Prompt: 3000, Shared: 2000, Output: 100})
		})
	}
	w.run(5 * time.Second)
	if len(w.starts) != 30 || len(w.servers()) != 1 {
		t.Errorf("%d requests started, at %v", len(w.starts), w.servers())
	}
}

// TestHotPromptSpreads asks so often for one prompt that one backend server
// cannot serve it: several do, of which few had to read its shared parts.
func TestHotPromptSpreads(t *testing.T) {
	w := newWorld(1, 3, zones, 4)
	w.flood("moka", 120, w.order, admit.Request{Prefix: 77, Prompt: 3000, Shared: 1000, Output: 100}, 4*time.Second)
	w.run(6 * time.Second)
	if served := float64(len(w.starts)) / float64(len(w.asked)); served < 0.9 {
		t.Errorf("only %.2f of the requests started, at %v", served, w.servers())
	}
	if len(w.servers()) < 3 {
		t.Errorf("the prompt is kept at %v", w.servers())
	}
	if reads := w.reads(); len(reads) > len(zones) {
		t.Errorf("the prompt's shared parts were read at %v", reads)
	}
}

// TestFirstEventsComeInTime overloads the engines threefold: what is started
// answers in time, the rest is refused soon.
func TestFirstEventsComeInTime(t *testing.T) {
	w := newWorld(1, 3, zones, 2)
	w.hold = 50 * time.Millisecond
	for i := range 6 {
		w.flood(fmt.Sprintf("account-%d", i), 60, w.order, admit.Request{Prompt: 5000, Output: 50}, 5*time.Second)
	}
	w.run(8 * time.Second)
	late := 0
	for _, s := range w.starts {
		if s.first > 400*time.Millisecond {
			late++
		}
	}
	if part := float64(late) / float64(len(w.starts)); part > 0.05 {
		t.Errorf("%.3f of %d first events were late", part, len(w.starts))
	}
	// Six engines read 100,000 tokens a second each, in 5 s 600 prompts.
	if len(w.starts) < 420 {
		t.Errorf("only %d requests were started", len(w.starts))
	}
	for id, waited := range w.refusals {
		if waited > 130*time.Millisecond {
			t.Fatalf("request %d was refused after %v", id, waited)
		}
	}
}

// TestSharesAreEven floods from accounts of which some ask ten times as much,
// or reach the fleet by one router only.
func TestSharesAreEven(t *testing.T) {
	tests := map[string]struct {
		rates   []float64
		routers func(w *world, i int) []string
	}{
		"all alike":                {[]float64{40, 40, 40, 40}, func(w *world, _ int) []string { return w.order }},
		"one asks ten times":       {[]float64{300, 30, 30, 30}, func(w *world, _ int) []string { return w.order }},
		"one comes by one router":  {[]float64{60, 60, 60, 60}, func(w *world, i int) []string { return w.order[:len(w.order)-8*boolInt(i == 0)] }},
		"all come by their own":    {[]float64{60, 60, 60, 60}, func(w *world, i int) []string { return w.order[i : i+1] }},
		"several ask ten times":    {[]float64{300, 300, 30, 30}, func(w *world, _ int) []string { return w.order }},
		"one asks less than share": {[]float64{60, 60, 60, 8}, func(w *world, _ int) []string { return w.order }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 3, zones, 2)
			w.hold = 50 * time.Millisecond
			for i, rate := range tc.rates {
				w.flood(fmt.Sprintf("account-%d", i), rate, tc.routers(w, i), admit.Request{Prompt: 5000, Output: 50}, 8*time.Second)
			}
			w.run(10 * time.Second)
			served, asked := make([]float64, len(tc.rates)), make([]float64, len(tc.rates))
			for id, a := range w.asked {
				if a.at < 2*time.Second {
					continue
				}
				var i int
				_, _ = fmt.Sscanf(a.request.Account, "account-%d", &i)
				asked[i]++
				if _, ok := w.starts[id]; ok {
					served[i]++
				}
			}
			best := slices.Max(served)
			for i := range served {
				if due := min(asked[i], best); served[i] < 0.6*due {
					t.Errorf("account %d asked for %v and got %v; the best got %v", i, asked[i], served[i], best)
				}
			}
		})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestDecidesWithoutOwners kills, cuts off or loses messages of routers, and
// looks whether requests at the others are decided soon.
func TestDecidesWithoutOwners(t *testing.T) {
	tests := map[string]func(w *world){
		"an owner is killed, noticed late": func(w *world) { w.kill("x-0", 500*time.Millisecond) },
		"all but one are killed": func(w *world) {
			for _, r := range w.order[1:] {
				w.kill(r, 500*time.Millisecond)
			}
		},
		"one is cut off from all": func(w *world) {
			for _, r := range w.order[1:] {
				w.cut[[2]string{w.order[0], r}] = true
				w.cut[[2]string{r, w.order[0]}] = true
			}
		},
		"messages get lost": func(w *world) { w.loss = 0.3 },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2, 3, zones, 4)
			w.flood("moka", 60, w.order, admit.Request{Prompt: 1500, Output: 50, Prefix: 5}, 4*time.Second)
			w.at(time.Second, func() { fault(w) })
			w.run(6 * time.Second)
			started := 0
			for id, a := range w.asked {
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
					t.Fatalf("request %d of %v was decided after %v (started %v, refused %v)", id, a.at, waited, ok, refused)
				}
			}
			if part := float64(started) / float64(len(w.asked)); name != "all but one are killed" && part < 0.8 {
				t.Errorf("%.2f of the requests were started", part)
			}
		})
	}
}

// TestLeavingServers looks that nothing is sent to a backend server that
// leaves, not even what waited for it.
func TestLeavingServers(t *testing.T) {
	w := newWorld(3, 2, zones, 1)
	w.flood("moka", 200, w.order, admit.Request{Prompt: 4000, Output: 50, Prefix: 5, Shared: 1000}, 3*time.Second)
	w.at(time.Second, func() {
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
		t.Error("nothing was started")
	}
}

// TestRandomFaults draws floods and faults: every request at a router that
// lives is decided in time, and at the end no owner counts what has ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, zones, 2)
		w.hold = time.Duration(rapid.IntRange(10, 800).Draw(t, "hold")) * time.Millisecond
		for i := range rapid.IntRange(1, 4).Draw(t, "accounts") {
			r := admit.Request{
				Prompt: int64(rapid.IntRange(100, 9000).Draw(t, "prompt")), Output: 50,
				Prefix: uint64(rapid.IntRange(0, 3).Draw(t, "prefix")), Shared: 90,
			}
			w.flood(fmt.Sprint("account-", i), float64(rapid.IntRange(5, 120).Draw(t, "rate")), w.order, r, 3*time.Second)
		}
		for range rapid.IntRange(0, 2).Draw(t, "faults") {
			victim := rapid.SampledFrom(w.order).Draw(t, "victim")
			at := time.Duration(rapid.IntRange(0, 2500).Draw(t, "at")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				w.at(at, func() { w.kill(victim, 300*time.Millisecond) })
			case 1:
				w.at(at, func() { w.loss = 0.2 })
				w.at(at+time.Second, func() { w.loss = 0 })
			case 2:
				other := rapid.SampledFrom(w.order).Draw(t, "other")
				w.at(at, func() { w.cut[[2]string{victim, other}] = true })
				w.at(at+time.Second, func() { delete(w.cut, [2]string{victim, other}) })
			}
		}
		w.run(10 * time.Second)
		for id, a := range w.asked {
			_, started := w.starts[id]
			waited, refused := w.refusals[id]
			if !w.down[a.router] && (!started && !refused || started && refused || waited > 130*time.Millisecond) {
				t.Fatalf("request %d: started %v, refused %v after %v", id, started, refused, waited)
			}
		}
		for _, name := range w.order {
			if n := w.cores[name].Waiting(); n > 0 && !w.down[name] {
				t.Fatalf("%d requests wait at %s for ever", n, name)
			}
			for server, n := range w.cores[name].RunningByBackend() {
				if !w.down[name] && n > 0 {
					t.Fatalf("%s counts %d requests at %s that have ended", name, n, server)
				}
			}
		}
	})
}
