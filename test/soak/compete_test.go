package main

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// TestCompetitionIsDeterministic checks that a seed always yields the same accounts, and that another one yields others.
func TestCompetitionIsDeterministic(t *testing.T) {
	draw := func(seed uint64) competition { return drawCompetition(seed, defaultRouters) }
	exported := cmp.AllowUnexported(competition{}, competitor{})
	if diff := cmp.Diff(draw(7), draw(7), exported); diff != "" {
		t.Errorf("two competitions of one seed differ:\n%s", diff)
	}
	if cmp.Equal(draw(7), draw(8), exported) {
		t.Error("another seed yields the same competition")
	}
}

// TestSteadyCompetition checks that a steady competition has the same accounts, none of which floods.
func TestSteadyCompetition(t *testing.T) {
	floods := 0
	for seed := range uint64(20) {
		drawn := drawCompetition(seed, defaultRouters)
		steady := drawn.steady()
		for i, c := range steady.competitors {
			want := drawn.competitors[i]
			if want.floodFactor > 0 {
				floods++
			}
			want.floodFactor = 0
			if diff := cmp.Diff(want, c, cmp.AllowUnexported(competitor{})); diff != "" {
				t.Errorf("seed %d: account (-drawn +steady):\n%s", seed, diff)
			}
		}
		if steady.losesWorker || steady.killed != drawn.killed {
			t.Errorf("seed %d: loses a worker: %v; kills %d, want %d", seed, steady.losesWorker, steady.killed, drawn.killed)
		}
	}
	if floods == 0 {
		t.Error("no account floods in any of 20 competitions")
	}
}

// TestShareChecker checks which accounts are found to be starved.
func TestShareChecker(t *testing.T) {
	const perSecond = 20
	start := time.Unix(1e6, 0)
	plan := competition{competitors: []competitor{{name: "best", prompt: 100}, {name: "moka", prompt: 100}}}
	tests := map[string]struct {
		// began is the number of moka's requests that workers begin a second, of perSecond.
		began int
		// first is the time to their first events, refused says that the others are refused.
		first   time.Duration
		refused bool
		// frozen says that a router does not run for a while.
		frozen bool
		want   string
	}{
		"half of the best served":          {10, time.Millisecond, true, false, ""},
		"less than half, and refused":      {9, time.Millisecond, true, false, RuleShare},
		"less than half, and late":         {9, competeTarget + 1, false, false, RuleShare},
		"less than half, but in time":      {9, time.Millisecond, false, false, ""},
		"nothing, a router is frozen":      {0, time.Millisecond, true, true, ""},
		"nothing":                          {0, time.Millisecond, true, false, RuleShare},
		"as much as the best served, late": {20, competeTarget + 1, false, false, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			record := newCompeteRecord(plan, start)
			for at := start; at.Before(start.Add(competeTime)); at = at.Add(time.Second) {
				for n := range perSecond {
					record.addRequest("best", at, time.Millisecond)
					record.addRun(standin.Run{Tenant: "best", At: at})
					switch {
					case n < tc.began:
						record.addRequest("moka", at, tc.first)
						record.addRun(standin.Run{Tenant: "moka", At: at})
					case tc.refused:
						record.addRequest("moka", at, 0)
					default:
						record.addRequest("moka", at, time.Millisecond)
					}
				}
			}
			if tc.frozen {
				record.addFrozen(start.Add(competeSettle+2*time.Second), start.Add(competeSettle+4*time.Second))
			}
			c := &checker{}
			c.checkShares(record)
			if (tc.want == "") != (len(c.violations) == 0) || len(c.violations) > 0 && c.violations[0].Rule != tc.want {
				t.Errorf("violations %v, want %q", c.violations, tc.want)
			}
		})
	}
}
