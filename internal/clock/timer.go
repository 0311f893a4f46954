package clock

import (
	"context"
	"time"
)

// Timer calls a function once at its deadline.
type Timer struct {
	clock    *Clock
	deadline time.Time
	timer    *time.Timer
}

// AfterFunc calls f in its own goroutine after d, which includes suspensions of the machine.
func (c *Clock) AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{clock: c, deadline: c.Now().Add(d)}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		t.remove()
		f()
	})
	c.timers[t] = struct{}{}
	return t
}

// Stop cancels the timer. It reports whether the call was still pending.
func (t *Timer) Stop() bool {
	t.remove()
	return t.timer.Stop()
}

func (t *Timer) remove() {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	delete(t.clock.timers, t)
}

// WithDeadline returns a context that is canceled at a time of the clock with the cause
// context.DeadlineExceeded, or earlier with its parent.
func (c *Clock) WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := c.AfterFunc(c.Until(deadline), func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// WithTimeout calls WithDeadline with the current time plus d.
func (c *Clock) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return c.WithDeadline(parent, c.Now().Add(d))
}

// Sleep waits for d or until ctx is done. It reports whether d has elapsed.
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
