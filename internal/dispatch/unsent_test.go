package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// vanishingSource is a platform whose only backend server vanishes from the directory.
type vanishingSource struct {
	singleServerSource
	vanish chan struct{}
}

func (s vanishingSource) Watch(ctx context.Context, _ catalog.Revision, _ time.Duration) (catalog.Update, error) {
	select {
	case <-s.vanish:
		return catalog.Update{AsOf: 6, Servers: []catalog.Server{{Revision: 6, Gone: true, Backend: table.Backend{Name: "i-0"}}}}, nil
	case <-ctx.Done():
		return catalog.Update{}, ctx.Err()
	}
}

func (vanishingSource) Revision(context.Context) (catalog.Revision, error) {
	return catalog.Revision{Number: 6}, nil
}

// TestUnsentRequestIsNotAccused: the crash of a backend server must not be counted against a request of which no byte was
// sent to it, but against one that was sent.
func TestUnsentRequestIsNotAccused(t *testing.T) {
	gone := verdict.New(verdict.PhaseDial, 499, "caller-gone", "")
	unreachable := verdict.New(verdict.PhaseDial, 502, "backend-unreachable", "")
	tests := map[string]struct {
		usage     front.Usage
		saturated bool
		suspects  int
	}{
		"canceled before it was sent":    {front.Usage{Error: gone}, false, 0},
		"unreachable":                    {front.Usage{Error: unreachable, Unreachable: true}, false, 0},
		"unreachable at a router in lag": {front.Usage{Error: unreachable, Unreachable: true}, true, 0},
		"canceled after it was sent":     {front.Usage{Error: gone, Sent: true}, false, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			source := vanishingSource{vanish: make(chan struct{})}
			d := New(Identity{Name: "r-0", Address: "r-0", Zone: "a", Incarnation: 1}, source, testTransport{make(chan peer.Inbound)}, WithLogger(slog.New(slog.DiscardHandler)))
			d.Start()
			t.Cleanup(d.Close)
			waitFor(t, "a table", func() bool { return d.Table() != nil })
			grant, err := d.Acquire(t.Context(), front.Request{Model: "reader", Deadline: time.Now().Add(testTimeout)})
			if err != nil {
				t.Fatal(err)
			}
			d.shared.saturated.Store(tc.saturated)
			tc.usage.Digest = func() uint64 { return 7 }
			d.Release(grant, tc.usage)
			close(source.vanish)
			waitFor(t, "the removal", func() bool { return d.Status().AsOf == 6 })
			if n := d.Status().SuspectCount; n != tc.suspects {
				t.Errorf("crashes are counted under %d requests, want %d", n, tc.suspects)
			}
		})
	}
}
