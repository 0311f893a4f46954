package enginemodel

import "math"

const (
	// referenceCost is the time per prefill token in seconds, by which costs are expressed. It is the
	// same at every router, so that a State means the same at its receiver.
	referenceCost = 1e-5
	// priorBase is the time to a first event without prefill, in seconds, that a new service assumes.
	priorBase = 0.03
	maxBase   = 1.0
	// maxPerRunning bounds the time in seconds that a running request adds at the reference cost.
	maxPerRunning = 0.005
	// The prior of the line counts as priorWeight samples, with these deviations in seconds.
	priorWeight           = 0.5
	priorBaseSpread       = 0.03
	priorPerRunningSpread = 0.001
	// lineDecay is the factor by which older samples lose weight with each new one, so that about the
	// last 200 count.
	lineDecay = 0.995
	// costPriorSamples is the weight of the prior in the mean cost of the engines, minCostGain the
	// least weight of a new sample.
	costPriorSamples = 4
	minCostGain      = 0.02
	// maxCostStep bounds what one sample counts in the mean cost, as a logarithm: a factor of 2.
	maxCostStep = 0.7
	// maxCost bounds the mean cost in both directions, as a logarithm: a factor of about 100.
	maxCost = 4.6
	// smallTime is added to times before they are compared, in seconds. Clocks and processor queues of
	// routers are no more precise.
	smallTime = 0.01
)

// Service is what the servers of a service have in common: the line that a new engine starts from.
type Service struct {
	// base is the time to a first event without prefill, perRunning what each running request adds at
	// the reference cost, both in seconds.
	base, perRunning float64
	// cost is the mean of the engines' costs.
	cost float64
	// samples counts the samples that are part of the line.
	samples int
	// Weighted sums over the samples, in which x is the number of running requests times the cost and
	// z is the time without prefill.
	w, wx, wxx, wz, wxz float64
	deviation           deviation
}

// NewService returns the model of a service without observations.
func NewService() *Service {
	return &Service{base: priorBase, deviation: newDeviation()}
}

// work returns the part of the time to the first event that depends on an engine's cost, in seconds at
// the reference cost.
func (s *Service) work(l Load) float64 {
	return float64(max(0, l.PrefillTokens))*referenceCost + float64(max(0, l.Running))*s.perRunning
}

// observe adds a sample of an engine of the given cost.
func (s *Service) observe(l Load, took, cost float64) {
	gain := max(minCostGain, 1/float64(s.samples+1+costPriorSamples))
	s.samples++
	s.cost = clamp(s.cost+gain*clamp(cost-s.cost, maxCostStep), maxCost)

	factor := math.Exp(cost)
	x := factor * float64(max(0, l.Running))
	z := took - factor*referenceCost*float64(l.PrefillTokens)
	// Errors grow with the time itself.
	expected := s.base + factor*s.work(l)
	w := 1 / square(expected+smallTime)
	s.w = s.w*lineDecay + w
	s.wx = s.wx*lineDecay + w*x
	s.wxx = s.wxx*lineDecay + w*x*x
	s.wz = s.wz*lineDecay + w*z
	s.wxz = s.wxz*lineDecay + w*x*z
	s.solve()
}

// solve updates the line by weighted least squares with the prior.
func (s *Service) solve() {
	const baseWeight = priorWeight / (priorBaseSpread * priorBaseSpread)
	const runningWeight = priorWeight / (priorPerRunningSpread * priorPerRunningSpread)
	a, b, d := s.w+baseWeight, s.wx, s.wxx+runningWeight
	z := s.wz + baseWeight*priorBase
	perRunning := (a*s.wxz - b*z) / (a*d - b*b)
	s.perRunning = min(max(perRunning, 0), maxPerRunning)
	s.base = min(max((z-b*s.perRunning)/a, 0), maxBase)
}

func square(x float64) float64 { return x * x }

// clamp limits x to limit in both directions.
func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }
