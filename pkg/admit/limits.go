package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const (
	// limitBurst is how much of a rate may be saved up, in seconds of it.
	limitBurst = 1.0
	// newlyActive is for how long after an account came to a router this one keeps to its
	// part among all routers that are known: others may have begun at the same moment.
	newlyActive = 250 * time.Millisecond
)

// limiter holds an account to its limits on a service over the whole fleet. Each router keeps
// the whole fleet's account of it: it takes off its own use at once and that of the others as
// they tell it. Where some are cut off, it lets itself have its part only, so that a split
// fleet errs on the side of too little.
type limiter struct {
	table.Limits
	// requests and tokens are what may still be used; they may fall below zero by what
	// others used meanwhile.
	requests, tokens float64
	filledAt         time.Duration
	// since is when the account last came here from having nothing here.
	since time.Duration
}

// renew returns the limiter of limits, with what was used so far; nil if there are none.
func (l *limiter) renew(limits table.Limits, now time.Duration) *limiter {
	if limits.RequestsPerSecond == 0 && limits.TokensPerSecond == 0 && limits.InFlight == 0 {
		return nil
	}
	if l == nil {
		l = &limiter{requests: limits.RequestsPerSecond * limitBurst, tokens: limits.TokensPerSecond * limitBurst, filledAt: now, since: now}
	}
	l.Limits = limits
	return l
}

// spend takes use off; an account without limits has a nil limiter.
func (l *limiter) spend(tokens, requests float64) {
	if l != nil {
		l.tokens -= tokens
		l.requests -= requests
	}
}

// refill lets time add to what may be used, by the part of the fleet that is heard.
func (l *limiter) refill(now time.Duration, part float64) {
	passed := (now - l.filledAt).Seconds() * part
	l.filledAt = now
	l.requests = min(l.RequestsPerSecond*limitBurst, l.requests+l.RequestsPerSecond*passed)
	l.tokens = min(l.TokensPerSecond*limitBurst, l.tokens+l.TokensPerSecond*passed)
}

// withinLimits reports whether one more request of the account may be sent by this router, of
// which it has asked for places for some.
func (c *Core) withinLimits(r *request) bool {
	if c.weights == nil {
		return true
	}
	u := c.weights.use(r.use(), c.now)
	l := u.limit
	if l == nil {
		return true
	}
	l.refill(c.now, c.heardPart())
	if l.RequestsPerSecond > 0 && !r.Retry && l.requests < 1 || l.TokensPerSecond > 0 && l.tokens <= 0 {
		return false
	}
	return l.InFlight == 0 || u.running < c.inFlightPart(u)
}

// heardPart is the part of the known routers that are heard, this one with them.
func (c *Core) heardPart() float64 {
	heard, all := len(c.addresses()), 0
	for _, n := range c.known {
		all += n
	}
	return float64(heard) / float64(max(all, heard))
}

// inFlightPart is how many of an account's requests this router may have under way: its part
// by what it and all others have and want, at least its part among all routers, and no more
// than others leave. As long as it cannot have heard of the others it keeps to the latter.
// Where some are cut off, those that are heard share a part of the limit, of which one is
// left at least so that the account is served on.
func (c *Core) inFlightPart(u *serviceUse) int {
	l := u.limit
	most := max(1, int(float64(l.InFlight)*c.heardPart()))
	least := partOf(most, c.opt.self.Address, c.addresses())
	if c.now-l.since < newlyActive {
		return least
	}
	running, demand := 0, 0
	for _, x := range u.others {
		running += x.Running
		demand += x.Running + x.Waiting
	}
	own := u.running + u.waiting
	if demand == 0 || own == 0 {
		return most
	}
	part := most * own / (own + demand)
	return max(least, min(part, most-running))
}

// addresses are those of the routers that are heard, and of this one.
func (c *Core) addresses() []string {
	list := []string{c.opt.self.Address}
	for _, r := range c.routers {
		if r.Address != c.opt.self.Address {
			list = append(list, r.Address)
		}
	}
	return list
}

// partOf divides n evenly among names, of which the first ones get what is left over, and
// returns the part of one.
func partOf(n int, one string, names []string) int {
	slices.Sort(names)
	part := n / len(names)
	if slices.Index(names, one) < n%len(names) {
		part++
	}
	return part
}
