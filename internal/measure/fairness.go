package measure

import (
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/standin/judge"
)

// window is a period in which the weighted service of two accounts diverged by gap tokens.
type window struct {
	gap      float64
	pair     string
	from, to time.Duration
}

// largestGap returns the window with the largest gap among those in which both accounts had requests
// waiting throughout.
func largestGap(a, b []judge.Point, wa, wb float64) window {
	var largest window
	var low, high, diff float64
	var lowAt, highAt time.Duration
	bothWaiting := false
	var sa, sb judge.Point
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || len(a) > 0 && a[0].At <= b[0].At {
			sa, a = a[0], a[1:]
		} else {
			sb, b = b[0], b[1:]
		}
		if !sa.Waiting || !sb.Waiting {
			bothWaiting = false
			continue
		}
		at := max(sa.At, sb.At)
		diff = sa.Tokens/wa - sb.Tokens/wb
		if !bothWaiting || diff < low {
			low, lowAt = diff, at
		}
		if !bothWaiting || diff > high {
			high, highAt = diff, at
		}
		bothWaiting = true
		if high-low > largest.gap {
			largest = window{gap: high - low, from: min(lowAt, highAt), to: max(lowAt, highAt)}
		}
	}
	return largest
}

// fairness returns the window with the largest gap among all pairs of accounts of one model.
func (s *Scenario) fairness(points map[string][]judge.Point) window {
	var largest window
	for i, a := range s.Accounts {
		for _, b := range s.Accounts[i+1:] {
			if a.Model == b.Model {
				w := largestGap(points[a.Name], points[b.Name], a.Weight, b.Weight)
				w.pair = a.Name + " and " + b.Name
				if w.gap > largest.gap {
					largest = w
				}
			}
		}
	}
	return largest
}

// backloggedFraction is the fraction of time with requests waiting from which an account counts as
// backlogged.
const backloggedFraction = 0.95

// minShare returns the lowest ratio of service to weighted fair share among the backlogged accounts
// of a model; at most 1.
func (s *Scenario) minShare(points map[string][]judge.Point) float64 {
	lowest := 1.0
	weights, service := map[string]float64{}, map[string]float64{}
	var backlogged []Account
	for _, a := range s.Accounts {
		if waitingFraction(points[a.Name]) >= backloggedFraction {
			backlogged = append(backlogged, a)
			weights[a.Model] += a.Weight
			service[a.Model] += servedTokens(points[a.Name])
		}
	}
	for _, a := range backlogged {
		share := service[a.Model] * a.Weight / weights[a.Model]
		if share > 0 {
			lowest = min(lowest, servedTokens(points[a.Name])/share)
		}
	}
	return lowest
}

func servedTokens(p []judge.Point) float64 {
	if len(p) == 0 {
		return 0
	}
	return p[len(p)-1].Tokens - p[0].Tokens
}

func waitingFraction(p []judge.Point) float64 {
	if len(p) < 2 {
		return 0
	}
	var waited time.Duration
	for i := 1; i < len(p); i++ {
		if p[i-1].Waiting {
			waited += p[i].At - p[i-1].At
		}
	}
	return waited.Seconds() / (p[len(p)-1].At - p[0].At).Seconds()
}

// bound returns the bound on the fairness gap that docs/FAIRNESS.md derives, for the model where it
// is largest. It adds up the requests in flight in all zones, which later decisions cannot correct,
// and what is served between two exchanges of shares.
func (s *Scenario) bound(maxTokens int, exchange time.Duration) float64 {
	bound := 0.0
	for model, m := range s.modelCapacities() {
		lowest := 0.0
		for _, a := range s.Accounts {
			if a.Model == model && (lowest == 0 || a.Weight < lowest) {
				lowest = a.Weight
			}
		}
		if lowest == 0 {
			continue
		}
		inFlight := 2 * float64(maxTokens) * float64(m.zones+1)
		stale := 2 * m.rate * exchange.Seconds()
		bound = max(bound, (inFlight+stale)/lowest)
	}
	return bound
}

type modelCapacity struct {
	rate  float64
	zones int
}

func (s *Scenario) modelCapacities() map[string]modelCapacity {
	capacities := map[string]modelCapacity{}
	for _, z := range s.Zones {
		seen := map[string]bool{}
		for _, b := range z.Backends {
			m := capacities[b.Model]
			m.rate += float64(b.Slots) * b.TokensPerSecond
			if !seen[b.Model] {
				m.zones++
			}
			seen[b.Model] = true
			capacities[b.Model] = m
		}
	}
	return capacities
}

func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[int(p*float64(len(ds)-1))]
}
