package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// What requests cost the router of TestPaceUsesTheProcessor: one that is worked
// on, and one that is refused unseen.
const (
	workedOn = 900 * time.Microsecond
	refused  = 250 * time.Microsecond
)

// paced runs a router that has a part of a processor, and to which so many
// requests come a second, and returns how many it works on a second and how late
// it is on average, after two seconds to settle.
func paced(processor, perSecond float64, runs time.Duration) (worked float64, late time.Duration) {
	const step = 50 * time.Millisecond
	const settles = 2 * time.Second
	p := admit.NewCapacityEstimator(processor)
	backlog, sum, steps, left := 0.0, 0.0, 0, 0.0
	key := wire.HashName("moka")
	plan := p.Plan(step, nil, 0, false)
	for now := time.Duration(0); now < runs; now += step {
		come := perSecond*step.Seconds() + left
		left = come - math.Floor(come)
		come = math.Floor(come)
		in := min(come, plan.PerAccount*step.Seconds(), float64(plan.Burst))
		backlog += in*workedOn.Seconds() + (come-in)*refused.Seconds()
		backlog = max(0, backlog-processor*step.Seconds())
		waits := backlog / processor
		p.ObserveDelay(now, time.Duration(waits*float64(time.Second)))
		plan = p.Plan(step, map[wire.NameHash]int{key: int(come)}, int(come-in), false)
		if now >= settles {
			worked += in
			sum += waits
			steps++
		}
	}
	return worked / (runs - settles).Seconds(), time.Duration(sum / float64(steps) * float64(time.Second))
}

// TestPaceUsesTheProcessor has more requests come than a router can work on: it is
// to use nearly all of its time, and to be little late.
func TestPaceUsesTheProcessor(t *testing.T) {
	const processor = 0.19
	for name, perSecond := range map[string]float64{"a little too many": 250, "twice as many": 400, "a flood": 600} {
		t.Run(name, func(t *testing.T) {
			can := (processor - perSecond*refused.Seconds()) / (workedOn - refused).Seconds()
			worked, late := paced(processor, perSecond, 20*time.Second)
			t.Logf("works on %.0f of %.0f a second, can on %.0f; late by %v", worked, perSecond, can, late)
			if worked < 0.85*can {
				t.Errorf("it works on %.0f requests a second, and can on %.0f", worked, can)
			}
			if late > 40*time.Millisecond {
				t.Errorf("it is late by %v", late)
			}
		})
	}
}

// TestPlanHandsOnWhatItCannotWorkOn has a router that works on some 330 requests a second
// plan for what comes, alone and with others beside it.
func TestPlanHandsOnWhatItCannotWorkOn(t *testing.T) {
	tests := map[string]struct {
		come   int
		others bool
		// each and forward are the least and the most of the plan's rates.
		each, forward [2]float64
	}{
		"time for all":               {200, true, [2]float64{math.Inf(1), math.Inf(1)}, [2]float64{0, 0}},
		"just at its limit":          {320, true, [2]float64{300, math.Inf(1)}, [2]float64{0, 10}},
		"twice as much":              {660, true, [2]float64{150, 250}, [2]float64{400, 520}},
		"more than can be handed on": {5000, true, [2]float64{60, 90}, [2]float64{700, 900}},
		"alone":                      {660, false, [2]float64{300, 340}, [2]float64{0, 0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := admit.NewCapacityEstimator(0.192)
			key := wire.HashName("moka")
			var plan admit.AdmissionPlan
			for range 8 {
				plan = p.Plan(time.Second, map[wire.NameHash]int{key: tc.come}, 0, tc.others)
				if plan.Forward < 0 {
					t.Fatalf("%.1f are handed on", plan.Forward)
				}
				p.ObserveDelay(0, 13*time.Millisecond)
			}
			if plan.PerAccount < tc.each[0] || plan.PerAccount > tc.each[1] || plan.Forward < tc.forward[0] || plan.Forward > tc.forward[1] {
				t.Errorf("%.0f of an account are worked on and %.0f handed on a second", plan.PerAccount, plan.Forward)
			}
		})
	}
}
