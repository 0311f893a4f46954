package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
	"github.com/yarrowmast/yarrowmast/internal/shares"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// countInterval is the granularity of the counts and the step of the sliding window.
const countInterval = time.Second

// LeastServed writes the lowest shares that backlogged accounts got of the work of the best
// served account. An account is backlogged in a window if in every second a request of it was
// refused, or had its first event after its target. Demand counts at arrival, started work when an
// attempt is sent to a backend server. The window is a whole number of seconds.
func LeastServed(w io.Writer, records []logread.Record, window time.Duration, maxRows int) error {
	intervals := int(window / countInterval)
	if intervals < 1 || window%countInterval != 0 {
		return fmt.Errorf("invalid window %s; must be whole seconds, such as 6s", window)
	}
	lowest := timelineOf(records).Lowest(intervals)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "from\taccount\tpart\tasked\tbegun\tbest\tbegun by it\n")
	for _, s := range lowest[:min(maxRows, len(lowest))] {
		start := time.Unix(0, s.First*int64(countInterval)).UTC()
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.0f\t%.0f\t%s\t%.0f\n", start.Format("15:04:05"), s.Account, s.Ratio(), s.Demand, s.Started, s.Best, s.BestStarted)
	}
	return t.Flush()
}

// loggedRequest is a request as its request_end tells.
type loggedRequest struct {
	account string
	cost    float64
	arrived time.Time
	// target is the desired time to the first event, 0 if it is unknown.
	target time.Duration
}

// timelineOf returns what accounts asked for and got, by interval number since 1970.
func timelineOf(records []logread.Record) shares.Timeline {
	requests := map[string]loggedRequest{}
	timeline := shares.Timeline{}
	at := func(t time.Time) *shares.Interval { return timeline.At(t.UnixNano() / int64(countInterval)) }
	for i := range records {
		r := &records[i]
		cost := admit.Cost(r.Int("prompt"), r.Int("output"))
		if r.Event != eventEnd || r.Fields["account"] == "" || cost == 0 {
			continue
		}
		req := loggedRequest{account: r.Fields["account"], cost: cost, arrived: startTime(r), target: milliseconds(r, "target_ms")}
		requests[r.Fields["request"]] = req
		at(req.arrived).Demand[req.account] += cost
		if r.Fields["code"] != "" && r.Fields["code"] != "caller-gone" {
			at(req.arrived).Waiting[req.account] = true
		}
	}
	for i := range records {
		r := &records[i]
		req, ok := requests[r.Fields["request"]]
		if !ok || r.Event != eventAttempt || r.Fields["sent"] != "true" {
			continue
		}
		began := startTime(r)
		at(began).Started[req.account] += req.cost
		if req.target > 0 && began.Add(milliseconds(r, "first_ms")).Sub(req.arrived) > req.target {
			at(req.arrived).Waiting[req.account] = true
		}
	}
	return timeline
}

// startTime returns the start of a request or attempt from the record of its end.
func startTime(r *logread.Record) time.Time { return r.Time.Add(-milliseconds(r, "total_ms")) }

func milliseconds(r *logread.Record, field string) time.Duration {
	return time.Duration(r.Int(field)) * time.Millisecond
}
