// Package clock tells a time that counts while the machine is suspended.
//
// The steady clock of the kernel, by which package time compares its times and fires its
// timers, stands still then. A router that goes by it wakes with deadlines that lie too late,
// and with beliefs that look as fresh as before. The times of this package are those of the
// steady clock, moved by what the machine has been suspended for: they may be compared with
// each other, and not with those of package time, nor be given to what waits by that, such as
// the deadlines of a connection.
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
	// lookEvery is the interval at which Run looks whether the machine was suspended.
	lookEvery = 50 * time.Millisecond
	// leastJump is the least difference between the clocks that is taken for a suspension,
	// beyond what the readings leave open.
	leastJump = time.Millisecond
	// sharpWithin is within what time two clocks are to be read, readTries how often that is
	// tried: the task may be interrupted between them.
	sharpWithin = 100 * time.Microsecond
	readTries   = 4
	// driftTolerance is by how much the time of day may move against the steady clock
	// before a reading looks at the boot clock: it is set right by at most 0.5 ms a second.
	driftTolerance = 5 * time.Millisecond
)

// Clock is a clock. It is safe for concurrent use.
type Clock struct {
	readBoot func() (time.Duration, error)
	// base is the reading at the start.
	base reading
	// missing is how long the machine was suspended since base, in nanoseconds.
	missing atomic.Int64
	// drift is by how much the time of day moved against the steady clock since base when
	// the boot clock was last looked at, in nanoseconds.
	drift atomic.Int64

	mu sync.Mutex
	// fault is why suspensions are not counted, nil if they are.
	fault  error
	timers map[*Timer]struct{}
}

// Option changes a new Clock.
type Option func(*Clock)

// WithBootClock replaces the clock that counts suspensions.
func WithBootClock(read func() (time.Duration, error)) Option {
	return func(c *Clock) { c.readBoot = read }
}

// New returns a clock of this machine.
func New(opts ...Option) *Clock {
	c := &Clock{readBoot: readBoot, timers: map[*Timer]struct{}{}}
	for _, f := range opts {
		f(c)
	}
	base, err := c.read()
	if err != nil {
		c.fault = fmt.Errorf("clock: boot time cannot be read, the time for which the machine is suspended is not counted: %w", err)
	}
	c.base = base
	return c
}

// reading is what both clocks show at a moment.
type reading struct {
	steady time.Time
	boot   time.Duration
	// within is by how much they may be apart.
	within time.Duration
}

// read reads both clocks, as close together as a few tries bring them.
func (c *Clock) read() (reading, error) {
	best := reading{steady: steady(), within: time.Hour}
	for range readTries {
		before := steady()
		boot, err := c.readBoot()
		if err != nil {
			return best, err
		}
		if took := steady().Sub(before); took < best.within {
			best = reading{steady: before.Add(took / 2), boot: boot, within: took}
		}
		if best.within <= sharpWithin {
			break
		}
	}
	return best, nil
}

var system = sync.OnceValue(func() *Clock { return New() })

// System returns the clock of this process, for what is given no other.
func System() *Clock { return system() }

func readBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	t := steady()
	if (c.driftAt(t) - time.Duration(c.drift.Load())).Abs() > driftTolerance {
		// The machine was suspended, or somebody set the time of day.
		c.CheckSuspension()
	}
	return t.Add(time.Duration(c.missing.Load()))
}

// steady reads the steady clock, with the time of day beside it.
func steady() time.Time { return time.Now().Add(-setBack()) }

// driftAt returns by how much the time of day has moved against the steady clock.
func (c *Clock) driftAt(t time.Time) time.Duration {
	return t.Round(0).Sub(c.base.steady.Round(0)) - t.Sub(c.base.steady) + setBack()
}

// Since returns the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns for how long the machine has been suspended since the start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.missing.Load()) }

// Fault returns why suspensions are not counted, nil if they are.
func (c *Clock) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// Run looks for suspensions until ctx is done.
func (c *Clock) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
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

// CheckSuspension looks whether the machine was suspended. What is due by then is done at once.
func (c *Clock) CheckSuspension() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != nil {
		c.drift.Store(int64(c.driftAt(steady())))
		return
	}
	jump, err := c.jump()
	if err != nil {
		c.fault = err
		return
	}
	if jump > 0 {
		c.missing.Add(int64(jump))
		c.fireDue(steady().Add(time.Duration(c.missing.Load())))
	}
}

// jump returns by how much the boot clock has moved beyond the steady one since it was last
// looked at, 0 if that is less than the readings leave open.
func (c *Clock) jump() (time.Duration, error) {
	now, err := c.read()
	if err != nil {
		return 0, fmt.Errorf("clock: boot time cannot be read any more, the time for which the machine is suspended is not counted: %w", err)
	}
	c.drift.Store(int64(c.driftAt(now.steady)))
	jump := now.boot - c.base.boot - now.steady.Sub(c.base.steady) - time.Duration(c.missing.Load())
	open := leastJump + now.within + c.base.within
	switch {
	case jump < -open:
		return 0, fmt.Errorf("clock: boot time went back by %v, the time for which the machine is suspended is not counted any more", -jump)
	case jump < open:
		return 0, nil
	default:
		return jump, nil
	}
}

// fireDue sets the timers right after a suspension, those that are due longest first.
func (c *Clock) fireDue(now time.Time) {
	list := make([]*Timer, 0, len(c.timers))
	for t := range c.timers {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Timer) int { return a.at.Compare(b.at) })
	for _, t := range list {
		if t.timer.Stop() {
			t.timer.Reset(max(0, t.at.Sub(now)))
		}
	}
}
