package main

import "testing"

// TestCheckDeadly counts workers that ended under one request against what may be.
func TestCheckDeadly(t *testing.T) {
	tests := map[string]struct {
		ends   int64
		plan   []Step
		breach bool
	}{
		"none":                          {0, nil, false},
		"three":                         {3, nil, false},
		"four":                          {4, nil, true},
		"four, a router starts again":   {4, []Step{{Fault: Kill}}, false},
		"four, a worker starts again":   {4, []Step{{Fault: WorkerReborn}}, true},
		"six, routers stop and wake up": {6, []Step{{Fault: Stop}, {Fault: Pause}}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			j := &checker{}
			j.checkCrashes(tc.ends, tc.plan)
			if got := len(j.violations) > 0; got != tc.breach {
				t.Errorf("a breach: %v", got)
			}
		})
	}
}
