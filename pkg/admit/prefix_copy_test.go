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

// setServers replaces the table by one with these backend servers.
func (w *world) setServers(revision uint64, marks map[string]table.Mark) {
	v := &table.Table{Revision: revision, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	for name, mark := range marks {
		if w.engines[name] == nil {
			w.engines[name] = &engine{perToken: 10 * time.Microsecond, cached: map[uint64]bool{}}
		}
		v.Backends = append(v.Backends, table.Backend{Name: name, Zone: "x", Address: "at-" + name, Models: []string{service}, Slots: 16, Mark: mark})
	}
	for _, r := range w.order {
		w.step(r, admit.TableUpdate{Table: v})
	}
}

// copySources counts the started requests by the address from which the shared prefix was
// copied.
func (w *world) copySources(after time.Duration) map[string]int {
	from := map[string]int{}
	for _, s := range w.starts {
		if s.at >= after {
			from[s.CopyPrefixFrom]++
		}
	}
	return from
}

// TestPrefixIsCopiedOnce: engines that get a frequent prompt must copy its shared prefix from
// one that has it, once each.
func TestPrefixIsCopiedOnce(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 4)
	w.addLoad("moka", 60, w.order, admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50}, 4*time.Second)
	w.run(6 * time.Second)
	sent := map[string]time.Duration{}
	for _, s := range w.starts {
		if at, ok := sent[s.Backend.Address]; !ok || s.at < at {
			sent[s.Backend.Address] = s.at
		}
	}
	copies := map[string]int{}
	for _, s := range w.starts {
		if s.CopyPrefixFrom == "" {
			continue
		}
		if at, ok := sent[s.CopyPrefixFrom]; !ok || at > s.at {
			t.Errorf("copied at %v from %s, which was first sent the prompt at %v", s.at, s.CopyPrefixFrom, at)
		}
		if s.Backend.Address == s.CopyPrefixFrom {
			t.Errorf("%s copies from itself", s.CopyPrefixFrom)
		}
		copies[s.Backend.Name]++
	}
	if len(copies) == 0 {
		t.Fatal("no prefix was copied")
	}
	for name, n := range copies {
		if n > 1 {
			t.Errorf("%s copied the same prefix %d times", name, n)
		}
	}
}

// TestNewEngineCopiesPreferredPrefixes: a new engine must copy the prefixes for which it is now
// preferred from the engines that had read them.
func TestNewEngineCopiesPreferredPrefixes(t *testing.T) {
	const prompts = 12
	submit := func(w *world) {
		for i := range prompts {
			w.schedule(time.Duration(i)*150*time.Millisecond, func() {
				w.submit(w.order[0], admit.Request{Prefix: uint64(i + 1), Prompt: 3000, Shared: 2000, Output: 50})
			})
		}
	}
	serving := map[string]table.Mark{"old-0": table.Serving, "old-1": table.Serving}
	tests := map[string]struct {
		marks map[string]table.Mark
	}{
		"added":                  {map[string]table.Mark{"old-0": table.Serving, "old-1": table.Serving, "new-0": table.Serving, "new-1": table.Serving}},
		"replacing leaving ones": {map[string]table.Mark{"old-0": table.Leaving, "old-1": table.Leaving, "new-0": table.Serving, "new-1": table.Serving}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, 1, zones[:1], 0)
			w.setServers(2, serving)
			submit(w)
			w.run(3 * time.Second)
			if from := w.copySources(0); from[""] != prompts {
				t.Fatalf("copy sources of new prompts: %v", from)
			}
			w.setServers(3, tc.marks)
			submit(w)
			w.run(6 * time.Second)
			copied := 0
			for _, s := range w.starts {
				if s.at < 3*time.Second {
					continue
				}
				isNew := s.Backend.Name == "new-0" || s.Backend.Name == "new-1"
				if isNew != (s.CopyPrefixFrom != "") {
					t.Errorf("sent to %s, copied from %q", s.Backend.Name, s.CopyPrefixFrom)
				}
				copied += boolToInt(s.CopyPrefixFrom == "at-old-0" || s.CopyPrefixFrom == "at-old-1")
			}
			if copied < 3 {
				t.Errorf("only %d prompts were copied from the previous engines", copied)
			}
		})
	}
}

// TestNewEngineCopiesFromOlderEngine: after all routers restarted without state, a new engine
// must copy the prefixes for which it is preferred from older engines.
func TestNewEngineCopiesFromOlderEngine(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 0)
	w.setServers(2, map[string]table.Mark{"old-1": table.Serving, "old-2": table.Serving})
	w.run(3 * time.Second)
	w.setServers(3, map[string]table.Mark{"old-1": table.Serving, "old-2": table.Serving, "new": table.Serving})
	atNew := 0
	for prefix := uint64(1); prefix <= 30; prefix++ {
		w.run(w.now + 50*time.Millisecond)
		id := w.submit(w.order[0], admit.Request{Prefix: prefix, Prompt: 3000, Shared: 2000, Output: 50, Target: time.Second})
		w.run(w.now + 200*time.Millisecond)
		s, ok := w.starts[id]
		if !ok || s.Backend.Name != "new" || s.Reason != "prefix" {
			continue
		}
		atNew++
		if s.CopyPrefixFrom != "at-old-1" && s.CopyPrefixFrom != "at-old-2" {
			t.Errorf("prompt %d is copied from %q, want an older engine", prefix, s.CopyPrefixFrom)
		}
	}
	if atNew == 0 {
		t.Fatal("the new engine is preferred for no prompt")
	}
}

// TestNoCopyFromEjectedEngine: prefixes must not be copied from an engine that is ejected.
func TestNoCopyFromEjectedEngine(t *testing.T) {
	w := newWorld(1, 1, zones[:1], 3)
	id := w.submit(w.order[0], admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50})
	w.run(time.Second)
	first := w.starts[id].Backend.Name
	id = w.submit(w.order[0], admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50})
	w.step(w.order[0], admit.AttemptEnd{ID: id, Result: admit.Stalled})
	id = w.submit(w.order[0], admit.Request{Prefix: 77, Prompt: 6000, Shared: 4000, Output: 50})
	if s := w.starts[id]; s.Backend.Name == "" || s.Backend.Name == first || s.CopyPrefixFrom == first {
		t.Errorf("sent to %q, copied from %q; the stalled engine is %s", s.Backend.Name, s.CopyPrefixFrom, first)
	}
}

// TestShortPrefixIsNotCopied: a prefix that is read faster than copied must not be copied.
func TestShortPrefixIsNotCopied(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 4)
	w.addLoad("moka", 100, w.order, admit.Request{Prefix: 77, Prompt: 3000, Shared: 40, Output: 50}, 3*time.Second)
	w.run(5 * time.Second)
	if from := w.copySources(0); len(from) != 1 {
		t.Errorf("copy sources %v, want none", from)
	}
}

// TestStartingRouterGrantsOneSlotAtATime: a router that may not have discovered the other
// routers yet must grant one slot per engine at a time, since each of them may act as the
// owner.
func TestStartingRouterGrantsOneSlotAtATime(t *testing.T) {
	tests := map[string]struct {
		before func(w *world)
		after  time.Duration
		want   int
	}{
		"no peer yet":          {func(*world) {}, 0, 1},
		"first peer appeared":  {func(w *world) { w.step("x-0", admit.Routers{List: []admit.Router{{Address: "x-1", Zone: "x"}}}) }, 100 * time.Millisecond, 1},
		"no peer for a second": {func(*world) {}, 1100 * time.Millisecond, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, zones[:1], 0)
			w.setServers(2, map[string]table.Mark{"s-0": table.Serving})
			tc.before(w)
			w.run(tc.after)
			if name == "first peer appeared" {
				w.step("x-0", admit.Routers{})
			}
			for i := range 3 {
				w.submit("x-0", admit.Request{Prompt: 5000, Output: 50, Account: fmt.Sprint(i), Target: time.Second})
			}
			if len(w.starts) != tc.want {
				t.Errorf("%d requests started at once, want %d", len(w.starts), tc.want)
			}
		})
	}
}

// TestLocalAdmissionOnePromptAtATime: a router must not send a second prompt without a grant
// before the first has been read.
func TestLocalAdmissionOnePromptAtATime(t *testing.T) {
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
		w.submit(holder, admit.Request{Prompt: 5000, Output: 50, Target: time.Second})
	}
	w.run(w.now + 60*time.Millisecond)
	if len(w.starts) != 1 {
		t.Errorf("%d prompts were sent to an engine whose owner does not reply, want 1", len(w.starts))
	}
}

// TestLongTargetsLeaveSlotsToShortOnes: requests with long targets that overload the engines
// must leave slots to requests with short targets.
func TestLongTargetsLeaveSlotsToShortOnes(t *testing.T) {
	w := newWorld(5, 2, zones, 2)
	w.streamTime = 50 * time.Millisecond
	for i := range 6 {
		w.addLoad(fmt.Sprint("long-", i), 20, w.order, admit.Request{Prompt: 7000, Output: 50, Target: 2 * time.Second}, 6*time.Second)
		w.addLoad(fmt.Sprint("short-", i), 5, w.order, admit.Request{Prompt: 800, Output: 50, Target: 250 * time.Millisecond}, 6*time.Second)
	}
	w.run(8 * time.Second)
	total, refused := 0, 0
	for id, a := range w.requests {
		if a.at < 2*time.Second || a.request.Target != 250*time.Millisecond {
			continue
		}
		total++
		_, wasRefused := w.refusals[id]
		refused += boolToInt(wasRefused)
	}
	if fraction := float64(refused) / float64(total); fraction > 0.25 {
		t.Errorf("%.2f of %d requests with a short target were refused", fraction, total)
	}
}

// TestCopiesInSnapshot: a relay must report received copies once to each router, and to other
// zones only those made in its own zone.
func TestCopiesInSnapshot(t *testing.T) {
	near := wire.PrefixCopy{Prefix: 1, Server: wire.HashName("near")}
	far := wire.PrefixCopy{Prefix: 2, Server: wire.HashName("far")}
	c := admit.New(admit.Router{Address: "a", Zone: "x"})
	receive := func() {
		c.Step(time.Second, admit.PeerState{From: "b", Zone: "x", Msg: &wire.RouterState{Copies: []wire.PrefixCopy{near}}})
		c.Step(time.Second, admit.PeerState{From: "c", Zone: "y", Msg: &wire.RouterState{Copies: []wire.PrefixCopy{far}}})
	}
	tests := map[string]struct {
		copies func(*admit.Snapshot) []wire.PrefixCopy
		want   []wire.PrefixCopy
	}{
		"routers of the zone":         {(*admit.Snapshot).Copies, nil},
		"other zones":                 {(*admit.Snapshot).ZoneCopies, []wire.PrefixCopy{near}},
		"routers served by the relay": {(*admit.Snapshot).AllCopies, []wire.PrefixCopy{near, far}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			receive()
			if diff := cmp.Diff(tc.want, tc.copies(c.Snapshot(time.Second)), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("copies (-want +got):\n%s", diff)
			}
			if again := tc.copies(c.Snapshot(time.Second)); len(again) != 0 {
				t.Errorf("copies reported twice: %v", again)
			}
		})
	}
}
