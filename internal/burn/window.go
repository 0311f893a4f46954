// Package burn counts requests over a sliding hour and computes the burn rates of the error budgets
// of the service-level objectives.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Windows of the burn rates.
const (
	// Short shows the current burn rate, Long whether it is sustained.
	Short       = 5 * time.Minute
	Long        = time.Hour
	bucketWidth = time.Minute
	buckets     = int(Long / bucketWidth)
	// maxRows limits the pairs of account and model that a router counts.
	maxRows = 20_000
)

// Range and precision of the histograms.
const (
	minMillis = 1
	maxMillis = 600_000
	digits    = 2
)

// Counts holds the request counts of a window.
type Counts struct {
	// Total is the number of requests without client errors.
	Total int64 `json:"total"`
	// Failed is the number of failed requests that were not refused.
	Failed int64 `json:"failed"`
	// Refused is the number of requests that were refused without being run.
	Refused int64 `json:"refused"`
	// Streamed is the number of successful responses with a first byte, SlowFirst the
	// number of those that missed the objective for the first token.
	Streamed  int64 `json:"streamed"`
	SlowFirst int64 `json:"slow_first"`
	// SlowBetween is the number of those that missed the objective between tokens.
	SlowBetween int64 `json:"slow_between"`
}

// Add adds d to c.
func (c *Counts) Add(d Counts) {
	c.Total += d.Total
	c.Failed += d.Failed
	c.Refused += d.Refused
	c.Streamed += d.Streamed
	c.SlowFirst += d.SlowFirst
	c.SlowBetween += d.SlowBetween
}

// Row holds the counts of one account and model at one router.
type Row struct {
	Account string `json:"account"`
	Model   string `json:"model"`
	Short   Counts `json:"short"`
	Long    Counts `json:"long"`
}

// Snapshot holds the counts of one router.
type Snapshot struct {
	Router     string            `json:"router"`
	Objectives config.Objectives `json:"objectives"`
	Rows       []Row             `json:"rows"`
	// First maps each model to the histogram of the time to the first token, in the V2
	// compressed encoding of HdrHistogram.
	First map[string][]byte `json:"first"`
	// Uncounted is the number of requests that were not counted because of maxRows.
	Uncounted int64 `json:"uncounted"`
}

type key struct{ account, model string }

// ring is a ring buffer with one bucket per minute. minutes holds the minute of each bucket.
type ring struct {
	minutes [buckets]int64
	counts  [buckets]Counts
}

// Window counts the requests of one router. It is safe for concurrent use.
type Window struct {
	router     string
	objectives config.Objectives
	now        func() time.Time

	mu        sync.Mutex
	rows      map[key]*ring
	first     map[string]*hdrhistogram.Histogram
	uncounted int64
}

// Option changes a new Window.
type Option func(*Window)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(w *Window) { w.now = now } }

// New returns an empty window for a router.
func New(router string, o config.Objectives, opts ...Option) *Window {
	w := &Window{
		router: router, objectives: o, now: time.Now,
		rows: map[key]*ring{}, first: map[string]*hdrhistogram.Histogram{},
	}
	for _, f := range opts {
		f(w)
	}
	return w
}

// RequestEnded implements front.Observer.
func (w *Window) RequestEnded(o front.Outcome) {
	if o.Account == "" || isClientError(o) {
		return
	}
	c := w.classify(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.rows[key{o.Account, o.Model}]
	if !ok {
		if len(w.rows) >= maxRows {
			w.uncounted++
			return
		}
		r = &ring{}
		w.rows[key{o.Account, o.Model}] = r
	}
	r.add(w.now(), c)
	if c.Streamed > 0 {
		w.histogram(o.Model).RecordValue(max(minMillis, min(maxMillis, o.FirstByte.Milliseconds())))
	}
}

func (w *Window) histogram(model string) *hdrhistogram.Histogram {
	h, ok := w.first[model]
	if !ok {
		h = hdrhistogram.New(minMillis, maxMillis, digits)
		w.first[model] = h
	}
	return h
}

// isClientError reports whether the request failed because of the client. Status 429 is a refusal.
func isClientError(o front.Outcome) bool {
	return o.Code != "" && o.Status >= 400 && o.Status < 500 && o.Status != 429
}

func (w *Window) classify(o front.Outcome) Counts {
	c := Counts{Total: 1}
	switch {
	case o.Code != "" && o.Verdict == verdict.NotRun.String():
		c.Refused = 1
	case o.Code != "" || o.Status >= 500:
		c.Failed = 1
	}
	if o.Code != "" || o.FirstByte <= 0 {
		return c
	}
	c.Streamed = 1
	if o.FirstByte > w.objectives.FirstToken {
		c.SlowFirst = 1
	}
	if o.Tokens > 1 && (o.Total-o.FirstByte)/time.Duration(o.Tokens-1) > w.objectives.BetweenTokens {
		c.SlowBetween = 1
	}
	return c
}

func (r *ring) add(now time.Time, c Counts) {
	minute := now.Unix() / int64(bucketWidth.Seconds())
	i := int(minute % int64(buckets))
	if r.minutes[i] != minute {
		r.minutes[i] = minute
		r.counts[i] = Counts{}
	}
	r.counts[i].Add(c)
}

// sum returns the sum of the buckets of the last d.
func (r *ring) sum(now time.Time, d time.Duration) Counts {
	minute := now.Unix() / int64(bucketWidth.Seconds())
	var c Counts
	for i := range r.minutes {
		if r.minutes[i] > minute-int64(d/bucketWidth) && r.minutes[i] <= minute {
			c.Add(r.counts[i])
		}
	}
	return c
}

// Snapshot returns the current counts and removes rows without requests in the last hour.
func (w *Window) Snapshot() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Snapshot{Router: w.router, Objectives: w.objectives, First: map[string][]byte{}, Uncounted: w.uncounted}
	now := w.now()
	for k, r := range w.rows {
		long := r.sum(now, Long)
		if long.Total == 0 {
			delete(w.rows, k)
			continue
		}
		s.Rows = append(s.Rows, Row{Account: k.account, Model: k.model, Short: r.sum(now, Short), Long: long})
	}
	for model, h := range w.first {
		encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err == nil {
			s.First[model] = encoded
		}
	}
	return s
}
