package rendezvous_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// TestScoreFollowsCapacity counts the keys that members of unlike capacities
// score highest for, and those that move when one goes.
func TestScoreFollowsCapacity(t *testing.T) {
	members := map[string]float64{"a": 1, "b": 1, "c": 2, "d": 4}
	const keys = 20000
	best := func(key string, without string) string {
		first, most := "", 0.0
		for m, capacity := range members {
			if s := rendezvous.Score(key, m, capacity); m != without && (first == "" || s > most) {
				first, most = m, s
			}
		}
		return first
	}
	count := map[string]int{}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		first := best(key, "")
		count[first]++
		if next := best(key, "d"); first != "d" && next != first {
			t.Fatalf("%s moved from %s to %s when d went", key, first, next)
		}
	}
	for m, capacity := range members {
		if got, want := float64(count[m])/keys, capacity/8; math.Abs(got-want) > 0.02 {
			t.Errorf("%s has %.3f of the keys, want %.3f", m, got, want)
		}
	}
}
