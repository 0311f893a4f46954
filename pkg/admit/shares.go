package admit

import (
	"math"
	"time"
)

// Shares sums up how the engines' tokens are shared out, for operators. Flows
// are in tokens a second over all routers, as known here.
type Shares struct {
	// Asked and Begun are the sums over all accounts.
	Asked, Begun float64
	// Level is what no account gets more than while others wait, 0 if all get
	// what they ask.
	Level float64
	// Screened is how many accounts have a part of their requests refused
	// unseen, LeastPart the least part that is let in.
	Screened  int
	LeastPart float64
}

// Shares returns the shares as they are now.
func (c *Core) Shares(now time.Duration) Shares {
	sh := Shares{LeastPart: 1}
	for _, a := range c.accounts.by {
		f := a.flow(now)
		sh.Asked += f.asked
		sh.Begun += f.begun
	}
	for _, part := range c.Screen(now) {
		sh.Screened++
		sh.LeastPart = min(sh.LeastPart, part)
	}
	if !math.IsInf(c.accounts.level, 1) {
		sh.Level = c.accounts.level
	}
	return sh
}
