package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
)

// fleet runs many rosters on a simulated clock: every interval each router
// tells those it talks with that it lives, and relays tell whom they know.
type fleet struct {
	now     time.Duration
	order   []string
	rosters map[string]*roster.Roster
	self    map[string]roster.Member
	next    map[string]time.Duration
	told    map[[2]string]uint64
	down    map[string]bool
	cut     func(from, to roster.Member) bool
	sent    map[string]int
}

const step = 50 * time.Millisecond

// newFleet starts routers of which each knows the first of the first zones.
func newFleet(zones, each int) *fleet {
	f := &fleet{
		now: time.Hour, rosters: map[string]*roster.Roster{}, self: map[string]roster.Member{}, next: map[string]time.Duration{},
		told: map[[2]string]uint64{}, down: map[string]bool{}, sent: map[string]int{},
		cut: func(roster.Member, roster.Member) bool { return false },
	}
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%d-0", z))
	}
	for z := range zones {
		for i := range each {
			m := roster.Member{Address: fmt.Sprintf("%d-%d", z, i), Zone: fmt.Sprint(z), Inc: 1, Capacity: 0.2}
			if i < 2 {
				m.Capacity = 0.8
			}
			f.order = append(f.order, m.Address)
			f.self[m.Address] = m
			f.rosters[m.Address] = roster.New(m, seeds[:min(3, len(seeds))])
		}
	}
	return f
}

// deliver brings a message that may tell a roster, and stands by one if its
// digest is not 0.
func (f *fleet) deliver(from, to string, tell, answer bool, digest uint64) {
	if f.down[to] || f.down[from] || f.cut(f.self[from], f.self[to]) {
		return
	}
	f.sent[from]++
	r := f.rosters[to]
	news := r.Observe(f.now, f.self[from])
	if tell {
		r.ApplyReport(f.now, from, roster.Report{Digest: f.rosters[from].Digest(f.now), Members: f.rosters[from].Members(f.now)})
	}
	r.ConfirmReport(f.now, from, digest)
	if news || answer {
		f.deliver(to, from, true, false, 0)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, name := range f.order {
			if f.down[name] || f.now < f.next[name] {
				continue
			}
			r := f.rosters[name]
			t := r.Plan(f.now)
			f.next[name] = f.now + t.Interval
			digest, stands := r.Digest(f.now), uint64(0)
			if t.Relay {
				stands = digest
			}
			for _, to := range slices.Concat(t.Peers, t.Served, t.RemoteRelays) {
				tell := t.Relay && f.told[[2]string{name, to}] != digest
				f.told[[2]string{name, to}] = digest
				f.deliver(name, to, tell, false, stands)
			}
			for _, to := range r.NextProbes(f.now, t) {
				f.deliver(name, to, true, true, 0)
			}
			r.Forget(f.now)
		}
	}
}

// wrong lists the routers whose view is not the routers that are up.
func (f *fleet) wrong(sees func(a, b string) bool) []string {
	var wrong []string
	for _, a := range f.order {
		if f.down[a] {
			continue
		}
		var want []string
		for _, b := range f.order {
			if a != b && !f.down[b] && sees(a, b) {
				want = append(want, b)
			}
		}
		slices.Sort(want)
		if !slices.Equal(want, f.rosters[a].Live(f.now)) {
			wrong = append(wrong, fmt.Sprintf("%s sees %d of %d", a, len(f.rosters[a].Live(f.now)), len(want)))
		}
	}
	return wrong
}

func everyone(string, string) bool { return true }

func TestFleetFindsItself(t *testing.T) {
	for name, size := range map[string][2]int{"one zone": {1, 5}, "mesh": {3, 3}, "relays": {3, 20}, "many zones": {14, 8}, "large zones": {3, 100}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(size[0], size[1])
			f.run(5 * time.Second)
			if wrong := f.wrong(everyone); len(wrong) > 0 {
				t.Fatalf("after 5 s: %v", wrong)
			}
			clear(f.sent)
			f.run(10 * time.Second)
			most := 0
			for _, n := range f.sent {
				most = max(most, n)
			}
			// What a relay sends a second is bounded whatever the zone's size.
			if perSecond := float64(most) / 10; perSecond > 130 {
				t.Errorf("a router sends %v messages a second", perSecond)
			}
		})
	}
}

// TestLostRoutersAreNoticed kills routers, relays among them, and starts them
// anew.
func TestLostRoutersAreNoticed(t *testing.T) {
	f := newFleet(3, 20)
	f.run(5 * time.Second)
	relay := f.rosters["2-5"].PrimaryRelay(f.now, "0")
	other := f.rosters["2-5"].PrimaryRelay(f.now, "1")
	for _, victim := range []string{relay, other, "2-7"} {
		f.down[victim] = true
	}
	f.run(3 * time.Second)
	if wrong := f.wrong(everyone); len(wrong) > 0 {
		t.Fatalf("3 s after the loss: %v", wrong)
	}
	if now := f.rosters["2-5"].PrimaryRelay(f.now, "0"); now == relay {
		t.Error("the lost relay is still one")
	}
	for _, victim := range []string{relay, other, "2-7"} {
		f.down[victim] = false
		m := f.self[victim]
		m.Inc = 2
		f.self[victim] = m
		f.rosters[victim] = roster.New(m, []string{"0-0", "1-0", "2-0"})
	}
	f.run(5 * time.Second)
	if wrong := f.wrong(everyone); len(wrong) > 0 {
		t.Fatalf("5 s after the return: %v", wrong)
	}
}

// TestZonesFindEachOtherAgain cuts a zone off, twice as long as routers are
// remembered, and heals the cut.
func TestZonesFindEachOtherAgain(t *testing.T) {
	f := newFleet(3, 10)
	f.run(5 * time.Second)
	f.cut = func(a, b roster.Member) bool { return (a.Zone == "1") != (b.Zone == "1") }
	f.run(4 * time.Second)
	if wrong := f.wrong(func(a, b string) bool { return (f.self[a].Zone == "1") == (f.self[b].Zone == "1") }); len(wrong) > 0 {
		t.Fatalf("in the cut: %v", wrong)
	}
	f.run(2 * roster.ForgetAfter)
	f.cut = func(roster.Member, roster.Member) bool { return false }
	f.run(6 * time.Second)
	if wrong := f.wrong(everyone); len(wrong) > 0 {
		t.Fatalf("after the cut: %v", wrong)
	}
}
