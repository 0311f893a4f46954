package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestLeastServedAccount checks the least served account for flows that other routers report.
func TestLeastServedAccount(t *testing.T) {
	flow := func(name string, demand, started uint32) wire.AccountFlow {
		return wire.AccountFlow{Account: wire.HashName(name), Demand: demand, Started: started}
	}
	tests := map[string]struct {
		flows    []wire.AccountFlow
		least    string
		fraction float64
	}{
		"no demand":                        {nil, "", 1},
		"all demand met":                   {[]wire.AccountFlow{flow("a", 100, 100), flow("b", 50, 50)}, "", 1},
		"less than the best served":        {[]wire.AccountFlow{flow("a", 1000, 100), flow("b", 400, 400)}, "a", 0.25},
		"less than its demand":             {[]wire.AccountFlow{flow("a", 200, 100), flow("b", 400, 400)}, "a", 0.5},
		"best served account waits":        {[]wire.AccountFlow{flow("a", 1000, 400), flow("b", 300, 300)}, "a", 1},
		"started slightly later":           {[]wire.AccountFlow{flow("a", 120, 100), flow("b", 400, 400)}, "", 1},
		"with aggregate of other accounts": {[]wire.AccountFlow{{Demand: 5000, Started: 4000}, flow("a", 400, 100), flow("b", 100, 100)}, "a", 1},
		"two waiting accounts":             {[]wire.AccountFlow{flow("a", 900, 300), flow("b", 900, 200), flow("c", 400, 400)}, "b", 0.5},
		"nothing started":                  {[]wire.AccountFlow{flow("a", 900, 0), flow("b", 900, 200)}, "a", 0},
		"nothing started by any account":   {[]wire.AccountFlow{flow("a", 900, 0)}, "", 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := admit.New(admit.Router{Address: "r", Zone: "a"})
			c.Step(time.Hour, admit.PeerState{From: "x", Zone: "a", Msg: &wire.RouterState{Scope: wire.ScopeRest, Accounts: tc.flows}})
			sh := c.Shares(time.Hour)
			want := wire.NameHash(0)
			if tc.least != "" {
				want = wire.HashName(tc.least)
			}
			if math.Abs(sh.LeastServedFraction-tc.fraction) > 0.001 || tc.fraction < 1 && sh.LeastServedAccount != want {
				t.Errorf("least served account %v with %.3f, want %q with %.3f", sh.LeastServedAccount, sh.LeastServedFraction, tc.least, tc.fraction)
			}
		})
	}
}

// TestMostServedAccount: the summary names the best served account beside the least served one, with their rates.
func TestMostServedAccount(t *testing.T) {
	c := admit.New(admit.Router{Address: "r", Zone: "a"})
	flows := []wire.AccountFlow{
		{Demand: 5000, Started: 4000}, {Account: wire.HashName("a"), Demand: 900, Started: 100}, {Account: wire.HashName("b"), Demand: 900, Started: 400},
	}
	c.Step(time.Hour, admit.PeerState{From: "x", Zone: "a", Msg: &wire.RouterState{Scope: wire.ScopeRest, Accounts: flows}})
	sh := c.Shares(time.Hour)
	if sh.MostServedAccount != wire.HashName("b") || sh.MostServed != 400 || sh.LeastServed != 100 {
		t.Errorf("best served account %v with %.0f, least served one with %.0f; want b with 400, and 100", sh.MostServedAccount, sh.MostServed, sh.LeastServed)
	}
}
