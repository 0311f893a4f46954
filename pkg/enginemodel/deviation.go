package enginemodel

const (
	// lateFraction is the fraction of first events that may arrive after Expected + Margin.
	lateFraction = 0.2
	// priorDeviation leaves a margin of a quarter of the expected time, a fifth of a target.
	priorDeviation = 0.25
	minDeviation   = 0.03
	maxDeviation   = 3.0
	// deviationGain is the relative weight of a new sample. It is firstDeviationGain at first and falls
	// over deviationSettle samples.
	deviationGain      = 0.1
	firstDeviationGain = 0.4
	deviationSettle    = 5
)

// deviation estimates the relative prediction error that four of five samples do not exceed. A sample
// changes it by the same step however large its error is, so that outliers have little effect.
type deviation struct {
	value   float64
	samples int
}

func newDeviation() deviation { return deviation{value: priorDeviation} }

// observe adds a sample. Times are in seconds.
func (d *deviation) observe(took, expected float64) {
	gain := max(deviationGain, firstDeviationGain*deviationSettle/float64(deviationSettle+d.samples))
	d.samples++
	step := gain * d.value
	if took > expected+d.margin(expected) {
		d.value += (1 - lateFraction) * step
	} else {
		d.value -= lateFraction * step
	}
	d.value = min(max(d.value, minDeviation), maxDeviation)
}

// margin returns the margin of an expected time.
func (d *deviation) margin(expected float64) float64 { return d.value * (expected + smallTime) }
