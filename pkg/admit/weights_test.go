package admit_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// weighed is a world of two zones with a router and 8 slots each, in which a request runs for
// 200 ms and uses 50 tokens: 80 requests or 4,000 tokens a second in all.
func weighed(accounts ...table.Account) *world {
	w := newWorld(1, 1, []string{"a", "b"}, 1, admit.WithWeightedAccounts())
	w.weighed, w.tokens, w.hold, w.base = true, 50, 200*time.Millisecond, 0
	w.change(func(t *table.Table) {
		t.Accounts = accounts
		for i := range t.Backends {
			t.Backends[i].Slots = 8
		}
	})
	return w
}

// arrive has a request of an account come to a router, which waits for up to 10 s.
func (w *world) arrive(router, account string, priority int) uint64 {
	w.nextID++
	r := admit.Request{ID: w.nextID, Service: service, Account: account, Priority: priority, Deadline: w.now + 10*time.Second}
	w.asked[r.ID] = askedOf{router: router, request: r, at: w.now}
	w.step(router, admit.Arrive{Request: r})
	return r.ID
}

// ofAccount counts the account's requests that were sent.
func (w *world) ofAccount(account string) int {
	n := 0
	for id := range w.starts {
		if w.asked[id].request.Account == account {
			n++
		}
	}
	return n
}

// running counts the requests that are under way now.
func (w *world) running() int {
	n := 0
	for _, e := range w.engines {
		n += e.running
	}
	return n
}

// flow is requests of an account at a steady rate to some routers in turn.
type flow struct {
	account string
	routers []string
	rate    float64
	from    time.Duration
	until   time.Duration
}

func (w *world) flow(f flow) {
	gap := time.Duration(float64(time.Second) / f.rate)
	for i, at := 0, f.from; at < f.until; i, at = i+1, at+gap {
		w.at(at, func() { w.arrive(f.routers[i%len(f.routers)], f.account, 0) })
	}
}

func TestFleetWideLimits(t *testing.T) {
	tests := map[string]struct {
		limits table.Limits
		cut    bool
		// least and most are requests sent in 20 s, atOnce those under way.
		least, most, atOnce int
	}{
		"requests":          {table.Limits{RequestsPerSecond: 10}, false, 190, 225, 16},
		"tokens":            {table.Limits{TokensPerSecond: 500}, false, 180, 235, 16},
		"in flight":         {table.Limits{InFlight: 4}, false, 200, 500, 6},
		"requests, cut":     {table.Limits{RequestsPerSecond: 10}, true, 150, 240, 16},
		"in flight, cut":    {table.Limits{InFlight: 4}, true, 200, 500, 6},
		"no limit to speak": {table.Limits{RequestsPerSecond: 1000}, false, 1000, 2000, 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.limits.Queued = table.DefaultQueued
			w := weighed(table.Account{Name: "x", Weight: 1, Limits: tc.limits})
			w.flow(flow{account: "x", routers: []string{"a-0", "b-0"}, rate: 200, until: 20 * time.Second})
			most := 0
			w.every(tick, func() { most = max(most, w.running()) })
			if tc.cut {
				w.at(5*time.Second, func() {
					w.cut[[2]string{"a-0", "b-0"}], w.cut[[2]string{"b-0", "a-0"}] = true, true
					w.tellRouters()
				})
			}
			w.run(20 * time.Second)
			if n := w.ofAccount("x"); n < tc.least || n > tc.most || most > tc.atOnce {
				t.Errorf("%d sent (want %d to %d), %d at once (want at most %d)", n, tc.least, tc.most, most, tc.atOnce)
			}
		})
	}
}

// What is served of two accounts that both want all follows their weights, whichever routers
// their callers use. The last row was seen: an account with little to do before it flooded was
// taken for one that was owed the service which it had not asked for, since requests that run
// counted as work that waits; it got 58 % of the fleet for as long as the flood went on.
func TestAccountsAreServedByWeight(t *testing.T) {
	const long = 10 * time.Second
	both, first := []string{"a-0", "b-0"}, []string{"a-0"}
	tests := map[string]struct {
		weights [2]float64
		flows   []flow
		// want is the part of the first of what both are served from 2 s before the end.
		want float64
	}{
		"level": {[2]float64{1, 1}, []flow{
			{account: "x", routers: both, rate: 200, until: long}, {account: "y", routers: both, rate: 200, until: long}}, 0.5},
		"three to one": {[2]float64{3, 1}, []flow{
			{account: "x", routers: both, rate: 200, until: long}, {account: "y", routers: both, rate: 200, until: long}}, 0.75},
		"at one router": {[2]float64{1, 1}, []flow{
			{account: "x", routers: first, rate: 200, until: long}, {account: "y", routers: both, rate: 200, until: long}}, 0.5},
		"more of one": {[2]float64{1, 1}, []flow{
			{account: "x", routers: both, rate: 100, until: long}, {account: "y", routers: both, rate: 900, until: long}}, 0.5},
		"little before": {[2]float64{1, 1}, []flow{
			{account: "x", routers: both, rate: 200, until: long},
			{account: "y", routers: first, rate: 10, until: 7 * time.Second},
			{account: "y", routers: first, rate: 400, from: 7 * time.Second, until: long}}, 0.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := weighed(table.Account{Name: "x", Weight: tc.weights[0]}, table.Account{Name: "y", Weight: tc.weights[1]})
			for _, f := range tc.flows {
				w.flow(f)
			}
			w.run(long - 2*time.Second)
			x, y := w.ended["x"], w.ended["y"]
			w.run(long)
			x, y = w.ended["x"]-x, w.ended["y"]-y
			if part := float64(x) / float64(x+y); part < tc.want-0.05 || part > tc.want+0.05 {
				t.Errorf("the first got %.3f of %d tokens, want %.2f", part, x+y, tc.want)
			}
			if all := x + y; all < 2*4000*9/10 {
				t.Errorf("%d tokens in 2 s: places were idle while work waited", all)
			}
		})
	}
}

func TestPriorityOrdersAnAccountsRequests(t *testing.T) {
	w := weighed(table.Account{Name: "x", Weight: 1})
	// Owners that are new give no places yet.
	w.run(2 * time.Second)
	for range 80 {
		w.arrive("a-0", "x", 0)
	}
	came := w.now
	urgent := w.arrive("a-0", "x", 9)
	w.run(came + time.Second)
	if s, ok := w.starts[urgent]; !ok || s.at-came > 300*time.Millisecond {
		t.Errorf("sent %v, after %s; 80 came before it and 16 places are there every 200 ms", ok, s.at-came)
	}
}

func TestTooMuchWaitsAtARouter(t *testing.T) {
	w := weighed(table.Account{Name: "x", Weight: 1, Limits: table.Limits{Queued: 5}})
	for range 40 {
		w.arrive("a-0", "x", 0)
	}
	w.run(5 * time.Second)
	if len(w.refusals) == 0 || len(w.refusals)+len(w.starts) != 40 {
		t.Errorf("%d refused and %d sent of 40, of which 5 may wait", len(w.refusals), len(w.starts))
	}
	for id, after := range w.refusals {
		if after != 0 {
			t.Errorf("request %d was refused only after %s", id, after)
		}
	}
}
