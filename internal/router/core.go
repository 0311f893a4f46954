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

// event is an input of core.step.
type event interface{ apply(c *core) }

// core is the decision state of one router. Only the goroutine of Router.run
// accesses it.
type core struct {
	r        *Router
	now      time.Duration
	lastStep time.Duration

	members *member.Members
	sync    *tablesync.Sync
	holder  *hold.Holder
	owners  map[wire.Pool]*pool.Owner
	budget  *retry.Budget
	keys    *once.KeyStore

	table      *table.Table
	tableSince time.Duration
	marks      map[string]chart.State
	instances  []platform.Instance
	pools      map[wire.Pool][]table.Backend
	// ownerHints contains the owners of other zones' pools according to peers.
	ownerHints map[wire.Pool]ownerHint

	nextID  uint64
	waiting map[uint64]chan<- acquireResult
	served  map[uint64]*atomic.Int64
	// claims are the claims of keys that wait for replies.
	claims *once.Claims
	// localMessages contains messages of this router to itself.
	localMessages []any
	started       bool
	draining      bool
	// loadFeeds contains the load readers of the owned pools.
	loadFeeds    map[string]*loadFeed
	lastSnapshot time.Duration
	// resumeOwnersAt is the time after a pause from which pools are assigned
	// again, 0 if there was no pause.
	resumeOwnersAt time.Duration
}

// ownerHint is the owner of a pool according to a peer.
type ownerHint struct {
	owner       string
	incarnation uint64
	at          time.Duration
}

// ownerHintTTL is how long an owner hint overrides the owner computed from the
// platform's list.
const ownerHintTTL = 5 * time.Second

func newCore(r *Router) *core {
	c := &core{
		r:          r,
		now:        r.now(),
		members:    member.New(r.id.Name, r.id.Incarnation, r.id.Incarnation),
		sync:       tablesync.New(r.id.Name),
		holder:     hold.New(r.opt.hold...),
		owners:     map[wire.Pool]*pool.Owner{},
		budget:     retry.New(retry.DefaultShare, retry.DefaultBurst),
		pools:      map[wire.Pool][]table.Backend{},
		ownerHints: map[wire.Pool]ownerHint{},
		waiting:    map[uint64]chan<- acquireResult{},
		served:     map[uint64]*atomic.Int64{},
		loadFeeds:  map[string]*loadFeed{},
	}
	c.keys = once.New(r.id.Name, c.now)
	c.claims = once.NewClaims(c.send)
	c.lastStep = c.now
	return c
}

// step applies one event and then the messages that this router sent to itself.
func (c *core) step(now time.Duration, ev event) {
	c.now = now
	if now-c.lastStep >= pauseThreshold {
		c.handlePause()
	}
	c.lastStep = now
	ev.apply(c)
	c.settleMembers()
	for len(c.localMessages) > 0 {
		msg := c.localMessages[0]
		c.localMessages = c.localMessages[1:]
		c.receive(c.r.id.Name, c.r.id.Incarnation, msg)
		c.settleMembers()
	}
}

// settleMembers handles a change of the members, if there was one.
func (c *core) settleMembers() {
	if c.members.TakeChanged() {
		c.membersChanged()
	}
}

// handlePause drops the owned pools after a pause, because other routers may
// have taken them over. The next tick assigns the pools again.
func (c *core) handlePause() {
	c.r.opt.log.Warn("router_was_paused", "gap_ms", (c.now - c.lastStep).Milliseconds())
	c.sendAll(c.members.Step(c.now, member.Resumed{}))
	c.keys.RecordPause(c.now)
	for _, p := range wire.SortedPools(c.owners) {
		c.dropOwner(p)
	}
	c.resumeOwnersAt = c.now
	c.r.count("router_pauses")
}

func (c *core) send(to string, msg any) {
	if to == "" {
		return
	}
	if to == c.r.id.Name {
		c.localMessages = append(c.localMessages, msg)
		return
	}
	c.r.net.Send(to, msg)
}

func (c *core) sendAll(msgs []member.Send) {
	for _, s := range msgs {
		c.send(s.To, s.Msg)
	}
}

type tickEvent struct{}

func (tickEvent) apply(c *core) {
	if c.table != nil {
		c.sendAll(c.members.Step(c.now, member.Tick{}))
	}
	c.runSync(tablesync.Tick{})
	tokens := make(map[uint64]int64, len(c.served))
	for id, n := range c.served {
		tokens[id] = n.Load()
	}
	c.runHolder(hold.Tick{Tokens: tokens})
	if c.resumeOwnersAt > 0 && c.now >= c.resumeOwnersAt {
		c.resumeOwnersAt = 0
		c.assignOwners()
	}
	c.eachOwner(func(wire.Pool) pool.Event { return pool.Tick{} })
	for _, o := range c.owners {
		if o.HasStaleLeases() {
			c.readLoadsSoon()
			break
		}
	}
	c.keys.Tick(c.now)
	c.claims.Expire(c.now)
	c.snapshotIfDue()
}

// runHolder steps the holder and executes its actions.
func (c *core) runHolder(ev hold.Event) {
	for _, a := range c.holder.Step(c.now, ev) {
		switch a := a.(type) {
		case hold.Start:
			c.startRequest(a)
		case hold.Refuse:
			c.reply(a.ID, acquireResult{err: a.Err})
		case hold.Send:
			c.send(a.To, a.Msg)
		}
	}
}

// eachOwner steps all owners in the order of their pools.
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
		case tablesync.Activate:
			c.activateTable(a.Table)
		case tablesync.Rejected:
			c.r.opt.log.Error("table_refused", "revision", a.Revision, "error", a.Err)
			c.r.count("table_refused")
		}
	}
	c.r.snapshot.reader.Store(c.sync.Reader())
	if before != c.sync.Reader() {
		c.r.opt.log.Info("table_reader", "reader", c.sync.Reader())
	}
}

func (c *core) activateTable(t *table.Table) {
	old := uint64(0)
	first := c.table == nil
	if !first {
		old = c.table.Revision
	}
	c.table = t
	c.tableSince = c.now
	c.r.snapshot.table.Store(t)
	c.r.opt.log.Info("table_in_force", "revision", t.Revision, "before", old, "accounts", len(t.Accounts), "backends", len(t.Backends))
	for _, ob := range c.r.opt.observers {
		ob.TableInForce(t.Revision)
	}
	c.sendAll(c.members.Step(c.now, member.TableRevision{Revision: t.Revision}))
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
		c.sendAll(c.members.Step(c.now, member.ConnectionRefused{Peer: l.Peer}))
		c.runSync(tablesync.Unreachable{Peer: l.Peer})
		for p, n := range c.ownerHints {
			if n.owner == l.Peer {
				delete(c.ownerHints, p)
			}
		}
	}
	c.runHolder(hold.MessagesLost{Peer: l.Peer})
}
