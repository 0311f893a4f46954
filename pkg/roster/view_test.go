package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
)

// newLargeRoster returns the roster of a router in a fleet of five zones, which has heard from all
// others, and their descriptions. With relay set, the router is a relay of its zone.
func newLargeRoster(t *testing.T, routers int, relay bool, now time.Duration) (*roster.Roster, []roster.MemberInfo) {
	t.Helper()
	own := roster.Member{Address: "10.0.0.1:7", Zone: "0", Incarnation: 1, Capacity: 0.001}
	if relay {
		own.Capacity = 1000
	}
	r := roster.New(own, nil)
	all := []roster.MemberInfo{{Member: own, Alive: true, Direct: true}}
	for i := 1; i < routers; i++ {
		m := roster.Member{Address: fmt.Sprintf("10.1.%d.%d:7", i/200, i%200), Zone: fmt.Sprint(i % 5), Incarnation: 1, Capacity: 0.2}
		r.Observe(now, m)
		all = append(all, roster.MemberInfo{Member: m, Alive: true, Direct: true})
	}
	if got := r.Plan(now).Relay; got != relay {
		t.Fatalf("the router is a relay: %v, want %v", got, relay)
	}
	return r, all
}

// exchange passes on the messages of an interval from those with which a router exchanges some: each
// says nothing new. The router reads its plan and its digest for each.
func exchange(r *roster.Roster, now time.Duration, members map[string]roster.Member) int {
	messages := 0
	p := r.Plan(now)
	for _, list := range [][]string{p.Peers, p.Served, p.RemoteRelays} {
		for _, from := range list {
			messages++
			r.Observe(now, members[from])
			r.ConfirmReport(now, from, 1)
			r.PrimaryRelay(now, members[from].Zone)
			r.Plan(now)
			r.Digest(now)
			r.Version(now)
		}
	}
	r.NextProbes(now, p)
	r.Forget(now)
	return messages
}

// TestMessagesWithoutNewsAreCheap: what a message costs that says nothing new must not depend on the
// size of the fleet, at relays and at other routers.
func TestMessagesWithoutNewsAreCheap(t *testing.T) {
	const seconds = 30
	for _, routers := range []int{300, 600, 1200} {
		for _, relay := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d routers, relay %v", routers, relay), func(t *testing.T) {
				now := time.Hour
				r, all := newLargeRoster(t, routers, relay, now)
				members := map[string]roster.Member{}
				for _, info := range all {
					members[info.Address] = info.Member
				}
				p := r.Plan(now)
				report := func() {
					for _, from := range append(append([]string(nil), p.Peers...), p.RemoteRelays...) {
						r.ApplyReport(now, from, roster.Report{Digest: 1, Members: all})
					}
				}
				report()
				report()
				// Afterwards only those that exchange messages with this router are heard directly.
				for range 4 {
					now += p.Interval
					exchange(r, now, members)
				}
				if live := len(r.Live(now)); live != routers-1 {
					t.Fatalf("%d routers are alive, want %d", live, routers-1)
				}
				before, messages := r.Work(), 0
				for range seconds {
					now += time.Second
					messages += exchange(r, now, members)
				}
				after := r.Work()
				// A view holds until the first silence would be too long.
				if views := after.Views - before.Views; views > seconds {
					t.Errorf("%d views were computed for %d messages in %d s", views, messages, seconds)
				}
				if sorted := after.Sorted - before.Sorted; sorted > 0 {
					t.Errorf("%d members were sorted, although none came or went", sorted)
				}
				if live := len(r.Live(now)); live != routers-1 {
					t.Errorf("%d routers are alive after %d s, want %d", live, seconds, routers-1)
				}
			})
		}
	}
}

// TestRouterOfAnotherZoneChangesNothing: a request for a slot from a router that a relay reports alive
// must not cost what grows with the fleet.
func TestRouterOfAnotherZoneChangesNothing(t *testing.T) {
	now := time.Hour
	r, all := newLargeRoster(t, 600, false, now)
	for _, relay := range r.Plan(now).Peers {
		r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all})
		r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all})
	}
	now += 2 * time.Second
	r.Live(now)
	before := r.Work().Views
	for _, info := range all[1:] {
		if info.Zone != "0" && r.PrimaryRelay(now, info.Zone) != info.Address {
			r.Observe(now, info.Member)
			r.Live(now)
		}
	}
	// Secondary relays of other zones count as contacts that are reported.
	if views := r.Work().Views - before; views > 5 {
		t.Errorf("%d views were computed for messages of routers of other zones", views)
	}
}

// TestViewExpires: a view that is kept must end when the silence of a router, or of the relay that
// reports it, has lasted too long.
func TestViewExpires(t *testing.T) {
	now := time.Hour
	r, all := newLargeRoster(t, 30, false, now)
	relays := r.Plan(now).Peers
	for _, relay := range relays {
		r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all})
		r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all})
	}
	silence := 2 * time.Second
	if live := len(r.Live(now + silence)); live != 0 {
		t.Errorf("%d routers are alive after %v of silence", live, silence)
	}
	for _, info := range all[1:] {
		if info.Address == relays[0] {
			r.Observe(now+silence, info.Member)
		}
	}
	r.ConfirmReport(now+silence, relays[0], 1)
	if live := len(r.Live(now + silence)); live != len(all)-1 {
		t.Errorf("%d routers are alive after the relay confirmed its report, want %d", live, len(all)-1)
	}
}

// TestReportedRoutersAreNotForgotten: a router that only a relay reports alive, without new reports,
// must stay known and counted.
func TestReportedRoutersAreNotForgotten(t *testing.T) {
	now := time.Hour
	r, all := newLargeRoster(t, 60, false, now)
	members := map[string]roster.Member{}
	for _, info := range all {
		members[info.Address] = info.Member
	}
	for _, relay := range r.Plan(now).Peers {
		r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all})
		r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all})
	}
	for end := now + 2*roster.ForgetAfter; now < end; now += 500 * time.Millisecond {
		exchange(r, now, members)
	}
	if live, recent := len(r.Live(now)), r.CountRecent(now, 10*time.Second); live != len(all)-1 || recent != len(all) {
		t.Errorf("%d routers are alive and %d counted, want %d and %d", live, recent, len(all)-1, len(all))
	}
}

// TestLargeFleetIsExpectedForAnInterval: a router that learns of a large fleet by one report of a router
// that is no relay must keep to its relays until its first messages have reached them.
func TestLargeFleetIsExpectedForAnInterval(t *testing.T) {
	for _, routers := range []int{60, 600, 1200} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			now := time.Hour
			own := roster.Member{Address: "10.0.0.1:7", Zone: "0", Incarnation: 1, Capacity: 0.001}
			r := roster.New(own, nil)
			var all []roster.MemberInfo
			for i := 1; i < routers; i++ {
				m := roster.Member{Address: fmt.Sprintf("10.1.%d.%d:7", i/200, i%200), Zone: fmt.Sprint(i % 5), Incarnation: 1, Capacity: 0.2}
				all = append(all, roster.MemberInfo{Member: m, Alive: true})
			}
			r.Observe(now, all[0].Member)
			r.ApplyReport(now, all[0].Address, roster.Report{Digest: 1, Members: all})
			p := r.Plan(now)
			if p.Mesh || len(p.Peers) == 0 {
				t.Fatalf("plan %+v", p)
			}
			if later := r.Plan(now + 3*p.Interval/2); later.Mesh {
				t.Errorf("the fleet is given up within %v, with an interval of %v", 3*p.Interval/2, p.Interval)
			}
		})
	}
}

// TestLostRouterProbesFew: a router that knows a large fleet and hears few of it must not ask many at
// once for all that they know.
func TestLostRouterProbesFew(t *testing.T) {
	now := time.Hour
	r, _ := newLargeRoster(t, 600, false, now)
	now += 10 * time.Second
	if p := r.Plan(now); !r.HearsFew(p) {
		t.Fatalf("plan %+v", p)
	} else if probes := r.NextProbes(now, p); len(probes) == 0 || len(probes) > 2 {
		t.Errorf("%d routers are probed at once", len(probes))
	}
}
