package admit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// CapacityEstimator is how many requests a second a router can work on. It begins with what its
// processors should do and is corrected by how late the router hears of what came to its
// sockets.
//
// The number is an absolute one: a part of what comes, learned from lateness, is wrong as
// soon as more comes. In a flood of 1,000 requests a second a router with a fifth of a
// core let in all of the first 660, heard of that a second later, cut the part to its
// floor, and swung between the two, at half of its processor time.
type CapacityEstimator struct {
	// rate is how many requests a second it can work on while it refuses none; from
	// least to most.
	rate, least, most float64
	// late is the lateness, faded; brake, from 0 to 1, is the part of the rate that is
	// given while that has to be made up for.
	late  time.Duration
	brake float64
	// cutAt is when the rate was last cut.
	cutAt time.Duration
	// wants is how many requests of each account are to be worked on a second, and
	// refusals how many are refused, both faded.
	wants    map[wire.NameHash]float64
	refusals float64
	// part is the part of what was wanted that the last plan let in.
	part float64
}

const (
	// ratePerCore is how many requests a second a core works on, streams of some 8
	// pieces: 0.53 ms each, by least squares over 26 seconds of routers short of time,
	// less a tenth for what it does besides.
	ratePerCore = 1700
	// leastRate and mostRate bound what is learned, in parts of what the processors
	// should do.
	leastRate = 0.15
	mostRate  = 6
	// refusalPart is what a refusal costs of a request that is worked on: in a second of a
	// router with a fifth of a core that is always late, 2,745 of them beside 25 requests
	// that were worked on.
	refusalPart = 0.08
	// forwardPart is what a request costs that is handed on: its bytes are passed on in
	// some ten pieces.
	forwardPart = 0.3
	// keptPart of its time a router spends on requests of its own while it hands on others.
	keptPart = 0.25
	// lateLimit is the lateness from which a router takes in less. A request takes
	// the way to an owner and back, and is late each time that this router hears
	// of it; the shortest patience is 50 ms. At lateFull it takes in nothing until
	// that is made up for.
	lateLimit = 12 * time.Millisecond
	lateFull  = 60 * time.Millisecond
	// lateWeight is the weight of one more lateness.
	lateWeight = 0.3
	// slower is by how much the rate is cut for a lateness of lateFull, once in
	// cutEvery and no sooner than what was late has been heard of: what came before
	// the last cut says nothing of the rate after it. faster is by how much it grows
	// with each plan that lets in less than was wanted.
	slower   = 0.1
	cutEvery = 150 * time.Millisecond
	faster   = 0.02
	// busyFrom is the part of its rate from which lateness is put down to requests.
	busyFrom = 0.5
	// wantWeight is the weight of one more count of what is wanted.
	wantWeight = 0.4
	// spare is the part of the rate up to which all that is wanted is let in.
	spare = 0.95
	// burstFor is for how long the whole rate may come at once, whatever a plan says: a
	// plan may be late itself, in the first second of a flood by as much.
	burstFor = 150 * time.Millisecond
)

// NewCapacityEstimator returns the pace of a router with a share of processors, 0 if that is not
// known.
func NewCapacityEstimator(processors float64) *CapacityEstimator {
	if processors <= 0 {
		processors = 1
	}
	rate := ratePerCore * processors
	return &CapacityEstimator{rate: rate, least: leastRate * rate, most: mostRate * rate, brake: 1, wants: map[wire.NameHash]float64{}, part: 1}
}

// ObserveDelay takes in how late the router heard of something at a time.
func (p *CapacityEstimator) ObserveDelay(now, late time.Duration) {
	p.late += time.Duration(lateWeight * float64(late-p.late))
	excess := float64(late-lateLimit) / float64(lateFull-lateLimit)
	p.brake = 1 - min(1, max(0, excess))
	if excess <= 0 || now-p.cutAt < max(cutEvery, late) || p.wanted()+refusalPart*p.refusals < busyFrom*p.rate {
		return
	}
	p.cutAt = now
	p.rate = max(p.least, p.rate*(1-slower*min(1, excess)))
}

func (p *CapacityEstimator) wanted() float64 {
	sum := 0.0
	for _, want := range p.wants {
		sum += want
	}
	return sum
}

// AdmissionPlan is how many requests are let in until the next plan.
type AdmissionPlan struct {
	// PerAccount is how many requests a second are let in of one account, infinite if all
	// are.
	PerAccount float64
	// Burst is how many are let in at the most, of all accounts.
	Burst int
	// Forward is how many more a second may be handed on to other routers.
	Forward float64
}

// Plan works out how many requests are let in, from how many came in some time that were
// to be worked on, by account, and how many were refused. As much of each account is let
// in up to a level that is the same for all. Where others may take requests over, so much
// of the time goes to handing them on that as many as possible are worked on somewhere.
func (p *CapacityEstimator) Plan(in time.Duration, came map[wire.NameHash]int, refused int, others bool) AdmissionPlan {
	p.count(in, came, refused)
	can := max(p.least, p.rate-refusalPart*p.refusals) * p.brake
	wanted := p.wanted()
	plan := AdmissionPlan{PerAccount: math.Inf(1), Burst: int(math.Ceil(p.rate * burstFor.Seconds()))}
	if wanted <= spare*can {
		p.part = 1
		return plan
	}
	p.part = min(1, can/wanted)
	if p.brake == 1 {
		p.rate = min(p.most, p.rate*(1+faster))
	}
	if others {
		plan.Forward = min(max(0, wanted-can)/(1-forwardPart), can*(1-keptPart)/forwardPart)
		can -= forwardPart * plan.Forward
	}
	plan.PerAccount = fill(slices.Collect(maps.Values(p.wants)), can)
	return plan
}

// count takes in what came.
func (p *CapacityEstimator) count(in time.Duration, came map[wire.NameHash]int, refused int) {
	seconds := max(in, time.Millisecond).Seconds()
	p.refusals += wantWeight * (float64(refused)/seconds - p.refusals)
	for key := range came {
		if _, ok := p.wants[key]; !ok {
			p.wants[key] = 0
		}
	}
	for key, want := range p.wants {
		want += wantWeight * (float64(came[key])/seconds - want)
		if want < 0.01 {
			delete(p.wants, key)
			continue
		}
		p.wants[key] = want
	}
}

// AdmittedFraction returns the part of the requests that are to be worked on that can be.
func (p *CapacityEstimator) AdmittedFraction() float64 { return p.part }

// Rate returns how many requests a second can be worked on while none is refused.
func (p *CapacityEstimator) Rate() float64 { return p.rate }

// Delay returns the lateness.
func (p *CapacityEstimator) Delay() time.Duration { return p.late }

// fill returns the level up to which asks add up to a total.
func fill(asks []float64, total float64) float64 {
	slices.Sort(asks)
	for i, ask := range asks {
		each := total / float64(len(asks)-i)
		if ask >= each {
			return each
		}
		total -= ask
	}
	return unbounded
}
