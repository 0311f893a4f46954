package admit

import (
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// rate is an exponentially decaying rate in units per second.
type rate struct {
	value     float64
	updatedAt time.Duration
	// tau is the time constant, 0 for rateTimeConstant.
	tau time.Duration
}

// recentTimeConstant applies to recentDemand.
const recentTimeConstant = 250 * time.Millisecond

// rateTimeConstant is short compared with the period over which accounts are to be treated
// evenly, and long compared with single requests.
const rateTimeConstant = time.Second

func (r *rate) decay(now time.Duration) {
	if d := now - r.updatedAt; d > 0 {
		r.value *= math.Exp(-d.Seconds() / r.timeConstant().Seconds())
		r.updatedAt = now
	}
}

// add counts tokens at the given time.
func (r *rate) add(now time.Duration, tokens float64) {
	r.decay(now)
	r.value += tokens / r.timeConstant().Seconds()
}

func (r *rate) timeConstant() time.Duration {
	if r.tau > 0 {
		return r.tau
	}
	return rateTimeConstant
}

// get returns the rate in tokens per second.
func (r *rate) get(now time.Duration) float64 {
	r.decay(now)
	return r.value
}

// flow is an account's demand and the rate of its started requests, in tokens per second.
type flow struct {
	demand, started float64
}

// account is the usage of a client account as this router knows it.
type account struct {
	demand, started rate
	// recentDemand is this router's demand with a short time constant, to detect the end of an
	// overload.
	recentDemand rate
	// peers is the sum of the last reports of other routers.
	peers flow
}

// accounts divides the engines' throughput among accounts by max-min fairness: each gets what
// it demands up to a fair share that is the same for all.
type accounts struct {
	byKey map[wire.NameHash]*account
	// fleet is the measured capacity of the engines, capacity the one that the table states for
	// those that are reachable.
	fleet    *fleetCapacity
	capacity float64
	// fairShare is the share above which requests are refused, unlimited while the fleet is not short
	// of capacity.
	fairShare   float64
	fairShareAt time.Duration
	// engineShare is the share above which an account leaves room to others at each engine. It follows
	// the stated capacity and what was started lately, also while the fleet is not short of capacity:
	// it refuses nothing at an idle engine.
	engineShare float64
}

func newAccounts() *accounts {
	return &accounts{byKey: map[wire.NameHash]*account{}, fairShare: unlimited, engineShare: unlimited}
}

func (as *accounts) get(key wire.NameHash) *account {
	a, ok := as.byKey[key]
	if !ok {
		a = &account{recentDemand: rate{tau: recentTimeConstant}}
		as.byKey[key] = a
	}
	return a
}

func (a *account) flow(now time.Duration) flow {
	return flow{
		demand:  a.demand.get(now) + a.peers.demand,
		started: a.started.get(now) + a.peers.started,
	}
}

// addPeerFlows adds a report of another router to the sums, or subtracts it if sign is -1.
func (as *accounts) addPeerFlows(flows map[wire.NameHash]flow, sign float64) {
	for key, f := range flows {
		a := as.get(key)
		a.peers.demand = max(0, a.peers.demand+sign*f.demand)
		a.peers.started = max(0, a.peers.started+sign*f.started)
	}
}

// ownFlows returns this router's flows that are not negligible.
func (as *accounts) ownFlows(now time.Duration) map[wire.NameHash]flow {
	flows := make(map[wire.NameHash]flow, len(as.byKey))
	for key, a := range as.byKey {
		f := flow{demand: a.demand.get(now), started: a.started.get(now)}
		if f.demand >= 1 || f.started >= 1 {
			flows[key] = f
		}
	}
	return flows
}

// unlimited is the fair share if all demand can be met.
var unlimited = math.Inf(1)

// fairShareInterval is the interval at which the fair share is recomputed.
const fairShareInterval = 50 * time.Millisecond

// usageRatio returns the rate of an account's started requests relative to engineShare, 0 if that is
// unlimited.
func (as *accounts) usageRatio(key wire.NameHash, now time.Duration) float64 {
	as.refreshFairShare(now)
	if math.IsInf(as.engineShare, 1) || as.engineShare <= 0 {
		return 0
	}
	return as.get(key).flow(now).started / as.engineShare
}

// startedRate returns the rate of an account's started requests.
func (as *accounts) startedRate(key wire.NameHash, now time.Duration) float64 {
	return as.get(key).flow(now).started
}

// backlogged reports whether an account's demand exceeds engineShare.
func (as *accounts) backlogged(key wire.NameHash, now time.Duration) bool {
	as.refreshFairShare(now)
	return as.get(key).flow(now).demand > as.engineShare
}

// leavesRoom reports whether an account leaves room to others at each engine: it is backlogged, and not
// underserved. One that got next to nothing would otherwise be kept from the slots that accounts with less
// demand fill.
func (as *accounts) leavesRoom(key wire.NameHash, now time.Duration) bool {
	return as.backlogged(key, now) && !as.get(key).flow(now).isUnderserved(as.engineShare)
}

// isUnderserved reports whether an account waits and gets much less than its share.
func (as *accounts) isUnderserved(key wire.NameHash, now time.Duration) bool {
	as.refreshFairShare(now)
	return key != 0 && as.get(key).flow(now).isUnderserved(min(as.fairShare, as.engineShare))
}

// overcommit is the multiple of the fair share up to which an account's requests are admitted,
// since some of them get no slot.
const overcommit = 1.5

// AdmitFractions returns, for each account whose demand far exceeds its fair share, the
// fraction of its requests to admit. The others would get no slot and should be refused before
// any work is done for them.
func (c *Core) AdmitFractions(now time.Duration) map[wire.NameHash]float64 {
	as := c.accounts
	as.refreshFairShare(now)
	if math.IsInf(as.fairShare, 1) || as.fairShare <= 0 {
		return nil
	}
	var fractions map[wire.NameHash]float64
	underserved := as.anyUnderserved(now)
	for key, a := range as.byKey {
		f := a.flow(now)
		demand, limit := a.currentDemand(now, f), overcommit*as.fairShare
		if underserved && f.started > as.fairShare {
			limit = as.fairShare
		}
		if key == 0 || demand <= limit {
			continue
		}
		if fractions == nil {
			fractions = map[wire.NameHash]float64{}
		}
		fractions[key] = limit / demand
	}
	return fractions
}

// underservedFraction of its fair share is the rate below which a waiting account is
// underserved. Others are then not admitted above their fair share.
const underservedFraction = 0.7

// underservedMinDemand is the least demand of such an account, relative to the fair share. The
// rates of smaller accounts vary too much.
const underservedMinDemand = 0.5

// isUnderserved reports whether an account waits and gets much less than a share, or than its demand.
func (f flow) isUnderserved(share float64) bool {
	return f.demand > waitingThreshold*f.started && f.started < underservedFraction*min(f.demand, share)
}

// anyUnderserved reports whether any waiting account gets much less than its fair share.
func (as *accounts) anyUnderserved(now time.Duration) bool {
	for key, a := range as.byKey {
		f := a.flow(now)
		if key != 0 && f.demand >= underservedMinDemand*as.fairShare && f.isUnderserved(as.fairShare) {
			return true
		}
	}
	return false
}

// CountRefused adds the demand of requests that were refused before they reached Step.
func (c *Core) CountRefused(now time.Duration, account wire.NameHash, tokens float64) {
	c.accounts.get(account).addDemand(now, tokens)
}

// addDemand counts demand at this router.
func (a *account) addDemand(now time.Duration, tokens float64) {
	a.demand.add(now, tokens)
	a.recentDemand.add(now, tokens)
}

// decliningBelow is the ratio of recentDemand to demand below which the demand counts as
// declining rather than bursty.
const decliningBelow = 0.7

// currentDemand returns an account's demand in the whole fleet. If it declines at this router,
// the recent demand replaces the slower average, which would otherwise reduce the admitted
// fraction for some time after an overload.
func (a *account) currentDemand(now time.Duration, f flow) float64 {
	own, recent := a.demand.get(now), a.recentDemand.get(now)
	if recent >= decliningBelow*own {
		return f.demand
	}
	return f.demand - own + recent
}

// Cost returns what a request is charged to its account, in tokens.
func Cost(prompt, output int64) float64 { return float64(prompt + outputCost*output) }

// shareOf returns the fair share at which all accounts together get a capacity, or what was started
// lately if that is more.
func (as *accounts) shareOf(now time.Duration, capacity float64) float64 {
	demands := make([]float64, 0, len(as.byKey))
	total, aggregate := 0.0, 0.0
	for key, a := range as.byKey {
		f := a.flow(now)
		total += f.started
		if key == 0 {
			// Key 0 is the sum of many accounts, each smaller than those reported by name.
			aggregate = f.demand
			continue
		}
		if f.demand > 0 {
			demands = append(demands, max(f.demand, f.started))
		}
	}
	total = max(total, capacity)
	return maxMinShare(demands, max(0, total-aggregate))
}
