package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestNoOvercommitWhileAnotherLags: an account must not be admitted above its fair share while
// another one gets much less than its own.
func TestNoOvercommitWhileAnotherLags(t *testing.T) {
	tests := map[string]struct {
		demand, started uint32
		// multiple is the multiple of the fair share up to which requests are admitted.
		multiple float64
	}{
		"gets its fair share": {4000, 950, 1.5},
		"gets most of it":     {4000, 800, 1.5},
		"lags":                {4000, 300, 1},
		"gets nothing":        {4000, 0, 1},
		"little demand":       {300, 30, 1.5},
		"moderate demand":     {700, 100, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			best := wire.HashName("best")
			c := admit.New(admit.Router{Address: "r", Zone: "a"})
			// These flows make the fair share 1,000 or a little more.
			flows := []wire.AccountFlow{{Account: best, Demand: 6000, Started: 1400}, {Account: wire.HashName("moka"), Demand: tc.demand, Started: tc.started}}
			c.Step(time.Hour, admit.PeerState{From: "x", Zone: "a", Msg: &wire.RouterState{Scope: wire.ScopeRest, Accounts: flows}})
			fraction := c.AdmitFractions(time.Hour)[best]
			fairShare := c.Shares(time.Hour).FairShare
			if fairShare <= 0 || fairShare >= 1400 {
				t.Fatalf("the fair share is %.0f", fairShare)
			}
			if got := fraction * 6000 / fairShare; math.Abs(got-tc.multiple) > 0.01 {
				t.Errorf("requests up to %.2f times the fair share of %.0f are admitted, want %.2f", got, fairShare, tc.multiple)
			}
		})
	}
}
