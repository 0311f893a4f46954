package admit

import "time"

// latencyModel predicts the time to the first event of a response from the number of prefill
// tokens before it, by linear regression over recent samples.
type latencyModel struct {
	// Weighted sums over the samples. x is in tokens, y in seconds.
	weight, x, y, xx, xy float64
}

const (
	// sampleDecay is the factor by which older samples lose weight with each new one, so that
	// about the last 100 count.
	sampleDecay = 0.99
	// The prior assumes 30 ms plus 10 µs per token, and counts as priorWeight samples at 0 and
	// at priorSpread tokens.
	priorSlope  = 1e-5
	priorBase   = 0.03
	priorWeight = 10
	priorSpread = 4000
	// Bounds of the slope, in seconds per token.
	minSlope = 1e-6
	maxSlope = 1e-3
	// maxBase bounds the base, in seconds.
	maxBase = 1.0
)

func newLatencyModel() latencyModel {
	l := latencyModel{}
	for _, x := range []float64{0, priorSpread} {
		l.addWeighted(x, priorBase+x*priorSlope, priorWeight)
	}
	return l
}

func (l *latencyModel) addWeighted(x, y, w float64) {
	l.weight += w
	l.x += w * x
	l.y += w * y
	l.xx += w * x * x
	l.xy += w * x * y
}

// observe adds a sample: the time to a first event, and the number of prefill tokens before it.
func (l *latencyModel) observe(tokens int64, took time.Duration) {
	l.weight *= sampleDecay
	l.x *= sampleDecay
	l.y *= sampleDecay
	l.xx *= sampleDecay
	l.xy *= sampleDecay
	l.addWeighted(float64(tokens), took.Seconds(), 1)
}

// slope returns the seconds per token.
func (l *latencyModel) slope() float64 {
	spread := l.weight*l.xx - l.x*l.x
	if spread <= 0 {
		return priorSlope
	}
	return min(max((l.weight*l.xy-l.x*l.y)/spread, minSlope), maxSlope)
}

// base returns the time to a first event without any prefill, in seconds.
func (l *latencyModel) base() float64 {
	return min(max((l.y-l.slope()*l.x)/l.weight, 0), maxBase)
}

// predict returns the time to a first event after this many prefill tokens.
func (l *latencyModel) predict(tokens int64) time.Duration {
	return time.Duration((l.base() + l.slope()*float64(tokens)) * float64(time.Second))
}
