package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const (
	// limitBurst is the capacity of the token buckets, in seconds of their rates.
	limitBurst = 1.0
	// newAccountPeriod is how long a router keeps to an even share of the in-flight limit after
	// it first saw an account: others may have started at the same time without having reported
	// it yet.
	newAccountPeriod = 250 * time.Millisecond
)

// limiter enforces the limits of an account for a service in the whole fleet. Each router
// charges its own use at once and that of others as they report it. If other routers are
// unreachable, it uses only the reachable routers' share of the limits, so that a partitioned
// fleet stays below them.
type limiter struct {
	table.Limits
	// requests and tokens are the levels of the token buckets. They may be negative after
	// reports of other routers.
	requests, tokens float64
	filledAt         time.Duration
	// createdAt is when this router first saw the account, or when the account got limits.
	createdAt time.Duration
}

// update returns the limiter for new limits, with the same bucket levels; nil if there are no
// limits.
func (l *limiter) update(limits table.Limits, now time.Duration) *limiter {
	if limits.RequestsPerSecond == 0 && limits.TokensPerSecond == 0 && limits.InFlight == 0 {
		return nil
	}
	if l == nil {
		l = &limiter{requests: limits.RequestsPerSecond * limitBurst, tokens: limits.TokensPerSecond * limitBurst, filledAt: now, createdAt: now}
	}
	l.Limits = limits
	return l
}

// spend subtracts usage. A nil limiter has no limits.
func (l *limiter) spend(tokens, requests float64) {
	if l != nil {
		l.tokens -= tokens
		l.requests -= requests
	}
}

// refill adds the given fraction of the rates for the elapsed time.
func (l *limiter) refill(now time.Duration, fraction float64) {
	elapsed := (now - l.filledAt).Seconds() * fraction
	l.filledAt = now
	l.requests = min(l.RequestsPerSecond*limitBurst, l.requests+l.RequestsPerSecond*elapsed)
	l.tokens = min(l.TokensPerSecond*limitBurst, l.tokens+l.TokensPerSecond*elapsed)
}

// withinLimits reports whether the limits of its account allow this router to send one more
// request.
func (c *Core) withinLimits(r *request) bool {
	if c.weighted == nil {
		return true
	}
	u := c.weighted.usage(r.usageKey(), c.now)
	l := u.limiter
	if l == nil {
		return true
	}
	l.refill(c.now, c.reachableRouterFraction())
	if l.RequestsPerSecond > 0 && !r.Retry && l.requests < 1 || l.TokensPerSecond > 0 && l.tokens <= 0 {
		return false
	}
	return l.InFlight == 0 || u.running < c.inFlightQuota(u)
}

// reachableRouterFraction returns the fraction of the known routers that are reachable,
// including this one.
func (c *Core) reachableRouterFraction() float64 {
	reachable, all := len(c.routerAddresses()), 0
	for _, n := range c.routersByZone {
		all += n
	}
	return float64(reachable) / float64(max(all, reachable))
}

// inFlightQuota returns how many requests of an account this router may have in flight. It
// divides the limit in proportion to the demand at all routers, up to what the others leave
// unused, but grants at least an even share. During newAccountPeriod it grants the even share
// only. If routers are unreachable it divides only a part of the limit, but at least one
// request.
func (c *Core) inFlightQuota(u *accountUsage) int {
	l := u.limiter
	limit := max(1, int(float64(l.InFlight)*c.reachableRouterFraction()))
	evenQuota := evenShare(limit, c.opt.self.Address, c.routerAddresses())
	if c.now-l.createdAt < newAccountPeriod {
		return evenQuota
	}
	running, demand := 0, 0
	for _, x := range u.reports {
		running += x.Running
		demand += x.Running + x.Waiting
	}
	own := u.running + u.waiting
	if demand == 0 || own == 0 {
		return limit
	}
	quota := limit * own / (own + demand)
	return max(evenQuota, min(quota, limit-running))
}

// routerAddresses returns the addresses of the reachable routers, including this one.
func (c *Core) routerAddresses() []string {
	list := []string{c.opt.self.Address}
	for _, r := range c.routers {
		if r.Address != c.opt.self.Address {
			list = append(list, r.Address)
		}
	}
	return list
}

// evenShare divides n evenly among names, giving the remainder to the first ones in order, and
// returns the share of one.
func evenShare(n int, name string, names []string) int {
	slices.Sort(names)
	share := n / len(names)
	if slices.Index(names, name) < n%len(names) {
		share++
	}
	return share
}
