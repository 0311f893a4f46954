package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// groupKeys returns, for each value of --by, the group of a request.
var groupKeys = map[string]func(logread.Record, time.Duration) string{
	"time": func(r logread.Record, rowLength time.Duration) string {
		return r.Time.Truncate(rowLength).Format("15:04:05.000")
	},
	"router":  func(r logread.Record, _ time.Duration) string { return r.Router },
	"account": func(r logread.Record, _ time.Duration) string { return r.Fields["account"] },
	"model":   func(r logread.Record, _ time.Duration) string { return r.Fields["model"] },
	"code":    func(r logread.Record, _ time.Duration) string { return cmp.Or(r.Fields["code"], "answered") },
}

// GroupNames returns the valid values of --by, sorted.
func GroupNames() []string { return slices.Sorted(maps.Keys(groupKeys)) }

// count holds the outcomes of the requests of one group.
type count struct {
	ended, succeeded int
	codes            map[string]int
	// latencies holds the times from arrival to end, in milliseconds.
	latencies *hdrhistogram.Histogram
}

// Range and precision of the latency histogram.
const (
	maxMillis = 10 * 60 * 1000
	digits    = 2
)

// maxCodes limits the codes per row.
const maxCodes = 4

// Counts writes a table of the outcomes of requests that ended between two times, grouped by
// one of GroupNames. A zero time is no bound. rowLength applies to groups by time only.
func Counts(w io.Writer, records []logread.Record, by string, rowLength time.Duration, from, to time.Time) error {
	keyOf, ok := groupKeys[by]
	if !ok {
		return fmt.Errorf("cannot group by %q; must be one of %s", by, strings.Join(GroupNames(), ", "))
	}
	counts := map[string]*count{}
	for _, r := range records {
		if r.Event != eventEnd || r.Time.Before(from) || !to.IsZero() && r.Time.After(to) {
			continue
		}
		key := keyOf(r, rowLength)
		if counts[key] == nil {
			counts[key] = &count{codes: map[string]int{}, latencies: hdrhistogram.New(1, maxMillis, digits)}
		}
		counts[key].add(r)
	}
	return printCounts(w, by, counts)
}

func (c *count) add(r logread.Record) {
	c.ended++
	_ = c.latencies.RecordValue(min(max(r.Int("total_ms"), 1), maxMillis))
	if code := r.Fields["code"]; code != "" {
		c.codes[code]++
		return
	}
	c.succeeded++
}

func printCounts(w io.Writer, by string, counts map[string]*count) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s\tended\tanswered\tp50 ms\tp95 ms\tothers\n", by)
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		c := counts[key]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\n", cmp.Or(key, "-"), c.ended, c.succeeded,
			c.latencies.ValueAtPercentile(50), c.latencies.ValueAtPercentile(95), c.topCodes())
	}
	return t.Flush()
}

// topCodes lists the most frequent codes with their counts.
func (c *count) topCodes() string {
	names := slices.SortedFunc(maps.Keys(c.codes), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.codes[b], c.codes[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(maxCodes, len(names))] {
		parts = append(parts, fmt.Sprintf("%s %d", name, c.codes[name]))
	}
	return strings.Join(parts, ", ")
}
