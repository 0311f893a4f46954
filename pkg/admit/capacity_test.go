package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Processor time of a processed and of a refused request.
const (
	processCost = 900 * time.Microsecond
	refusalCost = 250 * time.Microsecond
)

// simulateRouter runs a router with a fraction of a processor at a request rate. It returns the
// rate of processed requests and the mean processing lag after an initial period.
func simulateRouter(processor, perSecond float64, duration time.Duration) (processed float64, lag time.Duration) {
	const step = 50 * time.Millisecond
	const settleTime = 2 * time.Second
	e := admit.NewCapacityEstimator(processor)
	backlog, sum, steps, remainder := 0.0, 0.0, 0, 0.0
	key := wire.HashName("moka")
	plan := e.Plan(step, nil, 0, false)
	for now := time.Duration(0); now < duration; now += step {
		arrived := perSecond*step.Seconds() + remainder
		remainder = arrived - math.Floor(arrived)
		arrived = math.Floor(arrived)
		admitted := min(arrived, plan.PerAccount*step.Seconds(), float64(plan.Burst))
		backlog += admitted*processCost.Seconds() + (arrived-admitted)*refusalCost.Seconds()
		backlog = max(0, backlog-processor*step.Seconds())
		delaySeconds := backlog / processor
		e.ObserveLag(now, time.Duration(delaySeconds*float64(time.Second)))
		plan = e.Plan(step, map[wire.NameHash]int{key: int(arrived)}, int(arrived-admitted), false)
		if now >= settleTime {
			processed += admitted
			sum += delaySeconds
			steps++
		}
	}
	return processed / (duration - settleTime).Seconds(), time.Duration(sum / float64(steps) * float64(time.Second))
}

// TestEstimatorUsesProcessor: an overloaded router must use nearly all of its processor time
// with little lag.
func TestEstimatorUsesProcessor(t *testing.T) {
	const processor = 0.19
	for name, perSecond := range map[string]float64{"slight overload": 250, "twice the capacity": 400, "heavy overload": 600} {
		t.Run(name, func(t *testing.T) {
			capacity := (processor - perSecond*refusalCost.Seconds()) / (processCost - refusalCost).Seconds()
			processed, lag := simulateRouter(processor, perSecond, 20*time.Second)
			t.Logf("processes %.0f of %.0f requests per second, capacity %.0f, lag %v", processed, perSecond, capacity, lag)
			if processed < 0.85*capacity {
				t.Errorf("processes %.0f requests per second, capacity %.0f", processed, capacity)
			}
			if lag > 40*time.Millisecond {
				t.Errorf("mean lag %v", lag)
			}
		})
	}
}

// TestPlanForwardsExcess: a router must forward what exceeds its capacity of about 330 requests
// per second, if there are other routers.
func TestPlanForwardsExcess(t *testing.T) {
	tests := map[string]struct {
		arrived    int
		canForward bool
		// perAccount and forward are the bounds of the plan's rates.
		perAccount, forward [2]float64
	}{
		"within capacity":            {200, true, [2]float64{math.Inf(1), math.Inf(1)}, [2]float64{0, 0}},
		"at capacity":                {320, true, [2]float64{300, math.Inf(1)}, [2]float64{0, 10}},
		"twice the capacity":         {660, true, [2]float64{150, 250}, [2]float64{400, 520}},
		"more than can be forwarded": {5000, true, [2]float64{60, 90}, [2]float64{700, 900}},
		"alone":                      {660, false, [2]float64{300, 340}, [2]float64{0, 0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := admit.NewCapacityEstimator(0.192)
			key := wire.HashName("moka")
			var plan admit.AdmissionPlan
			for range 8 {
				plan = e.Plan(time.Second, map[wire.NameHash]int{key: tc.arrived}, 0, tc.canForward)
				if plan.Forward < 0 {
					t.Fatalf("Forward is %.1f", plan.Forward)
				}
				e.ObserveLag(0, 13*time.Millisecond)
			}
			if plan.PerAccount < tc.perAccount[0] || plan.PerAccount > tc.perAccount[1] || plan.Forward < tc.forward[0] || plan.Forward > tc.forward[1] {
				t.Errorf("plan admits %.0f requests per second of an account and forwards %.0f", plan.PerAccount, plan.Forward)
			}
		})
	}
}
