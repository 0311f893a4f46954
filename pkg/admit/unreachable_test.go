package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// TestUnreachableZoneGetsNoRequests: routers must not send requests to backend servers in an
// unreachable zone. Each such request would wait for a connection timeout.
func TestUnreachableZoneGetsNoRequests(t *testing.T) {
	const cutZone = "y"
	w := newWorld(1, 5, zones[:2], 4)
	w.every(5*time.Millisecond, func() {
		w.submit(w.order[w.rng.IntN(len(w.order))], admit.Request{Prefix: 1 + w.rng.Uint64N(40), Prompt: 900, Shared: 300, Output: 20})
	})
	w.run(2 * time.Second)
	for _, a := range w.order {
		for _, b := range w.order {
			if zoneOf(a) != zoneOf(b) {
				w.blocked[[2]string{a, b}] = true
			}
		}
	}
	w.updateRouters()
	from := w.now
	w.run(from + time.Second)
	total, across, started := 0, 0, 0
	for id, a := range w.requests {
		if a.at <= from || zoneOf(a.router) == cutZone || a.at > from+900*time.Millisecond {
			continue
		}
		total++
		s, ok := w.starts[id]
		switch {
		case ok && zoneOf(s.Backend.Name) == cutZone:
			across++
		case ok:
			started++
		}
	}
	if across > 0 || started < total*9/10 {
		t.Errorf("of %d requests, %d were sent into the unreachable zone and %d started elsewhere", total, across, started)
	}
}
