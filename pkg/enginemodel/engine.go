// Package enginemodel predicts the time to the first event of a response at a backend server.
//
// The time is modeled as
//
//	base + cost * (tokens * referenceCost + running * perRunning)
//
// in which base and perRunning are those of the service, learned from all its engines, and the cost is
// that of the engine. The cost has a slow component, which follows the engine's usual speed, and a fast
// one, which follows phases of a few hundred milliseconds and decays. Costs are kept as logarithms, so
// that engines that are slower and faster than expected are treated alike.
package enginemodel

import (
	"math"
	"time"
)

// Load is the load of an engine ahead of a first event.
type Load struct {
	// PrefillTokens is the number of prompt tokens that the engine reads before the first event,
	// including those of the request itself.
	PrefillTokens int64
	// Running is the number of other requests in flight at the engine.
	Running int
}

// Sample is an observed time to a first event.
type Sample struct {
	// Load is the load when the request was sent.
	Load
	// Took is the time from then to the first event.
	Took time.Duration
}

// Prediction is the time to a first event. About four of five first events arrive within
// Expected + Margin.
type Prediction struct{ Expected, Margin time.Duration }

// State is what is known of an engine, for another router.
type State struct {
	// Speed is the number of tokens that it reads in 10 microseconds. It is absolute, unlike
	// Engine.Speed: a router that knows few engines has another average than the receiver.
	Speed float64
	// Deviation is the relative error that four of five predictions do not exceed.
	Deviation float64
	// Samples is the number of observations.
	Samples int
}

// ReadRate returns the speed in prompt tokens per second.
func (s State) ReadRate() float64 { return s.Speed / referenceCost }

const (
	// priorVariance of the cost allows for engines half or twice as fast as the average.
	priorVariance = 0.5
	// driftPerSecond is the growth of the variance with time. At 20 samples per second, each weighs
	// about a fifteenth.
	driftPerSecond = 0.005
	// A sample counts with the observed deviation within these bounds. minNoise also bounds what the fast
	// component concludes from times that hardly depend on the engine.
	minNoise, maxNoise = 0.1, 0.5
	// maxSurprise bounds the change by one sample, in standard deviations, and maxError its error, as
	// a logarithm: a factor of e.
	maxSurprise = 1.5
	maxError    = 1.0
	// A sample whose error exceeds outlierError, as a logarithm (a factor of 2), and outlierSurprise
	// standard deviations is an outlier. Most are first events whose prefill was counted wrongly.
	outlierError    = 0.7
	outlierSurprise = 3
	// A new engine has a wide variance. From newOutlierError, as a logarithm (a factor of 3), its
	// samples are outliers too, unless its service has fewer than newServiceSamples.
	newOutlierError   = 1.1
	newServiceSamples = 10
	// maxSlow bounds the slow component relative to the service, as a logarithm: a factor of 8.
	maxSlow = 2.1
	// fastGain is the part of an error that the fast component takes, maxFast its bound, as a
	// logarithm: a factor of 4.
	fastGain = 0.5
	maxFast  = 1.4
	// fastTime is the time constant with which the fast component decays. It bridges the gap between
	// two samples of a moderately loaded engine, and ends with a phase of 0.6 s.
	fastTime = 300 * time.Millisecond
	// historyLen is the number of past states that are kept to find the prediction made when a
	// request was sent.
	historyLen = 24
	// stateTime is the time constant with which a received state loses weight.
	stateTime = 30 * time.Second
	// ownTime is the time for which own samples exclude received states. It is longer than a busy engine
	// goes without a first event.
	ownTime = 2 * time.Second
	// maxStateSamples bounds the samples that a received state counts as.
	maxStateSamples = 50
)

// Engine is the performance model of one backend server.
type Engine struct {
	service *Service
	// slow and fast are the logarithms of the components of the cost relative to the reference cost,
	// fast as of updatedAt. If not isKnown, slow is that of the service.
	slow, fast float64
	isKnown    bool
	// variance is that of slow.
	variance  float64
	updatedAt time.Duration
	deviation deviation
	// own is the number of own observations, received the number behind the received state.
	own, received int
	// observedAt is the time of the last observation, here or at the sender of the received state.
	// firstAt and lastAt are the times of the first and last one here.
	observedAt, firstAt, lastAt time.Duration
	history                     []cost
	historyAt                   int
}

// cost is the cost of an engine at a time.
type cost struct {
	at         time.Duration
	slow, fast float64
}

// NewEngine returns the model of a server without observations.
func NewEngine(s *Service) *Engine {
	return &Engine{service: s, variance: priorVariance, deviation: newDeviation()}
}

// Observe adds the time to a first event that has just arrived.
func (e *Engine) Observe(now time.Duration, s Sample) {
	if s.Took < 0 || s.PrefillTokens < 0 || s.Running < 0 {
		return
	}
	e.advance(now)
	took := s.Took.Seconds()
	expected, sensitivity := e.expected(e.slow+e.fast, s.Load)
	e.observeDeviation(now, s)

	// The error is a logarithm: an engine twice as fast counts as much as one half as fast.
	miss := math.Log((took + smallTime) / (expected + smallTime))
	noise := square(min(max(e.deviation.value, minNoise), maxNoise))
	spread := math.Sqrt(square(sensitivity)*e.variance + noise)
	isOutlier := math.Abs(miss) > max(outlierError, outlierSurprise*spread) ||
		math.Abs(miss) > newOutlierError && e.service.samples >= newServiceSamples

	bounded := clamp(miss, min(maxError, maxSurprise*spread))
	gain := e.variance * sensitivity / square(spread)
	change := gain * bounded
	e.slow = clamp(e.slow+change-e.service.cost, maxSlow) + e.service.cost
	e.variance *= 1 - gain*sensitivity
	rest := clamp(miss, maxError) - change*sensitivity
	e.fast = clamp(e.fast+fastGain*rest*sensitivity/(square(sensitivity)+minNoise), maxFast)
	e.own++
	if e.own == 1 {
		e.firstAt = now
	}
	e.observedAt, e.lastAt = now, now
	e.record(now)
	if !isOutlier {
		e.service.observe(s.Load, took, e.slow)
	}
}

// observeDeviation compares a sample with the prediction when its request was sent, which did not know
// the samples since then. Before the first sample there is none that says anything about this engine.
func (e *Engine) observeDeviation(now time.Duration, s Sample) {
	total := e.slow + e.fast
	if sentAt := now - s.Took; e.own > 0 && sentAt >= e.firstAt {
		total = e.costAt(sentAt)
	}
	expected, _ := e.expected(total, s.Load)
	e.deviation.observe(s.Took.Seconds(), expected)
	e.service.deviation.observe(s.Took.Seconds(), expected)
}

// advance applies the passing of time, and makes the engine known.
func (e *Engine) advance(now time.Duration) {
	if !e.isKnown {
		e.isKnown, e.slow, e.deviation.value, e.updatedAt = true, e.service.cost, e.service.deviation.value, now
		return
	}
	elapsed := max(0, now-e.updatedAt)
	e.fast *= decay(elapsed)
	e.variance = min(priorVariance, e.variance+driftPerSecond*elapsed.Seconds())
	e.updatedAt = max(e.updatedAt, now)
}

func decay(elapsed time.Duration) float64 { return math.Exp(-elapsed.Seconds() / fastTime.Seconds()) }

// record adds the current cost to the history.
func (e *Engine) record(now time.Duration) {
	c := cost{now, e.slow, e.fast}
	if len(e.history) < historyLen {
		e.history = append(e.history, c)
		return
	}
	e.history[e.historyAt] = c
	e.historyAt = (e.historyAt + 1) % historyLen
}

// costAt returns the logarithm of the cost as it was estimated at a time in the past, or the oldest
// estimate that is kept.
func (e *Engine) costAt(at time.Duration) float64 {
	n := len(e.history)
	for i := n - 1; i >= 0; i-- {
		c := e.history[(e.historyAt+i)%n]
		if c.at <= at || i == 0 {
			return c.slow + c.fast*decay(max(0, at-c.at))
		}
	}
	return e.slow + e.fast
}

// expected returns the expected time in seconds, and by how much its logarithm changes with that of the
// cost.
func (e *Engine) expected(logCost float64, l Load) (seconds, sensitivity float64) {
	part := math.Exp(logCost) * e.service.work(l)
	seconds = e.service.base + part
	return seconds, part / (seconds + smallTime)
}

// logCost returns the logarithm of the current cost.
func (e *Engine) logCost(now time.Duration) float64 {
	if !e.isKnown {
		return e.service.cost
	}
	return e.slow + e.fast*decay(max(0, now-e.updatedAt))
}

// Predict returns the time to the first event of a request that is sent now.
func (e *Engine) Predict(now time.Duration, l Load) Prediction {
	seconds, _ := e.expected(e.logCost(now), l)
	d := e.deviation
	if !e.isKnown {
		d = e.service.deviation
	}
	return Prediction{Expected: toDuration(seconds), Margin: toDuration(d.margin(seconds))}
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds predictions, so that they fit in a time.Duration.
const maxSeconds = 3600

// ReadRate returns the prompt tokens that the engine reads per second if it does nothing else.
func (e *Engine) ReadRate(now time.Duration) float64 {
	return math.Exp(-e.logCost(now)) / referenceCost
}

// Speed returns the usual speed relative to the engines of the service that this router knows: 1 is
// average, 2 twice as fast. It does not include short phases.
func (e *Engine) Speed(time.Duration) float64 {
	if !e.isKnown {
		return 1
	}
	return math.Exp(e.service.cost - e.slow)
}

// State returns what is known of the engine. Samples is 0 if it is nothing.
func (e *Engine) State(time.Duration) State {
	if !e.isKnown {
		return State{Speed: math.Exp(-e.service.cost), Deviation: e.service.deviation.value}
	}
	return State{Speed: math.Exp(-e.slow), Deviation: e.deviation.value, Samples: e.own + e.received}
}

// Restore adds a state that another router observed last at the given age. The older it is, the less it
// counts. One that is not newer than what is known is ignored, and so are all while this router has samples
// of its own.
func (e *Engine) Restore(now time.Duration, s State, age time.Duration) {
	logCost, at := -math.Log(s.Speed), now-max(0, age)
	isValid := s.Speed > 0 && !math.IsNaN(logCost) && !math.IsInf(logCost, 0) && s.Deviation >= 0 && !math.IsInf(s.Deviation, 0) && s.Samples > 0
	isOlder := e.own+e.received > 0 && at <= e.observedAt
	if !isValid || isOlder || e.own > 0 && now-e.lastAt < ownTime {
		return
	}
	weight := math.Exp(-max(0, age).Seconds() / stateTime.Seconds())
	samples := min(s.Samples, maxStateSamples)
	// The variance is that of the mean of the samples that still count.
	variance := square(maxNoise) / (float64(samples) * weight)
	if e.own == 0 {
		e.isKnown, e.slow, e.variance, e.updatedAt = false, 0, priorVariance, 0
		e.advance(now)
		e.fast = 0
	} else {
		e.advance(now)
	}
	gain := e.variance / (e.variance + variance)
	e.slow = clamp(e.slow+gain*(clamp(logCost, maxCost+maxSlow)-e.slow)-e.service.cost, maxSlow) + e.service.cost
	e.variance *= 1 - gain
	e.deviation.value += gain * (min(max(s.Deviation, minDeviation), maxDeviation) - e.deviation.value)
	e.received, e.observedAt = samples, at
}
