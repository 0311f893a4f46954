package admit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// CapacityEstimator estimates how many requests per second a router can process. It starts from
// the processors available and adjusts the estimate by the router's lag: how late it
// processes received messages.
//
// The estimate is an absolute rate. A fraction of the arriving requests would be wrong as soon
// as the arrival rate changes, and would oscillate under overload: at 1,000 requests a second, a router with
// a fifth of a core admitted the first 660, noticed a second later, cut the fraction to its minimum, and
// swung between the two at half of its processor time.
type CapacityEstimator struct {
	// rate is the number of requests per second that it can process without refusals, between
	// minRate and maxRate.
	rate, minRate, maxRate float64
	// lag is the moving average of the processing lag. throttle, from 0 to 1, scales the
	// rate until the backlog has been processed.
	lag      time.Duration
	throttle float64
	// cutAt is when the rate was last reduced.
	cutAt time.Duration
	// demand is the arrival rate of requests by account, refusals the rate of refusals, both
	// moving averages.
	demand   map[wire.NameHash]float64
	refusals float64
	// admitted is the fraction of the demand that the last plan admitted.
	admitted float64
}

const (
	// ratePerCore is the initial estimate of requests per second and core: streams of some 8 chunks take
	// 0.53 ms of processor time each, and a tenth of the time goes to other work.
	ratePerCore = 1700
	// minRateFraction and maxRateFraction bound the rate relative to the initial estimate.
	minRateFraction = 0.15
	maxRateFraction = 6
	// refusalCost is the cost of a refusal relative to a processed request: with a fifth of a core, 2,745
	// refusals in a second left time for 25 requests.
	refusalCost = 0.08
	// forwardCost is the cost of forwarding a request to another router relative to processing
	// it. Its bytes pass in some ten pieces.
	forwardCost = 0.3
	// localWorkFraction is the fraction of its time that a router keeps for its own requests
	// while it forwards others.
	localWorkFraction = 0.25
	// lagThreshold is the lag from which a router admits fewer requests. Each message to
	// and from an owner is delayed by as much, and the shortest maximum waits are 50 ms. From
	// delayLimit on it admits none.
	lagThreshold = 12 * time.Millisecond
	lagLimit     = 60 * time.Millisecond
	// lagWeight is the weight of a new sample.
	lagWeight = 0.3
	// rateDecrease is the relative reduction of the rate at delayLimit. Reductions are at least
	// rateCutInterval and the current lag apart, since messages received before the last one
	// do not reflect it. rateIncrease is the relative increase with each plan that admits less
	// than the demand.
	rateDecrease    = 0.1
	rateCutInterval = 150 * time.Millisecond
	rateIncrease    = 0.02
	// busyFraction is the fraction of its rate from which a lag is attributed to requests.
	busyFraction = 0.5
	// demandWeight is the weight of a new sample.
	demandWeight = 0.4
	// admitAllFraction is the fraction of the capacity up to which all demand is admitted.
	admitAllFraction = 0.95
	// burstPeriod is the period whose requests may arrive at once regardless of the plan, since
	// plans are late under overload.
	burstPeriod = 150 * time.Millisecond
)

// NewCapacityEstimator returns an estimator for a number of processors, 0 if unknown.
func NewCapacityEstimator(processors float64) *CapacityEstimator {
	if processors <= 0 {
		processors = 1
	}
	rate := ratePerCore * processors
	return &CapacityEstimator{rate: rate, minRate: minRateFraction * rate, maxRate: maxRateFraction * rate, throttle: 1, demand: map[wire.NameHash]float64{}, admitted: 1}
}

// ObserveLag adds a sample of the processing lag.
func (e *CapacityEstimator) ObserveLag(now, lag time.Duration) {
	e.lag += time.Duration(lagWeight * float64(lag-e.lag))
	excess := float64(lag-lagThreshold) / float64(lagLimit-lagThreshold)
	e.throttle = 1 - min(1, max(0, excess))
	if excess <= 0 || now-e.cutAt < max(rateCutInterval, lag) || e.totalDemand()+refusalCost*e.refusals < busyFraction*e.rate {
		return
	}
	e.cutAt = now
	e.rate = max(e.minRate, e.rate*(1-rateDecrease*min(1, excess)))
}

func (e *CapacityEstimator) totalDemand() float64 {
	sum := 0.0
	for _, demand := range e.demand {
		sum += demand
	}
	return sum
}

// AdmissionPlan bounds the requests to admit until the next plan.
type AdmissionPlan struct {
	// PerAccount is the number of requests per second to admit of each account, infinite if all
	// are.
	PerAccount float64
	// Burst is the maximum number of requests to admit, of all accounts together.
	Burst int
	// Forward is the number of further requests per second that may be forwarded to other
	// routers.
	Forward float64
}

// Plan returns the plan for the next period from the requests that arrived in the last one, by
// account, and the number refused. It divides the capacity among accounts by max-min fairness.
// If requests can be forwarded, it reserves as much time for that as maximizes the requests
// processed in the fleet.
func (e *CapacityEstimator) Plan(period time.Duration, arrived map[wire.NameHash]int, refused int, canForward bool) AdmissionPlan {
	e.observeDemand(period, arrived, refused)
	capacity := max(e.minRate, e.rate-refusalCost*e.refusals) * e.throttle
	demand := e.totalDemand()
	plan := AdmissionPlan{PerAccount: math.Inf(1), Burst: int(math.Ceil(e.rate * burstPeriod.Seconds()))}
	if demand <= admitAllFraction*capacity {
		e.admitted = 1
		return plan
	}
	e.admitted = min(1, capacity/demand)
	if e.throttle == 1 {
		e.rate = min(e.maxRate, e.rate*(1+rateIncrease))
	}
	if canForward {
		plan.Forward = min(max(0, demand-capacity)/(1-forwardCost), capacity*(1-localWorkFraction)/forwardCost)
		capacity -= forwardCost * plan.Forward
	}
	plan.PerAccount = maxMinShare(slices.Collect(maps.Values(e.demand)), capacity)
	return plan
}

// observeDemand updates the moving averages of demand and refusals.
func (e *CapacityEstimator) observeDemand(period time.Duration, arrived map[wire.NameHash]int, refused int) {
	seconds := max(period, time.Millisecond).Seconds()
	e.refusals += demandWeight * (float64(refused)/seconds - e.refusals)
	for key := range arrived {
		if _, ok := e.demand[key]; !ok {
			e.demand[key] = 0
		}
	}
	for key, demand := range e.demand {
		demand += demandWeight * (float64(arrived[key])/seconds - demand)
		if demand < 0.01 {
			delete(e.demand, key)
			continue
		}
		e.demand[key] = demand
	}
}

// AdmittedFraction returns the fraction of the demand that the last plan admitted.
func (e *CapacityEstimator) AdmittedFraction() float64 { return e.admitted }

// Rate returns the number of requests per second that can be processed without refusals.
func (e *CapacityEstimator) Rate() float64 { return e.rate }

// Lag returns the moving average of the processing lag.
func (e *CapacityEstimator) Lag() time.Duration { return e.lag }

// maxMinShare returns the share at which all demands up to it add up to the total.
func maxMinShare(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		share := total / float64(len(demands)-i)
		if demand >= share {
			return share
		}
		total -= demand
	}
	return unlimited
}
