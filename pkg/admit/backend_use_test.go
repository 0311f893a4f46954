package admit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestBackendUses guards against reporting a backend server as unused, or as leaving, while a router
// may still send requests there.
func TestBackendUses(t *testing.T) {
	const born = 1000
	mark := func(m table.Mark) func(*table.Table) { return func(t *table.Table) { t.Backends[0].Mark = m } }
	remove := func(t *table.Table) { t.Backends = t.Backends[1:] }
	restart := func(t *table.Table) { t.Backends[0].StartTime = born + 1 }
	tests := map[string]struct {
		requests int
		change   func(*table.Table)
		want     map[string]admit.BackendUse
	}{
		"serving, unused":    {0, mark(table.Serving), map[string]admit.BackendUse{}},
		"serving":            {2, mark(table.Serving), map[string]admit.BackendUse{"x-s0": {Mark: table.Serving, Running: 2, OldestMillis: 500, Granted: 2}}},
		"leaving, unused":    {0, mark(table.Leaving), map[string]admit.BackendUse{"x-s0": {Mark: table.Leaving}}},
		"leaving":            {2, mark(table.Leaving), map[string]admit.BackendUse{"x-s0": {Mark: table.Leaving, Running: 2, OldestMillis: 500, Granted: 2}}},
		"stopping, unused":   {0, mark(table.Stopping), map[string]admit.BackendUse{"x-s0": {Mark: table.Stopping}}},
		"not listed":         {2, remove, map[string]admit.BackendUse{"x-s0": {Mark: table.Leaving, Running: 2, OldestMillis: 500, Granted: 2}}},
		"not listed, unused": {0, remove, map[string]admit.BackendUse{}},
		"restarted":          {2, restart, map[string]admit.BackendUse{"x-s0": {Mark: table.Serving, Running: 2, OldestMillis: 500, Granted: 2}}},
		"restarted, unused":  {0, restart, map[string]admit.BackendUse{}},
		"restarted, leaving": {0, func(t *table.Table) { restart(t); mark(table.Leaving)(t) }, map[string]admit.BackendUse{"x-s0": {Mark: table.Leaving}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, zones[:1], 1)
			w.streamTime = time.Hour
			w.updateTable(func(t *table.Table) { t.Backends[0].StartTime = born })
			w.run(time.Second)
			router, start := w.order[0], w.now
			for range tc.requests {
				w.submit(router, admit.Request{Prompt: 100, Output: 20})
				w.run(w.now + 100*time.Millisecond)
			}
			w.updateTable(tc.change)
			if diff := cmp.Diff(tc.want, w.cores[router].BackendUses(start+500*time.Millisecond)); diff != "" {
				t.Errorf("uses (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBackendUsesOfOthers: an owner must report the slots that other routers hold there.
func TestBackendUsesOfOthers(t *testing.T) {
	w := newWorld(1, 2, zones[:1], 1)
	w.streamTime = time.Hour
	w.run(time.Second)
	holder, owner := w.order[0], w.order[1]
	if len(w.cores[owner].Owned()) == 0 {
		holder, owner = owner, holder
	}
	w.submit(holder, admit.Request{Prompt: 100, Output: 20})
	w.run(w.now + 100*time.Millisecond)
	held, owned := w.cores[holder].BackendUses(w.now)["x-s0"], w.cores[owner].BackendUses(w.now)["x-s0"]
	got := []int{held.Running, held.Granted, owned.Running, owned.Granted}
	if diff := cmp.Diff([]int{1, 0, 0, 1}, got); diff != "" {
		t.Errorf("running and granted at the holder and at the owner (-want +got):\n%s", diff)
	}
}
