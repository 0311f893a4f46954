package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Event is an input of Owner.Step.
type Event interface{ apply(o *Owner) }

// Tick advances the time. It is due at least every DefaultShareInterval.
type Tick struct{}

// Servers replaces the backend servers of the pool.
type Servers struct{ List []Server }

// Weights replaces the weights of the accounts.
type Weights struct{ Of map[string]float64 }

// Holders replaces the live routers of the zone. Expected lists all routers
// that may be alive, including those not yet seen.
type Holders struct {
	Live     []string
	Expected []string
}

// Load is the number of running requests that a backend server reports. It may
// be up to LoadLag old.
type Load struct {
	Backend  string
	InFlight int
}

// Unreachable reports that reading the load of a backend server failed. The
// server gets no requests until a reading succeeds.
type Unreachable struct{ Backend string }

// Demand is a router's demand for slots.
type Demand struct {
	From string
	Msg  *wire.Demand
}

// Return is a router's return of leases.
type Return struct {
	From string
	Msg  *wire.Return
}

// Report is a router's list of the leases that it holds.
type Report struct {
	From string
	Msg  *wire.Report
}

// Borrowed is a grant from the owner of another pool of the model.
type Borrowed struct {
	From string
	Msg  *wire.Grant
}

func (Tick) apply(o *Owner) {
	o.reclaimSilent()
	o.updateQueues()
	o.extrapolate()
	o.refill()
	o.dropSilentHolders()
	o.dropSilentSiblings()
	o.shareIfDue()
}

func (e Servers) apply(o *Owner) {
	o.serverNames = nil
	old := o.servers
	o.servers = make(map[string]*server, len(e.List))
	for _, s := range e.List {
		srv, ok := old[s.Name]
		if !ok {
			srv = &server{}
		}
		srv.Server = s
		o.servers[s.Name] = srv
	}
}

func (e Weights) apply(o *Owner) {
	for name, w := range e.Of {
		o.queue.SetWeight(name, w)
	}
	for name := range o.accounts {
		if _, ok := e.Of[name]; !ok {
			o.removeAccount(name)
		}
	}
}

// removeAccount removes an account that is no longer in the table, unless
// requests of it wait.
func (o *Owner) removeAccount(name string) {
	if o.queue.Get(name).Active {
		return
	}
	delete(o.accounts, name)
	o.queue.Drop(name)
}

func (e Holders) apply(o *Owner) {
	o.expected = e.Expected
	live := make(map[string]bool, len(e.Live))
	for _, n := range e.Live {
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

// dropHolder removes a router and its demands.
func (o *Owner) dropHolder(name string) {
	for id := range o.requesters {
		if id.node == name && id.pool == o.pool {
			o.dropRequester(id)
		}
	}
	delete(o.holders, name)
}

// abandonAll handles the leases of a dead router, which may only be
// disconnected with its requests still running. If the backend server reports
// its load, the leases are abandoned until the next report; otherwise they stay
// until the reclaim timeout.
func (o *Owner) abandonAll(name string) {
	for _, l := range o.leases {
		if l.holder != name {
			continue
		}
		if l.server.ReportsLoad {
			o.abandon(l)
		}
		l.standing = false
	}
}

// dropSilentHolders removes routers of other zones that no longer send
// messages.
func (o *Owner) dropSilentHolders() {
	for _, n := range sorted(o.holders) {
		h := o.holders[n]
		if !h.member && o.now-h.lastSeen >= o.opt.reclaimTimeout {
			o.dropHolder(n)
		}
	}
}

// observe records a message from the router.
func (h *holder) observe(now time.Duration, stamp wire.Stamp) {
	h.lastSeen = now
	h.stamp = max(h.stamp, stamp)
}

// LoadLag is the maximum age of a load report.
const LoadLag = 500 * time.Millisecond

func (e Load) apply(o *Owner) {
	s, ok := o.servers[e.Backend]
	if !ok {
		return
	}
	known := max(s.peak, s.lastPeak, s.used)
	unleased := max(0, e.InFlight-known)
	if o.now-s.lastAbandoned < LoadLag {
		// The report may predate the abandoned request.
		unleased = max(unleased, s.unleased)
	}
	s.unleased = unleased
	o.dropVanished(s, e.InFlight)
	s.lastPeak = s.peak
	s.peak = s.used
	s.loadKnown = true
	s.unreachable = false
}

func (e Unreachable) apply(o *Owner) {
	if s, ok := o.servers[e.Backend]; ok {
		s.unreachable = true
		s.loadKnown = true
	}
}

func (e Demand) apply(o *Owner) {
	id := requesterID{node: e.From, pool: o.pool}
	c := o.requester(id)
	if e.Msg.Seq <= c.demandSeq && !e.Msg.Full {
		return
	}
	c.demandSeq = e.Msg.Seq
	h := o.holder(e.From)
	h.observe(o.now, e.Msg.Stamp)
	if len(e.Msg.Waiting) > 0 {
		h.lastUse = o.now
	}
	o.setDemands(id, e.Msg.Waiting, e.Msg.Seen, e.Msg.Full)
}

func (e Return) apply(o *Owner) {
	o.chargeEnded(e.From, e.Msg.Epoch, e.Msg.Ended)
	for _, u := range e.Msg.Done {
		if l := o.find(e.Msg.Epoch, u); l != nil {
			l.server.unreachable = l.server.unreachable || u.Failed
			o.setAccount(l, u.Account)
			o.settleCharge(l, u.Tokens, true)
			o.free(l)
		}
	}
	for _, u := range e.Msg.Unused {
		if l := o.find(e.Msg.Epoch, u); l != nil {
			l.server.unreachable = l.server.unreachable || u.Failed
			o.stats.Unused++
			if l.standing {
				// A router that returns a standing lease unused gets no other
				// until it has requests.
				o.holder(l.holder).lastUse = o.now - o.opt.recentUse
			}
			o.charge(l.account, -l.charged)
			o.free(l)
		}
	}
}

func (e Report) apply(o *Owner) {
	h := o.holder(e.From)
	h.observe(o.now, e.Msg.Stamp)
	o.chargeEnded(e.From, e.Msg.Epoch, e.Msg.Ended)
	h.reportedLeases = h.reportedLeases || e.Msg.Adopt
	unknown, standing := false, false
	applyOne := func(u wire.LeaseUse) {
		l := o.find(e.Msg.Epoch, u)
		if l == nil && e.Msg.Adopt {
			l = o.adopt(e.From, e.Msg.Epoch, u)
		}
		if l == nil {
			unknown = true
			return
		}
		standing = standing || l.standing
		o.applyUse(l, e.From, u)
	}
	for _, u := range e.Msg.Held {
		applyOne(u)
	}
	e.Msg.EachRunning(func(id uint64, tokens int64) { applyOne(wire.LeaseUse{ID: id, Tokens: tokens}) })
	if unknown && !e.Msg.Adopt {
		o.send(e.From, &wire.Recall{Pool: o.pool, WantReport: true})
	}
	if standing {
		o.send(e.From, &wire.Renew{Pool: e.Msg.Pool, Stamp: e.Msg.Stamp})
	}
}

// applyUse applies one entry of a report to its lease.
func (o *Owner) applyUse(l *lease, from string, u wire.LeaseUse) {
	o.updateRate(l, u.Tokens)
	l.lastReport = o.now
	l.holder = from
	o.setAccount(l, u.Account)
	o.settleCharge(l, u.Tokens, false)
}

// chargeEnded charges requests that ended on standing leases, less what earlier
// reports of the same request charged.
func (o *Owner) chargeEnded(from string, epoch uint64, uses []wire.LeaseUse) {
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
		o.account(u.Account).costEstimate.add(tokens)
		o.overall.add(tokens)
		o.holder(from).lastUse = o.now
	}
}

func (e Borrowed) apply(o *Owner) { o.relay(e.From, e.Msg) }

// updateRate computes the rate at which a running request is served.
func (o *Owner) updateRate(l *lease, tokens int64) {
	since := (o.now - l.lastReport).Seconds()
	if since <= 0 || l.tokens == 0 || tokens <= l.tokens {
		l.rate = 0
		return
	}
	l.rate = float64(tokens-l.tokens) / since
	o.rate.add(l.rate)
}

// extrapolate charges requests that exceed their charge for the tokens they
// have probably been served since their last report. The next report corrects
// the charge.
func (o *Owner) extrapolate() {
	if !o.opt.extrapolate {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.leases)) {
		l := o.leases[id]
		if l.rate == 0 {
			continue
		}
		served := float64(l.tokens) + l.rate*(o.now-l.lastReport).Seconds()
		if served > l.charged {
			o.charge(l.account, served-l.charged)
			l.charged = served
		}
	}
}

// setAccount moves the charge of a standing or swapped lease to the account
// that uses it.
func (o *Owner) setAccount(l *lease, account string) {
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
