package dispatch

import (
	"math"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestLateTriesYield asks often for an account of which a part is tried, with tries
// whose target had passed when they came among them: these yield to the others, and as
// many are let in altogether.
func TestLateTriesYield(t *testing.T) {
	const asks = 20_000
	tests := map[string]struct {
		// part is tried, each lateOf-th try is late.
		part   float64
		lateOf int
		// inTime and late are the parts of either kind that are let in.
		inTime, late float64
	}{
		"few of many":           {0.3, 2, 0.6, 0},
		"as many as in time":    {0.5, 2, 1, 0},
		"room for some late":    {0.7, 2, 1, 0.4},
		"a third is late":       {0.4, 3, 0.6, 0},
		"nearly all are let in": {0.9, 2, 1, 0.8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{}
			d.screen.refused = map[wire.Key]float64{}
			key := wire.KeyOf("moka")
			store(&d.screen.parts, map[wire.Key]float64{key: tc.part})
			var in, came [2]float64
			for i := range asks {
				kind := 0
				if i%tc.lateOf == 0 {
					kind = 1
				}
				came[kind]++
				if d.Screen(front.Request{Account: "moka", Prompt: 10, Late: kind == 1}) == nil {
					in[kind]++
				}
				if i%100 == 0 {
					d.screen.fadeComings()
				}
			}
			// Ten standard deviations of the drawing are 0.06 at the most.
			if got := in[0] / came[0]; math.Abs(got-tc.inTime) > 0.06 {
				t.Errorf("%.3f of those in time were let in, want %.3f", got, tc.inTime)
			}
			if got := in[1] / came[1]; math.Abs(got-tc.late) > 0.06 {
				t.Errorf("%.3f of the late were let in, want %.3f", got, tc.late)
			}
		})
	}
}

// TestFloodIsServedInTime has three times as many requests come as can be served, each of
// which comes back once, late, if it is refused: as good as all that are served are in
// time. Where both kinds are drawn alike it is 0.56 of them.
func TestFloodIsServedInTime(t *testing.T) {
	const asks, returnsAfter = 30_000, 200
	d := &Dispatcher{}
	d.screen.refused = map[wire.Key]float64{}
	returning := make([]bool, asks+returnsAfter)
	inTime, late, came := 0, 0, 0
	for i := range asks {
		// The part follows from what came lately.
		part := 1 / 3.0
		if i > returnsAfter {
			part = 0.2
		}
		store(&d.screen.parts, map[wire.Key]float64{wire.KeyOf("moka"): part})
		came++
		if d.Screen(front.Request{Account: "moka", Prompt: 10}) == nil {
			inTime++
		} else {
			returning[i+returnsAfter] = true
		}
		if returning[i] && d.Screen(front.Request{Account: "moka", Prompt: 10, Late: true}) == nil {
			late++
		}
		if i%50 == 0 {
			d.screen.fadeComings()
		}
	}
	if got := float64(inTime) / float64(inTime+late); got < 0.95 {
		t.Errorf("%.2f of what is served is in time: %d of %d, %d late", got, inTime, came, late)
	}
}
