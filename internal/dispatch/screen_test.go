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

// TestScreenTakesTheLesserPart asks often for an account of which a part is within
// its share and this router has time for a part: as much is let in as the lesser
// of both, and each refusal says which of them it was.
func TestScreenTakesTheLesserPart(t *testing.T) {
	const asks = 20_000
	tests := map[string]struct {
		share, inTime float64
		// want is the part that is let in, over and late those that are refused as
		// over their share and for want of time.
		want, over, late float64
	}{
		"neither":         {1, 1, 1, 0, 0},
		"over its share":  {0.2, 1, 0.2, 0.8, 0},
		"no time":         {1, 0.3, 0.3, 0, 0.7},
		"both, share":     {0.2, 0.3, 0.2, 0.8, 0},
		"both, no time":   {0.4, 0.25, 0.25, 0.6, 0.15},
		"both, all alike": {0.5, 0.5, 0.5, 0.5, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{opt: options{clock: clock.System(), draw: rand.New(rand.NewPCG(1, 1)).Float64}, screen: newScreen()}
			key := wire.HashName("moka")
			store(&d.screen.parts, map[wire.NameHash]float64{key: tc.share})
			d.screen.tallies[key] = &tally{left: tc.inTime * asks}
			in, codes := 0, map[string]int{}
			for range asks {
				err := d.CheckAdmission(front.Request{Account: "moka", Prompt: 10})
				if err == nil {
					in++
					continue
				}
				codes[err.Code]++
				if err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
					t.Fatalf("refused with %v, come back after %v", err.Verdict, err.RetryAfter)
				}
			}
			// Ten standard deviations of the drawing are 0.035 at the most.
			for what, x := range map[string][2]float64{
				"let in": {float64(in) / asks, tc.want}, "over-share": {float64(codes["over-share"]) / asks, tc.over}, "overloaded": {float64(codes["overloaded"]) / asks, tc.late},
			} {
				if math.Abs(x[0]-x[1]) > 0.035 {
					t.Errorf("%s: %.3f, want %.3f", what, x[0], x[1])
				}
			}
			if len(codes) > 2 || codes["over-share"]+codes["overloaded"] != asks-in {
				t.Errorf("refused as %v", codes)
			}
		})
	}
}

// TestScreenBoundsABurst has many requests come before a plan was made of what this
// router has time for: the rate of a moment is let in, and the rest refused.
func TestScreenBoundsABurst(t *testing.T) {
	const most = 40
	d := &Dispatcher{opt: options{clock: clock.System(), draw: rand.Float64}, screen: newScreen()}
	d.screen.left = most
	in := 0
	for range 1000 {
		if d.CheckAdmission(front.Request{Account: "moka", Prompt: 10}) == nil {
			in++
		}
	}
	if in != most {
		t.Errorf("%d requests were let in at once, want %d", in, most)
	}
}

// TestMayForward has a router hand on what it has no time for, as far as its plan goes: a
// request that is handed on is counted by the router that takes it, not here.
func TestMayForward(t *testing.T) {
	const asks, let, forwards = 100, 10, 30
	d := &Dispatcher{opt: options{clock: clock.System(), draw: rand.Float64}, screen: newScreen()}
	key := wire.HashName("moka")
	d.screen.tallies[key] = &tally{left: let}
	d.screen.forwards = forwards
	handed := 0
	for range asks {
		r := front.Request{Account: "moka", Prompt: 10}
		if err := d.CheckAdmission(r); err != nil && d.MayForward(r) {
			handed++
		}
	}
	got := d.screen.tallies[key]
	if handed != forwards || got.forwarded != forwards || got.refused != asks-let-forwards || got.tokens != 10*(asks-let-forwards) {
		t.Errorf("%d handed on, counted %+v", handed, *got)
	}
	if d.screen.count.Load() != asks-let-forwards {
		t.Errorf("%d counted as refused", d.screen.count.Load())
	}
	if d.MayForward(front.Request{Account: "nobody"}) {
		t.Error("a request that was not screened is handed on")
	}
}
