package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
)

// fleet runs many rosters on a simulated clock. Each router sends messages as its plan says, and
// relays send reports.
type fleet struct {
	now      time.Duration
	order    []string
	rosters  map[string]*roster.Roster
	self     map[string]roster.Member
	nextSend map[string]time.Duration
	reported map[[2]string]uint64
	down     map[string]bool
	isCut    func(from, to roster.Member) bool
	sent     map[string]int
}

const step = 50 * time.Millisecond

// newFleet starts routers whose seeds are the first routers of the first three zones.
func newFleet(zones, perZone int) *fleet {
	f := &fleet{
		now: time.Hour, rosters: map[string]*roster.Roster{}, self: map[string]roster.Member{}, nextSend: map[string]time.Duration{},
		reported: map[[2]string]uint64{}, down: map[string]bool{}, sent: map[string]int{},
		isCut: func(roster.Member, roster.Member) bool { return false },
	}
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%d-0", z))
	}
	for z := range zones {
		for i := range perZone {
			m := roster.Member{Address: fmt.Sprintf("%d-%d", z, i), Zone: fmt.Sprint(z), Incarnation: 1, Capacity: 0.2}
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

// deliver delivers a message, which may carry a full report and may confirm an earlier one by its
// digest. With wantReply, the recipient answers with a report.
func (f *fleet) deliver(from, to string, withReport, wantReply bool, digest uint64) {
	if f.down[to] || f.down[from] || f.isCut(f.self[from], f.self[to]) {
		return
	}
	f.sent[from]++
	r := f.rosters[to]
	isNew := r.Observe(f.now, f.self[from])
	if withReport {
		r.ApplyReport(f.now, from, roster.Report{Digest: f.rosters[from].Digest(f.now), Members: f.rosters[from].Members(f.now)})
	}
	r.ConfirmReport(f.now, from, digest)
	if isNew || wantReply {
		f.deliver(to, from, true, false, 0)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, name := range f.order {
			if f.down[name] || f.now < f.nextSend[name] {
				continue
			}
			r := f.rosters[name]
			p := r.Plan(f.now)
			f.nextSend[name] = f.now + p.Interval
			digest, confirmed := r.Digest(f.now), uint64(0)
			if p.Relay {
				confirmed = digest
			}
			for _, to := range slices.Concat(p.Peers, p.Served, p.RemoteRelays) {
				withReport := p.Relay && f.reported[[2]string{name, to}] != digest
				f.reported[[2]string{name, to}] = digest
				f.deliver(name, to, withReport, false, confirmed)
			}
			for _, to := range r.NextProbes(f.now, p) {
				f.deliver(name, to, true, true, 0)
			}
			r.Forget(f.now)
		}
	}
}

// wrongViews describes the routers whose live members are not those that they should see.
func (f *fleet) wrongViews(sees func(a, b string) bool) []string {
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

// TestFleetConverges guards against routers that do not find each other, and against message rates
// that grow with the size of a zone.
func TestFleetConverges(t *testing.T) {
	for name, size := range map[string][2]int{"one zone": {1, 5}, "mesh": {3, 3}, "relays": {3, 20}, "many zones": {14, 8}, "large zones": {3, 100}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(size[0], size[1])
			f.run(5 * time.Second)
			if wrong := f.wrongViews(everyone); len(wrong) > 0 {
				t.Fatalf("after 5 s: %v", wrong)
			}
			clear(f.sent)
			f.run(10 * time.Second)
			most := 0
			for _, n := range f.sent {
				most = max(most, n)
			}
			if perSecond := float64(most) / 10; perSecond > 130 {
				t.Errorf("a router sends %v messages per second, want at most 130", perSecond)
			}
		})
	}
}

// TestLostRouters guards against counting stopped routers as alive, relays in particular, and
// against missing them after a restart.
func TestLostRouters(t *testing.T) {
	f := newFleet(3, 20)
	f.run(5 * time.Second)
	relay := f.rosters["2-5"].PrimaryRelay(f.now, "0")
	other := f.rosters["2-5"].PrimaryRelay(f.now, "1")
	for _, stopped := range []string{relay, other, "2-7"} {
		f.down[stopped] = true
	}
	f.run(3 * time.Second)
	if wrong := f.wrongViews(everyone); len(wrong) > 0 {
		t.Fatalf("3 s after the routers stopped: %v", wrong)
	}
	if now := f.rosters["2-5"].PrimaryRelay(f.now, "0"); now == relay {
		t.Error("the stopped relay is still the primary relay")
	}
	for _, stopped := range []string{relay, other, "2-7"} {
		f.down[stopped] = false
		m := f.self[stopped]
		m.Incarnation = 2
		f.self[stopped] = m
		f.rosters[stopped] = roster.New(m, []string{"0-0", "1-0", "2-0"})
	}
	f.run(5 * time.Second)
	if wrong := f.wrongViews(everyone); len(wrong) > 0 {
		t.Fatalf("5 s after the restart: %v", wrong)
	}
}

// TestPartitionHeals guards against zones that do not find each other again after a partition that
// outlasts ForgetAfter.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(3, 10)
	f.run(5 * time.Second)
	f.isCut = func(a, b roster.Member) bool { return (a.Zone == "1") != (b.Zone == "1") }
	f.run(4 * time.Second)
	if wrong := f.wrongViews(func(a, b string) bool { return (f.self[a].Zone == "1") == (f.self[b].Zone == "1") }); len(wrong) > 0 {
		t.Fatalf("during the partition: %v", wrong)
	}
	f.run(2 * roster.ForgetAfter)
	f.isCut = func(roster.Member, roster.Member) bool { return false }
	f.run(6 * time.Second)
	if wrong := f.wrongViews(everyone); len(wrong) > 0 {
		t.Fatalf("after the partition: %v", wrong)
	}
}
