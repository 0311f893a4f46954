package admit

import (
	"math"
	"time"
)

const (
	// shortBelow is the fraction of the capacity that must be free for the fleet not to become short
	// of it, shortUntil the one from which it no longer is.
	shortBelow = 0.1
	shortUntil = 0.2
	// shortReserve is the fraction of the capacity that shares are to leave free in a shortage.
	shortReserve = 0.15
	// shortAfter is how long the free capacity must have been too low.
	shortAfter = 200 * time.Millisecond
	// shortFor is how long capacity must have sufficed for a shortage to end. Requests that
	// started without a limit occupy engines for seconds, and a limit that comes and goes faster lets
	// those of a burst in again before they have ended.
	shortFor = 2 * time.Second
	// coverageGrace is how long the share remains unlimited if fewer than half of the owners report.
	// Reports of lost routers expire up to about 2 s before the routers are no longer listed.
	coverageGrace = 3 * time.Second
)

// shareMode says how the fair share is computed.
type shareMode uint8

const (
	// shareUnlimited: the fleet is not short of capacity, or that is not known.
	shareUnlimited shareMode = iota
	// shareOfCapacity: the fleet is short of capacity, which accounts share.
	shareOfCapacity
	// shareOfStarted: too few owners report capacity, as in a fleet of an older version, or there are
	// no engines. Accounts share the stated throughput, or what was started lately.
	shareOfStarted
)

// shortage decides whether the fleet is short of capacity.
type shortage struct {
	isShort bool
	// lowSince is since when the free capacity has been too low, 0 if it is not.
	lowSince time.Duration
	// lowAt is when the free capacity was last too low, or an account was limited.
	lowAt time.Duration
	// coveredAt is when at least half of the owners last reported, or the time of the first update.
	coveredAt time.Duration
}

// update applies what is known of the capacity. knownOwners is the number of routers that own engines, isLimited
// says that an account asks for more than the fair share. It returns how the share is computed.
func (sh *shortage) update(now time.Duration, x engineCapacity, knownOwners int, isLimited bool) shareMode {
	isCovered := knownOwners > 0 && 2*x.owners >= knownOwners
	if isCovered || sh.coveredAt == 0 {
		sh.coveredAt = now
	}
	sh.updateShort(now, x, isCovered, isLimited)
	switch {
	case knownOwners == 0 || now-sh.coveredAt >= coverageGrace:
		return shareOfStarted
	case sh.isShort:
		return shareOfCapacity
	default:
		return shareUnlimited
	}
}

// updateShort updates isShort. A shortage begins only if at least half of the owners report, but goes
// on with fewer: part of a network partition shares what it reaches. It goes on while the share limits any account:
// limited accounts leave capacity free, which therefore does not show that the limit is not needed.
func (sh *shortage) updateShort(now time.Duration, x engineCapacity, isCovered, isLimited bool) {
	if sh.isShort {
		if x.total > 0 && (x.free <= shortUntil*x.total || isLimited) {
			sh.lowAt = now
		}
		sh.isShort = x.total > 0 && now-sh.lowAt < shortFor
		sh.lowSince = 0
		return
	}
	switch {
	case !isCovered || x.total <= 0 || x.free >= shortBelow*x.total:
		sh.lowSince = 0
	case sh.lowSince == 0:
		sh.lowSince = now
	default:
		sh.isShort, sh.lowAt = now-sh.lowSince >= shortAfter, now
	}
}

// refreshFairShare recomputes the fair share if that is due.
func (as *accounts) refreshFairShare(now time.Duration) {
	if now-as.fairShareAt < fairShareInterval {
		return
	}
	as.fairShareAt = now
	as.engineShare = as.shareOf(now, as.capacity)
	x := as.fleet.known(now)
	switch as.fleet.shortage.update(now, x, as.fleet.knownOwners, !math.IsInf(as.fairShare, 1)) {
	case shareOfStarted:
		as.fairShare = as.engineShare
	case shareOfCapacity:
		as.fairShare = as.shareOf(now, as.shortCapacity(now, x))
	case shareUnlimited:
		as.fairShare = unlimited
	}
}

// shortCapacity returns what all engines can do in a shortage: what their owners measured, extended
// to the engines of owners that do not report, but no more than the table states. Engines whose slots or memory
// are occupied do less than they could read: while nearly all of them are in use, it is no more than what
// is being started, extended to the unused part. While more is free, it is at least what is being started,
// extended to the free capacity beyond shortReserve. Accounts are charged for cached parts of prompts too, so that more
// may be started; shareOf takes that if it is more.
func (as *accounts) shortCapacity(now time.Duration, x engineCapacity) float64 {
	total := x.total
	if x.owners > 0 {
		total *= max(1, float64(as.fleet.knownOwners)/float64(x.owners))
	}
	if as.capacity > 0 {
		total = min(total, as.capacity)
	}
	started := as.totalStarted(now)
	if started <= 0 || x.total <= 0 {
		return total
	}
	used := 1 - x.free/x.total
	if used > 1-shortBelow {
		return min(total, started/used)
	}
	return max(total, started*(1-shortReserve)/used)
}

// totalStarted returns the rate of the started requests of all accounts.
func (as *accounts) totalStarted(now time.Duration) float64 {
	total := 0.0
	for _, a := range as.byKey {
		total += a.flow(now).started
	}
	return total
}

// FleetCapacity summarizes for operators what the engines can do.
type FleetCapacity struct {
	// Total is what the engines that are known can do, in prompt tokens per second, Free the unused
	// part of it. Owners is the number of routers that own them, ReportAge the age of the oldest
	// report.
	Total, Free float64
	Owners      int
	ReportAge   time.Duration
	// Short says that the fleet is short of capacity.
	Short bool
}

// IsShort reports whether the fleet is short of capacity.
func (c *Core) IsShort(now time.Duration) bool {
	c.accounts.refreshFairShare(now)
	return c.fleet.shortage.isShort
}

// FleetCapacity returns the current summary.
func (c *Core) FleetCapacity(now time.Duration) FleetCapacity {
	c.accounts.refreshFairShare(now)
	x := c.fleet.known(now)
	return FleetCapacity{Total: x.total, Free: x.free, Owners: x.owners, ReportAge: x.age, Short: c.fleet.shortage.isShort}
}
