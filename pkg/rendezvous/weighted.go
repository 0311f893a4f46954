package rendezvous

import "math"

// Score returns a member's score for a key in weighted rendezvous hashing. The member with
// the highest score owns the key, so that each member owns a share of the keys proportional
// to its capacity. The capacity must be positive.
func Score(key, member string, capacity float64) float64 {
	// u is uniform in the open interval (0, 1).
	u := (float64(Weight(key, member)>>11) + 0.5) / (1 << 53)
	return -capacity / math.Log(u)
}
