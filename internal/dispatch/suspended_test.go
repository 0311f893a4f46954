package dispatch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/front"
)

// TestSlotExpiresDuringSuspension guards against sending a request after a suspension, when the
// owner may have granted its slot to another one.
func TestSlotExpiresDuringSuspension(t *testing.T) {
	tests := map[string]struct {
		duration time.Duration
		want     bool
	}{
		"none":   {0, true},
		"200 ms": {200 * time.Millisecond, true},
		"4 s":    {4 * time.Second, false},
		"1 min":  {time.Minute, false},
		"1 h":    {time.Hour, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			started := time.Now()
			var suspended atomic.Int64
			c := clock.New(clock.WithBootClock(func() (time.Duration, error) { return time.Since(started) + time.Duration(suspended.Load()), nil }))
			d, _ := startDispatcher(t, WithClock(c))
			g, err := d.Acquire(t.Context(), front.Request{Model: "reader", Deadline: c.Now().Add(2 * time.Hour)})
			if err != nil {
				t.Fatal(err)
			}
			suspended.Store(int64(tc.duration))
			c.CheckSuspension()
			if got := g.MayStart(); got != tc.want {
				t.Errorf("MayStart() = %v", got)
			}
		})
	}
}
