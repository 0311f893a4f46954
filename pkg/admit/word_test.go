package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// sentWithin returns how many requests were sent to a server within a time.
func (w *world) sentWithin(server string, from, to time.Duration) int {
	n := 0
	for _, at := range w.sent[server] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// stream has a request arrive at a router each few milliseconds, with prompts of which
// each engine is the first for some.
func (w *world) stream(router string, until time.Duration) {
	w.every(5*time.Millisecond, func() {
		if w.now < until {
			w.ask(router, admit.Request{Prefix: 1 + w.rng.Uint64N(8), Prompt: 900, Shared: 300, Output: 20})
		}
	})
}

// say has the server of some request of a router say something in its answer.
func (w *world) say(t *testing.T, router, server string, word admit.BackendNotice) {
	t.Helper()
	for id, s := range w.starts {
		if s.router == router && s.Backend.Name == server && w.now-s.at < w.hold {
			word.ID = id
			w.step(router, word)
			return
		}
	}
	t.Fatalf("%s has no request of %s now", server, router)
}

// muteOwners has the routers hear nothing of each other, though they are taken to live: each
// admits requests on its own estimate where it does not own the server.
func (w *world) muteOwners() {
	for _, a := range w.order {
		for _, b := range w.order {
			w.cut[[2]string{a, b}] = a != b
		}
	}
}

// TestServersWord has a server under load say something to one of two routers, and looks
// when that router, and the other one, send it requests.
func TestServersWord(t *testing.T) {
	const said, end = 500 * time.Millisecond, 4 * time.Second
	always := end
	tests := map[string]struct {
		word admit.BackendNotice
		// own and other are until when the router that heard it sends nothing there, and
		// the other one from heardBy on.
		own, other time.Duration
		// mute says that owners do not reply.
		mute bool
	}{
		"leaves":                      {admit.BackendNotice{Leaving: true}, always, always, false},
		"rests":                       {admit.BackendNotice{Backoff: time.Second}, said + time.Second, 0, false},
		"leaves, owners do not reply": {admit.BackendNotice{Leaving: true}, always, 0, true},
		"rests, owners do not reply":  {admit.BackendNotice{Backoff: time.Second}, said + time.Second, 0, true},
		"leaves and rests":            {admit.BackendNotice{Leaving: true, Backoff: time.Second}, always, always, false},
		"nothing":                     {admit.BackendNotice{}, 0, 0, false},
		"rests for less than 0 s":     {admit.BackendNotice{Backoff: -time.Second}, 0, 0, false},
	}
	// heardBy bounds how long another router may take to hear of it: a place asked for
	// and denied, in a network of 1 ms each way.
	const heardBy = said + 50*time.Millisecond
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(seed, 3, []string{"a"}, 3)
				router, other, server := w.order[0], w.order[1], w.table.Backends[0].Name
				for _, r := range w.order[:2] {
					w.stream(r, end)
				}
				w.run(said)
				if tc.mute {
					w.muteOwners()
				}
				w.say(t, router, server, tc.word)
				w.run(end)
				by := map[string][]time.Duration{}
				for _, s := range w.starts {
					if s.Backend.Name == server {
						by[s.router] = append(by[s.router], s.at)
					}
				}
				for r, until := range map[string]time.Duration{router: tc.own, other: tc.other} {
					from := said
					if r == other {
						from = heardBy
					}
					early := slices.ContainsFunc(by[r], func(at time.Duration) bool { return at > from && at < until })
					later := slices.ContainsFunc(by[r], func(at time.Duration) bool { return at > max(from, until) })
					if early || later != (until < end) {
						t.Errorf("seed %d: %s sends it requests too early: %v, later: %v", seed, r, early, later)
					}
				}
			}
		})
	}
}

// TestWordOutlivesTheDirectory has a server that said that it leaves, and rests, lapse and
// come back in the directory, which tells other things of it.
func TestWordOutlivesTheDirectory(t *testing.T) {
	type step func(w *world, first table.Backend)
	mark := func(m table.Mark) step {
		return func(w *world, _ table.Backend) { w.change(func(t *table.Table) { t.Backends[0].Mark = m }) }
	}
	lapse := func(w *world, _ table.Backend) { w.change(func(t *table.Table) { t.Backends = t.Backends[1:] }) }
	comeBack := func(w *world, first table.Backend) {
		w.change(func(t *table.Table) { t.Backends = append([]table.Backend{first}, t.Backends...) })
	}
	startAgain := func(w *world, _ table.Backend) { rebornAs(w, 2000) }
	tests := map[string]struct {
		steps []step
		gets  bool
	}{
		"told again as serving":      {[]step{mark(table.Serving)}, false},
		"lapses and comes back":      {[]step{lapse, comeBack}, false},
		"marked, then serving again": {[]step{mark(table.Leaving), mark(table.Serving)}, true},
		"starts again":               {[]step{startAgain}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, []string{"a"}, 2)
			w.hold = 100 * time.Millisecond
			first := w.table.Backends[0]
			w.stream(w.order[0], 4*time.Second)
			w.run(500 * time.Millisecond)
			w.say(t, w.order[0], first.Name, admit.BackendNotice{Leaving: true, Backoff: 800 * time.Millisecond})
			for _, step := range tc.steps {
				w.run(w.now + 300*time.Millisecond)
				step(w, first)
			}
			w.run(4 * time.Second)
			if got := w.sentWithin(first.Name, 2*time.Second, 4*time.Second) > 0; got != tc.gets {
				t.Errorf("it gets requests: %v", got)
			}
		})
	}
}

// TestAllRest has all servers of a service rest: what arrives is refused at once and told
// to come back when the first of them takes requests, and later by chance; what may have
// run waits for that if it can.
func TestAllRest(t *testing.T) {
	const rest = 2 * time.Second
	tests := map[string]struct {
		request  admit.Request
		deadline time.Duration
		starts   bool
	}{
		"has not run":                        {admit.Request{}, 10 * time.Second, false},
		"may have run, has the time":         {admit.Request{MayHaveRun: true}, 10 * time.Second, true},
		"may have run, has not got the time": {admit.Request{MayHaveRun: true}, time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, []string{"a"}, 2)
			router := w.order[0]
			w.stream(router, 500*time.Millisecond)
			w.run(500 * time.Millisecond)
			for i, b := range w.table.Backends {
				w.say(t, router, b.Name, admit.BackendNotice{Backoff: rest + time.Duration(i)*time.Second})
			}
			r := tc.request
			r.ID, r.Service, r.Prompt, r.Target = 1_000_000, service, 900, 400*time.Millisecond
			r.Deadline = w.now + tc.deadline
			w.asked[r.ID] = askedOf{router: router, request: r, at: w.now}
			var refused *admit.Refuse
			for _, a := range w.cores[router].Step(w.now, admit.Arrive{Request: r}) {
				if x, ok := a.(admit.Refuse); ok {
					refused = &x
				}
			}
			if (refused == nil) != tc.starts {
				t.Fatalf("refused: %v", refused)
			}
			if refused != nil && (refused.Err.RetryAfter < rest || refused.Err.RetryAfter > 2*rest) {
				t.Errorf("it may come back after %v", refused.Err.RetryAfter)
			}
			w.run(w.now + 3*time.Second)
			if s, ok := w.starts[r.ID]; ok != tc.starts || ok && s.at < 500*time.Millisecond+rest {
				t.Errorf("started: %v after %v", ok, s.at)
			}
		})
	}
}

// TestLeavingIsNotToldOfOthers has a router tell of servers that nobody knows: nothing is
// kept of them.
func TestLeavingIsNotToldOfOthers(t *testing.T) {
	w := newWorld(1, 2, []string{"a"}, 1)
	var unknown []wire.NameHash
	for i := range 1000 {
		unknown = append(unknown, wire.HashName(fmt.Sprint("none-", i)))
	}
	w.step(w.order[0], admit.Message{From: w.order[1], Msg: &wire.Leaving{Servers: unknown}})
	if leaving, resting := w.cores[w.order[0]].Notices(); len(leaving)+len(resting) > 0 {
		t.Errorf("%d leave, %d rest", len(leaving), len(resting))
	}
}

// TestWaitingRequestLooksElsewhere has a request wait for a place at the server that is the
// first for its prompt, which is too short to be copied, and that server ask for rest: it is sent to the other one at once.
func TestWaitingRequestLooksElsewhere(t *testing.T) {
	w := newWorld(1, 1, []string{"a"}, 2)
	w.hold = time.Hour
	router := w.order[0]
	waiting := uint64(0)
	for prefix := uint64(1); waiting == 0 && prefix < 32; prefix++ {
		id := w.ask(router, admit.Request{Prefix: prefix, Prompt: 100, Shared: 60, Output: 20, MaxWait: time.Second, Target: 5 * time.Second})
		w.run(w.now + 30*time.Millisecond)
		if _, started := w.starts[id]; !started {
			waiting = id
		}
	}
	counted := w.cores[router].RunningByBackend()
	full, other := w.table.Backends[0], w.table.Backends[1]
	if counted[other.Name] >= other.Slots {
		full, other = other, full
	}
	if waiting == 0 || counted[full.Name] < full.Slots {
		t.Fatalf("request %d waits, while there run %v", waiting, counted)
	}
	for id, s := range w.starts {
		if s.Backend.Name == other.Name {
			w.step(router, admit.AttemptEnd{ID: id, Result: admit.Answered})
		}
	}
	w.say(t, router, full.Name, admit.BackendNotice{Backoff: time.Minute})
	w.run(w.now + 5*time.Millisecond)
	if s, started := w.starts[waiting]; !started || s.Backend.Name != other.Name {
		t.Errorf("started: %v, at %q", started, s.Backend.Name)
	}
}
