package backend

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// TestMayFailOver guards against failover while the backend server makes progress. The
// durations are in milliseconds since the last read on the connection and on any connection
// to the backend server.
func TestMayFailOver(t *testing.T) {
	always := func() bool { return true }
	both := Failover{FirstByteTimeout: 800 * time.Millisecond, EventTimeout: 500 * time.Millisecond, AcquireRetry: always}
	tests := map[string]struct {
		failover     Failover
		responding   bool
		conn, server time.Duration
		want         bool
	}{
		"no response, server active":          {both, false, 5000, 10, false},
		"no response, server stalled":         {both, false, 900, 850, true},
		"no response, before the timeout":     {both, false, 700, 700, false},
		"no response, server never active":    {both, false, 900, 1e9, true},
		"no response, no timeout":             {Failover{EventTimeout: 1, AcquireRetry: always}, false, 5000, 5000, false},
		"between events, server active":       {both, true, 700, 10, false},
		"between events, long stall":          {both, true, 1000, 10, true},
		"between events, server stalled":      {both, true, 600, 600, true},
		"between events, only others stalled": {both, true, 100, 900, false},
		"between events, no timeout":          {Failover{FirstByteTimeout: 1, AcquireRetry: always}, true, 5000, 5000, false},
		"failover disabled":                   {Failover{FirstByteTimeout: 1, EventTimeout: 1}, true, 5000, 5000, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			s := &stallDetector{failover: tc.failover, activity: &serverActivity{start: now.Add(-tc.server * time.Millisecond)}}
			s.responding.Store(tc.responding)
			if got := s.mayFailOver(tc.conn*time.Millisecond, now); got != tc.want {
				t.Errorf("mayFailOver returned %v", got)
			}
		})
	}
}

// TestActivityIsReleased checks that no state is kept for backend servers without calls.
func TestActivityIsReleased(t *testing.T) {
	tracker := activityTracker{clock: clock.System(), byServer: map[string]*serverActivity{}}
	a, b := tracker.acquire("x"), tracker.acquire("x")
	if a != b {
		t.Error("two calls to one backend server do not share its activity")
	}
	tracker.release("x", a)
	if len(tracker.byServer) != 1 {
		t.Error("activity removed while in use")
	}
	tracker.release("x", b)
	if len(tracker.byServer) != 0 {
		t.Error("activity kept after the last release")
	}
}
