package admit

import (
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Shares summarizes for operators how the engines' throughput is divided. Rates are in tokens
// per second in the whole fleet, as known to this router.
type Shares struct {
	// Demand and Started are the sums over all accounts.
	Demand, Started float64
	// FairShare bounds what an account gets while others wait, 0 if all demand is met.
	FairShare float64
	// EngineShare is the share above which an account leaves room to others at each engine, 0 if all
	// demand is below it.
	EngineShare float64
	// Throttled is the number of accounts with a fraction of their requests refused early,
	// MinFraction the least fraction admitted.
	Throttled   int
	MinFraction float64
	// LeastServedAccount is the account that gets the least fraction of its demand, or of what
	// the best served account gets if that is less. LeastServedFraction is that fraction, 1 if
	// no account waits.
	LeastServedAccount  wire.NameHash
	LeastServedFraction float64
	// LeastServed and MostServed are the started rates of that account and of the best served one.
	LeastServed, MostServed float64
	MostServedAccount       wire.NameHash
	FleetCapacity
}

// waitingThreshold is the ratio of demand to started rate from which an account counts as
// waiting. Demand is counted earlier than the start of the same request.
const waitingThreshold = 1.25

// Shares returns the current summary.
func (c *Core) Shares(now time.Duration) Shares {
	sh := Shares{MinFraction: 1, LeastServedFraction: 1}
	for key, a := range c.accounts.byKey {
		f := a.flow(now)
		sh.Demand += f.demand
		sh.Started += f.started
		if key != 0 && f.started > sh.MostServed {
			sh.MostServed, sh.MostServedAccount = f.started, key
		}
	}
	for key, a := range c.accounts.byKey {
		f := a.flow(now)
		if key == 0 || f.demand <= waitingThreshold*f.started || sh.MostServed == 0 {
			continue
		}
		if fraction := f.started / min(f.demand, sh.MostServed); fraction < sh.LeastServedFraction {
			sh.LeastServedAccount, sh.LeastServedFraction, sh.LeastServed = key, fraction, f.started
		}
	}
	for _, fraction := range c.AdmitFractions(now) {
		sh.Throttled++
		sh.MinFraction = min(sh.MinFraction, fraction)
	}
	sh.FleetCapacity = c.FleetCapacity(now)
	if !math.IsInf(c.accounts.fairShare, 1) {
		sh.FairShare = c.accounts.fairShare
	}
	if !math.IsInf(c.accounts.engineShare, 1) {
		sh.EngineShare = c.accounts.engineShare
	}
	return sh
}
