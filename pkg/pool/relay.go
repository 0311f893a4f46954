package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// relay passes leases from another owner on to routers of this zone, with the
// remaining lease time. The lender counts that time from the stamp of this
// owner's share. Leases that no router needs go back to the lender.
func (o *Owner) relay(from string, g *wire.Grant) {
	if s, ok := o.siblings[g.Source.Pool]; ok && s.node == from {
		s.seenGrant = max(s.seenGrant, g.Seq)
	}
	left := g.Stamp.At() + time.Duration(g.TTLMillis)*time.Millisecond - o.now
	back := &wire.Return{Pool: g.Source.Pool, Epoch: g.Source.Epoch}
	for _, l := range g.Leases {
		if left <= 0 || !o.relayOne(l, g.Source, left) {
			o.stats.Bounced++
			back.Unused = append(back.Unused, wire.LeaseUse{ID: l.ID})
		}
	}
	o.flushGrants()
	if len(back.Unused) > 0 {
		o.send(g.Source.Owner, back)
	}
}

// relayOne passes one lease on and reports whether a router could use it. If
// the account of the lease has no waiting requests here, the account with the
// lowest virtual time gets the lease; the use report tells the lender.
func (o *Owner) relayOne(l wire.Lease, source wire.Source, left time.Duration) bool {
	a := o.account(l.Account)
	c := o.bestLocal(a)
	if c == nil {
		a, c = o.nextLocal()
		if c == nil {
			return false
		}
		l.Account = a.name
		l.Swapped = true
		o.stats.Swapped++
	}
	o.stats.Relayed++
	g := o.pendingGrant(c.id, source, left)
	c.unseenGrants = append(c.unseenGrants, g.Seq)
	g.Leases = append(g.Leases, l)
	o.updateQueue(a)
	return true
}

// nextLocal returns the account with the lowest virtual time and its demand by
// a router of this zone, which may be nil.
func (o *Owner) nextLocal() (*account, *demand) {
	next, ok := o.queue.Min()
	if !ok {
		return nil, nil
	}
	a := o.account(next.Name)
	return a, o.bestLocal(a)
}

func (o *Owner) bestLocal(a *account) *demand {
	c := o.bestDemand(a)
	if c == nil || c.id.pool != o.pool {
		return nil
	}
	return c
}
