package router

import (
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/once"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/retry"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// event is what the core takes in one step.
type event interface{ apply(c *core) }

// core is everything that one router decides with. Only its task touches it.
type core struct {
	r       *Router
	now     time.Duration
	lastRun time.Duration

	members *member.Members
	sync    *tablesync.Sync
	holder  *hold.Holder
	owners  map[wire.Pool]*pool.Owner
	budget  *retry.Budget
	keys    *once.Homes

	table     *table.Table
	tableAt   time.Duration
	marks     map[string]chart.State
	instances []platform.Instance
	pools     map[wire.Pool][]table.Backend
	// named is who peers say owns a pool of another zone.
	named map[wire.Pool]naming

	nextID  uint64
	waiting map[uint64]chan<- acquired
	served  map[uint64]*atomic.Int64
	// claims are the keys that this router waits to hear of.
	claims map[uint64]*claiming
	// local is what this router sends to itself.
	local    []any
	started  bool
	draining bool
	// feeds are the load readers of owned pools.
	feeds    map[string]*loadFeed
	snapped  time.Duration
	ownersAt time.Duration
}

// naming is an owner as a peer named it.
type naming struct {
	owner string
	inc   uint64
	at    time.Duration
}

// namedFor is how long a peer's naming of an owner outweighs the own guess.
const namedFor = 5 * time.Second

func newCore(r *Router) *core {
	c := &core{
		r:       r,
		now:     r.now(),
		members: member.New(r.id.Name, r.id.Inc, r.id.Inc),
		sync:    tablesync.New(r.id.Name),
		holder:  hold.New(r.opt.hold...),
		owners:  map[wire.Pool]*pool.Owner{},
		budget:  retry.New(retry.DefaultShare, retry.DefaultBurst),
		claims:  map[uint64]*claiming{},
		pools:   map[wire.Pool][]table.Backend{},
		named:   map[wire.Pool]naming{},
		waiting: map[uint64]chan<- acquired{},
		served:  map[uint64]*atomic.Int64{},
		feeds:   map[string]*loadFeed{},
	}
	c.keys = once.New(r.id.Name, c.now)
	c.lastRun = c.now
	return c
}

// step takes one event, then all that it led to inside this router.
func (c *core) step(now time.Duration, ev event) {
	c.now = now
	if now-c.lastRun >= awayAfter {
		c.wake()
	}
	c.lastRun = now
	ev.apply(c)
	c.settleMembers()
	for len(c.local) > 0 {
		msg := c.local[0]
		c.local = c.local[1:]
		c.receive(c.r.id.Name, c.r.id.Inc, msg)
		c.settleMembers()
	}
}

// settleMembers takes a change of the members into account, if there was one.
func (c *core) settleMembers() {
	if c.members.TakeChanged() {
		c.membersChanged()
	}
}

// wake is called after a pause: the owners start again with the next tick, and
// quiet, since others may have taken their pools over meanwhile.
func (c *core) wake() {
	c.r.opt.log.Warn("router_was_paused", "gap_ms", (c.now - c.lastRun).Milliseconds())
	c.sendAll(c.members.Step(c.now, member.Woke{}))
	c.keys.Woke(c.now)
	for _, p := range wire.SortedPools(c.owners) {
		c.dropOwner(p)
	}
	c.ownersAt = c.now
	c.r.count("router_pauses")
}

func (c *core) send(to string, msg any) {
	if to == "" {
		return
	}
	if to == c.r.id.Name {
		c.local = append(c.local, msg)
		return
	}
	c.r.net.Send(to, msg)
}

func (c *core) sendAll(msgs []member.Send) {
	for _, s := range msgs {
		c.send(s.To, s.Msg)
	}
}

type ticked struct{}

func (ticked) apply(c *core) {
	if c.table != nil {
		c.sendAll(c.members.Step(c.now, member.Tick{}))
	}
	c.runSync(tablesync.Tick{})
	tokens := make(map[uint64]int64, len(c.served))
	for id, n := range c.served {
		tokens[id] = n.Load()
	}
	c.runHolder(hold.Tick{Tokens: tokens})
	if c.ownersAt > 0 && c.now >= c.ownersAt {
		c.ownersAt = 0
		c.reown()
	}
	c.eachOwner(func(wire.Pool) pool.Event { return pool.Tick{} })
	for _, o := range c.owners {
		if o.Doubtful() {
			c.readSoon()
			break
		}
	}
	c.keys.Tick(c.now)
	c.expireClaims()
	c.snapshotIfDue()
}

// runHolder steps the holder and does what it says.
func (c *core) runHolder(ev hold.Event) {
	for _, a := range c.holder.Step(c.now, ev) {
		switch a := a.(type) {
		case hold.Start:
			c.begin(a)
		case hold.Refuse:
			c.reply(a.ID, acquired{err: a.Err})
		case hold.Send:
			c.send(a.To, a.Msg)
		}
	}
}

// eachOwner gives every owned pool an event, in the pools' order.
func (c *core) eachOwner(event func(wire.Pool) pool.Event) {
	for _, p := range wire.SortedPools(c.owners) {
		c.runOwner(c.owners[p], event(p))
	}
}

func (c *core) runOwner(o *pool.Owner, ev pool.Event) {
	for _, s := range o.Step(c.now, ev) {
		if share, ok := s.Msg.(*wire.Share); ok {
			share.Table = c.sync.Revision()
		}
		c.send(s.To, s.Msg)
	}
}

func (c *core) runSync(ev tablesync.Event) {
	before := c.sync.Reader()
	for _, a := range c.sync.Step(c.now, ev) {
		switch a := a.(type) {
		case tablesync.Send:
			c.send(a.To, a.Msg)
		case tablesync.InForce:
			c.inForce(a.Table)
		case tablesync.Refused:
			c.r.opt.log.Error("table_refused", "revision", a.Revision, "error", a.Err)
			c.r.count("table_refused")
		}
	}
	c.r.snapshot.reader.Store(c.sync.Reader())
	if before != c.sync.Reader() {
		c.r.opt.log.Info("table_reader", "reader", c.sync.Reader())
	}
}

func (c *core) inForce(t *table.Table) {
	old := uint64(0)
	first := c.table == nil
	if !first {
		old = c.table.Revision
	}
	c.table = t
	c.tableAt = c.now
	c.r.snapshot.table.Store(t)
	c.r.opt.log.Info("table_in_force", "revision", t.Revision, "before", old, "accounts", len(t.Accounts), "backends", len(t.Backends))
	for _, ob := range c.r.opt.observers {
		ob.TableInForce(t.Revision)
	}
	c.sendAll(c.members.Step(c.now, member.Table{Revision: t.Revision}))
	c.tableChanged()
	if first {
		c.sendAll(c.members.Step(c.now, member.Join{}))
	}
}

type inbound struct{ peer.Inbound }

func (in inbound) apply(c *core) { c.receive(in.From, in.Incarnation, in.Msg) }

type lost struct{ peer.Loss }

func (l lost) apply(c *core) {
	if l.Refused {
		c.sendAll(c.members.Step(c.now, member.Refused{Peer: l.Peer}))
		c.runSync(tablesync.Unreachable{Peer: l.Peer})
		for p, n := range c.named {
			if n.owner == l.Peer {
				delete(c.named, p)
			}
		}
	}
	c.runHolder(hold.Lost{Peer: l.Peer})
}
