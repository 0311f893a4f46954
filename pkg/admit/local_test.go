package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestLocalAdmissionCopiesPrefix: a router that admits prompts on its own estimate must have
// the shared prefix copied to the engine once.
func TestLocalAdmissionCopiesPrefix(t *testing.T) {
	const prefix, cachedAt = 77, "x-s0"
	w := newWorld(1, 2, zones[:1], 2)
	holder, owner := w.order[0], w.order[1]
	if len(w.cores[owner].Owned()) == 0 || w.cores[owner].Owned()[0] == cachedAt {
		holder, owner = owner, holder
	}
	w.run(2 * time.Second)
	to := w.cores[owner].Owned()[0]
	w.step(holder, admit.PeerState{From: owner, Zone: "x", Msg: &wire.RouterState{
		Scope: wire.ScopeNone, Copies: []wire.PrefixCopy{{Prefix: prefix, Server: wire.HashName(cachedAt)}},
	}})
	w.down[owner] = true
	submit := func() startRecord {
		id := w.submit(holder, admit.Request{Prefix: prefix, Prompt: 5000, Shared: 4000, Output: 50, Target: time.Second, Avoid: []string{cachedAt}})
		w.run(w.now + 200*time.Millisecond)
		return w.starts[id]
	}
	for i, want := range []string{cachedAt, ""} {
		s := submit()
		if s.Reason != "owner-timeout" || s.Backend.Name != to || s.CopyPrefixFrom != want {
			t.Errorf("prompt %d: sent to %q (%s), copied from %q; want %q, copied from %q", i, s.Backend.Name, s.Reason, s.CopyPrefixFrom, to, want)
		}
	}
}
