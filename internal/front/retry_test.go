package front

import (
	"testing"
	"time"
)

// TestRetryLater draws often when callers are to come back: spread, not soon, and
// while there is time to answer them.
func TestRetryLater(t *testing.T) {
	tests := map[string]struct{ left, from, upTo time.Duration }{
		"long":     {12 * time.Second, 2 * time.Second, 4 * time.Second},
		"short":    {3 * time.Second, 500 * time.Millisecond, time.Second},
		"for ever": {time.Hour, 2500 * time.Millisecond, 5 * time.Second},
		"no time":  {0, time.Millisecond, time.Millisecond},
		"past":     {-time.Second, time.Millisecond, time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			least, most := time.Hour, time.Duration(0)
			for range 1000 {
				got := RetryDelay(tc.left)
				least, most = min(least, got), max(most, got)
			}
			if least < tc.from || most > tc.upTo {
				t.Errorf("from %v to %v, want from %v to %v", least, most, tc.from, tc.upTo)
			}
			if tc.upTo > time.Millisecond && most-least < (tc.upTo-tc.from)/2 {
				t.Errorf("not spread: from %v to %v", least, most)
			}
		})
	}
}
