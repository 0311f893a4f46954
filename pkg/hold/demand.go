package hold

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (e Tick) apply(h *Holder) {
	for id, tokens := range e.Tokens {
		if r, ok := h.requests[id]; ok && r.lease != nil {
			r.lease.tokens = max(r.lease.tokens, tokens)
		}
	}
	h.expireWaiting()
	h.expireIdle()
	if h.now-h.lastReport < ReportInterval(h.opt.reportInterval, len(h.byPool)) {
		return
	}
	h.lastReport = h.now
	for _, name := range sortedKeys(h.models) {
		h.sendRegularDemand(h.models[name])
	}
	for _, p := range h.pools() {
		h.report(p)
	}
}

// Reports of up to poolsAtFullRate pools are sent at the full rate. With more
// pools the interval grows to at most maxSlowdown times its length: leases
// count from the last report or demand and must not expire between two.
const (
	poolsAtFullRate = 16
	maxSlowdown     = 1.5
)

// ReportInterval returns the time between two reports of a router that holds
// leases of the given number of pools.
func ReportInterval(every time.Duration, pools int) time.Duration {
	return min(time.Duration(maxSlowdown*float64(every)), every*time.Duration(max(pools, poolsAtFullRate))/poolsAtFullRate)
}

func (h *Holder) expireIdle() {
	for _, name := range sortedKeys(h.models) {
		h.returnIdle(h.models[name], func(l *lease) bool { return h.now >= l.expires }, chart.Expire)
	}
}

// sendUrgentDemand sends the demand if a queue that the owner assumes to be
// short has changed. Other changes wait for the regular demand.
func (h *Holder) sendUrgentDemand(m *model) {
	for account := range m.dirty {
		n := m.count(account)
		if n != m.reported[account] && min(n, m.reported[account]) < urgentCount {
			h.sendDemand(m)
			return
		}
	}
}

func (m *model) count(account string) int {
	q, ok := m.queues[account]
	if !ok {
		return 0
	}
	return len(*q)
}

// sendRegularDemand sends the demand while requests wait, even without changes,
// because lease times count from its stamp. Every fullDemandEvery calls it
// sends the full demand.
func (h *Holder) sendRegularDemand(m *model) {
	if len(m.queues) == 0 && len(m.dirty) == 0 && !m.fullDue {
		return
	}
	m.rounds++
	if m.rounds%fullDemandEvery == 0 {
		m.fullDue = true
	}
	h.emitDemand(m, true)
}

// sendDemand sends the counts of all accounts that have changed. That includes
// accounts whose count the owner assumes correctly because of a grant: the
// message's Seen makes the owner discount that grant.
func (h *Holder) sendDemand(m *model) { h.emitDemand(m, false) }

func (h *Holder) emitDemand(m *model, always bool) {
	if m.poolOwner.Owner == "" {
		return
	}
	d := &wire.Demand{Pool: m.poolOwner.Pool, Full: m.fullDue, Seen: m.seen, Stamp: wire.StampOf(h.now)}
	if m.fullDue {
		clear(m.reported)
		for name := range m.queues {
			m.dirty[name] = true
		}
	}
	for _, account := range sortedKeys(m.dirty) {
		n := m.count(account)
		w := wire.Waiting{Account: account, Count: n}
		if next := m.head(account); next != nil {
			w.Priority = next.Priority
		}
		d.Waiting = append(d.Waiting, w)
		m.setReported(account, n)
	}
	clear(m.dirty)
	if len(d.Waiting) == 0 && !d.Full && !always {
		return
	}
	m.fullDue = false
	m.seq++
	d.Seq = m.seq
	h.send(m.poolOwner.Owner, d)
}

func (m *model) setReported(account string, n int) {
	if n == 0 {
		delete(m.reported, account)
		return
	}
	m.reported[account] = n
}

// head returns the account's first waiting request, or nil.
func (m *model) head(account string) *request {
	q, ok := m.queues[account]
	if !ok || len(*q) == 0 {
		return nil
	}
	return (*q)[0]
}

// report sends the owners of a pool's leases what this router holds.
func (h *Holder) report(p wire.Pool) {
	x := h.byPool[p]
	if len(x.leases) == 0 && len(x.ended) == 0 {
		delete(h.byPool, p)
		return
	}
	type recipient struct {
		owner string
		epoch uint64
	}
	reports := map[recipient]*wire.Report{}
	last := map[recipient]uint64{}
	var order []recipient
	for _, l := range x.sorted() {
		k := recipient{l.owner, l.source.Epoch}
		r, ok := reports[k]
		if !ok {
			r = &wire.Report{Pool: p, Epoch: l.source.Epoch, Stamp: wire.StampOf(h.now), Ended: x.takeEnded(l.source)}
			reports[k] = r
			order = append(order, k)
		}
		if l.Account == "" || l.Swapped {
			r.Held = append(r.Held, h.leaseUse(l, l.account(), l.tokens))
			continue
		}
		r.AddRunning(last[k], l.ID, l.tokens)
		last[k] = l.ID
	}
	for _, k := range order {
		h.send(k.owner, reports[k])
	}
	h.reportEnded(p, x)
}

// reportEnded reports requests that ended on leases no longer held.
func (h *Holder) reportEnded(p wire.Pool, x *poolLeases) {
	sources := slices.SortedFunc(maps.Keys(x.ended), func(a, b wire.Source) int { return cmp.Compare(a.Epoch, b.Epoch) })
	for _, s := range sources {
		h.send(s.Owner, &wire.Report{Pool: p, Epoch: s.Epoch, Stamp: wire.StampOf(h.now), Ended: x.ended[s]})
	}
	clear(x.ended)
}

func (l *lease) account() string {
	if l.request == nil {
		return ""
	}
	return l.request.Account
}

// The peer may have missed a demand, so it gets the full one.
func (e MessagesLost) apply(h *Holder) {
	for _, name := range sortedKeys(h.models) {
		m := h.models[name]
		if m.poolOwner.Owner == e.Peer {
			m.fullDue = true
			h.sendDemand(m)
		}
	}
}
