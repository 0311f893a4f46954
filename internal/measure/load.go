package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/standin/judge"
)

// outcome is the result of a request for its caller.
type outcome int

const (
	answered outcome = iota
	refusedNotRun
	mayHaveRun
	unanswered
)

// tally counts the outcomes of requests.
type tally struct {
	mu                  sync.Mutex
	outcomes            map[outcome]int
	mixed               int
	ranAfterNotRunCount int
	ttft                []time.Duration
	maxTokens           int
	codes               map[string]int
	byAccount           map[string]map[outcome]int
}

func newTally() *tally {
	return &tally{outcomes: map[outcome]int{}, codes: map[string]int{}, byAccount: map[string]map[outcome]int{}}
}

// load runs the callers of one run.
type load struct {
	cluster   *cluster
	tally     *tally
	clients   map[string]*http.Client
	stop      chan struct{}
	tasks     sync.WaitGroup
	promptPad string
}

// responseGrace is how long after the scenario's duration a response may end.
const responseGrace = 30 * time.Second

func newLoad(c *cluster) *load {
	l := &load{cluster: c, tally: newTally(), clients: map[string]*http.Client{}, stop: make(chan struct{}), promptPad: strings.Repeat("word ", 80)}
	for _, z := range c.scenario.Zones {
		l.clients[z.Name] = &http.Client{Transport: &http.Transport{
			DialContext: c.fabric.Dialer(z.Name, "callers of "+z.Name).DialContext, MaxIdleConnsPerHost: 1000,
		}}
	}
	return l
}

// start starts a generator for every account.
func (l *load) start() {
	for i, a := range l.cluster.scenario.Accounts {
		rng := rand.New(rand.NewPCG(l.cluster.scenario.Seed, uint64(i)))
		g := &generator{load: l, account: a, rng: rng, routers: l.routers(a)}
		l.tasks.Go(g.run)
	}
}

// finish stops the generators and waits for the last responses.
func (l *load) finish() {
	close(l.stop)
	l.tasks.Wait()
	for _, c := range l.clients {
		c.CloseIdleConnections()
	}
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *load) routers(a Account) []string {
	var names []string
	for _, z := range l.cluster.scenario.Zones {
		for i := range z.Routers {
			names = append(names, routerName(z.Name, i))
		}
	}
	if len(a.Routers) == 0 || a.Routers[0] == "all" {
		return names
	}
	return a.Routers
}

// generator sends the requests of one account.
type generator struct {
	load    *load
	account Account
	routers []string

	mu   sync.Mutex
	rng  *rand.Rand
	sent int
}

func (g *generator) run() {
	if g.account.Backlog > 0 {
		g.runBacklog()
		return
	}
	g.runRate()
}

func (g *generator) runBacklog() {
	var tasks sync.WaitGroup
	for range g.account.Backlog {
		tasks.Go(func() {
			for !g.load.stopped() {
				g.sendOne()
			}
		})
	}
	tasks.Wait()
}

func (g *generator) runRate() {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		rate := g.account.Rate
		if g.load.cluster.state.get(g.load.cluster.state.flood, g.account.Name) {
			rate *= floodFactor
		}
		g.mu.Lock()
		wait := time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		g.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-g.load.stop:
			return
		}
		tasks.Go(g.sendOne)
	}
}

// nextRequest returns the id, cost, router and prefix of the next request.
func (g *generator) nextRequest() (id string, tokens int, router string, prefix int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	if g.account.Prefixes > 0 {
		prefix = 1 + g.rng.IntN(g.account.Prefixes)
	}
	return fmt.Sprintf("%s.%d", g.account.Name, g.sent), g.account.Tokens.draw(g.rng), g.routers[g.sent%len(g.routers)], prefix
}

// sendOne sends one request and records its outcome.
func (g *generator) sendOne() {
	id, tokens, name, prefix := g.nextRequest()
	l := g.load
	l.tally.recordTokens(tokens)
	zone := l.cluster.zoneOf(name)
	notRepeatable := g.account.Repeatable != nil && !*g.account.Repeatable
	l.cluster.recorder.RequestSent(id, judge.Request{Account: g.account.Name, Model: g.account.Model, Zone: zone, NotRepeatable: notRepeatable})
	result, code := g.doRequest(requestBody{
		Model: g.account.Model, Stream: true, Prompt: l.prompt(g.account.Name, prefix), ID: id, Tokens: tokens, Prefix: prefix,
	}, name, zone, notRepeatable)
	l.cluster.recorder.RequestEnded(id)
	l.tally.recordOutcome(g.account.Name, result, code)
	if result == refusedNotRun && l.cluster.recorder.Runs(id) > 0 {
		l.tally.recordRanAfterNotRun()
	}
	if result != answered {
		time.Sleep(100 * time.Millisecond)
	}
}

type requestBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Prompt string `json:"prompt"`
	ID     string `json:"load_id"`
	Tokens int    `json:"load_tokens"`
	Prefix int    `json:"load_prefix"`
}

// prompt returns a prompt with the given prefix, or a short one for prefix 0.
func (l *load) prompt(account string, prefix int) string {
	if prefix == 0 {
		return "short"
	}
	return fmt.Sprintf("%s %d %s", account, prefix, l.promptPad)
}

func (g *generator) doRequest(payload requestBody, name, zone string, notRepeatable bool) (outcome, string) {
	l := g.load
	ctx, cancel := context.WithTimeout(context.Background(), l.cluster.scenario.Duration+responseGrace)
	defer cancel()
	body, err := json.Marshal(payload)
	if err != nil {
		return unanswered, "encode"
	}
	url := "http://" + l.cluster.callersAddr(name) + front.PathCompletions
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return unanswered, "request"
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+accountKey(g.account.Name))
	req.Header.Set("Content-Type", "application/json")
	if notRepeatable {
		req.Header.Set(front.HeaderNotRepeatable, "true")
	}
	sent := time.Now()
	resp, err := l.clients[zone].Do(req)
	if err != nil {
		return transportOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorOutcome(resp)
	}
	return g.readStream(ctx, resp, payload.ID, sent)
}

// transportOutcome returns the outcome of a request without a response. Nothing was sent if the dial
// failed.
func transportOutcome(ctx context.Context, err error) (outcome, string) {
	if ctx.Err() != nil {
		return unanswered, "timeout"
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || strings.Contains(err.Error(), "fabric: dial") {
		return refusedNotRun, "no-router"
	}
	return mayHaveRun, "router-broke"
}

func errorOutcome(resp *http.Response) (outcome, string) {
	var p front.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	if resp.Header.Get(verdict.Header) == verdict.NotRun.String() {
		return refusedNotRun, p.Code
	}
	return mayHaveRun, p.Code
}

func (g *generator) readStream(ctx context.Context, resp *http.Response, id string, sent time.Time) (outcome, string) {
	idField := []byte(`"load_id":"` + id + `"`)
	lines := bufio.NewReader(resp.Body)
	awaitingFirst := true
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return g.brokenStreamOutcome(ctx, err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			if bytes.HasPrefix(line, []byte("event: error")) {
				return mayHaveRun, "error-event"
			}
			continue
		}
		if awaitingFirst {
			g.load.tally.recordFirstToken(time.Since(sent))
			awaitingFirst = false
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			_, _ = io.Copy(io.Discard, lines)
			return answered, ""
		}
		if !bytes.Contains(data, idField) {
			g.load.tally.recordMixed()
		}
	}
}

func (g *generator) brokenStreamOutcome(ctx context.Context, err error) (outcome, string) {
	if ctx.Err() != nil {
		return unanswered, "timeout"
	}
	_ = err
	return mayHaveRun, "stream-broke"
}

func (c *cluster) zoneOf(router string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settingsByRouter[router].Zone
}

func (c *cluster) callersAddr(router string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settingsByRouter[router].Listen.Callers
}

func (t *tally) recordTokens(tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxTokens = max(t.maxTokens, tokens)
}

func (t *tally) recordOutcome(account string, o outcome, code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[o]++
	if code != "" {
		t.codes[code]++
	}
	if t.byAccount[account] == nil {
		t.byAccount[account] = map[outcome]int{}
	}
	t.byAccount[account][o]++
}

func (t *tally) recordRanAfterNotRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranAfterNotRunCount++
}

func (t *tally) recordMixed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mixed++
}

func (t *tally) recordFirstToken(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttft = append(t.ttft, d)
}
