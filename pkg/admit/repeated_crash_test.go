package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// maxLateSends bounds the attempts after the third crash, once all routers had time to learn of
// it.
const maxLateSends = 3

// TestRepeatedCrashingRequestIsBlocked: a request that crashes its backend servers must stay
// blocked when it returns repeatedly, even if routers forgot crashes or could not see them.
func TestRepeatedCrashingRequestIsBlocked(t *testing.T) {
	tests := map[string]struct {
		gap, until time.Duration
		inject     func(w *world, x *crashSim)
	}{
		// Each retry by the caller is a single attempt.
		"after half a minute": {31 * time.Second, 10 * time.Minute, func(_ *world, x *crashSim) { x.singleTry = true }},
		// Backend servers restart under their names before the directory shows it.
		"to servers with unnoticed restarts": {2 * time.Second, time.Minute, func(_ *world, x *crashSim) { x.restartHiddenFor = 10 * time.Second }},
		// Connections stall on a crash, and the directory entries are removed.
		"from servers that stall": {4 * time.Second, time.Minute, func(_ *world, x *crashSim) { x.stallOnCrash = true }},
		// No router keeps its crash records.
		"after two restarts of all routers": {4 * time.Second, time.Minute, func(w *world, x *crashSim) {
			x.singleTry = true
			for _, at := range []time.Duration{16 * time.Second, 36 * time.Second} {
				w.schedule(at, func() { w.restartAll() })
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(seed, 3, []string{"a"}, 6)
				x := withCrashes(w, map[suspect.Digest]time.Duration{7: 200 * time.Millisecond})
				tc.inject(w, x)
				w.every(100*time.Millisecond, func() {
					w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: suspect.Digest(1_000_000 + w.nextID)})
				})
				w.addCrashing(7, 500*time.Millisecond, tc.until, tc.gap)
				w.run(tc.until)
				if x.crashed[7] < 2 || x.lateSends > maxLateSends {
					t.Errorf("seed %d: %d servers crashed; %d sends after the third crash, at most %d allowed", seed, x.crashed[7], x.lateSends, maxLateSends)
				}
				if x.blocked > 0 {
					t.Errorf("seed %d: %d harmless requests were refused for crashes", seed, x.blocked)
				}
			}
		})
	}
}
