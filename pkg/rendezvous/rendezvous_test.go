package rendezvous_test

import (
	"fmt"
	"math"
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
