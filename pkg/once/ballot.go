package once

import "github.com/yarrowmast/yarrowmast/pkg/wire"

// Ballot collects the answers of a key's homes for the claiming request.
type Ballot struct {
	// Homes is how many homes were asked.
	Homes   int
	answers map[string]wire.ClaimState
}

// NewBallot returns the ballot of a claim that n homes are asked about.
func NewBallot(n int) *Ballot {
	return &Ballot{Homes: n, answers: map[string]wire.ClaimState{}}
}

// Add notes one home's answer.
func (b *Ballot) Add(home string, s wire.ClaimState) { b.answers[home] = s }

// Result returns the outcome, and whether it is final before all homes have
// answered. One home that saw the key used settles it; so does a majority
// that vouches for the key's whole past.
func (b *Ballot) Result() (state wire.ClaimState, final bool) {
	counts := map[wire.ClaimState]int{}
	for _, s := range b.answers {
		counts[s]++
	}
	all := len(b.answers) == b.Homes
	switch {
	case counts[wire.ClaimTaken] > 0:
		return wire.ClaimTaken, true
	case counts[wire.ClaimGranted] >= Most(b.Homes):
		return wire.ClaimGranted, true
	case counts[wire.ClaimGranted]+counts[wire.ClaimUnknown] >= Most(b.Homes):
		return wire.ClaimUnknown, all
	default:
		return wire.ClaimUnreachable, all
	}
}
