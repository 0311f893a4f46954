package allowance_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowmast/yarrowmast/pkg/allowance"
)

var rule = allowance.Config{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

// spend takes as many repeats as there are.
func spend(a *allowance.Budget, now time.Duration, routers int) int {
	n := 0
	for a.Spend(now, "desk", routers) {
		n++
	}
	return n
}

func TestSpend(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		do   func(a *allowance.Budget)
		at   time.Duration
		want int
	}{
		"nothing at the start":         {func(*allowance.Budget) {}, 0, 0},
		"the extra's part grows":       {func(*allowance.Budget) {}, 5 * second, 7},
		"the whole part":               {func(*allowance.Budget) {}, 20 * second, 15},
		"earned by requests":           {func(a *allowance.Budget) { requests(a, 20*second, 100) }, 20 * second, 32},
		"requests of long ago":         {func(a *allowance.Budget) { requests(a, 20*second, 100) }, 31 * second, 15},
		"spent within the window":      {func(a *allowance.Budget) { spend(a, 20*second, 3) }, 29 * second, 0},
		"spent before it":              {func(a *allowance.Budget) { spend(a, 20*second, 3) }, 30*second + second/2, 15},
		"another service is its own":   {func(a *allowance.Budget) { a.Spend(20*second, "other", 3) }, 20 * second, 15},
		"a pause of more than windows": {func(a *allowance.Budget) { spend(a, 20*second, 3) }, 1000 * second, 15},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := allowance.New(rule, 0)
			tc.do(a)
			if got := spend(a, tc.at, 3); got != tc.want {
				t.Errorf("%d repeats, want %d", got, tc.want)
			}
		})
	}
}

func requests(a *allowance.Budget, at time.Duration, n int) {
	for range n {
		a.CountRequest(at, "desk")
	}
}

// TestFleetKeepsTheRule lets routers that do not hear each other see requests
// and want repeats at random times, some starting anew meanwhile, and checks
// every sliding window of the whole fleet.
func TestFleetKeepsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		var fleet [routers]*allowance.Budget
		for i := range fleet {
			fleet[i] = allowance.New(rule, 0)
		}
		var asked, repeated []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			i := rapid.IntRange(0, routers-1).Draw(t, "router")
			if rapid.IntRange(0, 99).Draw(t, "restart") == 0 {
				fleet[i] = allowance.New(rule, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				fleet[i].CountRequest(now, "desk")
				asked = append(asked, now)
			}
			for range rapid.IntRange(0, 8).Draw(t, "repeats") {
				if fleet[i].Spend(now, "desk", routers) {
					repeated = append(repeated, now)
				}
			}
		}
		for _, from := range repeated {
			n, m := within(repeated, from), within(asked, from)
			before := within(asked, from-rule.Window)
			if float64(n) > rule.Ratio*float64(max(m, before))+rule.Extra {
				t.Fatalf("from %v: %d repeats for %d requests, %d in the window before", from, n, m, before)
			}
		}
	})
}

func within(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+rule.Window {
			n++
		}
	}
	return n
}
