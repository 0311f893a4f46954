package backend

import "time"

// pauseReportInterval is the least interval between two reports on the pauses of a stream.
const pauseReportInterval = 500 * time.Millisecond

// pauseMeter measures the pauses between the events of a stream: the time for which the router waits for
// an event after it has forwarded the one before. The time of forwarding does not count, since a slow
// caller or the delay for batches may cause it.
type pauseMeter struct {
	// target is the longest desired pause; 0 disables the meter.
	target time.Duration
	report func(pause, target time.Duration)
	// waitingSince is zero before the first event.
	waitingSince time.Time
	// longest is the longest pause, count the number of pauses.
	longest time.Duration
	count   int
	// reportedAt is when a pause was last reported, zero if none was.
	reportedAt time.Time
}

// isWaiting reports whether an event was forwarded.
func (m *pauseMeter) isWaiting() bool { return !m.waitingSince.IsZero() }

// end records the end of a pause, and reports it if it exceeds the target.
func (m *pauseMeter) end(now time.Time) {
	if !m.isWaiting() {
		return
	}
	pause := now.Sub(m.waitingSince)
	m.count++
	m.longest = max(m.longest, pause)
	if pause <= m.target || m.report == nil || !m.reportedAt.IsZero() && now.Sub(m.reportedAt) < pauseReportInterval {
		return
	}
	m.reportedAt = now
	m.report(pause, m.target)
}

// beginPause records that the router waits for the next event.
func (x *roundTrip) beginPause() {
	if x.pauses.target > 0 {
		x.pauses.waitingSince = x.client.opt.clock.Now()
	}
}
