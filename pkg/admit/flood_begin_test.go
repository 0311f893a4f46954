package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestFloodThatBeginsIsHeldToItsShare: in a shortage, an account whose callers come to all routers begins to flood. In its first
// second all routers together must not admit more than twice its share, though each hears of the others' demand only later.
func TestFloodThatBeginsIsHeldToItsShare(t *testing.T) {
	const (
		// routers get the same part of the account's requests.
		routers = 90
		// reportAge is the age at which a router hears of the demand at others.
		reportAge = 350 * time.Millisecond
		step      = 50 * time.Millisecond
		// total is what the engines do, of which each of three accounts is to get share in the flood. usual and flood are what
		// this one asks for, in tokens per second.
		total, share, usual, flood = 9e6, 3e6, 1e6, 20e6
		calm                       = 4 * time.Second
	)
	f := newShareFixture(0)
	key, core := wire.HashName("moka"), f.core
	other := wire.AccountFlow{Demand: total, Started: (total - usual) / 2}
	own := func() float64 {
		for _, x := range core.Snapshot(f.now).Flows(wire.ScopeOwn, "") {
			if x.Account == key {
				return float64(x.Demand)
			}
		}
		return 0
	}
	var history []float64
	admitted := 0.0
	f.setFree(0.02)
	for now := time.Duration(0); now < calm+time.Second; now += step {
		rate := usual
		if now >= calm {
			rate = flood
		}
		if now >= time.Second {
			f.setFree(0.15)
		}
		history = append(history, own())
		reported := history[max(0, len(history)-1-int(reportAge/step))]
		f.flows = []wire.AccountFlow{
			{Account: key, Demand: uint32((routers - 1) * reported), Started: usual},
			{Account: wire.HashName("a"), Demand: other.Demand, Started: other.Started},
			{Account: wire.HashName("b"), Demand: other.Demand, Started: other.Started},
		}
		f.run(step)
		fraction, ok := core.AdmitFractions(f.now)[key]
		if !ok {
			fraction = 1
		}
		tokens := rate / routers * step.Seconds()
		core.CountRefused(f.now, key, tokens)
		if now >= calm {
			admitted += routers * fraction * tokens
		}
	}
	if sh := core.Shares(f.now); !sh.Short || !within(sh.FairShare, share, 0.1) {
		t.Fatalf("short %v, share %.0f, want %.0f", sh.Short, sh.FairShare, share)
	}
	if admitted > 2*share {
		t.Errorf("%.1f million tokens are admitted in the first second of a flood, %.1f times the share", admitted/1e6, admitted/share)
	}
}
