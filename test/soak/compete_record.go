package main

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/shares"
	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// competeRecord is what callers and workers observed while accounts competed.
type competeRecord struct {
	mu       sync.Mutex
	start    time.Time
	timeline shares.Timeline
	costs    map[string]float64
	// refused are the requests of which the caller was told that they did not run.
	refused map[string]bool
	// frozen are the intervals in which a router did not run, as where the machine has too many processes.
	frozen map[int64]bool
}

func newCompeteRecord(plan competition, start time.Time) *competeRecord {
	r := &competeRecord{start: start, timeline: shares.Timeline{}, costs: map[string]float64{}, refused: map[string]bool{}, frozen: map[int64]bool{}}
	for i := range plan.competitors {
		r.costs[plan.competitors[i].name] = plan.competitors[i].cost()
	}
	return r
}

// at returns the interval of a time, nil before competeSettle and after the end.
func (r *competeRecord) at(t time.Time) *shares.Interval {
	since := t.Sub(r.start)
	if since < competeSettle || since >= competeTime {
		return nil
	}
	return r.timeline.At(int64(since / shareInterval))
}

// addRequest adds a request with the time to its first event, 0 if it was refused.
func (r *competeRecord) addRequest(account string, sentAt time.Time, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := r.at(sentAt)
	if in == nil {
		return
	}
	in.Demand[account] += r.costs[account]
	if first == 0 || first > competeTarget {
		in.Waiting[account] = true
	}
}

// addRefused adds a request of which the caller was told that it did not run.
func (r *competeRecord) addRefused(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id] = true
}

// addFrozen notes that a router did not run for a time: nobody owes shares then.
func (r *competeRecord) addFrozen(from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t := from; !t.After(to); t = t.Add(shareInterval / 2) {
		r.frozen[int64(t.Sub(r.start)/shareInterval)] = true
	}
}

// calm returns the timeline without the intervals in which a router did not run.
func (r *competeRecord) calm() shares.Timeline {
	calm := maps.Clone(r.timeline)
	for n := range r.frozen {
		delete(calm, n)
	}
	return calm
}

// addRun adds a request that a worker began.
func (r *competeRecord) addRun(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in := r.at(run.At); in != nil {
		in.Started[run.Tenant] += r.costs[run.Tenant]
	}
}

// checkShares records a violation for each account that waited and got too little, in its worst window.
func (c *checker) checkShares(r *competeRecord) {
	largest, seen := 0.0, map[string]bool{}
	for _, cost := range r.costs {
		largest = max(largest, cost)
	}
	for _, s := range r.calm().Lowest(shareIntervals) {
		if s.IsUnfair(largest) && !seen[s.Account] {
			seen[s.Account] = true
			c.report(RuleShare, "-", fmt.Sprintf("%s waited from second %d on and began %.0f of the %.0f that it asked for, %s began %.0f", s.Account, s.First, s.Started, s.Demand, s.Best, s.BestStarted))
		}
	}
}

// starve makes an account appear to have waited and got nothing.
func (r *competeRecord) starve(account string) {
	for _, in := range r.timeline {
		in.Waiting[account] = true
		delete(in.Started, account)
	}
}
