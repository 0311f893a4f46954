package rendezvous_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// TestScoreFollowsCapacity checks that members own keys in proportion to their capacities,
// and that only the keys of a removed member move.
func TestScoreFollowsCapacity(t *testing.T) {
	members := map[string]float64{"a": 1, "b": 1, "c": 2, "d": 4}
	const keys = 20000
	owner := func(key string, without string) string {
		best, maxScore := "", 0.0
		for m, capacity := range members {
			if s := rendezvous.Score(key, m, capacity); m != without && (best == "" || s > maxScore) {
				best, maxScore = m, s
			}
		}
		return best
	}
	count := map[string]int{}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		first := owner(key, "")
		count[first]++
		if next := owner(key, "d"); first != "d" && next != first {
			t.Fatalf("%s moved from %s to %s when d was removed", key, first, next)
		}
	}
	for m, capacity := range members {
		if got, want := float64(count[m])/keys, capacity/8; math.Abs(got-want) > 0.02 {
			t.Errorf("%s owns %.3f of the keys, want %.3f", m, got, want)
		}
	}
}

// TestOwnersHashed checks the choice against a whole sort, and that it depends neither on the order of the
// members nor on those that were not chosen.
func TestOwnersHashed(t *testing.T) {
	var members []string
	for i := range 40 {
		members = append(members, fmt.Sprint("m-", i))
	}
	for key := range uint64(50) {
		sorted := slices.Clone(members)
		slices.SortFunc(sorted, func(a, b string) int {
			return cmp.Compare(rendezvous.WeightHashed(key, b), rendezvous.WeightHashed(key, a))
		})
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		for _, n := range []int{0, 1, 2, 3, 40, 50} {
			want := sorted[:min(n, len(sorted))]
			for _, list := range [][]string{members, reversed, sorted} {
				if got := rendezvous.OwnersHashed(key, list, n); !slices.Equal(got, want) {
					t.Fatalf("%d owners of %d: %v, want %v", n, key, got, want)
				}
			}
		}
		without := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == sorted[3] })
		if got := rendezvous.OwnersHashed(key, without, 3); !slices.Equal(got, sorted[:3]) {
			t.Errorf("owners of %d change to %v with the loss of another member", key, got)
		}
	}
	if got := rendezvous.OwnersHashed(1, nil, 2); len(got) != 0 {
		t.Errorf("owners among no members: %v", got)
	}
}
