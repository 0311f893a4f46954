package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestAdmissionUsesLowerLimit guards against multiplying the limits by account share and by
// processor time: the lower one must apply, and each refusal must name its cause.
func TestAdmissionUsesLowerLimit(t *testing.T) {
	const requests = 20_000
	tests := map[string]struct {
		share, inTime float64
		// want is the admitted fraction, over and late the fractions refused for the
		// account's share and for lack of processor time.
		want, over, late float64
	}{
		"neither":                    {1, 1, 1, 0, 0},
		"over its share":             {0.2, 1, 0.2, 0.8, 0},
		"processor time":             {1, 0.3, 0.3, 0, 0.7},
		"both, share lower":          {0.2, 0.3, 0.2, 0.8, 0},
		"both, processor time lower": {0.4, 0.25, 0.25, 0.6, 0.15},
		"both equal":                 {0.5, 0.5, 0.5, 0.5, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{opt: options{clock: clock.System(), random: rand.New(rand.NewPCG(1, 1)).Float64}, admission: newAdmission()}
			key := wire.HashName("moka")
			storeFractions(&d.admission.fractions, map[wire.NameHash]float64{key: tc.share})
			d.admission.counters[key] = &accountCounter{budget: tc.inTime * requests}
			in, codes := 0, map[string]int{}
			for range requests {
				err := d.CheckAdmission(front.Request{Account: "moka", Prompt: 10})
				if err == nil {
					in++
					continue
				}
				codes[err.Code]++
				if err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
					t.Fatalf("refused with verdict %v, Retry-After %v", err.Verdict, err.RetryAfter)
				}
			}
			// The tolerance is ten standard deviations.
			for what, x := range map[string][2]float64{
				"admitted": {float64(in) / requests, tc.want}, "over-share": {float64(codes["over-share"]) / requests, tc.over}, "overloaded": {float64(codes["overloaded"]) / requests, tc.late},
			} {
				if math.Abs(x[0]-x[1]) > 0.035 {
					t.Errorf("%s: %.3f, want %.3f", what, x[0], x[1])
				}
			}
			if len(codes) > 2 || codes["over-share"]+codes["overloaded"] != requests-in {
				t.Errorf("refusals by code: %v", codes)
			}
		})
	}
}

// TestAdmissionBoundsBurst checks that a burst between two plans is admitted only up to the
// plan's budget.
func TestAdmissionBoundsBurst(t *testing.T) {
	const maxBurst = 40
	d := &Dispatcher{opt: options{clock: clock.System(), random: rand.Float64}, admission: newAdmission()}
	d.admission.budget = maxBurst
	in := 0
	for range 1000 {
		if d.CheckAdmission(front.Request{Account: "moka", Prompt: 10}) == nil {
			in++
		}
	}
	if in != maxBurst {
		t.Errorf("%d requests were admitted at once, want %d", in, maxBurst)
	}
}

// TestMayForward checks that requests are forwarded within the plan's budget, and that
// forwarded requests are not counted as refused.
func TestMayForward(t *testing.T) {
	const requests, admitted, forwardBudget = 100, 10, 30
	d := &Dispatcher{opt: options{clock: clock.System(), random: rand.Float64}, admission: newAdmission()}
	key := wire.HashName("moka")
	d.admission.counters[key] = &accountCounter{budget: admitted}
	d.admission.forwardBudget = forwardBudget
	handed := 0
	for range requests {
		r := front.Request{Account: "moka", Prompt: 10}
		if err := d.CheckAdmission(r); err != nil && d.MayForward(r) {
			handed++
		}
	}
	got := d.admission.counters[key]
	if handed != forwardBudget || got.forwarded != forwardBudget || got.refused != requests-admitted-forwardBudget || got.tokens != 10*(requests-admitted-forwardBudget) {
		t.Errorf("%d requests forwarded, counters %+v", handed, *got)
	}
	if d.admission.refusedTotal.Load() != requests-admitted-forwardBudget {
		t.Errorf("%d requests counted as refused", d.admission.refusedTotal.Load())
	}
	if d.MayForward(front.Request{Account: "nobody"}) {
		t.Error("a request without an admission check is forwarded")
	}
}
