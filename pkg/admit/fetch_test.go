package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// show puts a table in force whose backend servers are listed with their marks.
func (w *world) show(revision uint64, marks map[string]table.Mark) {
	v := &table.Table{Revision: revision, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	for name, mark := range marks {
		if w.engines[name] == nil {
			w.engines[name] = &engine{perToken: 10 * time.Microsecond, kept: map[uint64]bool{}}
		}
		v.Backends = append(v.Backends, table.Backend{Name: name, Zone: "x", Address: "at-" + name, Models: []string{service}, Slots: 16, Mark: mark})
	}
	for _, r := range w.order {
		w.step(r, admit.TableUpdate{Table: v})
	}
}

// sources counts the places where each prompt was sent, by the address that its
// shared parts were copied from.
func (w *world) sources(after time.Duration) map[string]int {
	from := map[string]int{}
	for _, s := range w.starts {
		if s.at >= after {
			from[s.FetchFrom]++
		}
	}
	return from
}

// TestSharedPartsAreCopied asks so often for one prompt that one engine does not
// do: the others copy its shared parts from the one that keeps them, once.
func TestSharedPartsAreCopied(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 4)
	w.flood("moka", 60, w.order, admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50}, 4*time.Second)
	w.run(6 * time.Second)
	sent := map[string]time.Duration{}
	for _, s := range w.starts {
		if at, ok := sent[s.Backend.Address]; !ok || s.at < at {
			sent[s.Backend.Address] = s.at
		}
	}
	elsewhere := map[string]int{}
	for _, s := range w.starts {
		if s.FetchFrom == "" {
			continue
		}
		if at, ok := sent[s.FetchFrom]; !ok || at > s.at {
			t.Errorf("copied at %v from %s, which was first sent the prompt at %v", s.at, s.FetchFrom, at)
		}
		if s.Backend.Address == s.FetchFrom {
			t.Errorf("%s copies from itself", s.FetchFrom)
		}
		elsewhere[s.Backend.Name]++
	}
	if len(elsewhere) == 0 {
		t.Fatal("nothing was copied")
	}
	for name, n := range elsewhere {
		if n > 1 {
			t.Errorf("%s copied the same parts %d times", name, n)
		}
	}
}

// TestNewEngineCopiesWhatItIsFirstFor adds engines to a fleet in which prompts
// have been read: those that are first for a prompt now copy its shared parts
// from the one that was.
func TestNewEngineCopiesWhatItIsFirstFor(t *testing.T) {
	const prompts = 12
	ask := func(w *world) {
		for i := range prompts {
			w.at(time.Duration(i)*150*time.Millisecond, func() {
				w.ask(w.order[0], admit.Request{Prefix: uint64(i + 1), Prompt: 3000, Shared: 2000, Output: 50})
			})
		}
	}
	serving := map[string]table.Mark{"old-0": table.Serving, "old-1": table.Serving}
	tests := map[string]struct {
		marks map[string]table.Mark
	}{
		"added":                    {map[string]table.Mark{"old-0": table.Serving, "old-1": table.Serving, "new-0": table.Serving, "new-1": table.Serving}},
		"in place of leaving ones": {map[string]table.Mark{"old-0": table.Leaving, "old-1": table.Leaving, "new-0": table.Serving, "new-1": table.Serving}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, 1, zones[:1], 0)
			w.show(2, serving)
			ask(w)
			w.run(3 * time.Second)
			if from := w.sources(0); from[""] != prompts {
				t.Fatalf("sources of prompts that nobody has read: %v", from)
			}
			w.show(3, tc.marks)
			ask(w)
			w.run(6 * time.Second)
			copied := 0
			for _, s := range w.starts {
				if s.at < 3*time.Second {
					continue
				}
				isNew := s.Backend.Name == "new-0" || s.Backend.Name == "new-1"
				if isNew != (s.FetchFrom != "") {
					t.Errorf("sent to %s, copied from %q", s.Backend.Name, s.FetchFrom)
				}
				copied += boolInt(s.FetchFrom == "at-old-0" || s.FetchFrom == "at-old-1")
			}
			if copied < 3 {
				t.Errorf("%d prompts copied from those that had read them", copied)
			}
		})
	}
}

// TestNewEngineCopiesFromWhoWasThere adds an engine after routers that remember nothing
// have started: for a prompt that is first there now it copies the shared parts from the
// engine that was there before, which may have read it for routers that are gone.
func TestNewEngineCopiesFromWhoWasThere(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 0)
	w.show(2, map[string]table.Mark{"old-1": table.Serving, "old-2": table.Serving})
	w.run(3 * time.Second)
	w.show(3, map[string]table.Mark{"old-1": table.Serving, "old-2": table.Serving, "new": table.Serving})
	atNew := 0
	for prefix := uint64(1); prefix <= 30; prefix++ {
		w.run(w.now + 50*time.Millisecond)
		id := w.ask(w.order[0], admit.Request{Prefix: prefix, Prompt: 3000, Shared: 2000, Output: 50, Target: time.Second})
		w.run(w.now + 200*time.Millisecond)
		s, ok := w.starts[id]
		if !ok || s.Backend.Name != "new" || s.Reason != "prefix" {
			continue
		}
		atNew++
		if s.FetchFrom != "at-old-1" && s.FetchFrom != "at-old-2" {
			t.Errorf("prompt %d is copied from %q, want an engine that was there before", prefix, s.FetchFrom)
		}
	}
	if atNew == 0 {
		t.Fatal("no prompt is first at the new engine")
	}
}

// TestNothingIsCopiedFromTheUntrusted has the engine that keeps a prompt fail.
func TestNothingIsCopiedFromTheUntrusted(t *testing.T) {
	w := newWorld(1, 1, zones[:1], 3)
	id := w.ask(w.order[0], admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50})
	w.run(time.Second)
	first := w.starts[id].Backend.Name
	id = w.ask(w.order[0], admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50})
	w.step(w.order[0], admit.AttemptEnd{ID: id, Result: admit.Stalled})
	id = w.ask(w.order[0], admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50})
	if s := w.starts[id]; s.Backend.Name == "" || s.Backend.Name == first || s.FetchFrom == first {
		t.Errorf("sent to %q, copied from %q; the silent one is %s", s.Backend.Name, s.FetchFrom, first)
	}
}

// TestShortSharedPartsAreRead asks for prompts whose shared parts are read sooner
// than copied.
func TestShortSharedPartsAreRead(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 4)
	w.flood("moka", 100, w.order, admit.Request{Prefix: 77, Prompt: 3000, Shared: 40, Output: 50}, 3*time.Second)
	w.run(5 * time.Second)
	if from := w.sources(0); len(from) != 1 {
		t.Errorf("sources %v", from)
	}
}

// TestRoutersThatStartGiveOnePlaceAtATime starts routers that have not heard of
// each other: each takes itself for the owner of every engine, and gives only
// one place until a prompt has been read. Once they have heard of each other, or
// when nobody else is heard for a while, they give more.
func TestRoutersThatStartGiveOnePlaceAtATime(t *testing.T) {
	tests := map[string]struct {
		before func(w *world)
		after  time.Duration
		want   int
	}{
		"heard nobody yet": {func(*world) {}, 0, 1},
		"heard the first":  {func(w *world) { w.step("x-0", admit.Routers{List: []admit.Router{{Address: "x-1", Zone: "x"}}}) }, 100 * time.Millisecond, 1},
		"nobody is there":  {func(*world) {}, 1100 * time.Millisecond, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, zones[:1], 0)
			w.show(2, map[string]table.Mark{"s-0": table.Serving})
			tc.before(w)
			w.run(tc.after)
			if name == "heard the first" {
				w.step("x-0", admit.Routers{})
			}
			for i := range 3 {
				w.ask("x-0", admit.Request{Prompt: 5000, Output: 50, Account: fmt.Sprint(i), Target: time.Second})
			}
			if len(w.starts) != tc.want {
				t.Errorf("%d places at once, want %d", len(w.starts), tc.want)
			}
		})
	}
}

// TestAloneOnePromptAtATime asks an owner that does not answer: the router
// sends one prompt to its engine by itself, and no second one before the first
// has been read.
func TestAloneOnePromptAtATime(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 1)
	owner := w.order[0]
	if len(w.cores[owner].Owned()) == 0 {
		owner = w.order[1]
	}
	holder := w.order[0]
	if holder == owner {
		holder = w.order[1]
	}
	w.run(2 * time.Second)
	w.down[owner] = true
	for range 5 {
		w.ask(holder, admit.Request{Prompt: 5000, Output: 50, Target: time.Second})
	}
	w.run(w.now + 60*time.Millisecond)
	if len(w.starts) != 1 {
		t.Errorf("%d prompts were sent to an engine whose owner does not answer, want 1", len(w.starts))
	}
}

// TestLongTargetsLeaveRoomToShortOnes fills engines with requests that may wait
// for long, by a third more than they can do: most of those with a short target
// find places all the same. Without a bound on what is ahead, none does.
func TestLongTargetsLeaveRoomToShortOnes(t *testing.T) {
	w := newWorld(5, 2, zones, 2)
	w.hold = 50 * time.Millisecond
	for i := range 6 {
		w.flood(fmt.Sprint("long-", i), 20, w.order, admit.Request{Prompt: 7000, Output: 50, Target: 2 * time.Second}, 6*time.Second)
		w.flood(fmt.Sprint("short-", i), 5, w.order, admit.Request{Prompt: 800, Output: 50, Target: 250 * time.Millisecond}, 6*time.Second)
	}
	w.run(8 * time.Second)
	asked, refused := 0, 0
	for id, a := range w.asked {
		if a.at < 2*time.Second || a.request.Target != 250*time.Millisecond {
			continue
		}
		asked++
		_, gone := w.refusals[id]
		refused += boolInt(gone)
	}
	if part := float64(refused) / float64(asked); part > 0.25 {
		t.Errorf("%.2f of %d requests with a short target were refused", part, asked)
	}
}

// TestWhoIsToldOfCopies has a router hear of copies in its own zone and in
// another, and looks what it would pass on as a relay: each once to every router,
// and to other zones only those of its own.
func TestWhoIsToldOfCopies(t *testing.T) {
	near := wire.PrefixCopy{Prefix: 1, Server: wire.HashName("near")}
	far := wire.PrefixCopy{Prefix: 2, Server: wire.HashName("far")}
	c := admit.New(admit.Router{Address: "a", Zone: "x"})
	hear := func() {
		c.Step(time.Second, admit.PeerState{From: "b", Zone: "x", Msg: &wire.RouterState{Copies: []wire.PrefixCopy{near}}})
		c.Step(time.Second, admit.PeerState{From: "c", Zone: "y", Msg: &wire.RouterState{Copies: []wire.PrefixCopy{far}}})
	}
	tests := map[string]struct {
		told func(*admit.Snapshot) []wire.PrefixCopy
		want []wire.PrefixCopy
	}{
		"its equals":        {(*admit.Snapshot).Copies, nil},
		"other zones":       {(*admit.Snapshot).ZoneCopies, []wire.PrefixCopy{near}},
		"routers it serves": {(*admit.Snapshot).AllCopies, []wire.PrefixCopy{near, far}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			hear()
			if diff := cmp.Diff(tc.want, tc.told(c.Snapshot(time.Second)), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("copies (-want +got):\n%s", diff)
			}
			if again := tc.told(c.Snapshot(time.Second)); len(again) != 0 {
				t.Errorf("told again: %v", again)
			}
		})
	}
}
