package burn

import (
	"fmt"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowmast/yarrowmast/internal/config"
)

// Burn rates that raise an alert if both windows reach them. A budget for 30 days lasts two days at
// PageRate and five days at TicketRate.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Alert is the alert state of a service level.
type Alert string

// Alert states.
const (
	AlertNone   Alert = "ok"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// ServiceLevel is the state of one objective for one account and model.
type ServiceLevel struct {
	Account string `json:"account"`
	Model   string `json:"model"`
	// Objective is availability, refusals, first-token or between-tokens.
	Objective string `json:"objective"`
	// Short and Long are the burn rates of the two windows. A rate of 1 uses exactly the
	// error budget.
	Short float64 `json:"short_burn"`
	Long  float64 `json:"long_burn"`
	// BudgetLeft is the remaining fraction of the error budget of the long window.
	BudgetLeft float64 `json:"budget_left"`
	Requests   int64   `json:"requests"`
	Alert      Alert   `json:"alert"`
}

// FirstToken holds the percentiles of the time to the first token of a model across all routers.
type FirstToken struct {
	Model string `json:"model"`
	P50   int64  `json:"p50_ms"`
	P95   int64  `json:"p95_ms"`
	P99   int64  `json:"p99_ms"`
	Count int64  `json:"count"`
}

// Report is the burn-rate report of the fleet.
type Report struct {
	// Levels is sorted by Long, highest first.
	Levels []ServiceLevel `json:"levels"`
	First  []FirstToken   `json:"first_token"`
	// Missing lists the routers that did not respond.
	Missing []string `json:"missing"`
	// Uncounted is the number of requests that were not counted because of maxRows.
	Uncounted int64 `json:"uncounted"`
}

// objective defines how to count the requests that miss an objective.
type objective struct {
	name string
	// errorBudget returns the fraction of requests that may miss the objective.
	errorBudget func(config.Objectives) float64
	countBad    func(Counts) int64
	countTotal  func(Counts) int64
}

const percent = 100

var objectiveList = []objective{
	{"availability", func(o config.Objectives) float64 { return 1 - o.AvailabilityPercent/percent },
		func(c Counts) int64 { return c.Failed }, func(c Counts) int64 { return c.Total }},
	{"refusals", func(o config.Objectives) float64 { return 1 - o.RefusalPercent/percent },
		func(c Counts) int64 { return c.Refused }, func(c Counts) int64 { return c.Total }},
	{"first-token", func(o config.Objectives) float64 { return 1 - o.LatencyPercent/percent },
		func(c Counts) int64 { return c.SlowFirst }, func(c Counts) int64 { return c.Streamed }},
	{"between-tokens", func(o config.Objectives) float64 { return 1 - o.LatencyPercent/percent },
		func(c Counts) int64 { return c.SlowBetween }, func(c Counts) int64 { return c.Streamed }},
}

// Merge combines the snapshots of all routers into a report.
func Merge(snapshots []Snapshot, missing []string) (*Report, error) {
	r := &Report{Missing: missing}
	rows := map[key]*Row{}
	histograms := map[string]*hdrhistogram.Histogram{}
	var objectives config.Objectives
	for _, s := range snapshots {
		objectives = s.Objectives
		r.Uncounted += s.Uncounted
		for _, row := range s.Rows {
			k := key{row.Account, row.Model}
			if rows[k] == nil {
				rows[k] = &Row{Account: row.Account, Model: row.Model}
			}
			rows[k].Short.Add(row.Short)
			rows[k].Long.Add(row.Long)
		}
		if err := mergeHistograms(histograms, s); err != nil {
			return nil, err
		}
	}
	for _, row := range rows {
		r.Levels = append(r.Levels, row.serviceLevels(objectives)...)
	}
	sort.Slice(r.Levels, func(i, j int) bool { return burnsFaster(&r.Levels[i], &r.Levels[j]) })
	r.addFirstTokens(histograms)
	return r, nil
}

func mergeHistograms(histograms map[string]*hdrhistogram.Histogram, s Snapshot) error {
	for model, data := range s.First {
		h, err := hdrhistogram.Decode(data)
		if err != nil {
			return fmt.Errorf("burn: histogram of %s at %s: %w", model, s.Router, err)
		}
		if histograms[model] == nil {
			histograms[model] = hdrhistogram.New(minMillis, maxMillis, digits)
		}
		histograms[model].Merge(h)
	}
	return nil
}

func (r *Report) addFirstTokens(histograms map[string]*hdrhistogram.Histogram) {
	for model, h := range histograms {
		r.First = append(r.First, FirstToken{
			Model: model, P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Count: h.TotalCount(),
		})
	}
	sort.Slice(r.First, func(i, j int) bool { return r.First[i].Model < r.First[j].Model })
}

func burnsFaster(a, b *ServiceLevel) bool {
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

func (row *Row) serviceLevels(settings config.Objectives) []ServiceLevel {
	var list []ServiceLevel
	for _, o := range objectiveList {
		level := ServiceLevel{
			Account: row.Account, Model: row.Model, Objective: o.name, Requests: o.countTotal(row.Long),
			Short: burnRate(o.countBad(row.Short), o.countTotal(row.Short), o.errorBudget(settings)),
			Long:  burnRate(o.countBad(row.Long), o.countTotal(row.Long), o.errorBudget(settings)),
		}
		level.BudgetLeft = max(0, 1-level.Long)
		level.Alert = alertFor(level.Short, level.Long)
		list = append(list, level)
	}
	return list
}

func burnRate(bad, total int64, errorBudget float64) float64 {
	if total == 0 || errorBudget <= 0 {
		return 0
	}
	return float64(bad) / float64(total) / errorBudget
}

func alertFor(short, long float64) Alert {
	switch lower := min(short, long); {
	case lower >= PageRate:
		return AlertPage
	case lower >= TicketRate:
		return AlertTicket
	default:
		return AlertNone
	}
}
