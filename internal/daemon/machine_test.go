package daemon

import "testing"

// TestGCPercentFor checks the GC percentage and its bounds.
func TestGCPercentFor(t *testing.T) {
	tests := map[string]struct {
		memoryMB int64
		want     int
	}{
		"tiny":   {16, 75},
		"small":  {112, 112},
		"middle": {184, 184},
		"large":  {536, 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := gcPercentFor(tc.memoryMB); got != tc.want {
				t.Errorf("%d MB: %d percent, want %d", tc.memoryMB, got, tc.want)
			}
		})
	}
}
