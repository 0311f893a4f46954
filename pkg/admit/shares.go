package admit

import (
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Shares sums up how the engines' tokens are shared out, for operators. Flows
// are in tokens a second over all routers, as known here.
type Shares struct {
	// Demand and Started are the sums over all accounts.
	Demand, Started float64
	// FairShare is what no account gets more than while others wait, 0 if all get
	// what they ask.
	FairShare float64
	// Throttled is how many accounts have a part of their requests refused
	// unseen, LeastPart the least part that is let in.
	Throttled   int
	MinFraction float64
	// LeastServedAccount is the account that has begun the least part of what it asks for, or of
	// what the best served account has begun if that is less, and LeastServed that
	// part: 1 if none asks for more than it gets.
	LeastServedAccount  wire.NameHash
	LeastServedFraction float64
}

// waitsFrom is by how many times more than it begins an account asks for to count as one
// that waits: both flows fade, and what is asked is begun some time later.
const waitsFrom = 1.25

// Shares returns the shares as they are now.
func (c *Core) Shares(now time.Duration) Shares {
	sh := Shares{MinFraction: 1, LeastServedFraction: 1}
	best := 0.0
	for key, a := range c.accounts.by {
		f := a.flow(now)
		sh.Demand += f.asked
		sh.Started += f.begun
		if key != 0 {
			best = max(best, f.begun)
		}
	}
	for key, a := range c.accounts.by {
		f := a.flow(now)
		if key == 0 || f.asked <= waitsFrom*f.begun || best == 0 {
			continue
		}
		if part := f.begun / min(f.asked, best); part < sh.LeastServedFraction {
			sh.LeastServedAccount, sh.LeastServedFraction = key, part
		}
	}
	for _, part := range c.AdmitFractions(now) {
		sh.Throttled++
		sh.MinFraction = min(sh.MinFraction, part)
	}
	if !math.IsInf(c.accounts.level, 1) {
		sh.FairShare = c.accounts.level
	}
	return sh
}
