// Package rendezvous computes which member of a set owns a key by highest
// random weight, so that every router that sees the same members names the
// same owner and a member's loss moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// separator keeps ("ab","c") and ("a","bc") from weighing the same.
const separator = "\x00"

// Weight returns the weight of a member for a key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Owner returns the member with the greatest weight for the key, or "" if
// there is none. Equal weights go to the lesser name.
func Owner(key string, members []string) string {
	best := ""
	var most uint64
	for _, m := range members {
		w := Weight(key, m)
		if best == "" || w > most || (w == most && m < best) {
			best = m
			most = w
		}
	}
	return best
}

// Owners returns the n members of the greatest weights, greatest first.
func Owners(key string, members []string, n int) []string {
	rest := append([]string(nil), members...)
	var owners []string
	for len(owners) < n && len(rest) > 0 {
		o := Owner(key, rest)
		owners = append(owners, o)
		rest = without(rest, o)
	}
	return owners
}

func without(members []string, gone string) []string {
	kept := members[:0]
	for _, m := range members {
		if m != gone {
			kept = append(kept, m)
		}
	}
	return kept
}

// WeightHashed returns the weight of a member for a key that is a hash itself.
func WeightHashed(key uint64, member string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(member)
	return d.Sum64()
}
