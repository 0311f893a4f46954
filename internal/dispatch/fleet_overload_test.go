package dispatch

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The model simulates a large fleet in which a few accounts overload it. Load balancers send
// all callers of some accounts to a single small router. Each account that waits must still get
// at least half of the work of the best served account.

const (
	zoneCount, routersPerZone, largeRoutersPerZone = 5, 59, 3
	accountCount                                   = 60
	// totalRate is the request rate of all accounts without overload.
	totalRate = 1500
	// singleRouterFraction of the accounts have callers that all reach one router at a
	// time.
	singleRouterFraction = 0.4
	// engineTokensPerSecond is the capacity of all engines, meanRequestTokens the mean cost
	// of a request.
	engineTokensPerSecond = 9e6
	meanRequestTokens     = 4700.0
	smallCores            = 0.192
	largeCores            = 0.8
	// earlyRefusalCost is the processor time of a refusal before the HTTP server.
	earlyRefusalCost = 40 * time.Microsecond
	// forwardCost is the processor time of forwarding a request, forwardResponseCost that
	// of passing its response back.
	forwardCost         = 60 * time.Microsecond
	forwardResponseCost = 120 * time.Microsecond
	// baselineCores is the processor share that a router uses without any requests.
	baselineCores = 0.042
	// stateInterval is the interval at which a router receives the flows of all others.
	stateInterval = 200 * time.Millisecond
	// maxUsefulLag is the lag from which replies of owners arrive too late.
	maxUsefulLag  = 80 * time.Millisecond
	modelDuration = 16 * time.Second
	windowSeconds = 6
)

// clientAccount is an account of the model. Depending on the account, its callers reach one
// router at a time or all routers.
type clientAccount struct {
	name string
	key  wire.NameHash
	// rate is the usual number of requests per second, overloadFactor multiplies it from
	// from to until.
	rate, overloadFactor float64
	from, until          time.Duration
	// routers are the routers of its zone in the load balancer's order, nil if its callers
	// reach all routers.
	routers                         []*fleetRouter
	demand, started                 decayingRate
	demandBySecond, startedBySecond []float64
	refusedBySecond                 []int
	retriesByStep                   []int
	// carry is the fraction of a request carried over to the next step.
	carry float64
}

// decayingRate is a sum that decays with a time constant of one second.
type decayingRate struct{ value float64 }

func (r *decayingRate) step() { r.value *= 1 - loadStep.Seconds() }

// fleetRouter is a router of the model.
type fleetRouter struct {
	loadedRouter
	zone  []*fleetRouter
	cores float64
	// probes are the lag measurements that the router has not read yet. It reads one once
	// all earlier work is done.
	probes []probe
}

// probe is a lag measurement and the time at which it is read.
type probe struct{ readAt, lag time.Duration }

// overloadModel simulates the fleet and its accounts.
type overloadModel struct {
	rng      *rand.Rand
	routers  []*fleetRouter
	accounts []*clientAccount
	started  decayingRate
}

func newOverloadModel(seed uint64) *overloadModel {
	f := &overloadModel{rng: rand.New(rand.NewPCG(seed, 7))}
	var zones [zoneCount][]*fleetRouter
	for z := range zoneCount {
		for i := range routersPerZone {
			r := f.newRouter(i < largeRoutersPerZone)
			zones[z] = append(zones[z], r)
			f.routers = append(f.routers, r)
		}
	}
	for _, r := range f.routers {
		r.s.forwardPeers = routersPerZone - 1
	}
	for _, zone := range zones {
		for _, r := range zone {
			r.zone = zone
		}
	}
	weights, sum := make([]float64, accountCount), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	for i := range accountCount {
		a := &clientAccount{
			name: fmt.Sprint("account-", i), rate: totalRate * weights[i] / sum, overloadFactor: 1, demandBySecond: make([]float64, modelDuration/time.Second),
			startedBySecond: make([]float64, modelDuration/time.Second), refusedBySecond: make([]int, modelDuration/time.Second),
			retriesByStep: make([]int, modelDuration/loadStep),
		}
		a.key = wire.HashName(a.name)
		if f.rng.Float64() < singleRouterFraction && i > 0 {
			a.routers = slices.Clone(zones[f.rng.IntN(zoneCount)])
			f.rng.Shuffle(len(a.routers), func(i, j int) { a.routers[i], a.routers[j] = a.routers[j], a.routers[i] })
		}
		f.accounts = append(f.accounts, a)
	}
	f.chooseOverloads()
	return f
}

// chooseOverloads lets up to nine accounts overload the fleet from second 2 on. One of them,
// among the largest whose callers reach one router, does so to the end.
func (f *overloadModel) chooseOverloads() {
	startOverload := func(a *clientAccount, until time.Duration) {
		a.overloadFactor, a.from, a.until = 5+3*f.rng.Float64(), 2*time.Second, until
	}
	for _, i := range f.rng.Perm(accountCount)[:8] {
		startOverload(f.accounts[i], 9*time.Second)
	}
	target := slices.IndexFunc(f.accounts, func(a *clientAccount) bool { return a.routers != nil })
	startOverload(f.accounts[target], modelDuration)
}

func (f *overloadModel) newRouter(large bool) *fleetRouter {
	r := &fleetRouter{cores: smallCores}
	if large {
		r.cores = largeCores
	}
	d := New(Identity{Name: "r", Address: "r", Zone: "z", Incarnation: 1, Capacity: r.cores}, emptySource{}, nil,
		WithLogger(slog.New(slog.DiscardHandler)), WithRandom(f.rng.Float64))
	r.loadedRouter = newLoadedRouter(newState(d))
	return r
}

// run runs the model.
func (f *overloadModel) run() {
	for now := time.Duration(0); now < modelDuration; now += loadStep {
		f.started.step()
		fairShare := f.fairShare()
		for _, a := range f.accounts {
			a.demand.step()
			a.started.step()
			f.send(a, now, fairShare)
		}
		for _, r := range f.routers {
			r.step(now)
			if now%stateInterval == 0 {
				r.handleState(f)
			}
		}
	}
}

// fairShare returns the most that an account gets while the engines are full.
func (f *overloadModel) fairShare() float64 {
	demands := make([]float64, 0, len(f.accounts))
	for _, a := range f.accounts {
		demands = append(demands, a.demand.value)
	}
	slices.Sort(demands)
	remaining := engineTokensPerSecond
	for i, demanded := range demands {
		if each := remaining / float64(len(demands)-i); demanded >= each {
			return each
		}
		remaining -= demanded
	}
	return engineTokensPerSecond
}

// send sends an account's requests that are due in a step.
func (f *overloadModel) send(a *clientAccount, now time.Duration, fairShare float64) {
	perSecond := a.rate
	if now >= a.from && now < a.until {
		perSecond *= a.overloadFactor
	}
	a.carry += perSecond * loadStep.Seconds()
	arrivals := int(a.carry)
	a.carry -= float64(arrivals)
	second, step := now/time.Second, now/loadStep
	for n := range arrivals + a.retriesByStep[step] {
		r := f.routerFor(a)
		tokens := meanRequestTokens * f.rng.ExpFloat64()
		a.demand.value += tokens
		a.demandBySecond[second] += tokens
		if f.handleRequest(r, a, tokens, fairShare) {
			a.started.value += tokens
			f.started.value += tokens
			a.startedBySecond[second] += tokens
			continue
		}
		a.refusedBySecond[second]++
		if n < arrivals {
			f.scheduleRetry(a, now)
		}
	}
}

// routerFor returns the router that the load balancer chooses.
func (f *overloadModel) routerFor(a *clientAccount) *fleetRouter {
	if a.routers == nil {
		return f.routers[f.rng.IntN(len(f.routers))]
	}
	for _, r := range a.routers {
		if !r.removed {
			return r
		}
	}
	return a.routers[0]
}

// scheduleRetry lets a refused caller retry once, after a sixth to a third of its remaining
// time.
func (f *overloadModel) scheduleRetry(a *clientAccount, now time.Duration) {
	remaining := 10 * time.Second
	if f.rng.IntN(5) < 3 {
		remaining = 2500 * time.Millisecond
	}
	retryAt := now + time.Duration((1/6.0+f.rng.Float64()/6)*float64(remaining))
	if at := int(retryAt / loadStep); at < len(a.retriesByStep) {
		a.retriesByStep[at]++
	}
}

// handleRequest lets a router decide on a request, and reports whether it starts.
func (f *overloadModel) handleRequest(r *fleetRouter, a *clientAccount, tokens, fairShare float64) bool {
	lag := r.lag()
	req := front.Request{Account: a.name, Prompt: int64(tokens), Deadline: time.Now().Add(time.Minute)}
	if err := r.s.d.CheckAdmission(req); err != nil {
		if err.Code == "overloaded" && r.s.d.MayForward(req) {
			return f.forwardRequest(r, a, tokens, fairShare)
		}
		r.backlog += earlyRefusalCost
		return false
	}
	return f.process(r, a, tokens, fairShare, lag)
}

// forwardRequest forwards a request to another router of the zone, which may refuse it too.
func (f *overloadModel) forwardRequest(r *fleetRouter, a *clientAccount, tokens, fairShare float64) bool {
	to := r.zone[f.rng.IntN(len(r.zone))]
	if to == r || to.s.d.Shedding() || to.s.d.Overloaded() {
		r.backlog += forwardCost
		return false
	}
	r.backlog += forwardCost
	r.scheduleWork(forwardResponseCost)
	if err := to.s.d.CheckAdmission(front.Request{Account: a.name, Prompt: int64(tokens), Forwarded: true}); err != nil {
		to.backlog += earlyRefusalCost
		return false
	}
	return f.process(to, a, tokens, fairShare, to.lag())
}

// process lets a router process an admitted request, and reports whether it starts.
func (f *overloadModel) process(r *fleetRouter, a *clientAccount, tokens, fairShare float64, lag time.Duration) bool {
	r.s.core.CountRefused(r.s.now, a.key, tokens)
	r.backlog += startCost
	full := f.started.value >= engineTokensPerSecond && a.started.value >= fairShare
	if lag >= maxUsefulLag || full {
		return false
	}
	r.scheduleWork(streamCost)
	return true
}

// lag returns the current processing lag.
func (r *fleetRouter) lag() time.Duration {
	return time.Duration(float64(r.backlog) / (r.cores - baselineCores))
}

// step advances the router by one step.
func (r *fleetRouter) step(now time.Duration) {
	r.advance(r.cores - baselineCores)
	if now%lagInterval == 0 {
		r.probes = append(r.probes, probe{now + r.lag(), r.lag()})
	}
	for len(r.probes) > 0 && now >= r.probes[0].readAt {
		r.s.now = clockStart + now
		r.s.observeLag(r.probes[0].lag)
		r.s.updateAdmission()
		r.probes = r.probes[1:]
	}
	r.healthCheck(now)
}

// handleState passes the fleet's flows to the router, without those that it counts itself.
func (r *fleetRouter) handleState(f *overloadModel) {
	own := map[wire.NameHash]float64{}
	for _, x := range r.s.core.Snapshot(r.s.now).Flows(wire.ScopeOwn, "") {
		own[x.Account] = float64(x.Demand)
	}
	m := &wire.RouterState{Scope: wire.ScopeRest}
	for _, a := range f.accounts {
		m.Accounts = append(m.Accounts, wire.AccountFlow{
			Account: a.key, Demand: uint32(max(0, a.demand.value-own[a.key])), Started: uint32(a.started.value),
		})
	}
	r.s.step(admit.PeerState{From: "relay", Zone: "z", Msg: m})
}

// minServedFraction returns the smallest fraction of its attainable work that any account
// started in a window in which it was refused every second. Attainable is its demand in each
// second, up to what the best served account of the window started.
func (f *overloadModel) minServedFraction() (fraction float64, account string, from int) {
	fraction = 1
	for s := 0; s+windowSeconds <= int(modelDuration/time.Second); s++ {
		started := func(a *clientAccount) (total float64) {
			for _, x := range a.startedBySecond[s : s+windowSeconds] {
				total += x
			}
			return total
		}
		best := slices.MaxFunc(f.accounts, func(a, b *clientAccount) int { return cmp.Compare(started(a), started(b)) })
		for _, a := range f.accounts {
			if slices.Contains(a.refusedBySecond[s:s+windowSeconds], 0) {
				continue
			}
			attainable := 0.0
			for i := s; i < s+windowSeconds; i++ {
				attainable += min(a.demandBySecond[i], best.startedBySecond[i])
			}
			if got := started(a) / attainable; got < fraction {
				fraction, account, from = got, a.name, s
			}
		}
	}
	return fraction, account, from
}

// TestOverloadAtSmallRoutersOfLargeFleet guards against starving an account whose callers reach
// only one small router of a large fleet.
func TestOverloadAtSmallRoutersOfLargeFleet(t *testing.T) {
	const minFraction, seeds = 0.5, 20
	var mu sync.Mutex
	var fractions []float64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				f := newOverloadModel(seed)
				f.run()
				fraction, account, from := f.minServedFraction()
				if fraction < minFraction {
					t.Errorf("%s started %.2f of the best served account's work from second %d on", account, fraction, from)
				}
				mu.Lock()
				defer mu.Unlock()
				fractions = append(fractions, fraction)
			})
		}
	})
	slices.SortFunc(fractions, cmp.Compare[float64])
	t.Logf("smallest fractions by seed: %.2f", fractions)
}
