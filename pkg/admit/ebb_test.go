package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestFloodThatEbbs has an account whose callers all come to one router flood, and then
// ask for less than its share: a moment later nothing of it is refused. Before, a third of
// its tries in each of the next two seconds were refused as over its share.
func TestFloodThatEbbs(t *testing.T) {
	const flood, less, level = 15e6, 1e6, 2e6
	key := wire.HashName("moka")
	c := admit.New(admit.Router{Address: "r", Zone: "a"})
	others := &wire.RouterState{Scope: wire.ScopeRest, Accounts: []wire.AccountFlow{
		{Account: wire.HashName("best"), Demand: 5 * level, Started: level}, {Account: key, Started: level},
	}}
	const step = 50 * time.Millisecond
	part := func(now time.Duration, perSecond float64) float64 {
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
		part(now, flood)
	}
	if p := part(now, flood); p > 0.3 {
		t.Errorf("%.2f of a flood are let in", p)
	}
	from, free := now, time.Duration(0)
	for now < from+3*time.Second {
		now += step
		if p := part(now, less); p < 1 {
			free = now - from
		}
	}
	if free > 800*time.Millisecond {
		t.Errorf("some are refused until %v after the flood", free)
	}
}
