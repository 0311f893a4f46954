package hold

import (
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Errors for waiting requests, which have not run.
var (
	errDeadline = verdict.New(verdict.PhaseQueue, http.StatusGatewayTimeout, "deadline",
		"the deadline passed while the request waited for a slot")
	errDraining = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "draining",
		"this entry instance is stopping; send the request again")
)

func (e Arrive) apply(h *Holder) {
	r := &request{Arrive: e, arrived: h.now - e.Waited, index: -1}
	r.sortTime = r.arrived - time.Duration(e.Priority)*priorityLead
	h.requests[e.ID] = r
	if e.Deadline <= h.now {
		h.refuse(r, errDeadline)
		return
	}
	m := h.model(e.Model)
	if !h.limited[e.Account] {
		if l := h.takeIdle(m); l != nil {
			h.start(r, l)
			return
		}
	}
	h.enqueue(r)
	h.sendUrgentDemand(m)
}

func (e LimitedAccounts) apply(h *Holder) { h.limited = e.Accounts }

func (e Cancel) apply(h *Holder) {
	r, ok := h.requests[e.ID]
	if !ok || r.index < 0 {
		return
	}
	m := h.model(r.Model)
	m.queue(r.Account).remove(r)
	h.afterDequeue(r)
	delete(h.requests, e.ID)
	h.sendUrgentDemand(m)
}

func (e Finished) apply(h *Holder) {
	r, ok := h.requests[e.ID]
	if !ok || r.lease == nil {
		return
	}
	delete(h.requests, e.ID)
	l := r.lease
	l.request = nil
	l.tokens = e.Tokens
	if !e.Unreachable && h.mayReuse(l) && l.transition(chart.Reuse) {
		h.reuse(l, r, e)
		return
	}
	l.transition(chart.Finish)
	u := h.leaseUse(l, r.Account, e.Tokens)
	u.Failed = e.Unreachable
	h.giveBack(l, u, e.Sent)
}

// mayReuse reports whether a standing lease stays here after its request. It
// does not if the owner recalled it or if requests wait, because the owner
// decides their order.
func (h *Holder) mayReuse(l *lease) bool {
	return l.standing && !l.recalled && !h.draining && h.now < l.expires &&
		!h.closed[l.Backend] && !h.model(l.source.Pool.Model).waiting()
}

func (h *Holder) reuse(l *lease, r *request, e Finished) {
	if e.Sent {
		p := h.pool(l.source.Pool)
		p.ended[l.source] = append(p.ended[l.source], h.leaseUse(l, r.Account, e.Tokens))
	}
	l.tokens = 0
	m := h.model(l.source.Pool.Model)
	m.idle = append(m.idle, l)
}

func (h *Holder) leaseUse(l *lease, account string, tokens int64) wire.LeaseUse {
	if l.Account != "" && !l.Swapped {
		account = ""
	}
	return wire.LeaseUse{ID: l.ID, Account: account, Tokens: tokens}
}

// giveBack returns a lease to its owner.
func (h *Holder) giveBack(l *lease, u wire.LeaseUse, used bool) {
	p := h.pool(l.source.Pool)
	msg := &wire.Return{Pool: l.source.Pool, Epoch: l.source.Epoch}
	if l.standing {
		msg.Ended = p.takeEnded(l.source)
	}
	if used {
		msg.Done = []wire.LeaseUse{u}
	} else {
		msg.Unused = []wire.LeaseUse{u}
	}
	h.forget(l)
	h.send(l.owner, msg)
}

func (h *Holder) forget(l *lease) {
	delete(h.leases, l.key())
	delete(h.pool(l.source.Pool).leases, l.key())
}

func (h *Holder) pool(p wire.Pool) *poolLeases {
	x, ok := h.byPool[p]
	if !ok {
		x = &poolLeases{leases: map[leaseKey]*lease{}, ended: map[wire.Source][]wire.LeaseUse{}}
		h.byPool[p] = x
	}
	return x
}

// takeIdle returns a standing lease that can start a request now, or nil.
func (h *Holder) takeIdle(m *model) *lease {
	if m.waiting() {
		return nil
	}
	for len(m.idle) > 0 {
		l := m.idle[len(m.idle)-1]
		m.idle = m.idle[:len(m.idle)-1]
		if h.now+startMargin < l.expires && !h.closed[l.Backend] {
			return l
		}
		l.transition(chart.Expire)
		h.giveBack(l, h.leaseUse(l, "", 0), false)
	}
	return nil
}

func (h *Holder) start(r *request, l *lease) {
	if !l.transition(chart.Start) {
		return
	}
	l.request = r
	l.started = h.now
	l.tokens = 0
	r.lease = l
	h.emit(Start{ID: r.ID, Lease: l.Lease, Expires: l.expires, Waited: h.now - r.arrived})
}

// expireWaiting refuses the requests whose deadline has passed.
func (h *Holder) expireWaiting() {
	for _, name := range sortedKeys(h.models) {
		m := h.models[name]
		for _, account := range sortedKeys(m.queues) {
			h.expireQueue(m.queues[account])
		}
	}
}

func (h *Holder) expireQueue(q *queue) {
	var late []*request
	for _, r := range *q {
		if r.Deadline <= h.now {
			late = append(late, r)
		}
	}
	for _, r := range late {
		q.remove(r)
		h.afterDequeue(r)
		h.refuse(r, errDeadline)
	}
}
