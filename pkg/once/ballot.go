package once

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// ClaimQuorum collects the answers of a key's homes for the claiming request.
type ClaimQuorum struct {
	// Homes is how many homes were asked.
	Homes   int
	answers map[string]wire.ClaimState
}

// NewClaimQuorum returns the ballot of a claim that n homes are asked about.
func NewClaimQuorum(n int) *ClaimQuorum {
	return &ClaimQuorum{Homes: n, answers: map[string]wire.ClaimState{}}
}

// Add notes one home's answer.
func (b *ClaimQuorum) Add(home string, s wire.ClaimState) { b.answers[home] = s }

// Result returns the outcome, and whether it is final before all homes have
// answered. One home that saw the key used settles it; so does a majority
// that vouches for the key's whole past.
func (b *ClaimQuorum) Result() (state wire.ClaimState, final bool) {
	counts := map[wire.ClaimState]int{}
	for _, s := range b.answers {
		counts[s]++
	}
	all := len(b.answers) == b.Homes
	switch {
	case counts[wire.ClaimTaken] > 0:
		return wire.ClaimTaken, true
	case counts[wire.ClaimGranted] >= Majority(b.Homes):
		return wire.ClaimGranted, true
	case counts[wire.ClaimGranted]+counts[wire.ClaimUnknown] >= Majority(b.Homes):
		return wire.ClaimUnknown, all
	default:
		return wire.ClaimUnreachable, all
	}
}
