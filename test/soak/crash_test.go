package main

import (
	"testing"
	"time"
)

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
			c.checkCrashes(tc.crashes, tc.plan, defaultRouters)
			if got := len(c.violations) > 0; got != tc.violation {
				t.Errorf("violation: got %v", got)
			}
		})
	}
}

// TestCheckPart checks the limit on late requests with the crashing part, with and without routers that restart.
func TestCheckPart(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		late      int
		plan      []Step
		violation bool
	}{
		"none":                          {0, nil, false},
		"three":                         {3, nil, false},
		"four":                          {4, nil, true},
		"four, a router restarts later": {4, []Step{{Fault: Kill, At: 12 * time.Second}}, false},
		"four, a router restarts just before the fifth crash": {4, []Step{{Fault: Kill, At: 8 * time.Second}}, false},
		"four, a router restarts long before the fifth crash": {4, []Step{{Fault: Kill, At: 2 * time.Second}}, true},
		"five, a router restarts and a worker":                {5, []Step{{Fault: Kill, At: 12 * time.Second}, {Fault: WorkerRestart, At: 12 * time.Second}}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &checker{}
			c.checkPart(&partRecord{crashes: 6, fifthAt: start.Add(10 * time.Second), late: tc.late}, start, tc.plan, defaultRouters)
			if got := len(c.violations) > 0; got != tc.violation {
				t.Errorf("violation: got %v", got)
			}
		})
	}
}
