package admit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/shares"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The model shares the engines of a fleet among accounts that flood it. Work flows as tokens per second: there are no single
// requests. What is let in of each account is decided by a Core, as at every router.

const (
	floodStep = 50 * time.Millisecond
	floodTime = 24 * time.Second
	// floodStart is when shares begin to count.
	floodStart = 2 * time.Second
	// engineTokens is what all engines can begin in a second, in tokens, before some of them are lost.
	engineTokens = 9e6
	// reportDelay is the age of the reports of free capacity.
	reportDelay = 300 * time.Millisecond
	// longestRequest is the cost of the largest request, in tokens.
	longestRequest = 80_000
)

// floodingAccount is an account of the model.
type floodingAccount struct {
	name string
	// usual is what it asks for, in tokens per second. While it floods, it asks for factor times as much.
	usual, factor float64
	// from and until are the times of its flood, again when it floods once more.
	from, until, again time.Duration
	// workable bounds what the routers to which its callers come can work on, in tokens per second.
	workable        float64
	demand, started decayingFlow
}

// decayingFlow is a rate in tokens per second with a time constant of one second.
type decayingFlow struct{ value float64 }

func (f *decayingFlow) add(tokens float64) {
	f.value = f.value*math.Exp(-floodStep.Seconds()) + tokens
}

func (a *floodingAccount) asks(now time.Duration) float64 {
	if now >= a.from && now < a.until || now >= a.again {
		return a.usual * a.factor
	}
	return a.usual
}

// floodModel is a fleet whose accounts flood it.
type floodModel struct {
	*shareFixture
	accounts []*floodingAccount
	// lostAt is when lost of the engines are lost.
	lostAt time.Duration
	lost   float64
	// leftIdle is the part of the engines that is left to others while accounts are held to a share.
	leftIdle float64
	// used are the parts of the engines in use in the last steps, newest last.
	used     []float64
	timeline shares.Timeline
}

// newFloodModel draws a fleet. Its accounts are of very different sizes; the callers of some come to all routers, those of
// others to one or a few with little processor time.
func newFloodModel(seed uint64) *floodModel {
	rng := rand.New(rand.NewPCG(seed, 95))
	m := &floodModel{
		shareFixture: newShareFixture(engineTokens * draw(rng, 0.4, 0.6, 2)), timeline: shares.Timeline{},
		lostAt: time.Duration(4+rng.IntN(6)) * time.Second, lost: draw(rng, 0, 0.4, 0.5, 0.6), leftIdle: 0.15 + 0.2*rng.Float64(),
	}
	few := 2 + rng.IntN(4)
	for i := range 24 {
		a := &floodingAccount{
			name: fmt.Sprint("account-", i), usual: 0.3 * engineTokens / float64(1+i), factor: 1, workable: math.Inf(1), again: time.Hour,
		}
		if rng.IntN(2) == 0 && i > 0 {
			a.workable = draw(rng, 1.5e6, 3e6, 6e6)
		}
		if i < 2 || rng.IntN(24) < few {
			a.factor, a.from = 4+6*rng.Float64(), time.Duration(4+rng.IntN(8))*time.Second
			a.until = a.from + time.Duration(5+rng.IntN(10))*time.Second
			a.again = a.until + draw(rng, 2*time.Second, time.Hour)
		}
		m.accounts = append(m.accounts, a)
	}
	return m
}

// capacity returns what the engines can begin in a second.
func (m *floodModel) capacity(now time.Duration) float64 {
	if now >= m.lostAt {
		return engineTokens * (1 - m.lost)
	}
	return engineTokens
}

// run plays the model.
func (m *floodModel) run() {
	for now := time.Duration(0); now < floodTime; now += floodStep {
		m.flows = m.flows[:0]
		for _, a := range m.accounts {
			m.flows = append(m.flows, wire.AccountFlow{Account: wire.HashName(a.name), Demand: uint32(a.demand.value), Started: uint32(a.started.value)})
		}
		m.report(m.capacity(now))
		m.shareFixture.run(floodStep)
		m.begin(now)
	}
}

// report sets what the owners of engines report.
func (m *floodModel) report(capacity float64) {
	const window = int(500 * time.Millisecond / floodStep)
	used, n := 0.0, 0
	for at := len(m.used) - int(reportDelay/floodStep) - 1; at >= 0 && n < window; at-- {
		used += m.used[at]
		n++
	}
	for zone := range m.reports {
		m.reports[zone] = wire.CapacityReport{Scope: wire.ScopeOwn, Total: uint32(capacity / 3), Owners: 1}
	}
	m.setFree(1 - used/float64(max(1, n)))
}

// begin lets engines begin what is let in of each account. If that is too much, they begin the same part of each, as do engines whose
// queues know nothing of each other.
func (m *floodModel) begin(now time.Duration) {
	fractions := m.core.AdmitFractions(m.now)
	available := m.capacity(now)
	if m.core.Shares(m.now).FairShare > 0 {
		available *= 1 - m.leftIdle
	}
	admitted, total := make([]float64, len(m.accounts)), 0.0
	for i, a := range m.accounts {
		admitted[i] = a.asks(now)
		if fraction, ok := fractions[wire.HashName(a.name)]; ok {
			admitted[i] *= fraction
		}
		admitted[i] = min(admitted[i], a.workable)
		total += admitted[i]
	}
	part := min(1, available/total)
	m.used = append(m.used, part*total/m.capacity(now))
	for i, a := range m.accounts {
		asked, begun := a.asks(now)*floodStep.Seconds(), part*admitted[i]*floodStep.Seconds()
		a.demand.add(asked)
		a.started.add(begun)
		if now < floodStart {
			continue
		}
		in := m.timeline.At(int64(now / time.Second))
		in.Demand[a.name] += asked
		in.Started[a.name] += begun
		in.Waiting[a.name] = in.Waiting[a.name] || begun < 0.95*asked
	}
}

// TestSharesDoNotLapseInFlood: accounts that wait for six seconds get at least half of what they ask, or of what the best served
// one gets, less three requests, also if the limit that holds a flood leaves a part of the engines idle.
func TestSharesDoNotLapseInFlood(t *testing.T) {
	const seeds, intervals = 40, 6
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := newFloodModel(seed)
			m.run()
			lowest := m.timeline.Lowest(intervals)
			if len(lowest) == 0 {
				return
			}
			t.Logf("least part %.2f", lowest[0].Ratio())
			for _, s := range lowest {
				if s.IsUnfair(longestRequest) {
					t.Fatalf("from second %d %s asked for %.0f and began %.0f, %s began %.0f", s.First, s.Account, s.Demand, s.Started, s.Best, s.BestStarted)
				}
			}
		})
	}
}
