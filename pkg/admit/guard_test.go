package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestOwnerThatEndsIsAskedNoMore ends an owner with a question open: the request
// asks the next owner as soon as the end is known, and does not wait until the
// question counts as left unanswered.
func TestOwnerThatEndsIsAskedNoMore(t *testing.T) {
	const known = 10 * time.Millisecond
	w := newWorld(1, 3, zones[:1], 1)
	w.run(2 * time.Second)
	owner, holder := "", ""
	for _, name := range w.order {
		if len(w.cores[name].Owned()) > 0 {
			owner = name
		} else {
			holder = name
		}
	}
	w.kill(owner, known)
	id := w.ask(holder, admit.Request{Prompt: 2000, Output: 50})
	w.run(w.now + 100*time.Millisecond)
	s, started := w.starts[id]
	if !started || s.Waited > known+5*time.Millisecond || s.Reason == "owner-timeout" {
		t.Errorf("started %v after %v, %q; want a place by the new owner", started, s.Waited, s.Reason)
	}
}

// TestCopiesThatOthersToldOf tells a router that another one had a prompt read at
// an engine: while the first engine for the prompt is busy, it goes there.
func TestCopiesThatOthersToldOf(t *testing.T) {
	const prefix = 77
	w := newWorld(1, 1, zones[:1], 4)
	w.run(2 * time.Second)
	id := w.ask("x-0", admit.Request{Prefix: prefix, Prompt: 9000, Shared: 2000, Output: 50})
	first := w.starts[id].Backend.Name
	copied := ""
	for name := range w.engines {
		if name != first && (copied == "" || name > copied) {
			copied = name
		}
	}
	w.step("x-0", admit.PeerState{From: "x-1", Zone: "x", Msg: &wire.RouterState{
		Scope: wire.ScopeNone, Copies: []wire.PrefixCopy{{Prefix: prefix, Server: wire.HashName(copied)}},
	}})
	w.ask("x-0", admit.Request{Prefix: prefix, Prompt: 20_000, Shared: 2000, Output: 50})
	id = w.ask("x-0", admit.Request{Prefix: prefix, Prompt: 9000, Shared: 2000, Output: 50})
	w.run(w.now + 100*time.Millisecond)
	if s := w.starts[id]; s.Backend.Name != copied || s.Reason != "copy" {
		t.Errorf("sent to %q (%s), want the copy at %s; the first is %s", s.Backend.Name, s.Reason, copied, first)
	}
}

// TestHeldRequestsCount lists to an owner what another router has under way: the
// places that these take are not given again, and are once they are listed no more.
func TestHeldRequestsCount(t *testing.T) {
	const slots = 16
	w := newWorld(1, 1, zones[:1], 1)
	w.run(2 * time.Second)
	held := wire.ServerRequests{Server: wire.HashName("x-s0")}
	for id := range uint64(slots) {
		held.IDs = append(held.IDs, id+1000)
		held.PrefillTokens = append(held.PrefillTokens, 0)
	}
	w.step("x-0", admit.Message{From: "x-1", Msg: &wire.RequestSync{Servers: []wire.ServerRequests{held}}})
	full := w.ask("x-0", admit.Request{Prompt: 100, Output: 50})
	w.run(w.now + 300*time.Millisecond)
	if _, started := w.starts[full]; started {
		t.Error("a place was given at an engine whose slots another router uses")
	}
	w.step("x-0", admit.Message{From: "x-1", Msg: &wire.RequestSync{Servers: []wire.ServerRequests{{Server: held.Server}}}})
	free := w.ask("x-0", admit.Request{Prompt: 100, Output: 50})
	if _, started := w.starts[free]; !started {
		t.Error("no place was given after the others had ended")
	}
}

// TestLongPromptIsPlacedNext asks for a prompt that takes longer to read than its
// target: it is late anywhere, and gets a place where little is ahead.
func TestLongPromptIsPlacedNext(t *testing.T) {
	w := newWorld(1, 1, zones[:1], 1)
	w.run(2 * time.Second)
	w.ask("x-0", admit.Request{Prompt: 1000, Output: 50})
	long := w.ask("x-0", admit.Request{Prompt: 60_000, Output: 50})
	if _, started := w.starts[long]; !started {
		t.Error("a prompt of 60,000 tokens found no place behind 1,000")
	}
	next := w.ask("x-0", admit.Request{Prompt: 60_000, Output: 50})
	w.run(w.now + 50*time.Millisecond)
	if _, started := w.starts[next]; started {
		t.Error("a second one was placed behind 61,000 tokens")
	}
}

// TestPlainServicesAreNoEngines reads a table with a plain service: its backend
// servers are no part of the engines that shares are worked out for.
func TestPlainServicesAreNoEngines(t *testing.T) {
	w := newWorld(1, 1, zones[:1], 0)
	v := &table.Table{Revision: 2, Services: []table.ServiceRow{{Name: service, Engine: true}, {Name: "desk"}}}
	v.Bounds.TokensPerSecond = 6_000_000
	w.engines["e-0"] = &engine{perToken: 10 * time.Microsecond, kept: map[uint64]bool{}}
	v.Backends = []table.Backend{
		{Name: "e-0", Zone: "x", Address: "e-0", Models: []string{service}, Slots: 16, Mark: table.Serving},
		{Name: "d-0", Zone: "far", Address: "d-0", Models: []string{"desk"}, Slots: 6, Mark: table.Serving},
	}
	w.step("x-0", admit.TableUpdate{Table: v})
	w.flood("moka", 400, w.order, admit.Request{Prompt: 20_000, Output: 50}, 3*time.Second)
	w.run(3 * time.Second)
	if got := w.cores["x-0"].Shares(w.now).FairShare; got < 5_900_000 {
		t.Errorf("the only account may have %.0f tokens a second, want what the table states", got)
	}
}
