// Package pool decides, for one pool of backend servers, which waiting
// request gets the next free slot. It is a pure state machine: events and the
// time go in, messages to other routers come out.
package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/fair"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Send is a message that the caller of Step delivers.
type Send struct {
	// To is the router's name; never the owner's own where it can be local.
	To string
	// Msg is a pointer to one of the types of package wire.
	Msg any
}

// Server is a backend server of the pool.
type Server struct {
	// Name is the backend server.
	Name string
	// Slots is how many requests may run at once; above zero.
	Slots int
	// AcceptsRequests says that new work may go there.
	AcceptsRequests bool
	// ReportsLoad says that it reports its load.
	ReportsLoad bool
}

// Owner is the state of a pool's owner.
type Owner struct {
	opt     options
	self    string
	epoch   uint64
	pool    wire.Pool
	now     time.Duration
	started time.Duration

	servers  map[string]*server
	names    []string
	claims   map[claimant]*claimer
	leases   map[uint64]*lease
	nextID   uint64
	accounts map[string]*account
	queue    *fair.Queue
	siblings map[wire.Pool]*sibling
	holders  map[string]*holder
	overall  estimate
	// rate is what a slot serves, in tokens a second.
	rate     estimate
	expected []string

	shareSeq   uint64
	lastShare  time.Duration
	shareDirty bool
	// untold says that an account has work here that no share named yet.
	untold bool
	// asking says that the last share asked siblings for slots.
	asking     bool
	contended  time.Duration
	out        []Send
	quiet      bool
	batch      map[batchKey]*wire.Grant
	batchOrder []batchKey
	stats      Stats
}

// claimant is who may be granted a lease: a router, or another pool's owner.
type claimant struct {
	node string
	pool wire.Pool
}

type server struct {
	Server
	used    int
	foreign int
	// peak is the most leases out since the last load report, because a
	// lagging report may still count them.
	peak     int
	lastPeak int
	loaded   bool
	// abandoned is when a lease on it was last given up.
	abandoned time.Duration
	// down says that the server could not be reached when last tried.
	down bool
}

func (s *server) free() int {
	if !s.AcceptsRequests || s.down {
		return 0
	}
	return max(0, s.Slots-s.used-s.foreign)
}

type lease struct {
	id uint64
	// number is the lease's ID at the owner of the epoch that granted it.
	number   uint64
	server   *server
	name     string
	holder   string
	account  string
	charged  float64
	tokens   int64
	heard    time.Duration
	standing bool
	epoch    uint64
	// rate is the tokens a second between the last two reports of a running
	// request, 0 before there were two.
	rate    float64
	granted time.Duration
	// until is when the holder can no more start anything on it.
	until time.Duration
}

type account struct {
	name    string
	claims  map[claimant]*claim
	own     float64
	est     estimate
	idle    time.Duration
	changed bool
	// sent says that the last share named the account, told how much work of
	// it that waits here.
	sent bool
	told int
	// zones is how many siblings served the account in their last share.
	zones int
	// requests and running count the account's leases here.
	requests int64
	running  int
	// limit is nil for an account without limits.
	limit *limiter
}

type claim struct {
	who      claimant
	reported int
	priority int
	unseen   []uint64
}

func (c *claim) count() int { return max(0, c.reported-len(c.unseen)) }

// claimer is what the owner knows of one claimant.
type claimer struct {
	demandSeq uint64
	grantSeq  uint64
	claims    map[string]*claim
}

type holder struct {
	standing int
	lastUse  time.Duration
	// adopted says that it told all that it holds from former owners.
	adopted bool
	// member says that the platform or the zone's routers know it as a
	// router of this zone.
	member bool
	// stamp is the last one received, heard when that was.
	stamp    wire.Stamp
	heard    time.Duration
	recalled bool
}

// New returns the owner of a pool as it is at the time now. It stays quiet,
// granting nothing, for one lease time unless the options say otherwise.
func New(self string, pool wire.Pool, now time.Duration, opts ...Option) *Owner {
	o := &Owner{
		opt: defaults(), self: self, epoch: uint64(now), pool: pool, now: now, started: now,
		servers:  map[string]*server{},
		claims:   map[claimant]*claimer{},
		leases:   map[uint64]*lease{},
		accounts: map[string]*account{},
		siblings: map[wire.Pool]*sibling{},
		holders:  map[string]*holder{},
		batch:    map[batchKey]*wire.Grant{},
		quiet:    true,
	}
	for _, f := range opts {
		f(&o.opt)
	}
	o.queue = fair.New()
	o.contended = now - o.opt.calm
	return o
}

// Pool returns the pool that is owned.
func (o *Owner) Pool() wire.Pool { return o.pool }

// Step takes one event at the time now and returns the messages to send. The
// returned slice is valid until the next Step.
func (o *Owner) Step(now time.Duration, ev Event) []Send {
	o.now = max(o.now, now)
	o.out = o.out[:0]
	ev.apply(o)
	o.decide()
	return o.out
}

func (o *Owner) send(to string, msg any) {
	o.out = append(o.out, Send{To: to, Msg: msg})
}

// free drops a lease and frees its slot.
func (o *Owner) free(l *lease) {
	if l.standing {
		o.holder(l.holder).standing--
	}
	l.server.used--
	delete(o.leases, l.id)
	if a, ok := o.accounts[l.account]; ok && !l.standing {
		a.running--
		if a.limit != nil {
			o.refresh(a)
		}
	}
}

func (o *Owner) holder(name string) *holder {
	h, ok := o.holders[name]
	if !ok {
		h = &holder{lastUse: -o.opt.recent}
		o.holders[name] = h
	}
	return h
}

func (o *Owner) sortedNames() []string {
	if o.names == nil {
		o.names = sorted(o.servers)
	}
	return o.names
}

// freeSlots counts the slots that may be granted now.
func (o *Owner) freeSlots() int {
	n := 0
	for _, s := range o.servers {
		n += s.free()
	}
	return n
}

func (o *Owner) slots() int {
	n := 0
	for _, s := range o.servers {
		if s.AcceptsRequests {
			n += s.Slots
		}
	}
	return n
}
