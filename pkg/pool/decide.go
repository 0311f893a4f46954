package pool

import (
	"sort"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// decide grants free slots to the account with the least service until the
// slots or the waiting work end, then spreads what is left as standing leases.
func (o *Owner) decide() {
	if o.quiet {
		o.endQuiet()
	}
	if o.quiet {
		return
	}
	free := o.freeSlots()
	for free > 0 {
		if !o.grantNext() {
			break
		}
		free--
	}
	o.flushGrants()
	if _, waits := o.queue.Min(); waits {
		o.contend()
		return
	}
	if free > 0 && o.now-o.contended >= o.opt.calm {
		o.spread()
	}
}

// endQuiet lets the owner grant once every lease of a former owner has run
// out, or once all that is known to run was reported.
func (o *Owner) endQuiet() {
	if o.now-o.started >= o.opt.quiet || o.allKnown() {
		o.quiet = false
	}
}

func (o *Owner) allKnown() bool {
	if len(o.servers) == 0 || len(o.holders) == 0 {
		return false
	}
	for _, s := range o.servers {
		if !s.loaded {
			return false
		}
	}
	for _, h := range o.holders {
		if h.member && !h.reported {
			return false
		}
	}
	return true
}

// grantNext grants one slot to the account that is next. It reports whether
// anyone could take it.
func (o *Owner) grantNext() bool {
	next, ok := o.queue.Min()
	if !ok {
		return false
	}
	a := o.account(next.Name)
	c := o.best(a)
	if c == nil {
		o.refresh(a)
		return false
	}
	s := o.roomiest()
	if s == nil {
		return false
	}
	o.grant(a, c, s)
	o.refresh(a)
	return true
}

func (o *Owner) grant(a *account, c *claim, s *server) {
	l := o.newLease(s, c.who.node, a.name)
	l.charged = o.estimate(a)
	o.charge(a.name, l.charged)
	g := o.batched(c.who)
	c.unseen = append(c.unseen, g.Seq)
	g.Leases = append(g.Leases, o.wireLease(l))
}

func (o *Owner) newLease(s *server, holder, account string) *lease {
	o.nextID++
	l := &lease{id: o.nextID, inc: o.inc, server: s, name: s.Name, holder: holder, account: account, heard: o.now}
	o.leases[l.id] = l
	s.used++
	s.peak = max(s.peak, s.used)
	return l
}

func (o *Owner) wireLease(l *lease) wire.Lease {
	return wire.Lease{
		Owner: o.self, Inc: o.inc, ID: l.id, Pool: o.pool, Backend: l.name,
		Account: l.account, TTLMillis: int(o.opt.ttl.Milliseconds()),
	}
}

// batched returns the grant that this step will send to the claimant.
func (o *Owner) batched(who claimant) *wire.Grant {
	g, ok := o.batch[who]
	if !ok {
		c := o.claimer(who)
		c.grantSeq++
		g = &wire.Grant{For: who.pool, Lent: who.pool != o.pool, Seq: c.grantSeq, Stamp: o.stampOf(who)}
		o.batch[who] = g
		o.batchOrder = append(o.batchOrder, who)
	}
	return g
}

// stampOf returns the last stamp that the claimant sent.
func (o *Owner) stampOf(who claimant) wire.Stamp {
	if who.pool == o.pool {
		return o.holder(who.node).stamp
	}
	if s, ok := o.siblings[who.pool]; ok {
		return s.stamp
	}
	return 0
}

func (o *Owner) flushGrants() {
	for _, who := range o.batchOrder {
		o.send(who.node, o.batch[who])
		delete(o.batch, who)
	}
	o.batchOrder = o.batchOrder[:0]
}

// roomiest returns the open server with the most free slots.
func (o *Owner) roomiest() *server {
	var best *server
	for _, n := range o.sortedNames() {
		s := o.servers[n]
		if s.free() > 0 && (best == nil || s.free() > best.free()) {
			best = s
		}
	}
	return best
}

// contend notes that work waits unmet and asks the standing leases back.
func (o *Owner) contend() {
	o.contended = o.now
	for _, n := range o.holderNames() {
		h := o.holders[n]
		if h.standing > 0 && !h.recalled {
			h.recalled = true
			o.send(n, &wire.Recall{Pool: o.pool})
		}
	}
	o.wantShare()
}

func (o *Owner) holderNames() []string {
	names := make([]string, 0, len(o.holders))
	for n := range o.holders {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// spread gives idle slots, but for a reserve, to the routers that lately had
// work, so that their next requests need no message.
func (o *Owner) spread() {
	var recent []string
	for _, n := range o.holderNames() {
		h := o.holders[n]
		if o.now-h.lastUse < o.opt.recent && o.now-h.heard < o.opt.ttl/2 {
			recent = append(recent, n)
		}
	}
	if len(recent) == 0 {
		return
	}
	slots := o.slots()
	fairPart := (slots - slots/reservePart) / len(recent)
	for _, n := range recent {
		o.topUp(n, min(fairPart, maxStanding))
	}
	o.flushGrants()
}

// reservePart: one slot in so many is kept back from standing leases.
const reservePart = 4

// maxStanding bounds the standing leases of one router in one pool.
const maxStanding = 64

func (o *Owner) topUp(name string, want int) {
	h := o.holders[name]
	h.recalled = false
	slots := o.slots()
	for h.standing < want && o.freeSlots() > slots/reservePart {
		s := o.roomiest()
		if s == nil {
			return
		}
		l := o.newLease(s, name, "")
		l.standing = true
		h.standing++
		g := o.batched(claimant{node: name, pool: o.pool})
		g.Leases = append(g.Leases, o.wireLease(l))
	}
}
