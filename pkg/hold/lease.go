package hold

import (
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (e Granted) apply(h *Holder) {
	m := h.model(e.Msg.For.Model)
	if e.From == m.home.Owner && e.Msg.For == m.home.Pool {
		m.seen = max(m.seen, e.Msg.Seq)
	}
	for i := range e.Msg.Leases {
		h.take(m, e.Msg, e.Msg.Leases[i])
	}
}

// take uses a lease at once, keeps it if it is a standing one, or hands it
// back if there is nothing it could run.
func (h *Holder) take(m *model, g *wire.Grant, l wire.Lease) {
	ttl := time.Duration(g.TTLMillis) * time.Millisecond
	x := &held{
		Lease: l, source: g.Source, ttl: ttl, state: chart.Granted,
		expires: g.Stamp.At() + ttl, standing: l.Account == "", owner: g.Source.Owner,
	}
	if _, twice := h.leases[x.key()]; twice {
		return
	}
	h.leases[x.key()] = x
	h.pool(g.Source.Pool).held[x.key()] = x
	if h.former(x) {
		h.giveBack(x, h.use(x, "", 0), false)
		return
	}
	r := h.nextFor(m, x)
	switch {
	case r != nil:
		h.start(r, x)
	case x.standing && !h.draining && !h.closed[l.Backend] && h.now < x.expires:
		m.idle = append(m.idle, x)
	default:
		x.move(chart.Return)
		h.giveBack(x, h.use(x, "", 0), false)
	}
}

// former reports whether the lease comes from a router that this one no longer
// takes for the pool's owner. Its successor was told what runs here, and must
// be able to rely on that.
func (h *Holder) former(l *held) bool {
	owner := h.lenders[l.source.Pool].Owner
	return l.source.Pool.Zone == h.zone && owner != "" && owner != l.source.Owner
}

// nextFor takes the request that the lease is for out of its queue.
func (h *Holder) nextFor(m *model, l *held) *request {
	if h.closed[l.Backend] || h.now+startMargin >= l.expires {
		return nil
	}
	account := l.Account
	if l.standing {
		account = m.oldest(h.limited)
	}
	q, ok := m.queues[account]
	if !ok || len(*q) == 0 {
		return nil
	}
	r := h.prefixes.pick(*q, l.Backend)
	q.remove(r)
	h.prefixes.put(r.Prefix, l.Backend)
	h.dequeued(r)
	if !l.standing {
		m.note(account, max(0, m.told[account]-1))
	}
	return r
}

// oldest returns the account whose next request has waited longest, of those
// that may use a standing lease.
func (m *model) oldest(limited map[string]bool) string {
	best := ""
	for _, name := range sortedKeys(m.queues) {
		q := *m.queues[name]
		if len(q) > 0 && !limited[name] && (best == "" || q[0].turn < (*m.queues[best])[0].turn) {
			best = name
		}
	}
	return best
}

func (e Renewed) apply(h *Holder) {
	p := h.pool(e.Msg.Pool)
	for _, l := range p.held {
		if l.standing && l.owner == e.From {
			l.expires = max(l.expires, e.Msg.Stamp.At()+l.ttl)
		}
	}
}

func (e Recalled) apply(h *Holder) {
	if e.Msg.WantReport {
		if h.lenders[e.Msg.Pool].Owner == e.From {
			h.moveLeases(e.Msg.Pool, Home{Owner: e.From}, Home{Owner: e.From})
			h.adopt(e.Msg.Pool, e.From)
		}
		return
	}
	p := h.pool(e.Msg.Pool)
	m := h.model(e.Msg.Pool.Model)
	for _, l := range p.held {
		if l.standing && l.owner == e.From {
			l.recalled = true
		}
	}
	h.returnIdle(m, func(l *held) bool { return l.recalled }, chart.Recall)
}

// returnIdle hands back the idle standing leases that match, in one message
// for each owner and pool.
func (h *Holder) returnIdle(m *model, match func(*held) bool, on chart.Event) {
	type to struct {
		owner  string
		source wire.Source
	}
	returns := map[to]*wire.Return{}
	var order []to
	kept := m.idle[:0]
	for _, l := range m.idle {
		if !match(l) || !l.move(on) {
			kept = append(kept, l)
			continue
		}
		k := to{l.owner, l.source}
		if returns[k] == nil {
			p := h.pool(l.source.Pool)
			returns[k] = &wire.Return{Pool: l.source.Pool, Epoch: l.source.Epoch, Ended: p.takeEnded(l.source)}
			order = append(order, k)
		}
		returns[k].Unused = append(returns[k].Unused, h.use(l, "", 0))
		h.forget(l)
	}
	m.idle = kept
	for _, k := range order {
		h.send(k.owner, returns[k])
	}
}

func (e Closed) apply(h *Holder) {
	h.closed = e.Backends
	for _, name := range sortedKeys(h.models) {
		h.returnIdle(h.models[name], func(l *held) bool { return h.closed[l.Backend] }, chart.Return)
	}
}

func (e Homes) apply(h *Holder) {
	for _, name := range sortedKeys(e.Of) {
		h.moveHome(h.model(name), e.Of[name])
	}
	for name, m := range h.models {
		if _, ok := e.Of[name]; !ok {
			m.home = Home{}
		}
	}
}

// moveHome turns to another owner: the former one hears that nothing waits
// for it any more, and the new one is told all that waits.
func (h *Holder) moveHome(m *model, home Home) {
	if m.home == home {
		return
	}
	if m.home.Owner != home.Owner {
		withdrawn := &wire.Demand{Pool: m.home.Pool, Seq: m.seq + 1, Stamp: wire.StampOf(h.now), Full: true}
		h.send(m.home.Owner, withdrawn)
	}
	m.home = home
	m.seen = 0
	m.seq = 0
	m.needAll = true
	h.tellNow(m)
}

func (e Lenders) apply(h *Holder) {
	old := h.lenders
	h.lenders = e.Of
	h.zone = e.Zone
	for _, p := range h.pools() {
		now, known := e.Of[p]
		if known && now != old[p] && now.Owner != "" {
			h.moveLeases(p, old[p], now)
		}
	}
	for _, p := range wire.SortedPools(e.Of) {
		if e.Of[p] != old[p] && (p.Zone == e.Zone || len(h.pool(p).held) > 0) {
			h.adopt(p, e.Of[p].Owner)
		}
	}
}

// moveLeases gives the leases of a pool a new owner. Idle ones end, so that
// nothing starts on the word of two owners; running ones are reported for
// the new owner to count.
func (h *Holder) moveLeases(p wire.Pool, from, to Home) {
	if from.Owner == "" {
		return
	}
	h.returnIdle(h.model(p.Model), func(l *held) bool { return l.source.Pool == p }, chart.Return)
	for _, l := range h.pool(p).sorted() {
		l.owner = to.Owner
		l.standing = false
	}
}

// adopt tells a new owner what runs on the leases of former ones. It tells
// it even if nothing does, since the new owner waits to hear so.
func (h *Holder) adopt(p wire.Pool, owner string) {
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

func (e Moved) apply(h *Holder) {
	moved := false
	for _, l := range h.pool(e.Pool).held {
		moved = moved || l.owner == e.From
	}
	if moved {
		h.moveLeases(e.Pool, Home{Owner: e.From}, Home{Owner: e.To})
		h.adopt(e.Pool, e.To)
	}
}

func (h *Holder) pools() []wire.Pool { return wire.SortedPools(h.byPool) }

func (x *lent) sorted() []*held {
	all := make([]*held, 0, len(x.held))
	for _, l := range x.held {
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

// Drain stops keeping leases, because the router is about to stop. Waiting
// requests are refused as not run.
type Drain struct{}

func (Drain) apply(h *Holder) {
	h.draining = true
	for _, name := range sortedKeys(h.models) {
		m := h.models[name]
		h.returnIdle(m, func(*held) bool { return true }, chart.Return)
		for _, account := range sortedKeys(m.queues) {
			q := m.queues[account]
			for len(*q) > 0 {
				r := q.next()
				h.dequeued(r)
				h.refuse(r, errGivenUp.WithRetryAfter(time.Second))
			}
		}
		h.tellNow(m)
	}
}
