package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// What happened. Symptom: while one zone was cut off and another one closed, a seventh of
// the requests were answered in time; before the cut a third.
//
// Sequence: half of the open engines are in the zone that is cut off. The routers of the
// other zones find owners for these among themselves, who see nothing under way there and
// give places at once. Each request waits 300 ms for a connection before it is tried
// elsewhere, late; a router gives such an engine up for half a second, one by one, and
// then tries it again.
//
// Cause: who owns a backend server was worked out for a cut zone as for one without
// routers.

// TestCutOffZoneIsNotUsed cuts a zone off under load: the routers of the others send
// nothing there, and start what comes to them at the engines that they reach.
func TestCutOffZoneIsNotUsed(t *testing.T) {
	const cutZone = "y"
	w := newWorld(1, 5, zones[:2], 4)
	w.every(5*time.Millisecond, func() {
		w.ask(w.order[w.rng.IntN(len(w.order))], admit.Request{Prefix: 1 + w.rng.Uint64N(40), Prompt: 900, Shared: 300, Output: 20})
	})
	w.run(2 * time.Second)
	for _, a := range w.order {
		for _, b := range w.order {
			if zoneOf(a) != zoneOf(b) {
				w.cut[[2]string{a, b}] = true
			}
		}
	}
	w.tellRouters()
	from := w.now
	w.run(from + time.Second)
	asked, across, started := 0, 0, 0
	for id, a := range w.asked {
		if a.at <= from || zoneOf(a.router) == cutZone || a.at > from+900*time.Millisecond {
			continue
		}
		asked++
		s, ok := w.starts[id]
		switch {
		case ok && zoneOf(s.Backend.Name) == cutZone:
			across++
		case ok:
			started++
		}
	}
	if across > 0 || started < asked*9/10 {
		t.Errorf("of %d requests %d were sent into the zone that is cut off, %d started elsewhere", asked, across, started)
	}
}
