package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestAloneCopiesSharedParts has a router admit prompts on its own estimate, since the
// owner of the engine is down: the first copies its shared parts from the engine that
// keeps them, the next finds them there.
func TestAloneCopiesSharedParts(t *testing.T) {
	const prefix, keeps = 77, "x-s0"
	w := newWorld(1, 2, zones[:1], 2)
	holder, owner := w.order[0], w.order[1]
	if len(w.cores[owner].Owned()) == 0 || w.cores[owner].Owned()[0] == keeps {
		holder, owner = owner, holder
	}
	w.run(2 * time.Second)
	to := w.cores[owner].Owned()[0]
	w.step(holder, admit.PeerState{From: owner, Zone: "x", Msg: &wire.RouterState{
		Scope: wire.ScopeNone, Copies: []wire.PrefixCopy{{Prefix: prefix, Server: wire.HashName(keeps)}},
	}})
	w.down[owner] = true
	ask := func() startOf {
		id := w.ask(holder, admit.Request{Prefix: prefix, Prompt: 5000, Shared: 4000, Output: 50, Target: time.Second, Avoid: []string{keeps}})
		w.run(w.now + 200*time.Millisecond)
		return w.starts[id]
	}
	for i, want := range []string{keeps, ""} {
		s := ask()
		if s.Reason != "owner-timeout" || s.Backend.Name != to || s.FetchFrom != want {
			t.Errorf("prompt %d went to %q (%s) and copies from %q, want %q from %q", i, s.Backend.Name, s.Reason, s.FetchFrom, to, want)
		}
	}
}
