package backend

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// TestMayLeave decides by how long an answer and its backend server have been
// silent, both in milliseconds.
func TestMayLeave(t *testing.T) {
	always := func() bool { return true }
	both := Failover{FirstByteTimeout: 800 * time.Millisecond, EventTimeout: 500 * time.Millisecond, AcquireRetry: always}
	tests := map[string]struct {
		patience Failover
		began    bool
		own, all time.Duration
		want     bool
	}{
		"nothing yet, others go on":          {both, false, 5000, 10, false},
		"nothing yet, others silent too":     {both, false, 900, 850, true},
		"nothing yet, for a short time":      {both, false, 700, 700, false},
		"nothing yet, others were never":     {both, false, 900, 1e9, true},
		"nothing yet, no bound":              {Failover{EventTimeout: 1, AcquireRetry: always}, false, 5000, 5000, false},
		"between events, others go on":       {both, true, 700, 10, false},
		"between events, hung for long":      {both, true, 1000, 10, true},
		"between events, all silent":         {both, true, 600, 600, true},
		"between events, others silent only": {both, true, 100, 900, false},
		"between events, no bound":           {Failover{FirstByteTimeout: 1, AcquireRetry: always}, true, 5000, 5000, false},
		"no other may be tried":              {Failover{FirstByteTimeout: 1, EventTimeout: 1}, true, 5000, 5000, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			s := &silence{patience: tc.patience, hearing: &hearing{since: now.Add(-tc.all * time.Millisecond)}}
			s.began.Store(tc.began)
			if got := s.mayLeave(tc.own*time.Millisecond, now); got != tc.want {
				t.Errorf("may leave: %v", got)
			}
		})
	}
}

// TestHearingsAreForgotten looks that nothing is kept of backend servers with
// which there is no exchange.
func TestHearingsAreForgotten(t *testing.T) {
	hs := hearings{clock: clock.System(), by: map[string]*hearing{}}
	a, b := hs.use("x"), hs.use("x")
	if a != b {
		t.Error("two exchanges with one backend server do not share what is heard")
	}
	hs.leave("x", a)
	if len(hs.by) != 1 {
		t.Error("forgotten while in use")
	}
	hs.leave("x", b)
	if len(hs.by) != 0 {
		t.Error("kept for ever")
	}
}
