package router

import (
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// receive hands one message to the core that it is for.
func (c *core) receive(from string, inc uint64, msg any) {
	switch m := msg.(type) {
	case *wire.Probe:
		if c.table == nil {
			// Without a table this router can own nothing, so it is not yet
			// a member for others.
			return
		}
		c.sendAll(c.members.Step(c.now, member.Probe{From: from, Msg: m}))
		c.runSync(tablesync.Revision{From: from, Revision: m.Table})
	case *wire.Ack:
		c.sendAll(c.members.Step(c.now, member.Ack{From: from, Msg: m}))
		c.runSync(tablesync.Revision{From: from, Revision: m.Table})
	case *wire.TableRequest:
		c.runSync(tablesync.Asked{From: from, Msg: m})
	case *wire.FullTable:
		c.runSync(tablesync.Whole{From: from, Msg: m})
	case *wire.TableDelta:
		c.runSync(tablesync.Delta{From: from, Msg: m})
	case *wire.Demand:
		c.toOwner(from, m.Pool, pool.Demand{From: from, Msg: m}, true)
	case *wire.Return:
		c.receiveReturn(from, m)
	case *wire.Report:
		c.toOwner(from, m.Pool, pool.Report{From: from, Msg: m}, !m.Adopt)
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

// receiveReturn passes leases on that come back to a former owner, which has
// told its successor of them.
func (c *core) receiveReturn(from string, m *wire.Return) {
	if _, mine := c.owners[m.Pool]; mine {
		c.toOwner(from, m.Pool, pool.Return{From: from, Msg: m}, false)
		return
	}
	next := c.ownerOf(m.Pool).Owner
	if m.Pool.Zone == c.r.id.Zone && next != from && next != c.r.id.Name {
		c.send(next, m)
	}
}

// toOwner gives an event to the owner of a pool, if this router is it. Who
// asks or reports to a router that is not the owner is told who is: a router
// of another zone would not learn it otherwise, and the new owner would not
// know what runs there.
func (c *core) toOwner(from string, p wire.Pool, ev pool.Event, tell bool) {
	if o, ok := c.owners[p]; ok {
		c.runOwner(o, ev)
		return
	}
	if tell && p.Zone == c.r.id.Zone && from != c.r.id.Name {
		c.send(from, &wire.NotOwner{Pool: p, Owner: c.ownerOf(p).Owner})
	}
}

func (c *core) receiveShare(from string, inc uint64, m *wire.Share) {
	c.runSync(tablesync.Revision{From: from, Revision: m.Table})
	c.nameOwner(m.From, from, inc)
	c.toOwner(from, m.To, pool.Share{From: from, Msg: m}, true)
}

func (c *core) receiveGrant(from string, m *wire.Grant) {
	if !m.Lent {
		c.runHolder(hold.Granted{From: from, Msg: m})
		return
	}
	if o, ok := c.owners[m.For]; ok {
		c.runOwner(o, pool.Lent{From: from, Msg: m})
		return
	}
	back := &wire.Return{Pool: m.Source.Pool, Epoch: m.Source.Epoch}
	for _, l := range m.Leases {
		back.Unused = append(back.Unused, wire.LeaseUse{ID: l.ID})
	}
	c.send(m.Source.Owner, back)
}

// receiveNotOwner turns to the owner that a router of the pool's own zone
// names.
func (c *core) receiveNotOwner(from string, m *wire.NotOwner) {
	if m.Pool.Zone == c.r.id.Zone || m.Owner == "" {
		return
	}
	if c.ownerOf(m.Pool).Owner == from {
		c.nameOwner(m.Pool, m.Owner, 0)
	}
	c.runHolder(hold.Moved{Pool: m.Pool, From: from, To: m.Owner})
}

// nameOwner notes who a peer says owns a pool of another zone.
func (c *core) nameOwner(p wire.Pool, owner string, inc uint64) {
	if p.Zone == c.r.id.Zone {
		return
	}
	old := c.named[p]
	if old.owner == owner && inc == 0 {
		inc = old.inc
	}
	c.named[p] = naming{owner: owner, inc: inc, at: c.now}
	if old.owner != owner || old.inc != inc {
		c.reown()
	}
}
