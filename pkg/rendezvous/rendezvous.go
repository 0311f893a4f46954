// Package rendezvous implements rendezvous hashing (highest random weight). All routers with
// the same list of members choose the same owner of a key, and the loss of a member moves
// only the keys that it owned.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator makes ("ab","c") and ("a","bc") hash to different weights.
const separator = "\x00"

// Weight returns a member's weight for a key.
func Weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Owner returns the member with the greatest weight for the key, or "" if there are no
// members. Ties go to the name that sorts first.
func Owner(key string, members []string) string {
	best := ""
	var maxWeight uint64
	for _, m := range members {
		w := Weight(key, m)
		if best == "" || w > maxWeight || (w == maxWeight && m < best) {
			best = m
			maxWeight = w
		}
	}
	return best
}

// Owners returns the n members with the greatest weights in descending order.
func Owners(key string, members []string, n int) []string {
	remaining := append([]string(nil), members...)
	var owners []string
	for len(owners) < n && len(remaining) > 0 {
		o := Owner(key, remaining)
		owners = append(owners, o)
		remaining = without(remaining, o)
	}
	return owners
}

func without(members []string, removed string) []string {
	kept := members[:0]
	for _, m := range members {
		if m != removed {
			kept = append(kept, m)
		}
	}
	return kept
}

// WeightHashed returns a member's weight for a key that is already a hash.
func WeightHashed(key uint64, member string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// OwnersHashed returns the n members with the greatest weights for a key that is already a hash, in
// descending order. Ties go to the name that sorts first.
func OwnersHashed(key uint64, members []string, n int) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	best := make([]weighted, 0, n+1)
	for _, name := range members {
		m := weighted{name, WeightHashed(key, name)}
		at := len(best)
		for at > 0 && (m.weight > best[at-1].weight || m.weight == best[at-1].weight && m.name < best[at-1].name) {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, m)[:min(n, len(best)+1)]
		}
	}
	names := make([]string, len(best))
	for i, m := range best {
		names[i] = m.name
	}
	return names
}
