// Package clock provides a clock and timers that include the time for which the machine is
// suspended.
//
// The monotonic clock that package time uses stops during a suspension. Deadlines would then pass
// too late, and stale data would look fresh. The times of this package are monotonic times plus
// the total suspended time. Compare them only with each other. Do not compare them with times of
// package time, and do not use them as deadlines of connections.
package clock

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the interval at which Run checks for suspensions.
	checkInterval = 50 * time.Millisecond
	// minSuspension is the smallest difference between the clocks that counts as a
	// suspension, in addition to the uncertainty of the readings.
	minSuspension = time.Millisecond
	// A reading of both clocks that takes longer than maxReadGap is repeated, up to maxReads
	// readings, since the goroutine may be preempted in between.
	maxReadGap = 100 * time.Microsecond
	maxReads   = 4
	// maxWallDrift is how far the wall clock may drift from the monotonic clock before Now
	// checks for a suspension. Clock synchronization adjusts the wall clock by at most
	// 0.5 ms per second.
	maxWallDrift = 5 * time.Millisecond
)

// Clock is a monotonic clock that includes suspensions. It is safe for concurrent use.
type Clock struct {
	readBoot func() (time.Duration, error)
	// base is the first reading.
	base reading
	// suspended is the total suspended time since base, in nanoseconds.
	suspended atomic.Int64
	// wallDrift is the drift of the wall clock from the monotonic clock since base, as of the
	// last check, in nanoseconds.
	wallDrift atomic.Int64

	mu sync.Mutex
	// fault is why suspensions cannot be detected, or nil.
	fault  error
	timers map[*Timer]struct{}
}

// Option changes a new Clock.
type Option func(*Clock)

// WithBootClock replaces CLOCK_BOOTTIME, which includes suspensions.
func WithBootClock(read func() (time.Duration, error)) Option {
	return func(c *Clock) { c.readBoot = read }
}

// New returns a clock that starts with no suspended time.
func New(opts ...Option) *Clock {
	c := &Clock{readBoot: readBoot, timers: map[*Timer]struct{}{}}
	for _, opt := range opts {
		opt(c)
	}
	base, err := c.read()
	if err != nil {
		c.fault = fmt.Errorf("clock: suspensions cannot be detected: read boot time: %w", err)
	}
	c.base = base
	return c
}

// reading is a simultaneous reading of the monotonic clock and the boot clock.
type reading struct {
	mono time.Time
	boot time.Duration
	// uncertainty is the maximum time between the two readings.
	uncertainty time.Duration
}

// read reads both clocks several times and returns the reading with the least uncertainty.
func (c *Clock) read() (reading, error) {
	best := reading{mono: monoNow(), uncertainty: time.Hour}
	for range maxReads {
		before := monoNow()
		boot, err := c.readBoot()
		if err != nil {
			return best, err
		}
		if gap := monoNow().Sub(before); gap < best.uncertainty {
			best = reading{mono: before.Add(gap / 2), boot: boot, uncertainty: gap}
		}
		if best.uncertainty <= maxReadGap {
			break
		}
	}
	return best, nil
}

var system = sync.OnceValue(func() *Clock { return New() })

// System returns the default clock of this process.
func System() *Clock { return system() }

func readBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	t := monoNow()
	if (c.wallDriftAt(t) - time.Duration(c.wallDrift.Load())).Abs() > maxWallDrift {
		// The machine was suspended, or the wall clock was set.
		c.CheckSuspension()
	}
	return t.Add(time.Duration(c.suspended.Load()))
}

// monoNow returns the monotonic and the wall clock time.
func monoNow() time.Time { return time.Now().Add(-soakSetback()) }

// wallDriftAt returns the drift of the wall clock from the monotonic clock since base.
func (c *Clock) wallDriftAt(t time.Time) time.Duration {
	return t.Round(0).Sub(c.base.mono.Round(0)) - t.Sub(c.base.mono) + soakSetback()
}

// Since returns the time elapsed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns the total suspended time since New.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Fault returns why suspensions cannot be detected, or nil.
func (c *Clock) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// Run checks for suspensions periodically until ctx is done.
func (c *Clock) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.CheckSuspension()
		}
	}
}

// CheckSuspension checks whether the machine was suspended since the last check. If so it adds the
// suspended time and adjusts all timers. Timers that are due fire immediately.
func (c *Clock) CheckSuspension() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != nil {
		c.wallDrift.Store(int64(c.wallDriftAt(monoNow())))
		return
	}
	newSuspension, err := c.newSuspension()
	if err != nil {
		c.fault = err
		return
	}
	if newSuspension > 0 {
		c.suspended.Add(int64(newSuspension))
		c.fireDue(monoNow().Add(time.Duration(c.suspended.Load())))
	}
}

// newSuspension returns how far the boot clock has moved ahead of the monotonic clock since the
// last check, or 0 if that is within the uncertainty of the readings.
func (c *Clock) newSuspension() (time.Duration, error) {
	now, err := c.read()
	if err != nil {
		return 0, fmt.Errorf("clock: suspensions cannot be detected any more: read boot time: %w", err)
	}
	c.wallDrift.Store(int64(c.wallDriftAt(now.mono)))
	newSuspension := now.boot - c.base.boot - now.mono.Sub(c.base.mono) - time.Duration(c.suspended.Load())
	tolerance := minSuspension + now.uncertainty + c.base.uncertainty
	switch {
	case newSuspension < -tolerance:
		return 0, fmt.Errorf("clock: suspensions cannot be detected any more: boot time went back by %v", -newSuspension)
	case newSuspension < tolerance:
		return 0, nil
	default:
		return newSuspension, nil
	}
}

// fireDue resets the timers after a suspension, in the order of their deadlines. Timers that are
// due fire immediately.
func (c *Clock) fireDue(now time.Time) {
	timers := make([]*Timer, 0, len(c.timers))
	for t := range c.timers {
		timers = append(timers, t)
	}
	slices.SortFunc(timers, func(a, b *Timer) int { return a.deadline.Compare(b.deadline) })
	for _, t := range timers {
		if t.timer.Stop() {
			t.timer.Reset(max(0, t.deadline.Sub(now)))
		}
	}
}
