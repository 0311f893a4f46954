package roster_test

import (
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
func known(m roster.Member, ago time.Duration) []roster.Known {
	return []roster.Known{{Member: m, Ago: ago}}
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
			seeds: []string{b.Address}, do: func(r *roster.Roster) { r.Tries(0, r.Talk(0)) }, at: 40 * second,
			want: view{Tries: []string{b.Address}, Lately: 1}},
		"heard": {
			do: func(r *roster.Roster) { r.Heard(second, b) }, at: second + second/4,
			want: view{Live: []string{b.Address}, Lately: 2}},
		"silent": {
			do: func(r *roster.Roster) { r.Heard(second, b) }, at: 2 * second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"hearsay is tried and counts, but does not live": {
			do: func(r *roster.Roster) { r.Learn(second, b.Address, 1, known(c, 0)) }, at: second,
			want: view{Tries: []string{c.Address}, Lately: 2}},
		"old hearsay counts for nothing": {
			do: func(r *roster.Roster) { r.Learn(40*second, b.Address, 1, known(c, 39*second)) }, at: 40 * second,
			want: view{Lately: 1}},
		"gone": {
			do: func(r *roster.Roster) { r.Heard(second, b); r.Gone(b.Address) }, at: second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"a message of an earlier start is no sign of life": {
			do: func(r *roster.Roster) {
				r.Heard(second, b)
				r.Gone(b.Address)
				old := b
				old.Inc = 4
				r.Heard(second, old)
			}, at: second,
			want: view{Tries: []string{b.Address}, Lately: 2}},
		"long unheard is forgotten": {
			do: func(r *roster.Roster) { r.Heard(second, b); r.Forget(40 * second) }, at: 40 * second,
			want: view{Lately: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := roster.New(self, tc.seeds)
			tc.do(r)
			got := view{Live: r.Live(tc.at), Tries: r.Tries(tc.at, r.Talk(tc.at)), Lately: r.Lately(tc.at, 20*second)}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("roster (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLeavingUntilStartedAnew(t *testing.T) {
	r := roster.New(self, nil)
	r.Heard(1, b)
	r.Leaving(b.Address)
	if got := r.Staying(2); len(got) != 0 {
		t.Errorf("%v stay", got)
	}
	next := b
	next.Inc = 6
	if !r.Heard(3, next) || len(r.Staying(3)) != 1 {
		t.Error("a router that started anew is not news")
	}
}

// TestTriesMoreOftenAfterTheStart counts how often a router that is not heard is
// tried: all may have been lost at once, and it may be back any moment.
func TestTriesMoreOftenAfterTheStart(t *testing.T) {
	r := roster.New(self, []string{b.Address})
	tries := map[bool]int{}
	for now := time.Hour; now < time.Hour+2*roster.StartsFor; now += 50 * time.Millisecond {
		tries[now < time.Hour+roster.StartsFor] += len(r.Tries(now, r.Talk(now)))
	}
	want := map[bool]int{true: int(roster.StartsFor / roster.TrySoon), false: int(roster.StartsFor / roster.TryEvery)}
	if diff := cmp.Diff(want, tries); diff != "" {
		t.Errorf("tries within the first %v and after (-want +got):\n%s", roster.StartsFor, diff)
	}
}
