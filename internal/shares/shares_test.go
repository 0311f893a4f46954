package shares_test

import (
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/shares"
)

const window = 6

// timeline returns a window in which the account moka asks for demand and begins started in each interval, and another
// account begins best.
func timeline(demand, started, best float64) shares.Timeline {
	t := shares.Timeline{}
	for n := range int64(window) {
		in := t.At(n)
		in.Demand["moka"], in.Started["moka"], in.Waiting["moka"] = demand, started, true
		in.Demand["best"], in.Started["best"] = best, best
	}
	return t
}

func TestUnfairShares(t *testing.T) {
	tests := map[string]struct {
		demand, started, best, largest float64
		want                           bool
	}{
		"half of the best served":           {100, 50, 100, 0, false},
		"less than half":                    {100, 49, 100, 0, true},
		"half of its demand":                {60, 30, 100, 0, false},
		"less than half of its demand":      {60, 29, 100, 0, true},
		"less by three requests at most":    {100, 40, 100, 20, false},
		"less by more than three requests":  {100, 39, 100, 20, true},
		"nothing, but demand is very small": {20, 0, 100, 20, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lowest := timeline(tc.demand, tc.started, tc.best).Lowest(window)
			if len(lowest) != 1 || lowest[0].Account != "moka" || lowest[0].IsUnfair(tc.largest) != tc.want {
				t.Errorf("%+v, unfair: want %v", lowest, tc.want)
			}
		})
	}
}

func TestAccountWaitsInEveryInterval(t *testing.T) {
	once := timeline(100, 0, 100)
	delete(once.At(3).Waiting, "moka")
	gap := timeline(100, 0, 100)
	delete(gap, 3)
	for name, tl := range map[string]shares.Timeline{"not in one interval": once, "an interval is missing": gap} {
		t.Run(name, func(t *testing.T) {
			if lowest := tl.Lowest(window); len(lowest) != 0 {
				t.Errorf("%+v, want none", lowest)
			}
		})
	}
}
