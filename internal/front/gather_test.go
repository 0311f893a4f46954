package front

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestGatherFor looks for how long events are gathered: only where there is no time,
// and within what the caller and the route allow.
func TestGatherFor(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	tests := map[string]struct {
		hurried func() bool
		pause   time.Duration
		want    time.Duration
	}{
		"nobody asks":   {nil, 0, 0},
		"in time":       {no, 400 * time.Millisecond, 0},
		"no time":       {yes, 400 * time.Millisecond, 60 * time.Millisecond},
		"short pauses":  {yes, 100 * time.Millisecond, 25 * time.Millisecond},
		"pause unknown": {yes, 0, 60 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Server{}
			s.SetCallerLimits(CallerLimits{MaxEventDelay: 180 * time.Millisecond})
			got := time.Duration(0)
			if gather := s.gatherFor(&routing{Route: &table.Route{TargetGap: tc.pause}}, tc.hurried); gather != nil {
				got = gather()
			}
			if got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
