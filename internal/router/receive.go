package router

import (
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// receive dispatches a message from a peer.
func (c *core) receive(from string, inc uint64, msg any) {
	switch m := msg.(type) {
	case *wire.Probe:
		if c.table == nil {
			// A router without a table cannot own pools, so it does not answer
			// probes.
			return
		}
		c.sendAll(c.members.Step(c.now, member.Probe{From: from, Msg: m}))
		c.runSync(tablesync.Revision{From: from, Revision: m.Table})
	case *wire.Ack:
		c.sendAll(c.members.Step(c.now, member.Ack{From: from, Msg: m}))
		c.runSync(tablesync.Revision{From: from, Revision: m.Table})
	case *wire.TableRequest:
		c.runSync(tablesync.TableRequested{From: from, Msg: m})
	case *wire.FullTable:
		c.runSync(tablesync.FullTable{From: from, Msg: m})
	case *wire.TableDelta:
		c.runSync(tablesync.Delta{From: from, Msg: m})
	case *wire.Demand:
		c.deliverToOwner(from, m.Pool, pool.Demand{From: from, Msg: m}, true)
	case *wire.Return:
		c.receiveReturn(from, m)
	case *wire.Report:
		c.deliverToOwner(from, m.Pool, pool.Report{From: from, Msg: m}, !m.Adopt)
	case *wire.Share:
		c.receiveShare(from, inc, m)
	case *wire.Grant:
		c.receiveGrant(from, m)
	case *wire.Renew:
		c.runHolder(hold.Renewed{From: from, Msg: m})
	case *wire.Recall:
		c.runHolder(hold.Recalled{From: from, Msg: m})
	case *wire.NotOwner:
		c.receiveNotOwner(from, m)
	default:
		c.receiveClaim(from, msg)
	}
}

// receiveReturn forwards leases that were returned to this router after it lost
// the pool, since it reported them to the new owner.
func (c *core) receiveReturn(from string, m *wire.Return) {
	if _, mine := c.owners[m.Pool]; mine {
		c.deliverToOwner(from, m.Pool, pool.Return{From: from, Msg: m}, false)
		return
	}
	next := c.ownerOf(m.Pool).Owner
	if m.Pool.Zone == c.r.id.Zone && next != from && next != c.r.id.Name {
		c.send(next, m)
	}
}

// deliverToOwner passes an event to the owner of a pool if that is this router.
// Otherwise, if notifySender is set, it sends the name of the owner to the sender. A
// router of another zone could not learn it in another way, and the new owner
// needs the reports.
func (c *core) deliverToOwner(from string, p wire.Pool, ev pool.Event, notifySender bool) {
	if o, ok := c.owners[p]; ok {
		c.runOwner(o, ev)
		return
	}
	if notifySender && p.Zone == c.r.id.Zone && from != c.r.id.Name {
		c.send(from, &wire.NotOwner{Pool: p, Owner: c.ownerOf(p).Owner})
	}
}

func (c *core) receiveShare(from string, inc uint64, m *wire.Share) {
	c.runSync(tablesync.Revision{From: from, Revision: m.Table})
	c.recordOwner(m.From, from, inc)
	c.deliverToOwner(from, m.To, pool.Share{From: from, Msg: m}, true)
}

func (c *core) receiveGrant(from string, m *wire.Grant) {
	if !m.Lent {
		c.runHolder(hold.Granted{From: from, Msg: m})
		return
	}
	if o, ok := c.owners[m.For]; ok {
		c.runOwner(o, pool.Borrowed{From: from, Msg: m})
		return
	}
	back := &wire.Return{Pool: m.Source.Pool, Epoch: m.Source.Epoch}
	for _, l := range m.Leases {
		back.Unused = append(back.Unused, wire.LeaseUse{ID: l.ID})
	}
	c.send(m.Source.Owner, back)
}

// receiveNotOwner switches to the owner that a router of the pool's zone names.
func (c *core) receiveNotOwner(from string, m *wire.NotOwner) {
	if m.Pool.Zone == c.r.id.Zone || m.Owner == "" {
		return
	}
	if c.ownerOf(m.Pool).Owner == from {
		c.recordOwner(m.Pool, m.Owner, 0)
	}
	c.runHolder(hold.OwnerMoved{Pool: m.Pool, From: from, To: m.Owner})
}

// recordOwner records the owner of another zone's pool according to a peer.
func (c *core) recordOwner(p wire.Pool, owner string, inc uint64) {
	if p.Zone == c.r.id.Zone {
		return
	}
	old := c.ownerHints[p]
	if old.owner == owner && inc == 0 {
		inc = old.incarnation
	}
	c.ownerHints[p] = ownerHint{owner: owner, incarnation: inc, at: c.now}
	if old.owner != owner || old.incarnation != inc {
		c.assignOwners()
	}
}
