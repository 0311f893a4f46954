package front

import (
	"testing"
	"time"
)

// TestIsLate looks which requests have used their target up before they came.
func TestIsLate(t *testing.T) {
	const target = 400 * time.Millisecond
	type came struct {
		after, wait time.Duration
		late        bool
	}
	tests := map[string][]came{
		"the first":                   {{0, 12 * time.Second, false}},
		"all alike":                   {{0, 12 * time.Second, false}, {time.Second, 12 * time.Second, false}},
		"came back soon":              {{0, 12 * time.Second, false}, {time.Second, 11700 * time.Millisecond, false}},
		"came back late":              {{0, 12 * time.Second, false}, {time.Second, 9 * time.Second, true}},
		"others ceased to wait so":    {{0, 12 * time.Second, false}, {9 * time.Second, 3 * time.Second, true}, {21 * time.Second, 3 * time.Second, false}},
		"others still did a bit ago":  {{9 * time.Second, 12 * time.Second, false}, {20 * time.Second, 3 * time.Second, true}},
		"waits longer than any other": {{0, 3 * time.Second, false}, {time.Second, 12 * time.Second, false}, {2 * time.Second, 3 * time.Second, true}},
	}
	for name, tries := range tests {
		t.Run(name, func(t *testing.T) {
			u, start := &usualWaits{}, time.Now()
			for i, c := range tries {
				if got := u.isLate(start.Add(c.after), "r", c.wait, target); got != c.late {
					t.Errorf("try %d: late %v, want %v", i, got, c.late)
				}
			}
		})
	}
}
