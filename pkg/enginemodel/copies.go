package enginemodel

import "time"

const (
	// priorCopyCost is the time per copied token in seconds that a new service assumes: a quarter of the
	// reference cost of reading one.
	priorCopyCost = referenceCost / 4
	minCopyCost   = referenceCost / 1000
	maxCopyCost   = 100 * referenceCost
	// copyGain is the relative weight of a new sample.
	copyGain = 0.1
	// lateCopies is the fraction of copies that may take longer than predicted.
	lateCopies = 0.2
	// minCopySample is the number of copied tokens from which a copy says something about its cost.
	minCopySample = 1000
)

// Copies predicts the time to copy a cached prefix from another engine of the service. Copies from one
// engine follow each other, so that the time varies more than the size; four of five copies are to take
// no longer than predicted.
type Copies struct {
	// cost is the time per token in seconds, 0 before the first sample.
	cost float64
}

// Observe adds a copy of some tokens that delayed a first event by a time.
func (c *Copies) Observe(tokens int64, took time.Duration) {
	if tokens < minCopySample {
		return
	}
	cost := c.current()
	if took.Seconds() > cost*float64(tokens) {
		cost *= 1 + copyGain*(1-lateCopies)
	} else {
		cost *= 1 - copyGain*lateCopies
	}
	c.cost = min(max(cost, minCopyCost), maxCopyCost)
}

// Predict returns the time to copy some tokens.
func (c *Copies) Predict(tokens int64) time.Duration {
	return toDuration(c.current() * float64(max(0, tokens)))
}

func (c *Copies) current() float64 {
	if c.cost == 0 {
		return priorCopyCost
	}
	return c.cost
}
