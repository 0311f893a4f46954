package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// relay hands leases lent by another owner to routers of this zone, for what
// is left of their time, which the lender counts from the stamp of this
// owner's share. What nobody needs any more goes straight back.
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

// relayOne passes a lease on; it reports whether anyone here can use it. If
// the account it was lent for has nothing left to run, the one with the least
// service gets it, and the lender hears so with the lease's use.
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
	g := o.batched(c.who, source, left)
	c.unseen = append(c.unseen, g.Seq)
	g.Leases = append(g.Leases, l)
	o.refresh(a)
	return true
}

// nextLocal returns the account with the least service if a router here
// claims for it.
func (o *Owner) nextLocal() (*account, *claim) {
	next, ok := o.queue.Min()
	if !ok {
		return nil, nil
	}
	a := o.account(next.Name)
	return a, o.bestLocal(a)
}

func (o *Owner) bestLocal(a *account) *claim {
	c := o.best(a)
	if c == nil || c.who.pool != o.pool {
		return nil
	}
	return c
}
