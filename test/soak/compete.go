package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/shares"
	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// Competing is the kind of the requests of accounts that compete for engines of their own.
const Competing Kind = "compete"

const (
	competeService = "narrow"
	// competeWorkers is the number of engines that accounts compete for, competeSlots that of their slots.
	competeWorkers = 3
	competeSlots   = 8
	// competeTime is how long accounts compete. Shares count from competeSettle on, when a router that is killed at
	// the beginning has been back for some time.
	competeTime   = 11 * time.Second
	competeSettle = 4 * time.Second
	// competeTarget is the target of the route, competeDeadline how long callers wait.
	competeTarget   = 400 * time.Millisecond
	competeDeadline = 3 * time.Second
	// shareInterval and shareIntervals are the intervals of a window in which shares are compared.
	shareInterval  = time.Second
	shareIntervals = 6
	// outputWeight is the cost of an output token relative to a prompt token.
	outputWeight = 2
	// minAccounts and maxAccounts bound the number of competing accounts.
	minAccounts = 3
	maxAccounts = 6
)

// competitor is an account that competes with others.
type competitor struct {
	name string
	// prompt and output are the sizes of its requests in tokens, shared of the part that they share.
	prompt, shared, output int
	perSecond              float64
	// routers are the indexes of the routers to which its callers come.
	routers []int
	// retries is how often a caller returns after a refusal, as it is told.
	retries int
}

func (c *competitor) key() string { return "secret-" + c.name }

func (c *competitor) cost() float64 { return float64(c.prompt + outputWeight*c.output) }

// competition is a plan for accounts that compete.
type competition struct {
	competitors []competitor
	// killed is the index of the router that is killed at the beginning, or noRouter.
	killed int
}

// competitorKeys returns the API keys of all accounts that may compete, by name.
func competitorKeys() map[string][]string {
	keys := map[string][]string{}
	for i := range maxAccounts {
		c := competitor{name: competitorName(i)}
		keys[c.name] = []string{c.key()}
	}
	return keys
}

func competitorName(i int) string { return fmt.Sprint("account-", i) }

// competeStream is the random source of competitions.
const competeStream = 10

// drawCompetition draws accounts that together ask for a little to far more than the engines can do.
func drawCompetition(seed uint64, routers int) competition {
	rng := rand.New(rand.NewPCG(seed, competeStream))
	sizes := []competitor{{prompt: 2000, output: 60}, {prompt: 12000, shared: 5300, output: 64}, {prompt: 800, shared: 200, output: 50}, {prompt: 2400, shared: 560, output: 4}}
	accounts, isMixed, usual := minAccounts+rng.IntN(maxAccounts-minAccounts+1), rng.IntN(2) == 0, sizes[rng.IntN(len(sizes))]
	overload := []float64{1.1, 1.2, 1.5, 2.5}[rng.IntN(4)]
	possible := competeWorkers * competeSlots / (events * eventInterval).Seconds()
	plan := competition{killed: noRouter}
	for i := range accounts {
		c := usual
		if isMixed {
			c = sizes[rng.IntN(len(sizes))]
		}
		c.name, c.retries = competitorName(i), rng.IntN(2)
		c.perSecond = overload * possible / float64(accounts) * (0.6 + 0.8*rng.Float64())
		c.routers = []int{rng.IntN(routers)}
		if rng.IntN(3) == 0 {
			c.routers = nil
			for r := range routers {
				c.routers = append(c.routers, r)
			}
		}
		plan.competitors = append(plan.competitors, c)
	}
	if rng.IntN(2) == 0 {
		plan.killed = rng.IntN(routers)
	}
	return plan
}

// competeRecord is what callers and workers observed while accounts competed.
type competeRecord struct {
	mu       sync.Mutex
	start    time.Time
	timeline shares.Timeline
	costs    map[string]float64
}

func newCompeteRecord(plan competition, start time.Time) *competeRecord {
	r := &competeRecord{start: start, timeline: shares.Timeline{}, costs: map[string]float64{}}
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
	for _, s := range r.timeline.Lowest(shareIntervals) {
		if s.IsUnfair(largest) && !seen[s.Account] {
			seen[s.Account] = true
			c.report(RuleShare, "-", fmt.Sprintf("%s waited from second %d on and began %.0f of the %.0f that it asked for, %s began %.0f", s.Account, s.First, s.Started, s.Demand, s.Best, s.BestStarted))
		}
	}
}

// compete lets accounts compete for engines of their own, without faults but for a router that is killed at the beginning.
func (r *Run) compete(f *fleet, c *checker, t *traffic) error {
	plan := drawCompetition(r.Seed, routers)
	workers, err := f.startCompeteWorkers()
	if err != nil {
		return err
	}
	defer f.stopCompeteWorkers(workers)
	if err := t.awaitCompeteService(); err != nil {
		c.report(RuleRecovery, "-", err.Error())
		return nil
	}
	record := newCompeteRecord(plan, time.Now())
	var tasks sync.WaitGroup
	if plan.killed != noRouter {
		r.Log("r-%d is killed as accounts begin to compete", plan.killed)
		tasks.Go(func() { f.restart(f.routers[plan.killed], syscall.SIGKILL, 0) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), competeTime)
	defer cancel()
	for i := range plan.competitors {
		tasks.Go(func() { t.runCompetitor(ctx, record, plan, i) })
	}
	tasks.Wait()
	for _, w := range workers {
		for _, run := range w.Runs() {
			record.addRun(run)
		}
	}
	if lowest := record.timeline.Lowest(shareIntervals); len(lowest) > 0 {
		r.Log("least share of %d competing accounts: %s %.2f", len(plan.competitors), lowest[0].Account, lowest[0].Ratio())
	}
	if r.Plant == RuleShare {
		record.starve(plan.competitors[0].name)
	}
	c.checkShares(record)
	return nil
}

// starve makes an account appear to have waited and got nothing.
func (r *competeRecord) starve(account string) {
	for _, in := range r.timeline {
		in.Waiting[account] = true
		delete(in.Started, account)
	}
}

// startCompeteWorkers starts the engines that accounts compete for.
func (f *fleet) startCompeteWorkers() ([]*standin.Worker, error) {
	var list []*standin.Worker
	for i := range competeWorkers {
		w, err := standin.StartWorker(fmt.Sprint("narrow-", i), events, eventInterval)
		if err != nil {
			return list, err
		}
		list = append(list, w)
		f.store.Register(w, competeService, w.Address(), standin.Ready, competeSlots)
	}
	return list, nil
}

func (f *fleet) stopCompeteWorkers(list []*standin.Worker) {
	for _, w := range list {
		f.store.Deregister(w.ID)
		w.Close()
	}
}

// awaitCompeteService waits until every router serves competing requests.
func (t *traffic) awaitCompeteService() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	limit := time.Now().Add(readyTimeout)
	probe := competitor{name: competitorName(0), prompt: 1, output: 1}
	for i, router := range t.fleet.routers {
		for n := 0; t.sendCompeting(client, router, &probe, fmt.Sprintf("narrow-%d-%d", i, n)).status != http.StatusOK; n++ {
			if time.Now().After(limit) {
				return fmt.Errorf("soak: %s did not serve %s requests", router.name, Competing)
			}
			time.Sleep(redialInterval)
		}
	}
	return nil
}

// runCompetitor sends the requests of an account at random times until ctx is done.
func (t *traffic) runCompetitor(ctx context.Context, record *competeRecord, plan competition, index int) {
	c := &plan.competitors[index]
	rng := rand.New(rand.NewPCG(t.seed, competeStream<<32|uint64(index)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenPerCompetitor, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	open := make(chan struct{}, maxOpenPerCompetitor)
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / c.perSecond * float64(time.Second))):
		}
		router := t.fleet.routers[c.routers[rng.IntN(len(c.routers))]]
		open <- struct{}{}
		requests.Go(func() {
			defer func() { <-open }()
			t.tryCompeting(client, record, router, c, fmt.Sprintf("compete-%x-%d-%d", t.seed, index, n))
		})
	}
}

// maxOpenPerCompetitor bounds the open requests of an account.
const maxOpenPerCompetitor = 200

// tryCompeting sends a request, and again as its caller is told if it is refused.
func (t *traffic) tryCompeting(client *http.Client, record *competeRecord, router *router, c *competitor, id string) {
	for n := 0; n <= c.retries; n++ {
		sentAt := time.Now()
		res := t.sendCompeting(client, router, c, fmt.Sprintf("%s-%d", id, n))
		if res.status != 0 {
			record.addRequest(c.name, sentAt, res.first)
		}
		if !guaranteesNotRun(res.status) {
			return
		}
		time.Sleep(res.retryAfter)
	}
}

// competeResponse is a response to a competing request.
type competeResponse struct {
	// status is 0 without a response, first the time to the first event of a stream, 0 if there is none.
	status     int
	first      time.Duration
	retryAfter time.Duration
}

// sendCompeting sends one request and reads the response to its end.
func (t *traffic) sendCompeting(client *http.Client, router *router, c *competitor, id string) competeResponse {
	ctx, cancel := context.WithTimeout(context.Background(), competeDeadline)
	defer cancel()
	req, err := standin.NewRequest(ctx, router.callersAddr, host, pathOf(Competing), id, c.key(), competeDeadline)
	if err != nil {
		return competeResponse{}
	}
	standin.SetPrompt(req, c.prompt, c.output, standin.Part{ID: fmt.Sprintf("c0%x", c.name), Tokens: c.shared}, standin.Part{ID: fmt.Sprintf("c1%x", id), Tokens: c.prompt - c.shared})
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return competeResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	res := competeResponse{status: resp.StatusCode, retryAfter: retryAfter(resp)}
	if resp.StatusCode == http.StatusOK {
		res.first = time.Since(sentAt)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return res
}

// maxRetryAfter bounds how long callers wait before they return.
const maxRetryAfter = competeDeadline / 3

// retryAfter returns when the caller of a refused request is told to return.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return min(seconds, maxRetryAfter)
}
