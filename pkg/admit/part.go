package admit

import "github.com/yarrowmast/yarrowmast/pkg/wire"

const (
	// evenUpTo is up to how many times the level an account is treated as
	// one that has its share.
	evenUpTo = 0.9
	// overSlope is how fast an account's part falls beyond that.
	overSlope = 2.0
	// backloggedPart is the most for an account that asks for more than its
	// share: it always has more, and takes what room it is left, so that the
	// others find some.
	backloggedPart = 0.6
	// Others leave room to accounts within their share from leastPressure of
	// these accounts' requests that find no place at once, and all of that room
	// from fullPressure of them.
	leastPressure = 0.03
	fullPressure  = 0.13
	// leastPart is what is left to an account far beyond its share, where
	// places would else be idle.
	leastPart = 0.25
)

// partFor is the part of its target that a request of the account may use:
// the more the account had beyond its share, the less.
func (c *Core) partFor(account wire.NameHash) float64 {
	if account == 0 || c.weights != nil {
		return 1
	}
	most := 1.0
	if c.accounts.backlogged(account, c.now) {
		most -= (1 - backloggedPart) * c.pressure()
	}
	over := c.accounts.over(account, c.now)
	if over <= evenUpTo {
		return most
	}
	return max(leastPart, most-overSlope*(over-evenUpTo))
}

// wantsMore reports whether an account asks for more than its share, or has had it.
func (c *Core) wantsMore(account wire.NameHash) bool {
	return account != 0 && (c.accounts.backlogged(account, c.now) || c.accounts.over(account, c.now) > evenUpTo)
}

// noteAsked notes whether a request of an account that asks for no more than its
// share found a place at once.
func (c *Core) noteAsked(account wire.NameHash, granted bool) {
	if account == 0 || c.accounts.backlogged(account, c.now) {
		return
	}
	c.within.add(c.now, 1)
	if !granted {
		c.waited.add(c.now, 1)
	}
}

// pressure is from 0, where accounts that ask for no more than their share find
// places at once, to 1, where many of their requests do not.
func (c *Core) pressure() float64 {
	asked := c.within.get(c.now)
	if asked < 1 {
		return 0
	}
	part := c.waited.get(c.now) / asked
	return min(1, max(0, (part-leastPressure)/(fullPressure-leastPressure)))
}
