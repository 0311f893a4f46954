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
		if r, ok := h.requests[id]; ok && r.held != nil {
			r.held.tokens = max(r.held.tokens, tokens)
		}
	}
	h.expireWaiting()
	h.expireIdle()
	if h.now-h.lastTell < ReportInterval(h.opt.reportEvery, len(h.byPool)) {
		return
	}
	h.lastTell = h.now
	for _, name := range sortedKeys(h.models) {
		h.tellRound(h.models[name])
	}
	for _, p := range h.pools() {
		h.report(p)
	}
}

// poolsAtRate is up to how many pools reports go out at the full rate, and
// slowest by how much they slow down beyond: not so far that leases, which
// count from the last report or demand, would run out between two.
const (
	poolsAtRate = 16
	slowest     = 1.5
)

// ReportInterval returns the time between two reports of a router that holds
// leases of so many pools.
func ReportInterval(every time.Duration, pools int) time.Duration {
	return min(time.Duration(slowest*float64(every)), every*time.Duration(max(pools, poolsAtRate))/poolsAtRate)
}

func (h *Holder) expireIdle() {
	for _, name := range sortedKeys(h.models) {
		h.returnIdle(h.models[name], func(l *held) bool { return h.now >= l.expires }, chart.Expire)
	}
}

// tellSoon tells the owner of changes that it should act on now; others wait
// for the next report, since an owner that knows of a long queue need not
// hear of its every change.
func (h *Holder) tellSoon(m *model) {
	for account := range m.dirty {
		n := m.count(account)
		if n != m.told[account] && min(n, m.told[account]) < soonCount {
			h.tellNow(m)
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

// tellRound is the regular demand, sent while anything waits even if nothing
// changed, since grants count from its stamp. Now and then it is a full one.
func (h *Holder) tellRound(m *model) {
	if len(m.queues) == 0 && len(m.dirty) == 0 && !m.needAll {
		return
	}
	m.rounds++
	if m.rounds%fullRounds == 0 {
		m.needAll = true
	}
	h.tell(m, true)
}

// tellNow sends the count of every account that changed. An account that a
// grant touched is named even if its count is what the owner believes, since
// the message's Seen makes the owner forget that grant.
func (h *Holder) tellNow(m *model) { h.tell(m, false) }

func (h *Holder) tell(m *model, always bool) {
	if m.home.Owner == "" {
		return
	}
	d := &wire.Demand{Pool: m.home.Pool, Full: m.needAll, Seen: m.seen, Stamp: wire.StampOf(h.now)}
	if m.needAll {
		clear(m.told)
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
		m.note(account, n)
	}
	clear(m.dirty)
	if len(d.Waiting) == 0 && !d.Full && !always {
		return
	}
	m.needAll = false
	m.seq++
	d.Seq = m.seq
	h.send(m.home.Owner, d)
}

func (m *model) note(account string, n int) {
	if n == 0 {
		delete(m.told, account)
		return
	}
	m.told[account] = n
}

// head returns the account's next request, nil if none waits.
func (m *model) head(account string) *request {
	q, ok := m.queues[account]
	if !ok || len(*q) == 0 {
		return nil
	}
	return (*q)[0]
}

// report tells the owners of a pool's leases which are held here.
func (h *Holder) report(p wire.Pool) {
	x := h.byPool[p]
	if len(x.held) == 0 && len(x.ended) == 0 {
		delete(h.byPool, p)
		return
	}
	type to struct {
		owner string
		epoch uint64
	}
	reports := map[to]*wire.Report{}
	last := map[to]uint64{}
	var order []to
	for _, l := range x.sorted() {
		k := to{l.owner, l.source.Epoch}
		r, ok := reports[k]
		if !ok {
			r = &wire.Report{Pool: p, Epoch: l.source.Epoch, Stamp: wire.StampOf(h.now), Ended: x.takeEnded(l.source)}
			reports[k] = r
			order = append(order, k)
		}
		if l.Account == "" || l.Swapped {
			r.Held = append(r.Held, h.use(l, l.account(), l.tokens))
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

// reportEnded tells of requests that ended on leases that are held no more.
func (h *Holder) reportEnded(p wire.Pool, x *lent) {
	sources := slices.SortedFunc(maps.Keys(x.ended), func(a, b wire.Source) int { return cmp.Compare(a.Epoch, b.Epoch) })
	for _, s := range sources {
		h.send(s.Owner, &wire.Report{Pool: p, Epoch: s.Epoch, Stamp: wire.StampOf(h.now), Ended: x.ended[s]})
	}
	clear(x.ended)
}

func (l *held) account() string {
	if l.request == nil {
		return ""
	}
	return l.request.Account
}

// Lost applies: what the peer was told may not have arrived.
func (e MessagesLost) apply(h *Holder) {
	for _, name := range sortedKeys(h.models) {
		m := h.models[name]
		if m.home.Owner == e.Peer {
			m.needAll = true
			h.tellNow(m)
		}
	}
}
