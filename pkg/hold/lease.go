package hold

import (
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (e Granted) apply(h *Holder) {
	m := h.model(e.Msg.For.Model)
	if e.From == m.poolOwner.Owner && e.Msg.For == m.poolOwner.Pool {
		m.seen = max(m.seen, e.Msg.Seq)
	}
	for i := range e.Msg.Leases {
		h.takeLease(m, e.Msg, e.Msg.Leases[i])
	}
}

// takeLease starts a request on the lease, keeps a standing lease as idle, or
// returns the lease if no request can use it.
func (h *Holder) takeLease(m *model, g *wire.Grant, l wire.Lease) {
	ttl := time.Duration(g.TTLMillis) * time.Millisecond
	x := &lease{
		Lease: l, source: g.Source, ttl: ttl, state: chart.Granted,
		expires: g.Stamp.At() + ttl, standing: l.Account == "", owner: g.Source.Owner,
	}
	if _, duplicate := h.leases[x.key()]; duplicate {
		return
	}
	h.leases[x.key()] = x
	h.pool(g.Source.Pool).leases[x.key()] = x
	if h.fromFormerOwner(x) {
		h.giveBack(x, h.leaseUse(x, "", 0), false)
		return
	}
	r := h.dequeueFor(m, x)
	switch {
	case r != nil:
		h.start(r, x)
	case x.standing && !h.draining && !h.closed[l.Backend] && h.now < x.expires:
		m.idle = append(m.idle, x)
	default:
		x.transition(chart.Return)
		h.giveBack(x, h.leaseUse(x, "", 0), false)
	}
}

// fromFormerOwner reports whether the router that granted the lease no longer
// owns the pool. Its successor already has a report of the leases held here,
// which must stay accurate.
func (h *Holder) fromFormerOwner(l *lease) bool {
	owner := h.poolOwners[l.source.Pool].Owner
	return l.source.Pool.Zone == h.zone && owner != "" && owner != l.source.Owner
}

// dequeueFor removes the request to run on the lease from its queue. It returns
// nil if there is none.
func (h *Holder) dequeueFor(m *model, l *lease) *request {
	if h.closed[l.Backend] || h.now+startMargin >= l.expires {
		return nil
	}
	account := l.Account
	if l.standing {
		account = m.longestWaiting(h.limited)
	}
	q, ok := m.queues[account]
	if !ok || len(*q) == 0 {
		return nil
	}
	r := h.prefixes.pick(*q, l.Backend)
	q.remove(r)
	h.prefixes.put(r.Prefix, l.Backend)
	h.afterDequeue(r)
	if !l.standing {
		m.setReported(account, max(0, m.reported[account]-1))
	}
	return r
}

// longestWaiting returns the account whose first request has waited longest,
// among the accounts that may use standing leases.
func (m *model) longestWaiting(limited map[string]bool) string {
	best := ""
	for _, name := range sortedKeys(m.queues) {
		q := *m.queues[name]
		if len(q) > 0 && !limited[name] && (best == "" || q[0].sortTime < (*m.queues[best])[0].sortTime) {
			best = name
		}
	}
	return best
}

func (e Renewed) apply(h *Holder) {
	p := h.pool(e.Msg.Pool)
	for _, l := range p.leases {
		if l.standing && l.owner == e.From {
			l.expires = max(l.expires, e.Msg.Stamp.At()+l.ttl)
		}
	}
}

func (e Recalled) apply(h *Holder) {
	if e.Msg.WantReport {
		if h.poolOwners[e.Msg.Pool].Owner == e.From {
			h.transferLeases(e.Msg.Pool, PoolOwner{Owner: e.From}, PoolOwner{Owner: e.From})
			h.reportToNewOwner(e.Msg.Pool, e.From)
		}
		return
	}
	p := h.pool(e.Msg.Pool)
	m := h.model(e.Msg.Pool.Model)
	for _, l := range p.leases {
		if l.standing && l.owner == e.From {
			l.recalled = true
		}
	}
	h.returnIdle(m, func(l *lease) bool { return l.recalled }, chart.Recall)
}

// returnIdle returns the idle standing leases that match, in one message per
// owner and source.
func (h *Holder) returnIdle(m *model, match func(*lease) bool, on chart.Event) {
	type recipient struct {
		owner  string
		source wire.Source
	}
	returns := map[recipient]*wire.Return{}
	var order []recipient
	kept := m.idle[:0]
	for _, l := range m.idle {
		if !match(l) || !l.transition(on) {
			kept = append(kept, l)
			continue
		}
		k := recipient{l.owner, l.source}
		if returns[k] == nil {
			p := h.pool(l.source.Pool)
			returns[k] = &wire.Return{Pool: l.source.Pool, Epoch: l.source.Epoch, Ended: p.takeEnded(l.source)}
			order = append(order, k)
		}
		returns[k].Unused = append(returns[k].Unused, h.leaseUse(l, "", 0))
		h.forget(l)
	}
	m.idle = kept
	for _, k := range order {
		h.send(k.owner, returns[k])
	}
}

func (e BackendsClosed) apply(h *Holder) {
	h.closed = e.Backends
	for _, name := range sortedKeys(h.models) {
		h.returnIdle(h.models[name], func(l *lease) bool { return h.closed[l.Backend] }, chart.Return)
	}
}

func (e ModelOwners) apply(h *Holder) {
	for _, name := range sortedKeys(e.Of) {
		h.changeOwner(h.model(name), e.Of[name])
	}
	for name, m := range h.models {
		if _, ok := e.Of[name]; !ok {
			m.poolOwner = PoolOwner{}
		}
	}
}

// changeOwner sends the model's demand to another owner: it withdraws the
// demand from the former one and sends the full demand to the new one.
func (h *Holder) changeOwner(m *model, owner PoolOwner) {
	if m.poolOwner == owner {
		return
	}
	if m.poolOwner.Owner != owner.Owner {
		withdrawn := &wire.Demand{Pool: m.poolOwner.Pool, Seq: m.seq + 1, Stamp: wire.StampOf(h.now), Full: true}
		h.send(m.poolOwner.Owner, withdrawn)
	}
	m.poolOwner = owner
	m.seen = 0
	m.seq = 0
	m.fullDue = true
	h.sendDemand(m)
}

func (e PoolOwners) apply(h *Holder) {
	old := h.poolOwners
	h.poolOwners = e.Of
	h.zone = e.Zone
	for _, p := range h.pools() {
		now, known := e.Of[p]
		if known && now != old[p] && now.Owner != "" {
			h.transferLeases(p, old[p], now)
		}
	}
	for _, p := range wire.SortedPools(e.Of) {
		if e.Of[p] != old[p] && (p.Zone == e.Zone || len(h.pool(p).leases) > 0) {
			h.reportToNewOwner(p, e.Of[p].Owner)
		}
	}
}

// transferLeases assigns the leases of a pool to a new owner. Idle leases are
// returned, so that two owners cannot grant the same slot. Running ones are
// reported to the new owner later.
func (h *Holder) transferLeases(p wire.Pool, from, to PoolOwner) {
	if from.Owner == "" {
		return
	}
	h.returnIdle(h.model(p.Model), func(l *lease) bool { return l.source.Pool == p }, chart.Return)
	for _, l := range h.pool(p).sorted() {
		l.owner = to.Owner
		l.standing = false
	}
}

// reportToNewOwner reports the leases granted by former owners to the new owner
// of a pool. The owner waits for this report, so an empty one is sent if there
// are none.
func (h *Holder) reportToNewOwner(p wire.Pool, owner string) {
	if owner == "" {
		return
	}
	byEpoch := map[uint64]*wire.Report{0: {Pool: p, Adopt: true, Stamp: wire.StampOf(h.now)}}
	order := []uint64{0}
	for _, l := range h.pool(p).sorted() {
		r, ok := byEpoch[l.source.Epoch]
		if !ok {
			r = &wire.Report{Pool: p, Epoch: l.source.Epoch, Adopt: true, Stamp: wire.StampOf(h.now)}
			byEpoch[l.source.Epoch] = r
			order = append(order, l.source.Epoch)
		}
		r.Held = append(r.Held, wire.LeaseUse{ID: l.ID, Account: l.account(), Tokens: l.tokens, Backend: l.Backend})
	}
	for _, epoch := range order[1:] {
		h.send(owner, byEpoch[epoch])
	}
	if len(order) == 1 {
		h.send(owner, byEpoch[0])
	}
}

func (e OwnerMoved) apply(h *Holder) {
	moved := false
	for _, l := range h.pool(e.Pool).leases {
		moved = moved || l.owner == e.From
	}
	if moved {
		h.transferLeases(e.Pool, PoolOwner{Owner: e.From}, PoolOwner{Owner: e.To})
		h.reportToNewOwner(e.Pool, e.To)
	}
}

func (h *Holder) pools() []wire.Pool { return wire.SortedPools(h.byPool) }

func (x *poolLeases) sorted() []*lease {
	all := make([]*lease, 0, len(x.leases))
	for _, l := range x.leases {
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].source.Epoch != all[j].source.Epoch {
			return all[i].source.Epoch < all[j].source.Epoch
		}
		return all[i].ID < all[j].ID
	})
	return all
}

// Drain returns all idle leases and refuses all waiting requests, because the
// router is stopping.
type Drain struct{}

func (Drain) apply(h *Holder) {
	h.draining = true
	for _, name := range sortedKeys(h.models) {
		m := h.models[name]
		h.returnIdle(m, func(*lease) bool { return true }, chart.Return)
		for _, account := range sortedKeys(m.queues) {
			q := m.queues[account]
			for len(*q) > 0 {
				r := q.next()
				h.afterDequeue(r)
				h.refuse(r, errDraining.WithRetryAfter(time.Second))
			}
		}
		h.sendDemand(m)
	}
}
