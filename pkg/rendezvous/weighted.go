package rendezvous

import "math"

// Score returns the score of a member for a key where members have unlike
// capacities: of many keys, each member scores highest for a part that is
// proportional to its capacity, which must be above zero.
func Score(key, member string, capacity float64) float64 {
	// The weight becomes a number between 0 and 1, exclusive.
	u := (float64(Weight(key, member)>>11) + 0.5) / (1 << 53)
	return -capacity / math.Log(u)
}
