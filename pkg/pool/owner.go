// Package pool decides, for one pool of backend servers, which waiting request
// gets the next free slot. It is a pure state machine: events and times are its
// input, messages to other routers its output.
package pool

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/fair"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Send is a message that the caller of Step delivers.
type Send struct {
	// To is the name of the receiving router.
	To string
	// Msg is a pointer to one of the types of package wire.
	Msg any
}

// Server is a backend server of the pool.
type Server struct {
	Name string
	// Slots is the maximum number of concurrent requests, at least 1.
	Slots int
	// AcceptsRequests is whether the server may get new requests.
	AcceptsRequests bool
	// ReportsLoad is whether the server reports its load.
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

	servers     map[string]*server
	serverNames []string
	requesters  map[requesterID]*requester
	leases      map[uint64]*lease
	nextID      uint64
	accounts    map[string]*account
	queue       *fair.Queue
	siblings    map[wire.Pool]*sibling
	holders     map[string]*holder
	overall     estimate
	// rate is the service rate of a slot in tokens per second.
	rate     estimate
	expected []string

	shareSeq   uint64
	lastShare  time.Duration
	shareDirty bool
	// unreported is whether an account has waiting requests that no share has
	// included yet.
	unreported bool
	// askedForSlots is whether the last share included waiting requests.
	askedForSlots  bool
	lastContention time.Duration
	out            []Send
	// takingOver is whether leases of a former owner may still be in use, so that
	// this owner grants nothing yet.
	takingOver bool
	batch      map[batchKey]*wire.Grant
	batchOrder []batchKey
	stats      Stats
}

// requesterID identifies a receiver of leases: a router, or the owner of
// another pool.
type requesterID struct {
	node string
	pool wire.Pool
}

type server struct {
	Server
	used int
	// unleased is the number of running requests that no lease here accounts for.
	unleased int
	// peak is the maximum of used since the last load report, because a delayed
	// report may still count those requests.
	peak      int
	lastPeak  int
	loadKnown bool
	// lastAbandoned is when a lease on the server was last abandoned.
	lastAbandoned time.Duration
	// unreachable is whether the last connection attempt failed.
	unreachable bool
}

func (s *server) free() int {
	if !s.AcceptsRequests || s.unreachable {
		return 0
	}
	return max(0, s.Slots-s.used-s.unleased)
}

type lease struct {
	id uint64
	// grantedID is the lease's ID at the owner that granted it.
	grantedID  uint64
	server     *server
	backend    string
	holder     string
	account    string
	charged    float64
	tokens     int64
	lastReport time.Duration
	standing   bool
	epoch      uint64
	// rate is the number of tokens per second between the last two reports of a
	// running request, 0 before the second.
	rate    float64
	granted time.Duration
	// expires is when the holder can no longer start a request on the lease.
	expires time.Duration
}

type account struct {
	name         string
	demands      map[requesterID]*demand
	served       float64
	costEstimate estimate
	idleSince    time.Duration
	changed      bool
	// inLastShare is whether the last share included the account; sharedWaiting
	// is the number of waiting requests in it.
	inLastShare   bool
	sharedWaiting int
	// servingSiblings is the number of siblings that served the account
	// according to their last share.
	servingSiblings int
	// requests and running count the account's leases here.
	requests int64
	running  int
	// limit is nil for an account without limits.
	limit *limiter
}

type demand struct {
	id           requesterID
	reported     int
	priority     int
	unseenGrants []uint64
}

func (d *demand) count() int { return max(0, d.reported-len(d.unseenGrants)) }

// requester is the state of a router, or of another pool's owner, that asks for
// slots.
type requester struct {
	demandSeq uint64
	grantSeq  uint64
	demands   map[string]*demand
}

type holder struct {
	standing int
	lastUse  time.Duration
	// reportedLeases is whether the router has reported the leases it holds
	// from former owners.
	reportedLeases bool
	// member is whether the router belongs to this zone.
	member bool
	// stamp is the last stamp received, lastSeen the time of the last message.
	stamp    wire.Stamp
	lastSeen time.Duration
	recalled bool
}

// New returns the owner of a pool at the time now. It grants nothing until the
// takeover delay has passed or all leases of the former owner are known.
func New(self string, pool wire.Pool, now time.Duration, opts ...Option) *Owner {
	o := &Owner{
		opt: defaults(), self: self, epoch: uint64(now), pool: pool, now: now, started: now,
		servers:    map[string]*server{},
		requesters: map[requesterID]*requester{},
		leases:     map[uint64]*lease{},
		accounts:   map[string]*account{},
		siblings:   map[wire.Pool]*sibling{},
		holders:    map[string]*holder{},
		batch:      map[batchKey]*wire.Grant{},
		takingOver: true,
	}
	for _, f := range opts {
		f(&o.opt)
	}
	o.queue = fair.New()
	o.lastContention = now - o.opt.calmPeriod
	return o
}

// Pool returns the owned pool.
func (o *Owner) Pool() wire.Pool { return o.pool }

// Step applies one event at the time now and returns the messages to send. The
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

// free removes a lease and frees its slot.
func (o *Owner) free(l *lease) {
	if l.standing {
		o.holder(l.holder).standing--
	}
	l.server.used--
	delete(o.leases, l.id)
	if a, ok := o.accounts[l.account]; ok && !l.standing {
		a.running--
		if a.limit != nil {
			o.updateQueue(a)
		}
	}
}

func (o *Owner) holder(name string) *holder {
	h, ok := o.holders[name]
	if !ok {
		h = &holder{lastUse: -o.opt.recentUse}
		o.holders[name] = h
	}
	return h
}

func (o *Owner) sortedNames() []string {
	if o.serverNames == nil {
		o.serverNames = sorted(o.servers)
	}
	return o.serverNames
}

// freeSlots returns the number of slots that can be granted now.
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
