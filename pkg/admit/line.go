package admit

import "time"

// latencyModel predicts the time to the first event of an answer from the tokens that
// are to be read before it: a straight line through what was seen lately.
type latencyModel struct {
	// weight, x, y, xx and xy are sums over what was seen, of which older
	// parts count less; x is in tokens, y in seconds.
	weight, x, y, xx, xy float64
}

const (
	// fade is what remains of the weight of what was seen with each sample
	// more, so that about the last 100 count.
	fade = 0.99
	// Before anything is seen, an engine is taken to read 100 tokens in a
	// millisecond and to need 30 ms besides; this counts as priorWeight samples
	// over prompts of priorSpread tokens.
	priorSlope  = 1e-5
	priorBase   = 0.03
	priorWeight = 10
	priorSpread = 4000
	// The slope stays within these, in seconds a token.
	leastSlope = 1e-6
	mostSlope  = 1e-3
	// mostBase bounds the time that is put down to no token, in seconds.
	mostBase = 1.0
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

// observe adds a sample: a first event came after a time, when so many tokens were
// to be read at the start.
func (l *latencyModel) observe(tokens int64, took time.Duration) {
	l.weight *= fade
	l.x *= fade
	l.y *= fade
	l.xx *= fade
	l.xy *= fade
	l.addWeighted(float64(tokens), took.Seconds(), 1)
}

// slope returns the seconds that a token takes.
func (l *latencyModel) slope() float64 {
	spread := l.weight*l.xx - l.x*l.x
	if spread <= 0 {
		return priorSlope
	}
	return min(max((l.weight*l.xy-l.x*l.y)/spread, leastSlope), mostSlope)
}

// base returns the seconds that pass without a token to be read.
func (l *latencyModel) base() float64 {
	return min(max((l.y-l.slope()*l.x)/l.weight, 0), mostBase)
}

// predict returns the time to the first event behind so many tokens.
func (l *latencyModel) predict(tokens int64) time.Duration {
	return time.Duration((l.base() + l.slope()*float64(tokens)) * float64(time.Second))
}
