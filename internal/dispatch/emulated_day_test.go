package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
)

// upkeep is what a quiet fleet spends.
type upkeep struct {
	// messages and bytes are per router and second, calls per second.
	messages, bytes, calls float64
}

func (f *emulator) measure(period time.Duration) upkeep {
	f.resetCosts()
	f.run(f.now+period, func() {})
	messages, bytes, _ := f.sent()
	n := float64(f.running()) * period.Seconds()
	return upkeep{messages: float64(messages) / n, bytes: float64(bytes) / n, calls: float64(f.store.calls) / period.Seconds()}
}

// TestEmulatedDay runs a fleet through its start, changes of entries, an outage of the platform, the
// loss and return of a zone, and the loss of all routers. All must agree again soon each time, and what
// the fleet spends in quiet times must not grow with it.
func TestEmulatedDay(t *testing.T) {
	const within = 5 * time.Second
	var quiet []upkeep
	for _, routers := range []int{60, 120} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newEmulator(routers, 5, within)
			agree := func(what string, most time.Duration) {
				t.Helper()
				if took := f.runUntil(settled, f.allKnowAll); took > most {
					t.Errorf("%s: all agree after %v, want at most %v", what, took, most)
				}
			}
			f.startAll()
			agree("start", 2*time.Second)
			f.run(f.now+5*time.Second, func() {})
			quiet = append(quiet, f.measure(5*time.Second))
			f.change(3 * time.Second)
			if took := f.inForce(); took > within/2 {
				t.Errorf("the last change is in force everywhere after %v", took)
			}
			f.store.away = true
			if away := f.measure(within); away.calls > 40 {
				t.Errorf("%.0f calls a second of a platform that is away", away.calls)
			}
			f.store.away = false
			f.change(time.Second)
			if took := f.inForce(); took > within {
				t.Errorf("a change after the platform is back is in force everywhere after %v", took)
			}
			f.killZone(1)
			agree("zone lost", 4*time.Second)
			f.startAll()
			agree("zone back", 2*time.Second)
			f.killAll()
			f.startAll()
			agree("all lost", 2*time.Second)
		})
	}
	if small, large := quiet[0], quiet[1]; large.messages > small.messages || large.bytes > 1.1*small.bytes || large.calls > small.calls+0.5 {
		t.Errorf("a router of 120 spends %+v, one of 60 %+v", large, small)
	}
}

// TestEmulatedPartition: two parts of a fleet that were cut off from each other for longer than routers
// are remembered must find each other again.
func TestEmulatedPartition(t *testing.T) {
	f := newEmulator(40, 4, 5*time.Second)
	f.startAll()
	f.runUntil(settled, f.allKnowAll)
	f.isCut = func(a, b int) bool { return (a == 1) != (b == 1) }
	f.run(f.now+roster.ForgetAfter+10*time.Second, func() {})
	apart := f.countIf(func(r *emulatedRouter) bool { return len(r.routers) == f.running()-1 })
	if apart > 0 {
		t.Fatalf("%d routers still count those across the cut as live", apart)
	}
	f.isCut = nil
	if took := f.runUntil(settled, f.allKnowAll); took > roster.SeedProbeInterval+5*time.Second {
		t.Errorf("all agree %v after the cut ends", took)
	}
}

// TestChangeIsSentOnce: a change must reach each router about once, and also if a relay that would send
// it is lost at that moment.
func TestChangeIsSentOnce(t *testing.T) {
	const routers, within = 60, 5 * time.Second
	f := newEmulator(routers, 3, within)
	f.startAll()
	f.runUntil(settled, f.allKnowAll)
	f.run(f.now+5*time.Second, func() {})
	f.resetCosts()
	before := f.store.revision
	f.change(2 * time.Second)
	f.inForce()
	sent, changes := 0, int(f.store.revision-before)
	for key, c := range f.costs {
		if key.kind == "PlatformUpdate" {
			sent += c.messages
		}
	}
	// Each of the two watchers passes on what it reads, up to three times a second.
	if most := 2 * 3 * 2 * routers * 13 / 10; sent > most {
		t.Errorf("%d updates were sent for %d changes, want at most %d", sent, changes, most)
	}
	for _, address := range f.order {
		if r := f.routers[address]; r.peerPlan.Relay && r != f.reader() {
			r.kill()
			break
		}
	}
	f.change(100 * time.Millisecond)
	if took := f.inForce(); took > within/2 {
		t.Errorf("a change is in force everywhere %v after a relay was lost", took)
	}
}

// TestNewEpochReachesAll: after the platform was restored from a backup every router needs everything
// anew. It must spread as at a start, and be in force everywhere within the apply time.
func TestNewEpochReachesAll(t *testing.T) {
	const routers, within = 90, 3 * time.Second
	f := newEmulator(routers, 3, within)
	f.startAll()
	f.runUntil(settled, f.allKnowAll)
	// Nobody is referred to the recipients of the start any more.
	f.run(f.now+2*recipientTTL, func() {})
	f.store.epoch++
	f.resetCosts()
	took := f.runUntil(settled, func() bool {
		return f.countIf(func(r *emulatedRouter) bool { return r.d.asOf().Epoch < f.store.epoch }) == 0
	})
	if took > within/2 {
		t.Errorf("the new epoch is known everywhere after %v", took)
	}
	if readers := len(f.store.callsBy); readers > 6 {
		t.Errorf("%d routers read the platform", readers)
	}
	for key, c := range f.costs {
		if key.kind == fullUpdateKind && c.messages > 3*routers/2 {
			t.Errorf("%d full updates were sent by %ss", c.messages, key.role)
		}
	}
}

// TestRestartInLargeFleet: a router that starts again, also with its clock set back, must find a fleet
// with relays, and the fleet must find it.
func TestRestartInLargeFleet(t *testing.T) {
	for name, behind := range map[string]time.Duration{"clock goes on": 0, "clock set back": 30 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			f := newEmulator(60, 3, 5*time.Second)
			f.startAll()
			f.runUntil(settled, f.allKnowAll)
			for _, i := range []int{0, 20, 41} {
				r := f.routers[f.order[i]]
				r.kill()
				if took := f.runUntil(settled, f.allKnowAll); took > 4*time.Second {
					t.Errorf("router %d is known as lost after %v", i, took)
				}
				r.clockBehind = behind
				r.start()
				if took := f.runUntil(settled, f.allKnowAll); took > 3*time.Second {
					t.Errorf("router %d is back after %v", i, took)
				}
			}
		})
	}
}

// TestSlowRoutersJoin: routers that run only every 0.3 s must find a fleet whose routers report to their
// relays once a second, as those of zones of a hundred do.
func TestSlowRoutersJoin(t *testing.T) {
	f := newEmulator(130, 1, 5*time.Second)
	f.slowEvery = 10
	f.startAll()
	if took := f.runUntil(settled, f.allKnowAll); took > 8*time.Second {
		t.Errorf("all agree after %v", took)
	}
	if interval := f.routers[f.order[50]].peerPlan.Interval; interval != time.Second {
		t.Errorf("reports are %v apart, which tests nothing", interval)
	}
}
