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

// outcome is how a caller's request ended, as the caller sees it.
type outcome int

const (
	answered outcome = iota
	refusedNotRun
	mayHaveRun
	unanswered
)

// tally counts what callers saw.
type tally struct {
	mu      sync.Mutex
	ends    map[outcome]int
	mixed   int
	ranOff  int
	ttft    []time.Duration
	largest int
	codes   map[string]int
	byName  map[string]map[outcome]int
}

func newTally() *tally {
	return &tally{ends: map[outcome]int{}, codes: map[string]int{}, byName: map[string]map[outcome]int{}}
}

// load is the callers of one run.
type load struct {
	c       *cluster
	tally   *tally
	clients map[string]*http.Client
	stop    chan struct{}
	open    sync.WaitGroup
	bodyPad string
}

// grace is how long after the last request an answer may take.
const grace = 30 * time.Second

func newLoad(c *cluster) *load {
	l := &load{c: c, tally: newTally(), clients: map[string]*http.Client{}, stop: make(chan struct{}), bodyPad: strings.Repeat("word ", 80)}
	for _, z := range c.scenario.Zones {
		l.clients[z.Name] = &http.Client{Transport: &http.Transport{
			DialContext: c.fabric.Dialer(z.Name, "callers of "+z.Name).DialContext, MaxIdleConnsPerHost: 1000,
		}}
	}
	return l
}

// start starts the callers of every account.
func (l *load) start() {
	for i, a := range l.c.scenario.Accounts {
		rng := rand.New(rand.NewPCG(l.c.scenario.Seed, uint64(i)))
		g := &generator{load: l, account: a, rng: rng, routers: l.routers(a)}
		l.open.Go(g.run)
	}
}

// finish ends the callers and waits for their last answers.
func (l *load) finish() {
	close(l.stop)
	l.open.Wait()
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
	for _, z := range l.c.scenario.Zones {
		for i := range z.Routers {
			names = append(names, routerName(z.Name, i))
		}
	}
	if len(a.Routers) == 0 || a.Routers[0] == "all" {
		return names
	}
	return a.Routers
}

// generator is the callers of one account.
type generator struct {
	load    *load
	account Account
	routers []string

	mu   sync.Mutex
	rng  *rand.Rand
	next int
}

func (g *generator) run() {
	if g.account.Backlog > 0 {
		g.runBacklog()
		return
	}
	g.runRate()
}

func (g *generator) runBacklog() {
	var all sync.WaitGroup
	for range g.account.Backlog {
		all.Go(func() {
			for !g.load.stopped() {
				g.one()
			}
		})
	}
	all.Wait()
}

func (g *generator) runRate() {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		rate := g.account.Rate
		if g.load.c.state.get(g.load.c.state.flood, g.account.Name) {
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
		all.Go(g.one)
	}
}

// pick returns the next request's id, cost and router.
func (g *generator) pick() (id string, tokens int, router string, prefix int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	if g.account.Prefixes > 0 {
		prefix = 1 + g.rng.IntN(g.account.Prefixes)
	}
	return fmt.Sprintf("%s.%d", g.account.Name, g.next), g.account.Tokens.draw(g.rng), g.routers[g.next%len(g.routers)], prefix
}

// one sends one request to its end.
func (g *generator) one() {
	id, tokens, name, prefix := g.pick()
	l := g.load
	l.tally.sizes(tokens)
	zone := l.c.zoneOf(name)
	once := g.account.Repeatable != nil && !*g.account.Repeatable
	l.c.judge.RequestSent(id, judge.Request{Account: g.account.Name, Model: g.account.Model, Zone: zone, NotRepeatable: once})
	end, code := g.exchange(ask{
		Model: g.account.Model, Stream: true, Prompt: l.prompt(g.account.Name, prefix), ID: id, Tokens: tokens, Prefix: prefix,
	}, name, zone, once)
	l.c.judge.RequestEnded(id)
	l.tally.end(g.account.Name, end, code)
	if end == refusedNotRun && l.c.judge.Runs(id) > 0 {
		l.tally.ranAfterNotRun()
	}
	if end != answered {
		time.Sleep(100 * time.Millisecond)
	}
}

type ask struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Prompt string `json:"prompt"`
	ID     string `json:"load_id"`
	Tokens int    `json:"load_tokens"`
	Prefix int    `json:"load_prefix"`
}

// prompt returns a text whose beginning is the same for the same prefix.
func (l *load) prompt(account string, prefix int) string {
	if prefix == 0 {
		return "short"
	}
	return fmt.Sprintf("%s %d %s", account, prefix, l.bodyPad)
}

func (g *generator) exchange(a ask, name, zone string, once bool) (outcome, string) {
	l := g.load
	ctx, cancel := context.WithTimeout(context.Background(), l.c.scenario.Duration+grace)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return unanswered, "encode"
	}
	url := "http://" + l.c.callers(name) + front.PathCompletions
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return unanswered, "request"
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+accountKey(g.account.Name))
	req.Header.Set("Content-Type", "application/json")
	if once {
		req.Header.Set(front.HeaderNotRepeatable, "true")
	}
	sent := time.Now()
	resp, err := l.clients[zone].Do(req)
	if err != nil {
		return lostCaller(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	return g.readAnswer(ctx, resp, a.ID, sent)
}

// lostCaller is the caller's own verdict where the router gave none: a dial
// that failed sent nothing.
func lostCaller(ctx context.Context, err error) (outcome, string) {
	if ctx.Err() != nil {
		return unanswered, "timeout"
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || strings.Contains(err.Error(), "fabric: dial") {
		return refusedNotRun, "no-router"
	}
	return mayHaveRun, "router-broke"
}

func refused(resp *http.Response) (outcome, string) {
	var p front.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	if resp.Header.Get(verdict.Header) == verdict.NotRun.String() {
		return refusedNotRun, p.Code
	}
	return mayHaveRun, p.Code
}

func (g *generator) readAnswer(ctx context.Context, resp *http.Response, id string, sent time.Time) (outcome, string) {
	mark := []byte(`"load_id":"` + id + `"`)
	lines := bufio.NewReader(resp.Body)
	first := true
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return g.cutAnswer(ctx, err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			if bytes.HasPrefix(line, []byte("event: error")) {
				return mayHaveRun, "error-event"
			}
			continue
		}
		if first {
			g.load.tally.firstToken(time.Since(sent))
			first = false
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			_, _ = io.Copy(io.Discard, lines)
			return answered, ""
		}
		if !bytes.Contains(data, mark) {
			g.load.tally.mixedAnswer()
		}
	}
}

func (g *generator) cutAnswer(ctx context.Context, err error) (outcome, string) {
	if ctx.Err() != nil {
		return unanswered, "timeout"
	}
	_ = err
	return mayHaveRun, "stream-broke"
}

func (c *cluster) zoneOf(router string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fixed[router].Zone
}

func (c *cluster) callers(router string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fixed[router].Listen.Callers
}

func (t *tally) sizes(tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.largest = max(t.largest, tokens)
}

func (t *tally) end(account string, o outcome, code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends[o]++
	if code != "" {
		t.codes[code]++
	}
	if t.byName[account] == nil {
		t.byName[account] = map[outcome]int{}
	}
	t.byName[account][o]++
}

func (t *tally) ranAfterNotRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranOff++
}

func (t *tally) mixedAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mixed++
}

func (t *tally) firstToken(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttft = append(t.ttft, d)
}
