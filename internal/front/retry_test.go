package front

import (
	"testing"
	"time"
)

// TestRetryDelay checks that random retry delays are within the expected range and spread over
// it.
func TestRetryDelay(t *testing.T) {
	tests := map[string]struct{ remaining, low, high time.Duration }{
		"long":    {12 * time.Second, 2 * time.Second, 4 * time.Second},
		"short":   {3 * time.Second, 500 * time.Millisecond, time.Second},
		"distant": {time.Hour, 2500 * time.Millisecond, 5 * time.Second},
		"zero":    {0, time.Millisecond, time.Millisecond},
		"past":    {-time.Second, time.Millisecond, time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lowest, highest := time.Hour, time.Duration(0)
			for range 1000 {
				got := RetryDelay(tc.remaining)
				lowest, highest = min(lowest, got), max(highest, got)
			}
			if lowest < tc.low || highest > tc.high {
				t.Errorf("delays from %v to %v, want from %v to %v", lowest, highest, tc.low, tc.high)
			}
			if tc.high > time.Millisecond && highest-lowest < (tc.high-tc.low)/2 {
				t.Errorf("delays spread only from %v to %v", lowest, highest)
			}
		})
	}
}
