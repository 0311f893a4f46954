package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
)

var (
	self = roster.Member{Address: "10.0.0.1:7", Name: "a", Zone: "x", Inc: 5}
	b    = roster.Member{Address: "10.0.0.2:7", Name: "b", Zone: "x", Inc: 5}
	c    = roster.Member{Address: "10.0.0.3:7", Name: "c", Zone: "y", Inc: 5}
)

// view is what a roster says at a time.
type view struct {
	Live, Tries []string
	Lately      int
}

// known tells of a router that someone heard a while ago.
func known(m roster.Member, ago time.Duration) []roster.MemberInfo {
	return []roster.MemberInfo{{Member: m, LastSeenAgo: ago}}
}

func TestRoster(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		seeds []string
		do    func(r *roster.Roster)
		at    time.Duration
		want  view
	}{
		"seeds are tried, oneself is not": {
			seeds: []string{self.Address, b.Address}, do: func(*roster.Roster) {},
			want: view{Tries: []string{b.Address}, Lately: 1}},
		"a seed that is down is tried again": {
			seeds: []string{b.Address}, do: func(r *roster.Roster) { r.NextProbes(0, r.Plan(0)) }, at: 40 * second,
			want: view{Tries: []string{b.Address}, Lately: 1}},
		"heard": {
			do: func(r *roster.Roster) { r.Observe(second, b) }, at: second + second/4,
			want: view{Live: []string{b.Address}, Lately: 2}},
		"silent": {
			do: func(r *roster.Roster) { r.Observe(second, b) }, at: 2 * second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"silent, while this router stood still": {
			do: func(r *roster.Roster) { r.Observe(second, b); r.RecordPause(second, 7*second) }, at: 7*second + second/10,
			want: view{Live: []string{b.Address}, Lately: 2}},
		"silent after that, too": {
			do: func(r *roster.Roster) { r.Observe(second, b); r.RecordPause(second, 7*second) }, at: 7*second + second/5,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"silent before, and this router stood still again": {
			do: func(r *roster.Roster) {
				r.Observe(second, b)
				r.RecordPause(second, 2*second)
				r.RecordPause(2*second, 3*second)
			}, at: 3 * second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"a minute of standing still is not forgetting": {
			do: func(r *roster.Roster) { r.Observe(second, b); r.RecordPause(second, 61*second); r.Forget(61 * second) }, at: 61 * second,
			want: view{Live: []string{b.Address}, Lately: 1}},
		"hearsay is tried and counts, but does not live": {
			do: func(r *roster.Roster) {
				r.ApplyReport(second, b.Address, roster.Report{Digest: 1, Members: known(c, 0)})
			}, at: second,
			want: view{Tries: []string{c.Address}, Lately: 2}},
		"old hearsay counts for nothing": {
			do: func(r *roster.Roster) {
				r.ApplyReport(40*second, b.Address, roster.Report{Digest: 1, Members: known(c, 39*second)})
			}, at: 40 * second,
			want: view{Lately: 1}},
		"gone": {
			do: func(r *roster.Roster) { r.Observe(second, b); r.MarkDown(b.Address) }, at: second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"a message of an earlier start is no sign of life": {
			do: func(r *roster.Roster) {
				r.Observe(second, b)
				r.MarkDown(b.Address)
				old := b
				old.Inc = 4
				r.Observe(second, old)
			}, at: second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"long unheard is forgotten": {
			do: func(r *roster.Roster) { r.Observe(second, b); r.Forget(40 * second) }, at: 40 * second,
			want: view{Lately: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := roster.New(self, tc.seeds)
			tc.do(r)
			got := view{Live: r.Live(tc.at), Tries: r.NextProbes(tc.at, r.Plan(tc.at)), Lately: r.CountRecent(tc.at, 20*second)}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("roster (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLeavingUntilStartedAnew(t *testing.T) {
	r := roster.New(self, nil)
	r.Observe(1, b)
	r.MarkLeaving(b.Address)
	if got := r.Active(2); len(got) != 0 {
		t.Errorf("%v stay", got)
	}
	next := b
	next.Inc = 6
	if !r.Observe(3, next) || len(r.Active(3)) != 1 {
		t.Error("a router that started anew is not news")
	}
}

// TestTriesMoreOftenAfterTheStart counts how often a router that is not heard is
// tried: all may have been lost at once, and it may be back any moment.
func TestTriesMoreOftenAfterTheStart(t *testing.T) {
	r := roster.New(self, []string{b.Address})
	tries := map[bool]int{}
	for now := time.Hour; now < time.Hour+2*roster.StartupPeriod; now += 50 * time.Millisecond {
		tries[now < time.Hour+roster.StartupPeriod] += len(r.NextProbes(now, r.Plan(now)))
	}
	want := map[bool]int{true: int(roster.StartupPeriod / roster.StartupProbeInterval), false: int(roster.StartupPeriod / roster.ProbeInterval)}
	if diff := cmp.Diff(want, tries); diff != "" {
		t.Errorf("tries within the first %v and after (-want +got):\n%s", roster.StartupPeriod, diff)
	}
}

// relayed returns the roster of a router that lives in a fleet with relays: the
// zone's others, and those of the other zone, among them relays that vouch for
// all of them.
func relayed(t *testing.T, now time.Duration) (r *roster.Roster, relay string, all []roster.MemberInfo) {
	t.Helper()
	r = roster.New(self, nil)
	for i := range 10 {
		for _, zone := range []string{"x", "y"} {
			m := roster.Member{Address: fmt.Sprintf("10.0.%s.%d:7", zone, i), Zone: zone, Inc: 5}
			all = append(all, roster.MemberInfo{Member: m, Alive: true, Direct: true})
		}
	}
	for _, k := range all {
		r.Observe(now, k.Member)
	}
	if relay = r.PrimaryRelay(now, self.Zone); relay == self.Address {
		t.Fatal("the router under test is a relay itself")
	}
	return r, relay, all
}

// TestVouchedForIsNoNews looks that a router which is heard by chance, since it
// asks this one for a place, is not told of the whole fleet each time.
func TestVouchedForIsNoNews(t *testing.T) {
	const start, later = time.Hour, time.Hour + 10*time.Second
	r, relay, all := relayed(t, start)
	var relayMember roster.Member
	for _, k := range all {
		if k.Address == relay {
			relayMember = k.Member
		}
	}
	r.Observe(later, relayMember)
	r.ApplyReport(later, relay, roster.Report{Digest: 1, Members: all})
	for _, k := range all {
		if news := r.Observe(later, k.Member); news {
			t.Errorf("%s is news, though the relay vouches for it", k.Address)
		}
	}
	anew := all[0].Member
	anew.Inc++
	if !r.Observe(later, anew) {
		t.Error("a router that started anew is not news")
	}
}

// TestDigestIsSteadyWhileRoutersAsk looks that the digest, at whose change relays
// tell all others, does not change with who of another zone asked for a place.
func TestDigestIsSteadyWhileRoutersAsk(t *testing.T) {
	const start, later = time.Hour, time.Hour + time.Second/4
	r, _, all := relayed(t, start)
	first := r.PrimaryRelay(start, "y")
	vouch := func(now time.Duration) {
		for _, k := range all {
			if k.Zone == self.Zone || k.Address == first {
				r.Observe(now, k.Member)
			}
		}
		r.ApplyReport(now, first, roster.Report{Digest: 1, Members: all})
	}
	silent := start + 2*roster.SilenceTimeout
	vouch(silent)
	before := r.Digest(silent)
	for _, k := range all {
		if k.Zone == "y" && k.Address != first && r.PrimaryRelay(later, "y") != k.Address {
			r.Observe(silent, k.Member)
			break
		}
	}
	if after := r.Digest(silent); after != before {
		t.Error("the digest changed when a router of another zone was heard")
	}
}

// TestChangesOfReports gives a router reports that change others.
func TestChangesOfReports(t *testing.T) {
	const now = time.Hour
	tests := map[string]struct {
		base uint64
		fits bool
		// lives says that the router of which the change tells counts as live.
		lives bool
	}{
		"of the last report": {base: 1, fits: true, lives: false},
		"of an unknown one":  {base: 7, fits: false, lives: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, relay, all := relayed(t, now-10*time.Second)
			for _, k := range all {
				if k.Address == relay {
					r.Observe(now, k.Member)
				}
			}
			// By the first report it learns who the relays are, by the second who lives.
			for range 2 {
				if !r.ApplyReport(now, relay, roster.Report{Digest: 1, Members: all}) {
					t.Error("a whole report does not do")
				}
			}
			var gone roster.MemberInfo
			for _, k := range all {
				if k.Address != relay {
					gone = k
				}
			}
			gone.Alive, gone.Direct = false, false
			if got := r.ApplyReport(now, relay, roster.Report{Digest: 2, Base: tc.base, Members: []roster.MemberInfo{gone}}); got != tc.fits {
				t.Errorf("the change fits: %v", got)
			}
			if got := slices.Contains(r.Live(now), gone.Address); got != tc.lives {
				t.Errorf("%s lives: %v", gone.Address, got)
			}
			if got := r.ConfirmReport(now, relay, 2); got != tc.fits {
				t.Errorf("the relay stands by what is known here: %v", got)
			}
		})
	}
}

// TestWhoCeasesToBeARelayNeedsAll has a relay hear another one of its zone, of which
// it believes only what that one hears itself; then others come that are relays in
// its place.
func TestWhoCeasesToBeARelayNeedsAll(t *testing.T) {
	const now = time.Hour
	strong := self
	strong.Capacity = 1000
	r := roster.New(strong, nil)
	var all []roster.MemberInfo
	for i := range 12 {
		for _, zone := range []string{"x", "y"} {
			m := roster.Member{Address: fmt.Sprintf("10.0.%s.%d:7", zone, i), Zone: zone, Inc: 5}
			r.Observe(now, m)
			all = append(all, roster.MemberInfo{Member: m, Alive: true})
		}
	}
	if r.PrimaryRelay(now, "x") != strong.Address {
		t.Fatal("the router under test is no relay")
	}
	other := ""
	for _, k := range all {
		if k.Zone == "x" && r.ApplyReport(now, k.Address, roster.Report{Digest: 1, Members: all}) && !r.ConfirmReport(now, k.Address, 2) {
			other = k.Address
		}
	}
	if other == "" {
		t.Fatal("the zone has no other relay")
	}
	if !r.ConfirmReport(now, other, 1) {
		t.Fatal("what was heard as a relay's equal is not known")
	}
	for i := range 2 {
		r.Observe(now, roster.Member{Address: fmt.Sprintf("10.0.z.%d:7", i), Zone: "x", Inc: 5, Capacity: 1e6})
	}
	keeps := roster.Member{Address: other, Zone: "x", Inc: 5, Capacity: 1e9}
	r.Observe(now, keeps)
	if r.ConfirmReport(now, other, 1) {
		t.Error("what was heard as a relay's equal does for a router that the relay serves")
	}
	if !r.ApplyReport(now, other, roster.Report{Digest: 1, Members: all}) || !r.ConfirmReport(now, other, 1) {
		t.Error("a whole report does not do")
	}
}

// TestKnownByZone counts the routers of which a zone is known to have some: one that fell
// silent may be cut off and counts, one that stops or has ended does not.
func TestKnownByZone(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		do   func(r *roster.Roster)
		want map[string]int
	}{
		"alone":             {func(*roster.Roster) {}, map[string]int{"x": 1}},
		"heard":             {func(r *roster.Roster) { r.Observe(second, b); r.Observe(second, c) }, map[string]int{"x": 2, "y": 1}},
		"silent since long": {func(r *roster.Roster) { r.Observe(second, c); r.Forget(20 * second) }, map[string]int{"x": 1, "y": 1}},
		"forgotten":         {func(r *roster.Roster) { r.Observe(second, c); r.Forget(40 * second) }, map[string]int{"x": 1}},
		"told of": {func(r *roster.Roster) {
			r.ApplyReport(second, b.Address, roster.Report{Digest: 1, Members: known(c, 0)})
		}, map[string]int{"x": 1, "y": 1}},
		"stops":    {func(r *roster.Roster) { r.Observe(second, c); r.MarkLeaving(c.Address) }, map[string]int{"x": 1}},
		"ended":    {func(r *roster.Roster) { r.Observe(second, c); r.MarkDown(c.Address) }, map[string]int{"x": 1}},
		"is back":  {func(r *roster.Roster) { r.Observe(second, c); r.MarkDown(c.Address); r.Observe(2*second, c) }, map[string]int{"x": 1, "y": 1}},
		"only try": {func(r *roster.Roster) { r.NextProbes(0, r.Plan(0)) }, map[string]int{"x": 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := roster.New(self, []string{b.Address})
			tc.do(r)
			if diff := cmp.Diff(tc.want, r.KnownByZone()); diff != "" {
				t.Errorf("known (-want +got):\n%s", diff)
			}
		})
	}
}
