package once

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// ClaimQuorum collects the replies of a key's homes to one claim.
type ClaimQuorum struct {
	// Homes is the number of homes that were asked.
	Homes   int
	replies map[string]wire.ClaimState
}

// NewClaimQuorum returns the quorum of a claim sent to n homes.
func NewClaimQuorum(n int) *ClaimQuorum {
	return &ClaimQuorum{Homes: n, replies: map[string]wire.ClaimState{}}
}

// Add records the reply of one home.
func (q *ClaimQuorum) Add(home string, s wire.ClaimState) { q.replies[home] = s }

// Result returns the outcome and whether it is final before all homes have
// replied. One home that knows the key as used decides, and so does a majority
// that grants it.
func (q *ClaimQuorum) Result() (state wire.ClaimState, final bool) {
	counts := map[wire.ClaimState]int{}
	for _, s := range q.replies {
		counts[s]++
	}
	all := len(q.replies) == q.Homes
	switch {
	case counts[wire.ClaimTaken] > 0:
		return wire.ClaimTaken, true
	case counts[wire.ClaimGranted] >= Majority(q.Homes):
		return wire.ClaimGranted, true
	case counts[wire.ClaimGranted]+counts[wire.ClaimUnknown] >= Majority(q.Homes):
		return wire.ClaimUnknown, all
	default:
		return wire.ClaimUnreachable, all
	}
}
