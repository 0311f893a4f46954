package front

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestBatchDelay checks that events are batched only while saturated, within the maximum event
// delay and the route's pause.
func TestBatchDelay(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	tests := map[string]struct {
		saturated func() bool
		pause     time.Duration
		want      time.Duration
	}{
		"no signal":     {nil, 0, 0},
		"not saturated": {no, 400 * time.Millisecond, 0},
		"saturated":     {yes, 400 * time.Millisecond, 60 * time.Millisecond},
		"short pause":   {yes, 100 * time.Millisecond, 25 * time.Millisecond},
		"pause unknown": {yes, 0, 60 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Server{}
			s.SetCallerLimits(CallerLimits{MaxEventDelay: 180 * time.Millisecond})
			got := time.Duration(0)
			if delay := s.batchDelay(&routeState{Route: &table.Route{TargetGap: tc.pause}}, tc.saturated); delay != nil {
				got = delay()
			}
			if got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
