package pool

import (
	"time"

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
	for free > 0 && o.grantNext() {
		free = o.freeSlots()
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
	if len(o.servers) == 0 || len(o.expected) == 0 {
		return false
	}
	for _, s := range o.servers {
		if !s.loaded {
			return false
		}
	}
	for _, n := range o.expected {
		if h, ok := o.holders[n]; !ok || !h.adopted {
			return false
		}
	}
	return true
}

// grantNext grants one slot to the account that is next, or takes an account
// out that nobody claims for any more. It reports whether it did anything.
func (o *Owner) grantNext() bool {
	next, ok := o.queue.Min()
	if !ok {
		return false
	}
	a := o.account(next.Name)
	c := o.best(a)
	if c == nil {
		o.refresh(a)
		return !next.Active
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
	l.charged = o.upfront(a)
	a.running++
	a.requests++
	a.limit.spend(0, 1)
	o.charge(a.name, l.charged)
	if c.who.pool == o.pool {
		o.stats.Granted++
	} else {
		o.stats.Lent++
	}
	ttl := o.ttlFor(c.who)
	l.until = o.now + ttl
	g := o.batched(c.who, o.source(), ttl)
	c.unseen = append(c.unseen, g.Seq)
	g.Leases = append(g.Leases, l.wire())
}

// ttlFor returns the time of a lease from the claimant's last stamp. A sibling
// stamps its shares, which grow rarer with the number of siblings.
func (o *Owner) ttlFor(who claimant) time.Duration {
	if who.pool == o.pool {
		return o.opt.ttl
	}
	return o.opt.ttl + o.shareInterval()
}

func (o *Owner) newLease(s *server, holder, account string) *lease {
	o.nextID++
	l := &lease{id: o.nextID, number: o.nextID, epoch: o.epoch, server: s, name: s.Name, holder: holder, account: account, heard: o.now, granted: o.now}
	o.leases[l.id] = l
	s.used++
	s.peak = max(s.peak, s.used)
	return l
}

func (l *lease) wire() wire.Lease {
	return wire.Lease{ID: l.id, Backend: l.name, Account: l.account}
}

func (o *Owner) source() wire.Source {
	return wire.Source{Owner: o.self, Pool: o.pool, Epoch: o.epoch}
}

// batchKey names one message of a step.
type batchKey struct {
	who    claimant
	source wire.Source
}

// batched returns the grant of leases of the source that this step will send
// to the claimant.
func (o *Owner) batched(who claimant, source wire.Source, ttl time.Duration) *wire.Grant {
	k := batchKey{who, source}
	g, ok := o.batch[k]
	if !ok {
		c := o.claimer(who)
		c.grantSeq++
		g = &wire.Grant{
			For: who.pool, Lent: who.pool != o.pool, Seq: c.grantSeq, Stamp: o.stampOf(who),
			TTLMillis: int(ttl.Milliseconds()), Source: source,
		}
		o.batch[k] = g
		o.batchOrder = append(o.batchOrder, k)
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
	for _, k := range o.batchOrder {
		o.send(k.who.node, o.batch[k])
		delete(o.batch, k)
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
	for _, n := range sorted(o.holders) {
		h := o.holders[n]
		if h.standing > 0 && !h.recalled {
			h.recalled = true
			o.send(n, &wire.Recall{Pool: o.pool})
		}
	}
	o.wantShare()
}

// spread gives idle slots, but for a reserve, to the routers that lately had
// work, so that their next requests need no message.
func (o *Owner) spread() {
	var recent []string
	for _, n := range sorted(o.holders) {
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
		g := o.batched(claimant{node: name, pool: o.pool}, o.source(), o.opt.ttl)
		g.Leases = append(g.Leases, l.wire())
	}
}
