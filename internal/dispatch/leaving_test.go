package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// leave announces that a router stops soon, as Dispatcher.Leave does.
func (r *emulatedRouter) leave() {
	r.d.shared.leaving.Store(true)
	r.apply(leaveEvent{})
}

// TestAllKnowWhoLeaves guards against requests that reach a router which has stopped: all others must stop
// relying on it within the notice that a planned stop gives, relays among those that leave.
func TestAllKnowWhoLeaves(t *testing.T) {
	const notice, zones = 2500 * time.Millisecond, 5
	for _, routers := range []int{4, 60, 150} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newEmulator(routers, min(zones, routers/2), 5*time.Second)
			f.startAll()
			f.runUntil(settled, f.allKnowAll)
			f.run(f.now+2*time.Second, func() {})
			var left []string
			for i := range max(1, routers/15) {
				r := f.routers[f.order[i*7%routers]]
				r.leave()
				left = append(left, r.address)
				f.run(f.now+100*time.Millisecond, func() {})
			}
			relying := func() int {
				return f.countIf(func(r *emulatedRouter) bool {
					return slices.ContainsFunc(r.routers, func(other admit.Router) bool { return slices.Contains(left, other.Address) })
				})
			}
			took := f.runUntil(2*notice, func() bool { return relying() == 0 })
			t.Logf("all know after %v", took)
			if took > notice {
				t.Errorf("%d routers rely on one that leaves after %v, want none after %v", relying(), took, notice)
			}
		})
	}
}
