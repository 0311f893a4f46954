package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Event is what an Owner takes in one Step.
type Event interface{ apply(o *Owner) }

// Tick lets time pass. It is due at least every DefaultShareEvery.
type Tick struct{}

// Servers replaces the backend servers of the pool.
type Servers struct{ List []Server }

// Weights sets the weights of accounts.
type Weights struct{ Of map[string]float64 }

// Holders replaces the live routers of the zone. Expected are all that may
// live, among them those that have not been heard of yet.
type Holders struct {
	Names    []string
	Expected []string
}

// Load is a backend server's own report of what runs there. It lags.
type Load struct {
	Backend  string
	InFlight int
}

// Unreachable says that a backend server did not answer the last call for
// its load; it gets no work until it does.
type Unreachable struct{ Backend string }

// Demand is a router's demand.
type Demand struct {
	From string
	Msg  *wire.Demand
}

// Return is a router's return of leases.
type Return struct {
	From string
	Msg  *wire.Return
}

// Report is a router's list of the leases it holds.
type Report struct {
	From string
	Msg  *wire.Report
}

// Lent is a grant from the owner of another pool of the model.
type Lent struct {
	From string
	Msg  *wire.Grant
}

func (Tick) apply(o *Owner) {
	o.reclaimSilent()
	o.refreshAll()
	o.runOn()
	o.refill()
	o.dropSilentHolders()
	o.dropSilentSiblings()
	o.shareIfDue()
}

func (e Servers) apply(o *Owner) {
	o.names = nil
	old := o.servers
	o.servers = make(map[string]*server, len(e.List))
	for _, s := range e.List {
		sv, ok := old[s.Name]
		if !ok {
			sv = &server{}
		}
		sv.Server = s
		o.servers[s.Name] = sv
	}
}

func (e Weights) apply(o *Owner) {
	for name, w := range e.Of {
		o.queue.SetWeight(name, w)
	}
	for name := range o.accounts {
		if _, ok := e.Of[name]; !ok {
			o.forget(name)
		}
	}
}

// forget drops an account that left the table, once nothing of it waits.
func (o *Owner) forget(name string) {
	if o.queue.Get(name).Active {
		return
	}
	delete(o.accounts, name)
	o.queue.Drop(name)
}

func (e Holders) apply(o *Owner) {
	o.expected = e.Expected
	live := make(map[string]bool, len(e.Names))
	for _, n := range e.Names {
		live[n] = true
		h := o.holder(n)
		if !h.member {
			o.send(n, &wire.Recall{Pool: o.pool, WantReport: true})
		}
		h.member = true
	}
	for _, n := range sorted(o.holders) {
		if o.holders[n].member && !live[n] {
			o.abandonAll(n)
			o.dropHolder(n)
		}
	}
}

// dropHolder forgets a router's demand.
func (o *Owner) dropHolder(name string) {
	for who := range o.claims {
		if who.node == name && who.pool == o.pool {
			o.dropClaimer(who)
		}
	}
	delete(o.holders, name)
}

// abandonAll gives up the leases of a dead router. What it started may still
// run, if it is only cut off: its slots count as taken until the backend
// server's own report, or until the leases' silence where it reports nothing.
func (o *Owner) abandonAll(name string) {
	for _, l := range o.leases {
		if l.holder != name {
			continue
		}
		if l.server.Reports {
			o.abandon(l)
		}
		l.standing = false
	}
}

// dropSilentHolders forgets routers of other zones that ask nothing more.
func (o *Owner) dropSilentHolders() {
	for _, n := range sorted(o.holders) {
		h := o.holders[n]
		if !h.member && o.now-h.heard >= o.opt.reclaim {
			o.dropHolder(n)
		}
	}
}

// hear notes a router's sign of life.
func (h *holder) hear(now time.Duration, stamp wire.Stamp) {
	h.heard = now
	h.stamp = max(h.stamp, stamp)
}

// LoadLag is how old a load may be that a backend server reports.
const LoadLag = 500 * time.Millisecond

func (e Load) apply(o *Owner) {
	s, ok := o.servers[e.Backend]
	if !ok {
		return
	}
	known := max(s.peak, s.lastPeak, s.used)
	foreign := max(0, e.InFlight-known)
	if o.now-s.abandoned < LoadLag {
		// The report may be older than the request that was given up.
		foreign = max(foreign, s.foreign)
	}
	s.foreign = foreign
	o.dropVanished(s, e.InFlight)
	s.lastPeak = s.peak
	s.peak = s.used
	s.loaded = true
	s.down = false
}

func (e Unreachable) apply(o *Owner) {
	if s, ok := o.servers[e.Backend]; ok {
		s.down = true
		s.loaded = true
	}
}

func (e Demand) apply(o *Owner) {
	who := claimant{node: e.From, pool: o.pool}
	c := o.claimer(who)
	if e.Msg.Seq <= c.demandSeq && !e.Msg.Full {
		return
	}
	c.demandSeq = e.Msg.Seq
	h := o.holder(e.From)
	h.hear(o.now, e.Msg.Stamp)
	if len(e.Msg.Waiting) > 0 {
		h.lastUse = o.now
	}
	o.setClaims(who, e.Msg.Waiting, e.Msg.Seen, e.Msg.Full)
}

func (e Return) apply(o *Owner) {
	o.ended(e.From, e.Msg.Epoch, e.Msg.Ended)
	for _, u := range e.Msg.Done {
		if l := o.find(e.Msg.Epoch, u); l != nil {
			l.server.down = l.server.down || u.Failed
			o.bind(l, u.Account)
			o.settle(l, u.Tokens, true)
			o.free(l)
		}
	}
	for _, u := range e.Msg.Unused {
		if l := o.find(e.Msg.Epoch, u); l != nil {
			l.server.down = l.server.down || u.Failed
			o.stats.Unused++
			if l.standing {
				// Who gives one back unused gets none until it has work.
				o.holder(l.holder).lastUse = o.now - o.opt.recent
			}
			o.charge(l.account, -l.charged)
			o.free(l)
		}
	}
}

func (e Report) apply(o *Owner) {
	h := o.holder(e.From)
	h.hear(o.now, e.Msg.Stamp)
	o.ended(e.From, e.Msg.Epoch, e.Msg.Ended)
	h.adopted = h.adopted || e.Msg.Adopt
	unknown, standing := false, false
	take := func(u wire.LeaseUse) {
		l := o.find(e.Msg.Epoch, u)
		if l == nil && e.Msg.Adopt {
			l = o.adopt(e.From, e.Msg.Epoch, u)
		}
		if l == nil {
			unknown = true
			return
		}
		standing = standing || l.standing
		o.hearLease(l, e.From, u)
	}
	for _, u := range e.Msg.Held {
		take(u)
	}
	e.Msg.EachRunning(func(id uint64, tokens int64) { take(wire.LeaseUse{ID: id, Tokens: tokens}) })
	if unknown && !e.Msg.Adopt {
		o.send(e.From, &wire.Recall{Pool: o.pool, WantReport: true})
	}
	if standing {
		o.send(e.From, &wire.Renew{Pool: e.Msg.Pool, Stamp: e.Msg.Stamp})
	}
}

// hearLease takes a report of one lease.
func (o *Owner) hearLease(l *lease, from string, u wire.LeaseUse) {
	o.measure(l, u.Tokens)
	l.heard = o.now
	l.holder = from
	o.bind(l, u.Account)
	o.settle(l, u.Tokens, false)
}

// ended charges requests that ended on standing leases, less what earlier
// reports of the same request charged.
func (o *Owner) ended(from string, epoch uint64, uses []wire.LeaseUse) {
	for _, u := range uses {
		tokens := float64(u.Tokens)
		charged := 0.0
		if l := o.find(epoch, u); l != nil && l.account == u.Account {
			charged = l.charged
			l.account = ""
			l.charged = 0
			l.tokens = 0
		}
		o.charge(u.Account, tokens-charged)
		o.account(u.Account).est.add(tokens)
		o.overall.add(tokens)
		o.holder(from).lastUse = o.now
	}
}

func (e Lent) apply(o *Owner) { o.relay(e.From, e.Msg) }

// measure notes the rate at which a running request is served.
func (o *Owner) measure(l *lease, tokens int64) {
	since := (o.now - l.heard).Seconds()
	if since <= 0 || l.tokens == 0 || tokens <= l.tokens {
		l.rate = 0
		return
	}
	l.rate = float64(tokens-l.tokens) / since
	o.rate.add(l.rate)
}

// runOn charges requests that outlast their estimate for what they were
// probably served since their last report. The next one puts it right.
func (o *Owner) runOn() {
	if !o.opt.runOn {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.leases)) {
		l := o.leases[id]
		if l.rate == 0 {
			continue
		}
		served := float64(l.tokens) + l.rate*(o.now-l.heard).Seconds()
		if served > l.charged {
			o.charge(l.account, served-l.charged)
			l.charged = served
		}
	}
}

// bind charges what runs on a standing or swapped lease to the account it runs
// for.
func (o *Owner) bind(l *lease, account string) {
	if account == l.account || !l.standing && account == "" {
		return
	}
	if !l.standing {
		o.charge(l.account, -l.charged)
		o.account(l.account).running--
		o.account(account).running++
	}
	l.account = account
	l.charged = 0
	l.tokens = 0
}
