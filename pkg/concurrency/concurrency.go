// Package concurrency learns from response times how many requests one plain server should have in
// flight, and estimates how long further requests have to wait.
//
// All times are given by the caller; the package reads no clock.
package concurrency

import (
	"math"
	"time"
)

const (
	// InitialPerSlot is the limit per slot before there are samples: plain servers queue a few
	// requests themselves.
	InitialPerSlot = 2.5
	// maxPerSlot bounds the limit per slot.
	maxPerSlot = 8
	// The limit grows while the mean response time of a batch is below growBelow times the
	// observed minimum, and shrinks above shrinkAbove times. Between them a few requests queue at
	// the server, which keeps it busy for the round trip until the next grant.
	growBelow   = 1.25
	shrinkAbove = 1.75
	// minimumBatch is the number of responses of which the minimum of the means is taken. With fewer,
	// it would be much below the mean. The first responses of an unloaded server count at once.
	minimumBatch = 24
	// shrinkFactor is the factor of one step down. Steps up are by one request.
	shrinkFactor = 0.85
	// rejectionMemory is how long the limit stays below the number of requests in flight at which
	// the server rejected one.
	rejectionMemory = 10 * time.Second
	// minimumWindow is the length of one of the two windows over which the minimum response time is
	// taken. It is much longer than phases in which a server is slow.
	minimumWindow = 10 * time.Second
	// meanPeriod is the time constant of the mean service time. Waits in a queue are of the same
	// length.
	meanPeriod = 2 * time.Second
	// phasePeriod is the time constant of the service time in the current phase, and the length of
	// a wait for which that is used. Servers are slow in phases of about 0.6 s.
	phasePeriod = 300 * time.Millisecond
	// phasePrior is the weight, in samples, of the mean service time in that of the current phase.
	phasePrior = 1
)

// Sample is one completed request.
type Sample struct {
	// Took is the time from the grant to the end of the response.
	Took time.Duration
	// InFlight is the number of requests in flight when it was granted, its own included.
	InFlight int
}

// Limit is the adaptive concurrency limit of one server.
type Limit struct {
	slots, limit float64
	// rejectedAt is when the server last rejected a request, 0 if never. ceiling bounds the limit
	// for rejectionMemory after that.
	rejectedAt time.Duration
	ceiling    float64
	batch      batch
	// forMinimum is the batch for the minimum, unloaded that of responses with no more requests in
	// flight than slots.
	forMinimum, unloaded batch
	fastest              minimum
	// count, service and deviation are sums over the samples, with weights that decay with
	// meanPeriod as of updatedAt. Service times are in seconds. phaseCount and phaseService decay
	// with phasePeriod.
	count, service, deviation float64
	phaseCount, phaseService  float64
	updatedAt                 time.Duration
}

// batch is a group of samples after which the limit is adjusted once.
type batch struct {
	samples int
	took    time.Duration
	// peak is the largest number of requests in flight.
	peak int
}

// New returns the limit of a server with the given number of slots.
func New(slots int) *Limit {
	n := float64(max(1, slots))
	return &Limit{slots: n, limit: n * InitialPerSlot}
}

// Slots returns the number of slots that the limit was created for.
func (l *Limit) Slots() int { return int(l.slots) }

// Value returns the number of requests that may be in flight.
func (l *Limit) Value() int { return int(math.Ceil(l.limit)) }

// Observe adds a sample.
func (l *Limit) Observe(now time.Duration, s Sample) {
	if s.Took <= 0 || s.InFlight <= 0 {
		return
	}
	l.observeService(now, s)
	if float64(s.InFlight) <= l.slots {
		l.observeUnloaded(now, s)
	}
	if l.forMinimum.add(s); l.forMinimum.samples >= minimumBatch {
		l.fastest.observe(now, l.forMinimum.mean())
		l.forMinimum = batch{}
	}
	if l.batch.add(s); float64(l.batch.samples) >= l.limit {
		l.adjust(now, l.batch.mean(), l.batch.peak >= l.Value()-1)
		l.batch = batch{}
	}
}

// observeUnloaded updates the minimum with a response that had not to wait at the server. The first
// requests at a server have few others in flight even in an overload, which later ones have not.
func (l *Limit) observeUnloaded(now time.Duration, s Sample) {
	l.unloaded.add(s)
	enough := float64(minimumBatch)
	if l.fastest.get(now) == 0 {
		enough = min(enough, l.slots)
	}
	if float64(l.unloaded.samples) >= enough {
		l.fastest.observe(now, l.unloaded.mean())
		l.unloaded = batch{}
	}
}

func (b *batch) add(s Sample) {
	b.samples++
	b.took += s.Took
	b.peak = max(b.peak, s.InFlight)
}

func (b *batch) mean() time.Duration { return b.took / time.Duration(b.samples) }

// observeService updates the mean service time. Requests beyond the slots queue at the server, so that
// their response times grow with their number while its throughput stays the same.
func (l *Limit) observeService(now time.Duration, s Sample) {
	decay := l.decay(now, meanPeriod)
	l.count *= decay
	l.service *= decay
	l.deviation *= decay
	decay = l.decay(now, phasePeriod)
	l.phaseCount *= decay
	l.phaseService *= decay
	l.updatedAt = max(l.updatedAt, now)
	service := s.Took.Seconds() * l.slots / max(l.slots, float64(s.InFlight))
	l.count++
	l.service += service
	l.phaseCount++
	l.phaseService += service
	l.deviation += math.Abs(service - l.mean(l.service))
}

// decay returns the factor by which sums have decayed since the last sample.
func (l *Limit) decay(now, period time.Duration) float64 {
	return math.Exp(-max(0, now-l.updatedAt).Seconds() / period.Seconds())
}

// adjust changes the limit by one step. It grows only while it is used.
func (l *Limit) adjust(now, mean time.Duration, used bool) {
	fastest := l.fastest.get(now)
	if fastest == 0 {
		return
	}
	switch ratio := mean.Seconds() / fastest.Seconds(); {
	case ratio <= growBelow && used:
		l.limit = min(l.limit+1, l.maximum(now))
	case ratio > shrinkAbove:
		l.limit = max(l.slots, l.limit*shrinkFactor)
	}
}

func (l *Limit) maximum(now time.Duration) float64 {
	if l.rejectedAt > 0 && now-l.rejectedAt < rejectionMemory {
		return l.ceiling
	}
	return l.slots * maxPerSlot
}

// Reject records that the server rejected a request that was granted as one of inFlight.
func (l *Limit) Reject(now time.Duration, inFlight int) {
	ceiling := max(l.slots, float64(inFlight-1))
	if l.rejectedAt > 0 && now-l.rejectedAt < rejectionMemory {
		ceiling = min(ceiling, l.ceiling)
	}
	l.rejectedAt, l.ceiling = now, ceiling
	l.limit = min(l.limit, ceiling)
}

// Known reports whether there are samples.
func (l *Limit) Known() bool { return l.count > 0 }

// Service returns the mean service time: the time that a request occupies one slot. It is 0 without
// samples.
func (l *Limit) Service() time.Duration {
	return seconds(l.mean(l.service))
}

// mean returns the mean of a sum over the samples, 0 without samples.
func (l *Limit) mean(sum float64) float64 {
	if l.count == 0 {
		return 0
	}
	return sum / l.count
}

// phase returns the service time in the current phase, in seconds. It returns to the mean if there are
// no samples for some time.
func (l *Limit) phase(now time.Duration) float64 {
	decay := l.decay(now, phasePeriod)
	return (l.phaseService*decay + phasePrior*l.mean(l.service)) / (l.phaseCount*decay + phasePrior)
}

// Margin returns the mean deviation of response times.
func (l *Limit) Margin() time.Duration {
	return seconds(l.mean(l.deviation))
}

// Fastest returns the minimum of recent mean response times, 0 if there is none.
func (l *Limit) Fastest(now time.Duration) time.Duration { return l.fastest.get(now) }

// Estimate holds what is expected of a server at one time.
type Estimate struct {
	slots float64
	limit int
	// phase and mean are the service times in the current phase and on average, in seconds. They are 0
	// without samples.
	phase, mean float64
}

// Estimate returns what is expected now.
func (l *Limit) Estimate(now time.Duration) Estimate {
	return Estimate{slots: l.slots, limit: l.Value(), phase: l.phase(now), mean: l.mean(l.service)}
}

// Response returns the expected response time of a request that is granted as one of inFlight.
func (e *Estimate) Response(inFlight int) time.Duration {
	return seconds(e.phase * max(1, float64(min(inFlight, e.limit))/e.slots))
}

// Wait returns the expected time until the limit admits a request, with inFlight requests at the server
// and ahead requests before it in the queue. The current phase counts for phasePeriod of it.
func (e *Estimate) Wait(inFlight, ahead int) time.Duration {
	if e.phase == 0 {
		return 0
	}
	completions := float64(max(0, ahead+1+inFlight-e.limit))
	inPhase := min(completions, phasePeriod.Seconds()*e.slots/e.phase)
	return seconds((inPhase*e.phase + (completions-inPhase)*e.mean) / e.slots)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// minimum is the minimum of recent durations.
type minimum struct {
	// current and previous are the minima of the current and the previous window, 0 if there is none.
	current, previous time.Duration
	startedAt         time.Duration
}

func (m *minimum) observe(now, d time.Duration) {
	m.rotate(now)
	if m.current == 0 || d < m.current {
		m.current = d
	}
}

// get returns the minimum of the last two windows, 0 without samples.
func (m *minimum) get(now time.Duration) time.Duration {
	m.rotate(now)
	if m.current == 0 || m.previous > 0 && m.previous < m.current {
		return m.previous
	}
	return m.current
}

func (m *minimum) rotate(now time.Duration) {
	passed := now - m.startedAt
	if passed < minimumWindow {
		return
	}
	m.previous, m.current = m.current, 0
	if passed >= 2*minimumWindow {
		m.previous = 0
	}
	m.startedAt = now
}
