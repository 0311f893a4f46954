package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// decide grants free slots to the account with the lowest virtual time until no
// slot is free or no request waits. If slots stay free for a while, it grants
// them as standing leases.
func (o *Owner) decide() {
	if o.takingOver {
		o.endTakeover()
	}
	if o.takingOver {
		return
	}
	free := o.freeSlots()
	for free > 0 && o.grantNext() {
		free = o.freeSlots()
	}
	o.flushGrants()
	if _, waits := o.queue.Min(); waits {
		o.onContention()
		return
	}
	if free > 0 && o.now-o.lastContention >= o.opt.calmPeriod {
		o.grantStanding()
	}
}

// endTakeover lets the owner grant once all leases of the former owner have
// expired, or once all servers and routers have reported.
func (o *Owner) endTakeover() {
	if o.now-o.started >= o.opt.takeoverDelay || o.allReported() {
		o.takingOver = false
	}
}

func (o *Owner) allReported() bool {
	if len(o.servers) == 0 || len(o.expected) == 0 {
		return false
	}
	for _, s := range o.servers {
		if !s.loadKnown {
			return false
		}
	}
	for _, n := range o.expected {
		if h, ok := o.holders[n]; !ok || !h.reportedLeases {
			return false
		}
	}
	return true
}

// grantNext grants one slot to the next account, or deactivates the account if
// it has no demand left. It reports whether it made progress.
func (o *Owner) grantNext() bool {
	next, ok := o.queue.Min()
	if !ok {
		return false
	}
	a := o.account(next.Name)
	c := o.bestDemand(a)
	if c == nil {
		o.updateQueue(a)
		return !next.Active
	}
	s := o.freestServer()
	if s == nil {
		return false
	}
	o.grant(a, c, s)
	o.updateQueue(a)
	return true
}

func (o *Owner) grant(a *account, c *demand, s *server) {
	l := o.newLease(s, c.id.node, a.name)
	l.charged = o.initialCharge(a)
	a.running++
	a.requests++
	a.limit.spend(0, 1)
	o.charge(a.name, l.charged)
	if c.id.pool == o.pool {
		o.stats.Granted++
	} else {
		o.stats.Lent++
	}
	ttl := o.ttlFor(c.id)
	l.expires = o.now + ttl
	g := o.pendingGrant(c.id, o.source(), ttl)
	c.unseenGrants = append(c.unseenGrants, g.Seq)
	g.Leases = append(g.Leases, l.wire())
}

// ttlFor returns the lease time, counted from the requester's last stamp. A
// sibling sends stamps only with its shares, so its leases last one share
// interval longer.
func (o *Owner) ttlFor(id requesterID) time.Duration {
	if id.pool == o.pool {
		return o.opt.ttl
	}
	return o.opt.ttl + o.shareInterval()
}

func (o *Owner) newLease(s *server, holder, account string) *lease {
	o.nextID++
	l := &lease{id: o.nextID, grantedID: o.nextID, epoch: o.epoch, server: s, backend: s.Name, holder: holder, account: account, lastReport: o.now, granted: o.now}
	o.leases[l.id] = l
	s.used++
	s.peak = max(s.peak, s.used)
	return l
}

func (l *lease) wire() wire.Lease {
	return wire.Lease{ID: l.id, Backend: l.backend, Account: l.account}
}

func (o *Owner) source() wire.Source {
	return wire.Source{Owner: o.self, Pool: o.pool, Epoch: o.epoch}
}

// batchKey identifies one grant message of a step.
type batchKey struct {
	id     requesterID
	source wire.Source
}

// pendingGrant returns the grant message that this step sends to the requester
// for leases of the source.
func (o *Owner) pendingGrant(id requesterID, source wire.Source, ttl time.Duration) *wire.Grant {
	k := batchKey{id, source}
	g, ok := o.batch[k]
	if !ok {
		c := o.requester(id)
		c.grantSeq++
		g = &wire.Grant{
			For: id.pool, Lent: id.pool != o.pool, Seq: c.grantSeq, Stamp: o.stampOf(id),
			TTLMillis: int(ttl.Milliseconds()), Source: source,
		}
		o.batch[k] = g
		o.batchOrder = append(o.batchOrder, k)
	}
	return g
}

// stampOf returns the last stamp received from the requester.
func (o *Owner) stampOf(id requesterID) wire.Stamp {
	if id.pool == o.pool {
		return o.holder(id.node).stamp
	}
	if s, ok := o.siblings[id.pool]; ok {
		return s.stamp
	}
	return 0
}

func (o *Owner) flushGrants() {
	for _, k := range o.batchOrder {
		o.send(k.id.node, o.batch[k])
		delete(o.batch, k)
	}
	o.batchOrder = o.batchOrder[:0]
}

// freestServer returns the server with the most free slots.
func (o *Owner) freestServer() *server {
	var best *server
	for _, n := range o.sortedNames() {
		s := o.servers[n]
		if s.free() > 0 && (best == nil || s.free() > best.free()) {
			best = s
		}
	}
	return best
}

// onContention records that requests wait without a free slot and recalls the
// standing leases.
func (o *Owner) onContention() {
	o.lastContention = o.now
	for _, n := range sorted(o.holders) {
		h := o.holders[n]
		if h.standing > 0 && !h.recalled {
			h.recalled = true
			o.send(n, &wire.Recall{Pool: o.pool})
		}
	}
	o.requestShare()
}

// grantStanding grants idle slots, less a reserve, as standing leases to the
// routers that recently had requests. Their next requests then start without a
// message to the owner.
func (o *Owner) grantStanding() {
	var recent []string
	for _, n := range sorted(o.holders) {
		h := o.holders[n]
		if o.now-h.lastUse < o.opt.recentUse && o.now-h.lastSeen < o.opt.ttl/2 {
			recent = append(recent, n)
		}
	}
	if len(recent) == 0 {
		return
	}
	slots := o.slots()
	fairShare := (slots - slots/reserveDivisor) / len(recent)
	for _, n := range recent {
		o.topUp(n, min(fairShare, maxStanding))
	}
	o.flushGrants()
}

// reserveDivisor: 1/reserveDivisor of the slots is never granted as standing
// leases.
const reserveDivisor = 4

// maxStanding limits the standing leases of one router in one pool.
const maxStanding = 64

func (o *Owner) topUp(name string, want int) {
	h := o.holders[name]
	h.recalled = false
	slots := o.slots()
	for h.standing < want && o.freeSlots() > slots/reserveDivisor {
		s := o.freestServer()
		if s == nil {
			return
		}
		l := o.newLease(s, name, "")
		l.standing = true
		h.standing++
		g := o.pendingGrant(requesterID{node: name, pool: o.pool}, o.source(), o.opt.ttl)
		g.Leases = append(g.Leases, l.wire())
	}
}
