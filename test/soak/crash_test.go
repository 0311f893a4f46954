package main

import "testing"

// TestCheckCrashes checks the limit on crashes, with and without routers that restart.
func TestCheckCrashes(t *testing.T) {
	tests := map[string]struct {
		crashes   int64
		plan      []Step
		violation bool
	}{
		"none":                            {0, nil, false},
		"three":                           {3, nil, false},
		"four":                            {4, nil, true},
		"four, a router restarts":         {4, []Step{{Fault: Kill}}, false},
		"four, a worker restarts":         {4, []Step{{Fault: WorkerRestart}}, true},
		"six, routers restart and resume": {6, []Step{{Fault: Stop}, {Fault: Pause}}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &checker{}
			c.checkCrashes(tc.crashes, tc.plan)
			if got := len(c.violations) > 0; got != tc.violation {
				t.Errorf("violation: got %v", got)
			}
		})
	}
}
