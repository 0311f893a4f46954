package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// mostLate is how many sends of a request are allowed once three servers have ended under it
// and all routers had the time to hear of that.
const mostLate = 3

// TestReturningRequest: a request under which its servers end came back again and again, at
// other routers, and was sent to servers four times more after the third had ended; 16 ended
// in all. What the fleet knew of it had been lost or forgotten before it returned, or it was
// taken back though it was true. The log of each new life had request_at_end with ends=1, 2
// and 3 for the same digest.
func TestReturningRequest(t *testing.T) {
	tests := map[string]struct {
		gap, until time.Duration
		disturb    func(w *world, x *crashes)
	}{
		// It is tried once for each time that its caller comes, which is rarely.
		"after half a minute": {31 * time.Second, 10 * time.Minute, func(_ *world, x *crashes) { x.once = true }},
		// Its servers are back under their names before the directory tells of that.
		"to servers that start again unseen": {2 * time.Second, time.Minute, func(_ *world, x *crashes) { x.unseen = 10 * time.Second }},
		// No word of an end comes through; the servers' entries go.
		"from servers that fall silent": {4 * time.Second, time.Minute, func(_ *world, x *crashes) { x.silent = true }},
		// Nobody is left who knows of it.
		"after all routers were lost twice": {4 * time.Second, time.Minute, func(w *world, x *crashes) {
			x.once = true
			for _, at := range []time.Duration{16 * time.Second, 36 * time.Second} {
				w.at(at, w.restartAll)
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(seed, 3, []string{"a"}, 6)
				x := withCrashes(w, map[suspect.Digest]time.Duration{7: 200 * time.Millisecond})
				tc.disturb(w, x)
				w.every(100*time.Millisecond, func() {
					w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{Prompt: 300, Output: 20, Digest: suspect.Digest(1_000_000 + w.nextID)})
				})
				w.deadly(7, 500*time.Millisecond, tc.until, tc.gap)
				w.run(tc.until)
				if x.under[7] < 2 || x.late > mostLate {
					t.Errorf("seed %d: %d servers ended, %d sends after the third, %d are allowed", seed, x.under[7], x.late, mostLate)
				}
				if x.barred > 0 {
					t.Errorf("seed %d: %d harmless requests were refused for ends of servers", seed, x.barred)
				}
			}
		})
	}
}
