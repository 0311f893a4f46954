package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// restartServer replaces the first backend server by a new incarnation.
func restartServer(w *world, born int64) {
	w.updateTable(func(t *table.Table) { t.Backends[0].StartTime = born })
}

// TestRestartedServerIsNew: after a restart under the same name and address, a backend server
// must have no load, no ejection and no cached prefixes.
func TestRestartedServerIsNew(t *testing.T) {
	const before = 1000
	tests := map[string]struct {
		births []int64
		// isNew says that no state is kept.
		isNew bool
	}{
		"later":                 {[]int64{2000}, true},
		"clock set back":        {[]int64{500}, true},
		"twice within a second": {[]int64{2000, 2100}, true},
		"same incarnation":      {[]int64{before}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, zones[:1], 1)
			w.streamTime = time.Hour
			restartServer(w, before)
			router, server := w.order[0], w.table.Backends[0].Name
			for range 40 {
				w.submit(router, admit.Request{Prefix: 7, Prompt: 900, Shared: 300, Output: 20})
				w.run(w.now + 20*time.Millisecond)
			}
			c := w.cores[router]
			full := c.RunningByBackend()[server]
			if full < 10 {
				t.Fatalf("%d requests run there", full)
			}
			for _, s := range w.starts {
				w.step(router, admit.AttemptEnd{ID: s.ID, Result: admit.Stalled})
				break
			}
			if len(c.Ejected()) == 0 {
				t.Fatal("not ejected after a stall")
			}
			for _, born := range tc.births {
				restartServer(w, born)
			}
			if ejected := len(c.Ejected()) > 0; ejected == tc.isNew {
				t.Errorf("ejected: %v", ejected)
			}
			last := tc.births[len(tc.births)-1]
			w.submit(router, admit.Request{Prefix: 7, Prompt: 900, Shared: 300, Output: 20})
			w.run(w.now + 50*time.Millisecond)
			if !tc.isNew {
				return
			}
			running, ahead := 0, int64(0)
			for _, s := range w.starts {
				if s.Backend.StartTime == last {
					running++
					ahead = max(ahead, s.TokensAhead)
				}
			}
			if running == 0 || c.RunningByBackend()[server] != running {
				t.Errorf("%d requests started there, %d are counted", running, c.RunningByBackend()[server])
			}
			if ahead < 900 {
				t.Errorf("at most %d tokens are ahead: the shared prefix counts as cached", ahead)
			}
		})
	}
}
