package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// countInterval is the granularity of the counts and the step of the sliding window.
const countInterval = time.Second

// usage holds the demand and the started work of all accounts in one interval, in tokens.
type usage struct {
	demand, started map[string]float64
	// refused counts refused requests by account.
	refused map[string]int
}

// share is the service that a backlogged account got in a window.
type share struct {
	start         time.Time
	account, best string
	// demand, started and bestStarted are in tokens. ratio is started, divided by the sum
	// of the lesser of demand and bestStarted in each interval.
	demand, started, bestStarted, ratio float64
}

// LeastServed writes the lowest shares that backlogged accounts got of the work of the best
// served account. An account is backlogged in a window if a request of it was refused in every
// second. Demand counts at arrival, started work when an attempt is sent to a backend server.
// The window is a whole number of seconds.
func LeastServed(w io.Writer, records []logread.Record, window time.Duration, maxRows int) error {
	intervals := int(window / countInterval)
	if intervals < 1 || window%countInterval != 0 {
		return fmt.Errorf("invalid window %s; must be whole seconds, such as 6s", window)
	}
	shares := lowestShares(usageByInterval(records), intervals)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "from\taccount\tpart\tasked\tbegun\tbest\tbegun by it\n")
	for _, s := range shares[:min(maxRows, len(shares))] {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.0f\t%.0f\t%s\t%.0f\n", s.start.Format("15:04:05"), s.account, s.ratio, s.demand, s.started, s.best, s.bestStarted)
	}
	return t.Flush()
}

// usageByInterval returns the usage by interval number since 1970.
func usageByInterval(records []logread.Record) map[int64]*usage {
	type request struct {
		account string
		cost    float64
	}
	requests := map[string]request{}
	intervals := map[int64]*usage{}
	usageAt := func(t time.Time) *usage {
		n := t.UnixNano() / int64(countInterval)
		if intervals[n] == nil {
			intervals[n] = &usage{demand: map[string]float64{}, started: map[string]float64{}, refused: map[string]int{}}
		}
		return intervals[n]
	}
	for i := range records {
		r := &records[i]
		cost := admit.Cost(r.Int("prompt"), r.Int("output"))
		if r.Event != eventEnd || r.Fields["account"] == "" || cost == 0 {
			continue
		}
		req := request{account: r.Fields["account"], cost: cost}
		requests[r.Fields["request"]] = req
		u := usageAt(startTime(r))
		u.demand[req.account] += cost
		if r.Fields["code"] != "" && r.Fields["code"] != "caller-gone" {
			u.refused[req.account]++
		}
	}
	for i := range records {
		r := &records[i]
		if req, ok := requests[r.Fields["request"]]; ok && r.Event == eventAttempt && r.Fields["sent"] == "true" {
			usageAt(startTime(r)).started[req.account] += req.cost
		}
	}
	return intervals
}

// startTime returns the start of a request or attempt from the record of its end.
func startTime(r *logread.Record) time.Time {
	return r.Time.Add(-time.Duration(r.Int("total_ms")) * time.Millisecond)
}

// lowestShares returns the shares of all backlogged accounts in all windows, lowest first.
func lowestShares(byInterval map[int64]*usage, intervals int) []share {
	var shares []share
	for _, first := range slices.Sorted(maps.Keys(byInterval)) {
		if window := windowFrom(byInterval, first, intervals); window != nil {
			shares = append(shares, sharesIn(window, time.Unix(0, first*int64(countInterval)).UTC())...)
		}
	}
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(a.account, b.account)) })
	return shares
}

// windowFrom returns the usage of consecutive intervals, or nil if one of them has no requests.
func windowFrom(byInterval map[int64]*usage, first int64, intervals int) []*usage {
	var window []*usage
	for n := first; n < first+int64(intervals); n++ {
		if byInterval[n] == nil {
			return nil
		}
		window = append(window, byInterval[n])
	}
	return window
}

// sharesIn returns the shares of the accounts with refused requests in every interval of a
// window.
func sharesIn(window []*usage, start time.Time) []share {
	demand, started, refused := map[string]float64{}, map[string]float64{}, map[string]int{}
	for _, u := range window {
		for account, n := range u.demand {
			demand[account] += n
		}
		for account, n := range u.started {
			started[account] += n
		}
		for account := range u.refused {
			refused[account]++
		}
	}
	best := ""
	for _, account := range slices.Sorted(maps.Keys(started)) {
		if started[account] > started[best] {
			best = account
		}
	}
	var shares []share
	for _, account := range slices.Sorted(maps.Keys(refused)) {
		if refused[account] == len(window) && best != "" {
			s := share{start: start, account: account, best: best, demand: demand[account], started: started[account], bestStarted: started[best]}
			if limit := attainable(window, account, best); limit > 0 {
				s.ratio = s.started / limit
				shares = append(shares, s)
			}
		}
	}
	return shares
}

// attainable returns how much work an account could have started in a window: its demand in each
// interval, limited to the work that the best served account started.
func attainable(window []*usage, account, best string) float64 {
	limit := 0.0
	for _, u := range window {
		limit += min(u.demand[account], u.started[best])
	}
	return limit
}
