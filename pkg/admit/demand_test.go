package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestDecliningDemandIsAdmitted: soon after an account's demand at its only router has fallen
// below its fair share, no requests of it may be refused.
func TestDecliningDemandIsAdmitted(t *testing.T) {
	const overload, reduced, fairShare = 15e6, 1e6, 2e6
	key := wire.HashName("moka")
	c := admit.New(admit.Router{Address: "r", Zone: "a"})
	others := &wire.RouterState{Scope: wire.ScopeRest, Accounts: []wire.AccountFlow{
		{Account: wire.HashName("best"), Demand: 5 * fairShare, Started: fairShare}, {Account: key, Started: fairShare},
	}}
	const step = 50 * time.Millisecond
	admitFraction := func(now time.Duration, perSecond float64) float64 {
		c.Step(now, admit.PeerState{From: "x", Zone: "a", Msg: others})
		c.CountRefused(now, key, perSecond*step.Seconds())
		if p, ok := c.AdmitFractions(now)[key]; ok {
			return p
		}
		return 1
	}
	now := time.Hour
	for range 80 {
		now += step
		admitFraction(now, overload)
	}
	if p := admitFraction(now, overload); p > 0.3 {
		t.Errorf("%.2f of the requests are admitted under overload", p)
	}
	from, refusedFor := now, time.Duration(0)
	for now < from+3*time.Second {
		now += step
		if p := admitFraction(now, reduced); p < 1 {
			refusedFor = now - from
		}
	}
	if refusedFor > 800*time.Millisecond {
		t.Errorf("requests are refused until %v after the overload", refusedFor)
	}
}
