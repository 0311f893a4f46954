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

// Groups by which requests can be counted, by name.
var groups = map[string]func(logread.Record, time.Duration) string{
	"time": func(r logread.Record, every time.Duration) string {
		return r.Time.Truncate(every).Format("15:04:05.000")
	},
	"router":  func(r logread.Record, _ time.Duration) string { return r.Router },
	"account": func(r logread.Record, _ time.Duration) string { return r.Fields["account"] },
	"model":   func(r logread.Record, _ time.Duration) string { return r.Fields["model"] },
	"code":    func(r logread.Record, _ time.Duration) string { return cmp.Or(r.Fields["code"], "answered") },
}

// GroupNames lists by what requests can be counted.
func GroupNames() []string { return slices.Sorted(maps.Keys(groups)) }

// count is how the requests of one group ended.
type count struct {
	asked, answered int
	codes           map[string]int
	// total are the times to the end, in milliseconds.
	total *hdrhistogram.Histogram
}

// The times that a histogram holds, in milliseconds, and its digits.
const (
	longestMillis = 10 * 60 * 1000
	digits        = 2
)

// mostCodes is how many codes are shown in a row.
const mostCodes = 4

// Counts writes how the requests that ended between two times ended, by a
// group; zero times are no bounds.
func Counts(w io.Writer, records []logread.Record, by string, every time.Duration, from, to time.Time) error {
	keyOf, ok := groups[by]
	if !ok {
		return fmt.Errorf("cannot count by %q; by one of %s", by, strings.Join(GroupNames(), ", "))
	}
	counts := map[string]*count{}
	for _, r := range records {
		if r.Event != eventEnd || r.Time.Before(from) || !to.IsZero() && r.Time.After(to) {
			continue
		}
		key := keyOf(r, every)
		if counts[key] == nil {
			counts[key] = &count{codes: map[string]int{}, total: hdrhistogram.New(1, longestMillis, digits)}
		}
		counts[key].add(r)
	}
	return printCounts(w, by, counts)
}

func (c *count) add(r logread.Record) {
	c.asked++
	_ = c.total.RecordValue(min(max(r.Int("total_ms"), 1), longestMillis))
	if code := r.Fields["code"]; code != "" {
		c.codes[code]++
		return
	}
	c.answered++
}

func printCounts(w io.Writer, by string, counts map[string]*count) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s\tended\tanswered\tp50 ms\tp95 ms\tothers\n", by)
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		c := counts[key]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\n", cmp.Or(key, "-"), c.asked, c.answered,
			c.total.ValueAtPercentile(50), c.total.ValueAtPercentile(95), c.others())
	}
	return t.Flush()
}

// others lists the most frequent codes.
func (c *count) others() string {
	names := slices.SortedFunc(maps.Keys(c.codes), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.codes[b], c.codes[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, name := range names[:min(mostCodes, len(names))] {
		parts = append(parts, fmt.Sprintf("%s %d", name, c.codes[name]))
	}
	return strings.Join(parts, ", ")
}
