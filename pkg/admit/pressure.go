package admit

import "github.com/yarrowmast/yarrowmast/pkg/wire"

const (
	// penaltyThreshold is the usage relative to the engine share from which an account is
	// penalized.
	penaltyThreshold = 0.9
	// penaltySlope is how fast its target fraction falls above that.
	penaltySlope = 2.0
	// backloggedFraction is the target fraction under full pressure of an account that leaves room to
	// others. It would otherwise take every free slot.
	backloggedFraction = 0.6
	// minPressure is the fraction of delayed requests of accounts within their shares from
	// which others leave slots to them, maxPressure the one at which backloggedFraction applies
	// in full.
	minPressure = 0.03
	maxPressure = 0.13
	// minTargetFraction is the least target fraction, so that slots are not left idle.
	minTargetFraction = 0.25
)

// targetFraction returns the fraction of its target that a request of the account may use. It
// falls with the account's usage above its engine share.
func (c *Core) targetFraction(account wire.NameHash) float64 {
	if account == 0 || c.weighted != nil {
		return 1
	}
	limit := 1.0
	if c.accounts.leavesRoom(account, c.now) {
		limit -= (1 - backloggedFraction) * c.pressure()
	}
	usage := c.accounts.usageRatio(account, c.now)
	if usage <= penaltyThreshold {
		return limit
	}
	return max(minTargetFraction, limit-penaltySlope*(usage-penaltyThreshold))
}

// exceedsShare reports whether an account leaves room to others, or its usage is near its engine share.
func (c *Core) exceedsShare(account wire.NameHash) bool {
	return account != 0 && (c.accounts.leavesRoom(account, c.now) || c.accounts.usageRatio(account, c.now) > penaltyThreshold)
}

// recordAdmission records whether a request of an account within its engine share got a slot at
// once.
func (c *Core) recordAdmission(account wire.NameHash, granted bool) {
	if account == 0 || c.accounts.backlogged(account, c.now) {
		return
	}
	c.withinShare.add(c.now, 1)
	if !granted {
		c.withinShareDelayed.add(c.now, 1)
	}
}

// pressure returns 0 if accounts within their engine shares get slots at once, up to 1 if many of
// their requests do not.
func (c *Core) pressure() float64 {
	total := c.withinShare.get(c.now)
	if total < 1 {
		return 0
	}
	delayed := c.withinShareDelayed.get(c.now) / total
	return min(1, max(0, (delayed-minPressure)/(maxPressure-minPressure)))
}
