package clock_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// machine is one whose suspensions a test makes up: the boot clock moves on, the steady one
// does not.
type machine struct {
	start     time.Time
	suspended atomic.Int64
	fault     atomic.Pointer[error]
}

func newMachine() *machine { return &machine{start: time.Now()} }

func (m *machine) boot() (time.Duration, error) {
	if err := m.fault.Load(); err != nil {
		return 0, *err
	}
	return time.Since(m.start) + time.Duration(m.suspended.Load()), nil
}

func (m *machine) suspend(d time.Duration) { m.suspended.Add(int64(d)) }

const generous = 15 * time.Second

// TestSuspensionsAreCounted suspends a machine: the time moves on, timers and deadlines that
// were due meanwhile are due at once, in their order, and others when they are.
func TestSuspensionsAreCounted(t *testing.T) {
	for name, span := range map[string]time.Duration{"a moment": 200 * time.Millisecond, "seconds": 6 * time.Second, "a minute": time.Minute} {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			c := clock.New(clock.WithBootClock(m.boot))
			fired := make(chan time.Duration, 3)
			for _, part := range []time.Duration{2, 3, 1} {
				after := span * part / 4
				c.AfterFunc(after, func() { fired <- after })
			}
			never := c.AfterFunc(time.Hour, func() { t.Error("a timer of the future fires") })
			ctx, cancel := c.WithDeadline(t.Context(), c.Now().Add(span/2))
			defer cancel()
			begun := c.Now()
			m.suspend(span)
			// A look may find less than all where this test is interrupted in it.
			least := span - 10*time.Millisecond
			for end := time.Now().Add(generous); c.Suspended() < least && time.Now().Before(end); {
				c.CheckSuspension()
			}
			if got := c.Since(begun); got < least {
				t.Errorf("%v have passed, want %v at least", got, span)
			}
			if got := c.Suspended(); got < least || got > span+10*time.Millisecond {
				t.Errorf("suspended for %v, want %v", got, span)
			}
			for range 3 {
				select {
				case <-fired:
				case <-time.After(generous):
					t.Fatal("a timer that is due does not fire")
				}
			}
			<-ctx.Done()
			if got := context.Cause(ctx); !errors.Is(got, context.DeadlineExceeded) {
				t.Errorf("the context ends by %v", got)
			}
			if !never.Stop() {
				t.Error("a timer of the future was not to be stopped")
			}
		})
	}
}

// TestWithoutSuspensions reads a clock of a machine that is not suspended: it goes with the
// steady one, whatever the boot clock does that it must not.
func TestWithoutSuspensions(t *testing.T) {
	broken := errors.New("no such clock")
	tests := map[string]struct {
		disturb func(m *machine)
		fault   bool
	}{
		"nothing happens":     {func(*machine) {}, false},
		"it cannot be read":   {func(m *machine) { m.fault.Store(&broken) }, true},
		"it goes back":        {func(m *machine) { m.suspend(-time.Minute) }, true},
		"it jitters a little": {func(m *machine) { m.suspend(100 * time.Microsecond) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			c := clock.New(clock.WithBootClock(m.boot))
			begun, steady := c.Now(), time.Now()
			tc.disturb(m)
			for range 3 {
				c.CheckSuspension()
			}
			if got, want := c.Since(begun), time.Since(steady); (got - want).Abs() > time.Second {
				t.Errorf("%v have passed, want %v", got, want)
			}
			if got := c.Suspended(); got != 0 {
				t.Errorf("suspended for %v", got)
			}
			if got := c.Fault() != nil; got != tc.fault {
				t.Errorf("a fault: %v, want %v", c.Fault(), tc.fault)
			}
		})
	}
}

// TestUnreadableAtTheStart has no boot clock at all: the clock says why, and goes on.
func TestUnreadableAtTheStart(t *testing.T) {
	c := clock.New(clock.WithBootClock(func() (time.Duration, error) { return 0, errors.New("no such clock") }))
	if c.Fault() == nil || c.Suspended() != 0 || c.Since(c.Now()) < 0 {
		t.Errorf("fault %v, suspended for %v", c.Fault(), c.Suspended())
	}
}

// TestSystem reads the clock of this machine.
func TestSystem(t *testing.T) {
	c := clock.System()
	before := c.Now()
	c.CheckSuspension()
	if c.Since(before) < 0 || c.Until(before) > 0 {
		t.Error("the time goes back")
	}
}

// TestSleepEndsWithItsContext waits for a time, and for one that is given up.
func TestSleepEndsWithItsContext(t *testing.T) {
	c := clock.New()
	ctx, cancel := context.WithCancel(t.Context())
	if !c.Sleep(ctx, time.Millisecond) {
		t.Error("it did not wait")
	}
	cancel()
	if c.Sleep(ctx, time.Hour) {
		t.Error("it waited for an hour")
	}
}

func BenchmarkNow(b *testing.B) {
	c := clock.New()
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			_ = c.Now()
		}
	})
	b.Run("look", func(b *testing.B) {
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
