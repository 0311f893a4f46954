package admit

import (
	"testing"
	"time"
)

// TestSimilarPlainServersShareRequests: of two idle plain servers one must not get all requests because of a
// difference of some milliseconds, which callers do not notice; a clearly slower one must get fewer.
func TestSimilarPlainServersShareRequests(t *testing.T) {
	tests := map[string]struct {
		first, second time.Duration
		shared        bool
	}{
		"the same":                     {time.Millisecond, time.Millisecond, true},
		"unknown":                      {0, 0, true},
		"one is unknown":               {0, 8 * time.Millisecond, true},
		"some milliseconds":            {time.Millisecond, 9 * time.Millisecond, true},
		"a third longer":               {60 * time.Millisecond, 80 * time.Millisecond, true},
		"many milliseconds":            {time.Millisecond, 30 * time.Millisecond, false},
		"twice as long, and over both": {60 * time.Millisecond, 120 * time.Millisecond, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Router{Address: "r", Zone: "z"})
			c.Step(time.Second, TableUpdate{Table: softwareTable(map[string]string{"a": "", "b": ""})})
			servers := c.service("reader").servers
			for i, expected := range []time.Duration{tc.first, tc.second} {
				servers[i].Zone = "z"
				servers[i].plainEstimate = plainEstimate{response: expected, statedAt: c.now}
			}
			chosen := map[string]int{}
			for range 40 {
				chosen[c.shortestWait(servers).Name]++
			}
			if got := chosen["a"] > 0 && chosen["b"] > 0; got != tc.shared {
				t.Errorf("shared: %v, want %v: %v", got, tc.shared, chosen)
			}
		})
	}
}
