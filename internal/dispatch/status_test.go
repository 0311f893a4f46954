package dispatch

import (
	"log/slog"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestVerifiedMillisAgo guards against reporting the start of the clock as the last verification.
func TestVerifiedMillisAgo(t *testing.T) {
	read := func(s *state, readAt time.Duration) {
		updateEvent{Update: catalog.Update{Epoch: 1, AsOf: 4, Table: &table.Table{Revision: 4}}, readAt: readAt}.apply(s)
	}
	tests := map[string]struct {
		do func(s *state)
		// want is the age 3 s after the start.
		want time.Duration
	}{
		"nothing known":              {func(*state) {}, 3 * time.Second},
		"not verified":               {func(s *state) { read(s, 0) }, 3 * time.Second},
		"verified at 2 s":            {func(s *state) { read(s, clockStart+2*time.Second) }, time.Second},
		"verified before the start":  {func(s *state) { s.d.recordVerified(clockStart - time.Second) }, 4 * time.Second},
		"verified at once":           {func(s *state) { read(s, clockStart) }, 3 * time.Second},
		"verified at the last event": {func(s *state) { read(s, clockStart+3*time.Second) }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "x"}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.DiscardHandler))))
			tc.do(s)
			s.now = clockStart + 3*time.Second
			s.publishStatus()
			if got := time.Duration(s.d.Status().VerifiedMillisAgo) * time.Millisecond; got != tc.want {
				t.Errorf("verified %v ago, want %v", got, tc.want)
			}
		})
	}
}
