package clock

import (
	"context"
	"time"
)

// Timer does something at a time.
type Timer struct {
	clock *Clock
	at    time.Time
	timer *time.Timer
}

// AfterFunc has f called in a task of its own after d, also if the machine is suspended
// meanwhile.
func (c *Clock) AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{clock: c, at: c.Now().Add(d)}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		t.forget()
		f()
	})
	c.timers[t] = struct{}{}
	return t
}

// Stop keeps the timer from doing what it has not begun to do.
func (t *Timer) Stop() bool {
	t.forget()
	return t.timer.Stop()
}

func (t *Timer) forget() {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	delete(t.clock.timers, t)
}

// WithDeadline returns a context that ends at a time of the clock, with the cause
// context.DeadlineExceeded; it may end sooner with its parent.
func (c *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := c.AfterFunc(c.Until(at), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// WithTimeout is WithDeadline for a time from now.
func (c *Clock) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return c.WithDeadline(parent, c.Now().Add(d))
}

// Sleep waits for d, or until ctx is done; it reports whether it waited.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) bool {
	done := make(chan struct{})
	t := c.AfterFunc(d, func() { close(done) })
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
