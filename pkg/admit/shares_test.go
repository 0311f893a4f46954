package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestLeastServed has other routers tell what accounts ask for and begin.
func TestLeastServed(t *testing.T) {
	flow := func(name string, asked, begun uint32) wire.AccountFlow {
		return wire.AccountFlow{Account: wire.HashName(name), Demand: asked, Started: begun}
	}
	tests := map[string]struct {
		flows []wire.AccountFlow
		least string
		part  float64
	}{
		"nobody asks":              {nil, "", 1},
		"all get what they ask":    {[]wire.AccountFlow{flow("a", 100, 100), flow("b", 50, 50)}, "", 1},
		"a flood that gets less":   {[]wire.AccountFlow{flow("a", 1000, 100), flow("b", 400, 400)}, "a", 0.25},
		"of what it asks":          {[]wire.AccountFlow{flow("a", 200, 100), flow("b", 400, 400)}, "a", 0.5},
		"the best served waits":    {[]wire.AccountFlow{flow("a", 1000, 400), flow("b", 300, 300)}, "a", 1},
		"begun a moment later":     {[]wire.AccountFlow{flow("a", 120, 100), flow("b", 400, 400)}, "", 1},
		"the rest told as one":     {[]wire.AccountFlow{{Demand: 5000, Started: 4000}, flow("a", 400, 100), flow("b", 100, 100)}, "a", 1},
		"two that wait":            {[]wire.AccountFlow{flow("a", 900, 300), flow("b", 900, 200), flow("c", 400, 400)}, "b", 0.5},
		"it has begun nothing":     {[]wire.AccountFlow{flow("a", 900, 0), flow("b", 900, 200)}, "a", 0},
		"nothing has begun at all": {[]wire.AccountFlow{flow("a", 900, 0)}, "", 1},
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
			if math.Abs(sh.LeastServedFraction-tc.part) > 0.001 || tc.part < 1 && sh.LeastServedAccount != want {
				t.Errorf("least served %v with %.3f, want %q with %.3f", sh.LeastServedAccount, sh.LeastServedFraction, tc.least, tc.part)
			}
		})
	}
}
