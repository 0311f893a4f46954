// Package shares compares how much work client accounts got while they had requests waiting.
package shares

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// fairFraction is the fraction of the lesser of its demand and the best served account's work that a
	// backlogged account is to get.
	fairFraction = 0.5
	// allowedRequests is how many of the largest requests an account may fall short of that.
	allowedRequests = 3
)

// Interval holds what happened in one interval of time, by account.
type Interval struct {
	// Demand is the cost of the requests that arrived, Started of those that backend servers began.
	Demand, Started map[string]float64
	// Waiting holds the accounts of which a request was refused, or had its first event after its target.
	Waiting map[string]bool
}

// Timeline holds consecutive intervals by number.
type Timeline map[int64]*Interval

// At returns an interval, which is added if it is not there.
func (t Timeline) At(number int64) *Interval {
	if t[number] == nil {
		t[number] = &Interval{Demand: map[string]float64{}, Started: map[string]float64{}, Waiting: map[string]bool{}}
	}
	return t[number]
}

// Share is what a backlogged account got in a window. An account is backlogged if it is waiting in every
// interval.
type Share struct {
	// First is the number of the window's first interval.
	First         int64
	Account, Best string
	// Demand, Started and BestStarted are the sums over the window.
	Demand, Started, BestStarted float64
	// Limit is the sum over the intervals of the lesser of Demand and BestStarted.
	Limit float64
}

// Ratio returns what the account got, relative to Limit.
func (s *Share) Ratio() float64 { return s.Started / s.Limit }

// IsUnfair reports whether an account got too little, if the largest request has a given cost.
func (s *Share) IsUnfair(largest float64) bool {
	return s.Started < fairFraction*s.Limit-allowedRequests*largest
}

// Lowest returns the shares of all backlogged accounts in all windows of consecutive intervals, lowest
// ratio first.
func (t Timeline) Lowest(intervals int) []Share {
	var shares []Share
	for _, first := range slices.Sorted(maps.Keys(t)) {
		if window := t.window(first, intervals); window != nil {
			shares = append(shares, sharesIn(window, first)...)
		}
	}
	slices.SortStableFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Ratio(), b.Ratio()), cmp.Compare(a.Account, b.Account))
	})
	return shares
}

// window returns consecutive intervals, or nil if one of them is missing.
func (t Timeline) window(first int64, intervals int) []*Interval {
	var window []*Interval
	for n := first; n < first+int64(intervals); n++ {
		if t[n] == nil {
			return nil
		}
		window = append(window, t[n])
	}
	return window
}

func sharesIn(window []*Interval, first int64) []Share {
	demand, started, waiting := map[string]float64{}, map[string]float64{}, map[string]int{}
	for _, in := range window {
		for account, n := range in.Demand {
			demand[account] += n
		}
		for account, n := range in.Started {
			started[account] += n
		}
		for account := range in.Waiting {
			waiting[account]++
		}
	}
	best := ""
	for _, account := range slices.Sorted(maps.Keys(started)) {
		if started[account] > started[best] {
			best = account
		}
	}
	var shares []Share
	for _, account := range slices.Sorted(maps.Keys(waiting)) {
		limit := limitIn(window, account, best)
		if waiting[account] == len(window) && limit > 0 {
			shares = append(shares, Share{
				First: first, Account: account, Best: best, Demand: demand[account], Started: started[account], BestStarted: started[best], Limit: limit,
			})
		}
	}
	return shares
}

func limitIn(window []*Interval, account, best string) float64 {
	limit := 0.0
	for _, in := range window {
		limit += min(in.Demand[account], in.Started[best])
	}
	return limit
}
