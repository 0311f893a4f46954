// Package burn counts how requests met the service levels, in memory and over
// a sliding hour, and works out how fast their budgets burn.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// The windows over which burn is reported.
const (
	// Short shows what burns now, Long whether it goes on.
	Short = 5 * time.Minute
	Long  = time.Hour
	// bucketFor is the grain of the windows.
	bucketFor = time.Minute
	buckets   = int(Long / bucketFor)
	// maxRows bounds the accounts and models counted at one router.
	maxRows = 20_000
)

// Histograms run from 1 ms to 10 minutes at two digits, so that merging
// changes no value by more than 1%.
const (
	lowestMillis  = 1
	highestMillis = 600_000
	digits        = 2
)

// Counts are what happened in a window.
type Counts struct {
	// Total is every request but those that callers got wrong themselves.
	Total int64 `json:"total"`
	// Failed were not answered and not refused.
	Failed int64 `json:"failed"`
	// Refused were refused as not run.
	Refused int64 `json:"refused"`
	// Streamed is how many answers had a first byte to time, and SlowFirst
	// how many of them came later than the objective.
	Streamed  int64 `json:"streamed"`
	SlowFirst int64 `json:"slow_first"`
	// SlowBetween is how many streams took longer between tokens.
	SlowBetween int64 `json:"slow_between"`
}

// Add adds other counts.
func (c *Counts) Add(d Counts) {
	c.Total += d.Total
	c.Failed += d.Failed
	c.Refused += d.Refused
	c.Streamed += d.Streamed
	c.SlowFirst += d.SlowFirst
	c.SlowBetween += d.SlowBetween
}

// Row is one account's use of one model at one router.
type Row struct {
	Account string `json:"account"`
	Model   string `json:"model"`
	Short   Counts `json:"short"`
	Long    Counts `json:"long"`
}

// Snapshot is what one router counted.
type Snapshot struct {
	Router     string            `json:"router"`
	Objectives config.Objectives `json:"objectives"`
	Rows       []Row             `json:"rows"`
	// First holds, by model, the histogram of the time to the first token
	// in the V2 compressed encoding.
	First map[string][]byte `json:"first"`
	// Uncounted is how many requests found no room in the rows.
	Uncounted int64 `json:"uncounted"`
}

type key struct{ account, model string }

// row is a ring of buckets; each knows which minute it counts.
type row struct {
	at     [buckets]int64
	counts [buckets]Counts
}

// Window counts for one router. It is safe for concurrent use.
type Window struct {
	router     string
	objectives config.Objectives
	now        func() time.Time

	mu        sync.Mutex
	rows      map[key]*row
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
		rows: map[key]*row{}, first: map[string]*hdrhistogram.Histogram{},
	}
	for _, f := range opts {
		f(w)
	}
	return w
}

// RequestEnded implements front.Observer.
func (w *Window) RequestEnded(o front.Outcome) {
	if o.Account == "" || callersFault(o) {
		return
	}
	c := w.judge(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.rows[key{o.Account, o.Model}]
	if !ok {
		if len(w.rows) >= maxRows {
			w.uncounted++
			return
		}
		r = &row{}
		w.rows[key{o.Account, o.Model}] = r
	}
	r.add(w.now(), c)
	if c.Streamed > 0 {
		w.histogram(o.Model).RecordValue(max(lowestMillis, min(highestMillis, o.FirstByte.Milliseconds())))
	}
}

func (w *Window) histogram(model string) *hdrhistogram.Histogram {
	h, ok := w.first[model]
	if !ok {
		h = hdrhistogram.New(lowestMillis, highestMillis, digits)
		w.first[model] = h
	}
	return h
}

// callersFault reports whether the request failed by its caller's doing.
func callersFault(o front.Outcome) bool {
	return o.Code != "" && o.Status >= 400 && o.Status < 500 && o.Status != 429
}

func (w *Window) judge(o front.Outcome) Counts {
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

func (r *row) add(now time.Time, c Counts) {
	minute := now.Unix() / int64(bucketFor.Seconds())
	i := int(minute % int64(buckets))
	if r.at[i] != minute {
		r.at[i] = minute
		r.counts[i] = Counts{}
	}
	r.counts[i].Add(c)
}

// sum adds up the buckets of the last d.
func (r *row) sum(now time.Time, d time.Duration) Counts {
	minute := now.Unix() / int64(bucketFor.Seconds())
	var c Counts
	for i := range r.at {
		if r.at[i] > minute-int64(d/bucketFor) && r.at[i] <= minute {
			c.Add(r.counts[i])
		}
	}
	return c
}

// Snapshot returns what was counted.
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
		data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err == nil {
			s.First[model] = data
		}
	}
	return s
}
