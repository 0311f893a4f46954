package measure

import (
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/standin/judge"
)

// window is a difference of weighted service between two accounts, in tokens,
// and between which moments it came about.
type window struct {
	gap      float64
	accounts string
	from, to time.Duration
}

// largestGap returns the largest difference over all windows in which both
// accounts had work waiting throughout.
func largestGap(a, b []judge.Point, wa, wb float64) window {
	var most window
	var low, high, d float64
	var lowAt, highAt time.Duration
	inside := false
	var sa, sb judge.Point
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || len(a) > 0 && a[0].At <= b[0].At {
			sa, a = a[0], a[1:]
		} else {
			sb, b = b[0], b[1:]
		}
		if !sa.Waiting || !sb.Waiting {
			inside = false
			continue
		}
		now := max(sa.At, sb.At)
		d = sa.Tokens/wa - sb.Tokens/wb
		if !inside || d < low {
			low, lowAt = d, now
		}
		if !inside || d > high {
			high, highAt = d, now
		}
		inside = true
		if high-low > most.gap {
			most = window{gap: high - low, from: min(lowAt, highAt), to: max(lowAt, highAt)}
		}
	}
	return most
}

// fairness returns the largest gap over all pairs of accounts of one model.
func (s *Scenario) fairness(points map[string][]judge.Point) window {
	var most window
	for i, a := range s.Accounts {
		for _, b := range s.Accounts[i+1:] {
			if a.Model == b.Model {
				w := largestGap(points[a.Name], points[b.Name], a.Weight, b.Weight)
				w.accounts = a.Name + " and " + b.Name
				if w.gap > most.gap {
					most = w
				}
			}
		}
	}
	return most
}

// backloggedShare is how much of the time an account must have had work
// waiting to count as backlogged.
const backloggedShare = 0.95

// minShare returns the least of service over weighted fair share among the
// accounts of a model that were backlogged; 1 where there are fewer than two.
func (s *Scenario) minShare(points map[string][]judge.Point) float64 {
	least := 1.0
	weights, service := map[string]float64{}, map[string]float64{}
	var backlogged []Account
	for _, a := range s.Accounts {
		if waitingShare(points[a.Name]) >= backloggedShare {
			backlogged = append(backlogged, a)
			weights[a.Model] += a.Weight
			service[a.Model] += got(points[a.Name])
		}
	}
	for _, a := range backlogged {
		share := service[a.Model] * a.Weight / weights[a.Model]
		if share > 0 {
			least = min(least, got(points[a.Name])/share)
		}
	}
	return least
}

func got(p []judge.Point) float64 {
	if len(p) == 0 {
		return 0
	}
	return p[len(p)-1].Tokens - p[0].Tokens
}

func waitingShare(p []judge.Point) float64 {
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

// bound is the documented bound on the fairness gap; docs/FAIRNESS.md derives
// it. It counts, for the model where it is largest, what the slots of all
// zones may be serving uncorrected, and what is served between two shares.
func (s *Scenario) bound(largest int, exchange time.Duration) float64 {
	worst := 0.0
	for model, m := range s.modelSizes() {
		least := 0.0
		for _, a := range s.Accounts {
			if a.Model == model && (least == 0 || a.Weight < least) {
				least = a.Weight
			}
		}
		if least == 0 {
			continue
		}
		inFlight := 2 * float64(largest) * float64(m.zones+1)
		stale := 2 * m.rate * exchange.Seconds()
		worst = max(worst, (inFlight+stale)/least)
	}
	return worst
}

type modelSize struct {
	rate  float64
	zones int
}

func (s *Scenario) modelSizes() map[string]modelSize {
	sizes := map[string]modelSize{}
	for _, z := range s.Zones {
		here := map[string]bool{}
		for _, b := range z.Backends {
			m := sizes[b.Model]
			m.rate += float64(b.Slots) * b.TokensPerSecond
			if !here[b.Model] {
				m.zones++
			}
			here[b.Model] = true
			sizes[b.Model] = m
		}
	}
	return sizes
}

func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[int(p*float64(len(ds)-1))]
}
