package clock_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// fakeMachine simulates suspensions: the boot clock advances and the monotonic clock does not.
type fakeMachine struct {
	start     time.Time
	suspended atomic.Int64
	fault     atomic.Pointer[error]
}

func newFakeMachine() *fakeMachine { return &fakeMachine{start: time.Now()} }

func (m *fakeMachine) boot() (time.Duration, error) {
	if err := m.fault.Load(); err != nil {
		return 0, *err
	}
	return time.Since(m.start) + time.Duration(m.suspended.Load()), nil
}

func (m *fakeMachine) suspend(d time.Duration) { m.suspended.Add(int64(d)) }

const testTimeout = 15 * time.Second

// TestSuspensionsCount checks that the clock includes a suspension, and that the timers and
// deadlines that became due fire at once while later timers do not.
func TestSuspensionsCount(t *testing.T) {
	for name, span := range map[string]time.Duration{"a moment": 200 * time.Millisecond, "seconds": 6 * time.Second, "a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			m := newFakeMachine()
			c := clock.New(clock.WithBootClock(m.boot))
			fired := make(chan time.Duration, 3)
			for _, quarters := range []time.Duration{2, 3, 1} {
				after := span * quarters / 4
				c.AfterFunc(after, func() { fired <- after })
			}
			future := c.AfterFunc(time.Hour, func() { t.Error("a timer fired before its deadline") })
			ctx, cancel := c.WithDeadline(t.Context(), c.Now().Add(span/2))
			defer cancel()
			start := c.Now()
			m.suspend(span)
			// A check may find less than the whole suspension if it is preempted.
			minimum := span - 10*time.Millisecond
			for deadline := time.Now().Add(testTimeout); c.Suspended() < minimum && time.Now().Before(deadline); {
				c.CheckSuspension()
			}
			if got := c.Since(start); got < minimum {
				t.Errorf("elapsed time %v, want at least %v", got, span)
			}
			if got := c.Suspended(); got < minimum || got > span+10*time.Millisecond {
				t.Errorf("suspended for %v, want %v", got, span)
			}
			for range 3 {
				select {
				case <-fired:
				case <-time.After(testTimeout):
					t.Fatal("a due timer did not fire")
				}
			}
			<-ctx.Done()
			if got := context.Cause(ctx); !errors.Is(got, context.DeadlineExceeded) {
				t.Errorf("context ended with %v", got)
			}
			if !future.Stop() {
				t.Error("a pending timer could not be stopped")
			}
		})
	}
}

// TestWithoutSuspensions guards against counting suspensions when the boot clock fails, goes back
// or jitters.
func TestWithoutSuspensions(t *testing.T) {
	broken := errors.New("no such clock")
	tests := map[string]struct {
		disturb func(m *fakeMachine)
		fault   bool
	}{
		"undisturbed": {func(*fakeMachine) {}, false},
		"unreadable":  {func(m *fakeMachine) { m.fault.Store(&broken) }, true},
		"goes back":   {func(m *fakeMachine) { m.suspend(-time.Minute) }, true},
		"jitters":     {func(m *fakeMachine) { m.suspend(100 * time.Microsecond) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := newFakeMachine()
			c := clock.New(clock.WithBootClock(m.boot))
			start, monoStart := c.Now(), time.Now()
			tc.disturb(m)
			for range 3 {
				c.CheckSuspension()
			}
			if got, want := c.Since(start), time.Since(monoStart); (got - want).Abs() > time.Second {
				t.Errorf("elapsed time %v, want %v", got, want)
			}
			if got := c.Suspended(); got != 0 {
				t.Errorf("suspended for %v", got)
			}
			if got := c.Fault() != nil; got != tc.fault {
				t.Errorf("fault %v, want a fault: %v", c.Fault(), tc.fault)
			}
		})
	}
}

// TestBootClockUnreadable checks that the clock works without a boot clock and reports the fault.
func TestBootClockUnreadable(t *testing.T) {
	c := clock.New(clock.WithBootClock(func() (time.Duration, error) { return 0, errors.New("no such clock") }))
	if c.Fault() == nil || c.Suspended() != 0 || c.Since(c.Now()) < 0 {
		t.Errorf("fault %v, suspended for %v", c.Fault(), c.Suspended())
	}
}

// TestSystem checks that the system clock does not go back.
func TestSystem(t *testing.T) {
	c := clock.System()
	before := c.Now()
	c.CheckSuspension()
	if c.Since(before) < 0 || c.Until(before) > 0 {
		t.Error("the time went back")
	}
}

// TestSleepStopsWithContext guards against a sleep that outlives its context.
func TestSleepStopsWithContext(t *testing.T) {
	c := clock.New()
	ctx, cancel := context.WithCancel(t.Context())
	if !c.Sleep(ctx, time.Millisecond) {
		t.Error("Sleep reported a canceled context")
	}
	cancel()
	if c.Sleep(ctx, time.Hour) {
		t.Error("Sleep reported that an hour elapsed")
	}
}

func BenchmarkNow(b *testing.B) {
	c := clock.New()
	b.Run("time.Now", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			_ = c.Now()
		}
	})
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			c.CheckSuspension()
		}
	})
}

func BenchmarkDeadline(b *testing.B) {
	c := clock.New()
	b.Run("context", func(b *testing.B) {
		for b.Loop() {
			_, cancel := context.WithDeadline(b.Context(), time.Now().Add(time.Hour))
			cancel()
		}
	})
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			_, cancel := c.WithDeadline(b.Context(), c.Now().Add(time.Hour))
			cancel()
		}
	})
}
