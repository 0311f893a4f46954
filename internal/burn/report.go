package burn

import (
	"fmt"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowmast/yarrowmast/internal/config"
)

// Burn rates at which an alert is raised, when both windows are over them: at
// 14.4 a month's budget is gone in two days, at 6 in five.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Alert is the state of a service level.
type Alert string

// The states of a service level.
const (
	AlertNone   Alert = "ok"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// ServiceLevel is how one service level is kept by one account and model.
type ServiceLevel struct {
	Account string `json:"account"`
	Model   string `json:"model"`
	// Objective is availability, refusals, first-token or between-tokens.
	Objective string `json:"objective"`
	// Short and Long are burn rates: 1 uses up the budget exactly.
	Short float64 `json:"short_burn"`
	Long  float64 `json:"long_burn"`
	// BudgetLeft is the part of the long window's budget that is left.
	BudgetLeft float64 `json:"budget_left"`
	Requests   int64   `json:"requests"`
	Alert      Alert   `json:"alert"`
}

// FirstToken is a model's time to the first token over all routers.
type FirstToken struct {
	Model string `json:"model"`
	P50   int64  `json:"p50_ms"`
	P95   int64  `json:"p95_ms"`
	P99   int64  `json:"p99_ms"`
	Count int64  `json:"count"`
}

// Report is the fleet's burn.
type Report struct {
	// Levels has the worst first.
	Levels []ServiceLevel `json:"levels"`
	First  []FirstToken   `json:"first_token"`
	// Missing names the routers that did not answer.
	Missing []string `json:"missing"`
	// Uncounted is how many requests found no room at their router.
	Uncounted int64 `json:"uncounted"`
}

// level describes one service level.
type level struct {
	name string
	// allowed is the share of requests that may miss it.
	allowed func(config.Objectives) float64
	bad     func(Counts) int64
	of      func(Counts) int64
}

const percent = 100

var levels = []level{
	{"availability", func(o config.Objectives) float64 { return 1 - o.AvailabilityPercent/percent },
		func(c Counts) int64 { return c.Failed }, func(c Counts) int64 { return c.Total }},
	{"refusals", func(o config.Objectives) float64 { return 1 - o.RefusalPercent/percent },
		func(c Counts) int64 { return c.Refused }, func(c Counts) int64 { return c.Total }},
	{"first-token", func(o config.Objectives) float64 { return 1 - o.LatencyPercent/percent },
		func(c Counts) int64 { return c.SlowFirst }, func(c Counts) int64 { return c.Streamed }},
	{"between-tokens", func(o config.Objectives) float64 { return 1 - o.LatencyPercent/percent },
		func(c Counts) int64 { return c.SlowBetween }, func(c Counts) int64 { return c.Streamed }},
}

// Merge adds the snapshots of all routers up.
func Merge(snapshots []Snapshot, missing []string) (*Report, error) {
	r := &Report{Missing: missing}
	rows := map[key]*Row{}
	first := map[string]*hdrhistogram.Histogram{}
	var objectives config.Objectives
	for _, s := range snapshots {
		objectives = s.Objectives
		r.Uncounted += s.Uncounted
		for _, x := range s.Rows {
			k := key{x.Account, x.Model}
			if rows[k] == nil {
				rows[k] = &Row{Account: x.Account, Model: x.Model}
			}
			rows[k].Short.Add(x.Short)
			rows[k].Long.Add(x.Long)
		}
		if err := mergeFirst(first, s); err != nil {
			return nil, err
		}
	}
	for _, x := range rows {
		r.Levels = append(r.Levels, x.levels(objectives)...)
	}
	sort.Slice(r.Levels, func(i, j int) bool { return worse(&r.Levels[i], &r.Levels[j]) })
	r.addFirst(first)
	return r, nil
}

func mergeFirst(first map[string]*hdrhistogram.Histogram, s Snapshot) error {
	for model, data := range s.First {
		h, err := hdrhistogram.Decode(data)
		if err != nil {
			return fmt.Errorf("burn: histogram of %s at %s: %w", model, s.Router, err)
		}
		if first[model] == nil {
			first[model] = hdrhistogram.New(lowestMillis, highestMillis, digits)
		}
		first[model].Merge(h)
	}
	return nil
}

func (r *Report) addFirst(first map[string]*hdrhistogram.Histogram) {
	for model, h := range first {
		r.First = append(r.First, FirstToken{
			Model: model, P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Count: h.TotalCount(),
		})
	}
	sort.Slice(r.First, func(i, j int) bool { return r.First[i].Model < r.First[j].Model })
}

func worse(a, b *ServiceLevel) bool {
	if a.Long != b.Long {
		return a.Long > b.Long
	}
	if a.Account != b.Account {
		return a.Account < b.Account
	}
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	return a.Objective < b.Objective
}

func (x *Row) levels(o config.Objectives) []ServiceLevel {
	var all []ServiceLevel
	for _, l := range levels {
		v := ServiceLevel{
			Account: x.Account, Model: x.Model, Objective: l.name, Requests: l.of(x.Long),
			Short: rate(l.bad(x.Short), l.of(x.Short), l.allowed(o)),
			Long:  rate(l.bad(x.Long), l.of(x.Long), l.allowed(o)),
		}
		v.BudgetLeft = max(0, 1-v.Long)
		v.Alert = alert(v.Short, v.Long)
		all = append(all, v)
	}
	return all
}

func rate(bad, of int64, allowed float64) float64 {
	if of == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(of) / allowed
}

func alert(short, long float64) Alert {
	switch both := min(short, long); {
	case both >= PageRate:
		return AlertPage
	case both >= TicketRate:
		return AlertTicket
	default:
		return AlertNone
	}
}
