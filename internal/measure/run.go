package measure

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/node"
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
)

// Report is the result of a run with one policy.
type Report struct {
	Policy              string         `json:"policy"`
	Scenario            string         `json:"scenario"`
	Seed                uint64         `json:"seed"`
	Requests            int            `json:"requests"`
	Answered            int            `json:"answered"`
	RefusedNotRun       int            `json:"refused_not_run"`
	MayHaveRun          int            `json:"may_have_run"`
	Unanswered          int            `json:"unanswered"`
	MixedAnswers        int            `json:"mixed_answers"`
	RanAfterNotRun      int            `json:"ran_after_not_run"`
	RunTwice            int            `json:"run_twice"`
	FairnessGap         float64        `json:"fairness_gap"`
	FairnessGapRequests float64        `json:"fairness_gap_requests"`
	FairnessBound       float64        `json:"fairness_bound"`
	MinShare            float64        `json:"min_share"`
	Utilisation         float64        `json:"utilisation"`
	IdleWhileWaiting    float64        `json:"idle_while_waiting"`
	Overload            float64        `json:"overload"`
	TTFTP50             float64        `json:"ttft_p50_ms"`
	TTFTP95             float64        `json:"ttft_p95_ms"`
	ControlBytesMean    float64        `json:"control_bytes_per_node_second"`
	ControlBytesMax     float64        `json:"control_bytes_largest_node_second"`
	ControlPerRequest   float64        `json:"control_messages_per_request"`
	ControlCPUShare     float64        `json:"control_cpu_share"`
	PlatformCalls       float64        `json:"platform_calls_per_second"`
	EditInForce         float64        `json:"edit_in_force_p100_ms"`
	TableReverts        int            `json:"table_reverts"`
	NewWorkAfterLeave   float64        `json:"new_work_after_leave_ms"`
	CutStreams          int            `json:"cut_streams"`
	Codes               map[string]int `json:"refusal_codes,omitempty"`
	// PrefixHits is the fraction of prompts whose prefix the backend server had cached.
	PrefixHits float64 `json:"prefix_hits"`
	// Owners sums the statistics of the pool owners.
	Owners pool.Stats `json:"owners"`
	// GapDescription is the pair of accounts and the window with the largest gap.
	GapDescription string `json:"-"`
	// Accounts are the rows that PrintTable writes.
	Accounts []AccountReport `json:"-"`
}

// AccountReport is the result of one account.
type AccountReport struct {
	Name       string
	Model      string
	Weight     float64
	Answered   int
	Refused    int
	MayHaveRun int
	Tokens     float64
}

// Violations lists the counts that should be 0 and are not.
func (r *Report) Violations() []string {
	var violations []string
	for name, n := range map[string]int{
		"unanswered": r.Unanswered, "mixed_answers": r.MixedAnswers, "ran_after_not_run": r.RanAfterNotRun,
		"run_twice": r.RunTwice, "table_reverts": r.TableReverts, "cut_streams": r.CutStreams,
	} {
		if n != 0 {
			violations = append(violations, fmt.Sprintf("%s=%d", name, n))
		}
	}
	return violations
}

// warmUp is the time after the start of traffic that is not measured.
const warmUp = 3 * time.Second

// controlUsage is what a router has spent on communication with others and on decisions.
type controlUsage struct {
	bytes, messages int64
	busy            time.Duration
}

func (c *cluster) controlUsage() map[*node.Node]controlUsage {
	all := map[*node.Node]controlUsage{}
	c.forEachNode(func(_ string, n *node.Node) {
		p := n.Peers.Counters()
		all[n] = controlUsage{
			bytes:    p.BytesOut.Load() + p.BytesIn.Load(),
			messages: p.MessagesOut.Load(),
			busy:     decisionTime(n) + time.Duration(p.CodecNanos.Load()),
		}
	})
	return all
}

// decisionTime returns the time that a router has spent on decisions, 0 if it does not measure it.
func decisionTime(n *node.Node) time.Duration {
	if n.Router == nil {
		return 0
	}
	return n.Router.Busy()
}

// Run runs a scenario with one policy. It calls progress with status messages.
func Run(s *Scenario, policy string, progress func(string)) (*Report, error) {
	c, err := startCluster(s, policy)
	if err != nil {
		return nil, err
	}
	defer c.close()
	progress(fmt.Sprintf("%d routers and %d backend servers are up", len(c.nodes), len(c.engines)))
	l := newLoad(c)
	l.start()
	time.Sleep(warmUp)
	c.recorder.SetRecording(true)
	before, callsStart := c.controlUsage(), c.platform.Calls()
	done := make(chan struct{})
	var faults sync.WaitGroup
	for _, f := range s.Faults {
		faults.Go(func() { c.inject(f, done) })
	}
	reportProgress(s.Duration, progress, l)
	c.recorder.SetRecording(false)
	after, callsEnd := c.controlUsage(), c.platform.Calls()
	close(done)
	faults.Wait()
	l.finish()
	r := c.report(l)
	r.Policy = policy
	c.forEachNode(func(_ string, n *node.Node) {
		if n.Router != nil {
			r.Owners.Add(n.Router.Status().Owner)
		}
	})
	r.addControl(before, after, s.Duration, float64(callsEnd-callsStart))
	return r, nil
}

// reportProgress waits for the duration d and reports progress every second.
func reportProgress(d time.Duration, progress func(string), l *load) {
	const every = time.Second
	var busyBefore, availableBefore float64
	for passed := time.Duration(0); passed < d; passed += every {
		time.Sleep(min(every, d-passed))
		busy, available := l.cluster.recorder.SlotSeconds()
		l.tally.mu.Lock()
		progress(fmt.Sprintf("%s: %d answered, %d refused as not run, %d in doubt, %.1f%% of slots busy while work waits", min(passed+every, d),
			l.tally.outcomes[answered], l.tally.outcomes[refusedNotRun], l.tally.outcomes[mayHaveRun], 100*ratio(busy-busyBefore, available-availableBefore)))
		l.tally.mu.Unlock()
		busyBefore, availableBefore = busy, available
	}
}

// ratio returns x/total, or 1 if total is 0.
func ratio(x, total float64) float64 {
	if total == 0 {
		return 1
	}
	return x / total
}

func (c *cluster) report(l *load) *Report {
	s, t, f := c.scenario, l.tally, c.recorder.Result()
	w := s.fairness(f.Points)
	r := &Report{
		GapDescription: fmt.Sprintf("%s, between %.1f s and %.1f s", w.pair, w.from.Seconds(), w.to.Seconds()),
		Scenario:       s.Name, Seed: s.Seed,
		Answered: t.outcomes[answered], RefusedNotRun: t.outcomes[refusedNotRun], MayHaveRun: t.outcomes[mayHaveRun], Unanswered: t.outcomes[unanswered],
		MixedAnswers: t.mixed, RanAfterNotRun: t.ranAfterNotRunCount, RunTwice: f.RunTwice,
		FairnessGap: round(w.gap), MinShare: round(s.minShare(f.Points)),
		FairnessBound: round(s.bound(t.maxTokens, pool.DefaultShareInterval+hold.DefaultReportInterval)),
		Utilisation:   round(f.Utilisation), IdleWhileWaiting: round(1 - f.Utilisation), Overload: round(f.Overload),
		TTFTP50: ms(percentile(t.ttft, 0.5)), TTFTP95: ms(percentile(t.ttft, 0.95)),
		EditInForce: ms(c.versions.slowest), TableReverts: c.versions.reverts,
		NewWorkAfterLeave: ms(f.NewWorkAfterLeave), CutStreams: f.CutStreams, Codes: t.codes,
	}
	r.Requests = r.Answered + r.RefusedNotRun + r.MayHaveRun + r.Unanswered
	if t.maxTokens > 0 {
		r.FairnessGapRequests = round(r.FairnessGap / float64(t.maxTokens))
	}
	hits, lookups := 0, 0
	for _, e := range c.engines {
		h, m := e.CacheStats()
		hits += h
		lookups += h + m
	}
	r.PrefixHits = round(ratio(float64(hits), float64(lookups)))
	for _, a := range s.Accounts {
		by := t.byAccount[a.Name]
		r.Accounts = append(r.Accounts, AccountReport{
			Name: a.Name, Model: a.Model, Weight: a.Weight, Answered: by[answered], Refused: by[refusedNotRun],
			MayHaveRun: by[mayHaveRun] + by[unanswered], Tokens: servedTokens(f.Points[a.Name]),
		})
	}
	return r
}

func (r *Report) addControl(before, after map[*node.Node]controlUsage, d time.Duration, calls float64) {
	var bytes, largest, messages float64
	var busy time.Duration
	n := 0.0
	for node, end := range after {
		start, ok := before[node]
		if !ok {
			continue
		}
		n++
		b := float64(end.bytes-start.bytes) / d.Seconds()
		bytes += b
		largest = max(largest, b)
		messages += float64(end.messages - start.messages)
		busy += end.busy - start.busy
	}
	if n == 0 {
		return
	}
	r.ControlBytesMean = round(bytes / n)
	r.ControlBytesMax = round(largest)
	r.ControlPerRequest = round(messages / max(1, float64(r.Requests)))
	r.ControlCPUShare = round(busy.Seconds() / n / d.Seconds())
	r.PlatformCalls = round(calls / d.Seconds())
}

func ms(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }
