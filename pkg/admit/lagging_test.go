package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestNobodyGetsMoreWhileAnotherLags looks which part is let in of an account that has
// more than its level, beside one that asks for more than it gets.
func TestNobodyGetsMoreWhileAnotherLags(t *testing.T) {
	tests := map[string]struct {
		asked, begun uint32
		// times is how many times the level the other may try to get.
		times float64
	}{
		"it has its level":       {4000, 950, 1.5},
		"it has most of it":      {4000, 800, 1.5},
		"it lags":                {4000, 300, 1},
		"it has nothing":         {4000, 0, 1},
		"it asks for little":     {300, 30, 1.5},
		"it asks for some of it": {700, 100, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			best := wire.HashName("best")
			c := admit.New(admit.Router{Address: "r", Zone: "a"})
			// The rest is what makes the level 1,000 or a little more.
			flows := []wire.AccountFlow{{Account: best, Demand: 6000, Started: 1400}, {Account: wire.HashName("moka"), Demand: tc.asked, Started: tc.begun}}
			c.Step(time.Hour, admit.PeerState{From: "x", Zone: "a", Msg: &wire.RouterState{Scope: wire.ScopeRest, Accounts: flows}})
			part := c.AdmitFractions(time.Hour)[best]
			level := c.Shares(time.Hour).FairShare
			if level <= 0 || level >= 1400 {
				t.Fatalf("the level is %.0f", level)
			}
			if got := part * 6000 / level; math.Abs(got-tc.times) > 0.01 {
				t.Errorf("it may try for %.2f times the level of %.0f, want %.2f", got, level, tc.times)
			}
		})
	}
}
