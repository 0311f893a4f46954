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

// sentWithin returns the number of requests sent to a backend server in a period.
func (w *world) sentWithin(server string, from, to time.Duration) int {
	n := 0
	for _, at := range w.sentTimes[server] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// addStream sends a request to a router every few milliseconds, with several prompts.
func (w *world) addStream(router string, until time.Duration) {
	w.every(5*time.Millisecond, func() {
		if w.now < until {
			w.submit(router, admit.Request{Prefix: 1 + w.rng.Uint64N(8), Prompt: 900, Shared: 300, Output: 20})
		}
	})
}

// announce sends a notice in the response to one of the router's requests at a backend server.
func (w *world) announce(t *testing.T, router, server string, notice admit.BackendNotice) {
	t.Helper()
	for id, s := range w.starts {
		if s.router == router && s.Backend.Name == server && w.now-s.at < w.streamTime {
			notice.ID = id
			w.step(router, notice)
			return
		}
	}
	t.Fatalf("%s has no request of %s in flight", server, router)
}

// blockAllMessages blocks the messages between all routers, which still list each other as
// live.
func (w *world) blockAllMessages() {
	for _, a := range w.order {
		for _, b := range w.order {
			w.blocked[[2]string{a, b}] = a != b
		}
	}
}

// TestBackendNotices: a notice must stop requests of the router that receives it, and a leaving
// notice also those of other routers.
func TestBackendNotices(t *testing.T) {
	const announcedAt, end = 500 * time.Millisecond, 4 * time.Second
	always := end
	tests := map[string]struct {
		notice admit.BackendNotice
		// own and other are until when the receiving router and the other one must send no
		// requests there, the latter from propagatedAt on.
		own, other time.Duration
		// ownersMuted says that owners do not reply.
		ownersMuted bool
	}{
		"leaving":                      {admit.BackendNotice{Leaving: true}, always, always, false},
		"backoff":                      {admit.BackendNotice{Backoff: time.Second}, announcedAt + time.Second, 0, false},
		"leaving, owners do not reply": {admit.BackendNotice{Leaving: true}, always, 0, true},
		"backoff, owners do not reply": {admit.BackendNotice{Backoff: time.Second}, announcedAt + time.Second, 0, true},
		"leaving and backoff":          {admit.BackendNotice{Leaving: true, Backoff: time.Second}, always, always, false},
		"empty notice":                 {admit.BackendNotice{}, 0, 0, false},
		"negative backoff":             {admit.BackendNotice{Backoff: -time.Second}, 0, 0, false},
	}
	// propagatedAt is when another router must know of the notice at the latest.
	const propagatedAt = announcedAt + 50*time.Millisecond
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(seed, 3, []string{"a"}, 3)
				router, other, server := w.order[0], w.order[1], w.table.Backends[0].Name
				for _, r := range w.order[:2] {
					w.addStream(r, end)
				}
				w.run(announcedAt)
				if tc.ownersMuted {
					w.blockAllMessages()
				}
				w.announce(t, router, server, tc.notice)
				w.run(end)
				by := map[string][]time.Duration{}
				for _, s := range w.starts {
					if s.Backend.Name == server {
						by[s.router] = append(by[s.router], s.at)
					}
				}
				for r, until := range map[string]time.Duration{router: tc.own, other: tc.other} {
					from := announcedAt
					if r == other {
						from = propagatedAt
					}
					early := slices.ContainsFunc(by[r], func(at time.Duration) bool { return at > from && at < until })
					later := slices.ContainsFunc(by[r], func(at time.Duration) bool { return at > max(from, until) })
					if early || later != (until < end) {
						t.Errorf("seed %d: %s sends requests too early: %v, later: %v", seed, r, early, later)
					}
				}
			}
		})
	}
}

// TestNoticeOutlivesDirectoryEntry: a notice must stay in force when the directory entry
// disappears and returns, but not after a restart.
func TestNoticeOutlivesDirectoryEntry(t *testing.T) {
	type step func(w *world, first table.Backend)
	mark := func(m table.Mark) step {
		return func(w *world, _ table.Backend) { w.updateTable(func(t *table.Table) { t.Backends[0].Mark = m }) }
	}
	unlist := func(w *world, _ table.Backend) { w.updateTable(func(t *table.Table) { t.Backends = t.Backends[1:] }) }
	relist := func(w *world, first table.Backend) {
		w.updateTable(func(t *table.Table) { t.Backends = append([]table.Backend{first}, t.Backends...) })
	}
	restart := func(w *world, _ table.Backend) { restartServer(w, 2000) }
	tests := map[string]struct {
		steps []step
		gets  bool
	}{
		"listed as serving again":            {[]step{mark(table.Serving)}, false},
		"unlisted and relisted":              {[]step{unlist, relist}, false},
		"listed as leaving, then as serving": {[]step{mark(table.Leaving), mark(table.Serving)}, true},
		"restarts":                           {[]step{restart}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, []string{"a"}, 2)
			w.streamTime = 100 * time.Millisecond
			first := w.table.Backends[0]
			w.addStream(w.order[0], 4*time.Second)
			w.run(500 * time.Millisecond)
			w.announce(t, w.order[0], first.Name, admit.BackendNotice{Leaving: true, Backoff: 800 * time.Millisecond})
			for _, step := range tc.steps {
				w.run(w.now + 300*time.Millisecond)
				step(w, first)
			}
			w.run(4 * time.Second)
			if got := w.sentWithin(first.Name, 2*time.Second, 4*time.Second) > 0; got != tc.gets {
				t.Errorf("gets requests: %v", got)
			}
		})
	}
}

// TestAllBackOff: while all backend servers are backing off, requests must be refused
// immediately with a random retry delay after the first backoff ends. Those that may have run
// wait if their deadline allows.
func TestAllBackOff(t *testing.T) {
	const backoff = 2 * time.Second
	tests := map[string]struct {
		request  admit.Request
		deadline time.Duration
		starts   bool
	}{
		"has not run": {admit.Request{}, 10 * time.Second, false},
		"may have run, backoff ends before deadline": {admit.Request{MayHaveRun: true}, 10 * time.Second, true},
		"may have run, backoff ends after deadline":  {admit.Request{MayHaveRun: true}, time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, []string{"a"}, 2)
			router := w.order[0]
			w.addStream(router, 500*time.Millisecond)
			w.run(500 * time.Millisecond)
			for i, b := range w.table.Backends {
				w.announce(t, router, b.Name, admit.BackendNotice{Backoff: backoff + time.Duration(i)*time.Second})
			}
			r := tc.request
			r.ID, r.Service, r.Prompt, r.Target = 1_000_000, service, 900, 400*time.Millisecond
			r.Deadline = w.now + tc.deadline
			w.requests[r.ID] = arrival{router: router, request: r, at: w.now}
			var refused *admit.Refuse
			for _, a := range w.cores[router].Step(w.now, admit.Arrive{Request: r}) {
				if x, ok := a.(admit.Refuse); ok {
					refused = &x
				}
			}
			if (refused == nil) != tc.starts {
				t.Fatalf("refused: %v", refused)
			}
			if refused != nil && (refused.Err.RetryAfter < backoff || refused.Err.RetryAfter > 2*backoff) {
				t.Errorf("retry delay %v", refused.Err.RetryAfter)
			}
			w.run(w.now + 3*time.Second)
			if s, ok := w.starts[r.ID]; ok != tc.starts || ok && s.at < 500*time.Millisecond+backoff {
				t.Errorf("started: %v after %v", ok, s.at)
			}
		})
	}
}

// TestLeavingOfUnknownServersIsIgnored: reports of unknown backend servers must not be
// recorded.
func TestLeavingOfUnknownServersIsIgnored(t *testing.T) {
	w := newWorld(1, 2, []string{"a"}, 1)
	var unknown []wire.NameHash
	for i := range 1000 {
		unknown = append(unknown, wire.HashName(fmt.Sprint("none-", i)))
	}
	w.step(w.order[0], admit.Message{From: w.order[1], Msg: &wire.Leaving{Servers: unknown}})
	if leaving, backingOff := w.cores[w.order[0]].Notices(); len(leaving)+len(backingOff) > 0 {
		t.Errorf("%d servers leaving, %d backing off", len(leaving), len(backingOff))
	}
}

// TestWaitingRequestIsRerouted: a request that waits for a slot at a backend server must go to
// another one at once when the first asks for a backoff.
func TestWaitingRequestIsRerouted(t *testing.T) {
	w := newWorld(1, 1, []string{"a"}, 2)
	w.streamTime = time.Hour
	router := w.order[0]
	waiting := uint64(0)
	for prefix := uint64(1); waiting == 0 && prefix < 32; prefix++ {
		id := w.submit(router, admit.Request{Prefix: prefix, Prompt: 100, Shared: 60, Output: 20, MaxWait: time.Second, Target: 5 * time.Second})
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
		t.Fatalf("request %d waits while these run: %v", waiting, counted)
	}
	for id, s := range w.starts {
		if s.Backend.Name == other.Name {
			w.step(router, admit.AttemptEnd{ID: id, Result: admit.Succeeded})
		}
	}
	w.announce(t, router, full.Name, admit.BackendNotice{Backoff: time.Minute})
	w.run(w.now + 5*time.Millisecond)
	if s, started := w.starts[waiting]; !started || s.Backend.Name != other.Name {
		t.Errorf("started: %v, at %q", started, s.Backend.Name)
	}
}
