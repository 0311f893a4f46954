package fair_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/fair"
)

// serve charges the next account n times with the cost and returns the service of each
// account.
func serve(q *fair.Queue, n int, cost float64) map[string]float64 {
	got := map[string]float64{}
	for range n {
		a, ok := q.Min()
		if !ok {
			return got
		}
		got[a.Name] += cost
		q.Charge(a.Name, cost)
	}
	return got
}

func TestServiceFollowsWeights(t *testing.T) {
	tests := map[string]struct {
		weights map[string]float64
		want    map[string]float64
	}{
		"equal":       {map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 300, "b": 300}},
		"two to one":  {map[string]float64{"a": 2, "b": 1}, map[string]float64{"a": 400, "b": 200}},
		"tiny weight": {map[string]float64{"a": 5, "b": 1}, map[string]float64{"a": 500, "b": 100}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := fair.New()
			for account, w := range tc.weights {
				q.SetWeight(account, w)
				q.Activate(account, true)
			}
			if diff := cmp.Diff(tc.want, serve(q, 60, 10)); diff != "" {
				t.Errorf("service (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReactivatedAccount checks that idle time earns no credit beyond the current virtual
// time, and that a large debt does not starve an account.
func TestReactivatedAccount(t *testing.T) {
	q := fair.New(fair.WithDebt(50))
	q.Activate("busy", true)
	serve(q, 100, 10)
	q.Activate("idle", true)
	if got := serve(q, 10, 10)["idle"]; got > 60 {
		t.Errorf("an account that was idle got %v of 100 units when it became active", got)
	}
	q.Deactivate("idle")
	q.Charge("idle", 10_000)
	q.Activate("idle", true)
	if got := serve(q, 20, 10)["idle"]; got == 0 {
		t.Error("an account with a large debt got nothing when it became active")
	}
}
