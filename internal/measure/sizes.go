package measure

import (
	"math"
	"math/rand/v2"
	"path/filepath"
	"strings"
)

func baseName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
}

// lognormalSigma is the sigma parameter of the lognormal distribution of costs.
const lognormalSigma = 0.8

// draw returns the random cost of one request, in tokens.
func (t Tokens) draw(rng *rand.Rand) int {
	x := t.Max
	switch t.Distribution {
	case "uniform":
		x = t.Min + rng.Float64()*(t.Max-t.Min)
	case "lognormal":
		x = t.Median * math.Exp(lognormalSigma*rng.NormFloat64())
	}
	return int(max(1, min(t.Max, max(t.Min, x))))
}
