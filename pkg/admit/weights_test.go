package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// newWeightedWorld returns two zones with a router and 8 slots each. Each request runs for 200
// ms and uses 50 tokens, which makes 80 requests or 4,000 tokens per second.
func newWeightedWorld(accounts ...table.Account) *world {
	w := newWorld(1, 1, []string{"a", "b"}, 1, admit.WithWeightedAccounts())
	w.weighted, w.tokens, w.streamTime, w.baseLatency = true, 50, 200*time.Millisecond, 0
	w.updateTable(func(t *table.Table) {
		t.Accounts = accounts
		for i := range t.Backends {
			t.Backends[i].Slots = 8
		}
	})
	return w
}

// submitWeighted adds a request of an account that waits for up to 10 s.
func (w *world) submitWeighted(router, account string, priority int) uint64 {
	w.nextID++
	r := admit.Request{ID: w.nextID, Service: service, Account: account, Priority: priority, Deadline: w.now + 10*time.Second}
	w.requests[r.ID] = arrival{router: router, request: r, at: w.now}
	w.step(router, admit.Arrive{Request: r})
	return r.ID
}

// startsOfAccount returns the number of started requests of an account.
func (w *world) startsOfAccount(account string) int {
	n := 0
	for id := range w.starts {
		if w.requests[id].request.Account == account {
			n++
		}
	}
	return n
}

// running returns the number of requests in flight.
func (w *world) running() int {
	n := 0
	for _, e := range w.engines {
		n += e.running
	}
	return n
}

// steadyLoad is a steady rate of requests of an account, at some routers in turn.
type steadyLoad struct {
	account string
	routers []string
	rate    float64
	from    time.Duration
	until   time.Duration
}

func (w *world) addSteadyLoad(f steadyLoad) {
	gap := time.Duration(float64(time.Second) / f.rate)
	for i, at := 0, f.from; at < f.until; i, at = i+1, at+gap {
		w.schedule(at, func() { w.submitWeighted(f.routers[i%len(f.routers)], f.account, 0) })
	}
}

// TestFleetWideLimits: the limits of an account must hold for all routers together, also in a network
// partition.
func TestFleetWideLimits(t *testing.T) {
	tests := map[string]struct {
		limits    table.Limits
		partition bool
		// least and most bound the requests started in 20 s, atOnce those in flight at once.
		least, most, atOnce int
	}{
		"requests":               {table.Limits{RequestsPerSecond: 10}, false, 190, 225, 16},
		"tokens":                 {table.Limits{TokensPerSecond: 500}, false, 180, 235, 16},
		"in flight":              {table.Limits{InFlight: 4}, false, 200, 500, 6},
		"requests, partitioned":  {table.Limits{RequestsPerSecond: 10}, true, 150, 240, 16},
		"in flight, partitioned": {table.Limits{InFlight: 4}, true, 200, 500, 6},
		"high limit":             {table.Limits{RequestsPerSecond: 1000}, false, 1000, 2000, 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.limits.Queued = table.DefaultQueued
			w := newWeightedWorld(table.Account{Name: "x", Weight: 1, Limits: tc.limits})
			w.addSteadyLoad(steadyLoad{account: "x", routers: []string{"a-0", "b-0"}, rate: 200, until: 20 * time.Second})
			peak := 0
			w.every(tick, func() { peak = max(peak, w.running()) })
			if tc.partition {
				w.schedule(5*time.Second, func() {
					w.blocked[[2]string{"a-0", "b-0"}], w.blocked[[2]string{"b-0", "a-0"}] = true, true
					w.updateRouters()
				})
			}
			w.run(20 * time.Second)
			if n := w.startsOfAccount("x"); n < tc.least || n > tc.most || peak > tc.atOnce {
				t.Errorf("%d requests started (want %d to %d), %d at once (want at most %d)", n, tc.least, tc.most, peak, tc.atOnce)
			}
		})
	}
}

// TestAccountsAreServedByWeight: under overload, accounts must be served in proportion to their
// weights, whichever routers they use. In the last case, an account must get no credit for the
// time before its overload: running requests must not count as waiting ones.
func TestAccountsAreServedByWeight(t *testing.T) {
	const long = 10 * time.Second
	both, first := []string{"a-0", "b-0"}, []string{"a-0"}
	tests := map[string]struct {
		weights [2]float64
		flows   []steadyLoad
		// want is the first account's fraction of the tokens in the last 2 s.
		want float64
	}{
		"equal weights": {[2]float64{1, 1}, []steadyLoad{
			{account: "x", routers: both, rate: 200, until: long}, {account: "y", routers: both, rate: 200, until: long}}, 0.5},
		"three to one": {[2]float64{3, 1}, []steadyLoad{
			{account: "x", routers: both, rate: 200, until: long}, {account: "y", routers: both, rate: 200, until: long}}, 0.75},
		"one account at one router": {[2]float64{1, 1}, []steadyLoad{
			{account: "x", routers: first, rate: 200, until: long}, {account: "y", routers: both, rate: 200, until: long}}, 0.5},
		"more requests of one account": {[2]float64{1, 1}, []steadyLoad{
			{account: "x", routers: both, rate: 100, until: long}, {account: "y", routers: both, rate: 900, until: long}}, 0.5},
		"low rate before the overload": {[2]float64{1, 1}, []steadyLoad{
			{account: "x", routers: both, rate: 200, until: long},
			{account: "y", routers: first, rate: 10, until: 7 * time.Second},
			{account: "y", routers: first, rate: 400, from: 7 * time.Second, until: long}}, 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWeightedWorld(table.Account{Name: "x", Weight: tc.weights[0]}, table.Account{Name: "y", Weight: tc.weights[1]})
			for _, f := range tc.flows {
				w.addSteadyLoad(f)
			}
			w.run(long - 2*time.Second)
			x, y := w.completedTokens["x"], w.completedTokens["y"]
			w.run(long)
			x, y = w.completedTokens["x"]-x, w.completedTokens["y"]-y
			if fraction := float64(x) / float64(x+y); fraction < tc.want-0.05 || fraction > tc.want+0.05 {
				t.Errorf("the first account got %.3f of %d tokens, want %.2f", fraction, x+y, tc.want)
			}
			if all := x + y; all < 2*4000*9/10 {
				t.Errorf("only %d tokens in 2 s: slots were idle while requests waited", all)
			}
		})
	}
}

// TestPriorityWithinAccount: a request of high priority must go before others of its account that
// arrived earlier.
func TestPriorityWithinAccount(t *testing.T) {
	w := newWeightedWorld(table.Account{Name: "x", Weight: 1})
	// New owners grant no slots at first.
	w.run(2 * time.Second)
	for range 80 {
		w.submitWeighted("a-0", "x", 0)
	}
	arrivedAt := w.now
	urgent := w.submitWeighted("a-0", "x", 9)
	w.run(arrivedAt + time.Second)
	if s, ok := w.starts[urgent]; !ok || s.at-arrivedAt > 300*time.Millisecond {
		t.Errorf("started %v, after %s; 80 requests arrived before it for 16 slots, each used for 200 ms", ok, s.at-arrivedAt)
	}
}

// TestQueueLimit: requests must be refused immediately while too many of their account wait.
func TestQueueLimit(t *testing.T) {
	w := newWeightedWorld(table.Account{Name: "x", Weight: 1, Limits: table.Limits{Queued: 5}})
	for range 40 {
		w.submitWeighted("a-0", "x", 0)
	}
	w.run(5 * time.Second)
	if len(w.refusals) == 0 || len(w.refusals)+len(w.starts) != 40 {
		t.Errorf("%d refused and %d started of 40 with a queue limit of 5; want some refused and all decided", len(w.refusals), len(w.starts))
	}
	for id, waited := range w.refusals {
		if waited != 0 {
			t.Errorf("request %d was refused after %s, want immediately", id, waited)
		}
	}
}
