package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// server is a backend server as this router knows it.
type server struct {
	table.Backend
	key wire.Key
	// joined is when this router first saw it in the directory.
	joined time.Duration
	// owner is the router that gives places there, ownedSince when this router last
	// became it.
	owner      string
	ownedSince time.Duration
	// closed says that its zone is closed to new requests.
	closed bool
	// warmUntil is until when it bears warmupRate requests a second only.
	warmUntil  time.Duration
	warmupRate float64
	// own are the requests that this router has under way there.
	own map[uint64]*request
	// seen is what its owner last told is under way there, and when.
	seen   use
	seenAt time.Duration
	// busyUntil is until when it is taken to have no place.
	busyUntil time.Duration
	health    health
	// copies are the prompts' beginnings that were read there, or copied to it,
	// lately.
	copies recent
	// owned is what this router knows as the owner, nil if it is not.
	owned *owned
}

// use is what is under way at a backend server.
type use struct {
	// running is how many requests were sent there and have not ended.
	running int
	// unread is the tokens of their prompts that are still to be read.
	unread int64
}

// open reports whether new work may go there.
func (s *server) open() bool { return s.Mark == table.Serving && !s.closed }

// seenFor is how long what an owner told of a backend server is believed.
const seenFor = time.Second

// running returns how many requests are believed to be there.
func (s *server) running(now time.Duration) int {
	if now-s.seenAt > seenFor {
		return len(s.own)
	}
	return max(s.seen.running, len(s.own))
}

// unreadFor is how long what an owner told of prompts to be read is believed:
// about as long as it takes to read them.
const unreadFor = 100 * time.Millisecond

// unreadSeen returns how many tokens are believed to be to be read there, 0 if
// that is not known.
func (s *server) unreadSeen(now time.Duration) int64 {
	if now-s.seenAt > unreadFor {
		return 0
	}
	return s.seen.unread
}

// ownUnread returns how many tokens this router's own requests there still have
// to be read.
func (s *server) ownUnread() int64 {
	sum := int64(0)
	for _, r := range s.own {
		sum += r.unread
	}
	return sum
}

// service is the backend servers of a service or model.
type service struct {
	name    string
	servers []*server
	// orders are the orders of servers for prompts, by the hash of their shared
	// parts.
	orders map[uint64][]*server
	// middle is the part of failures of the middle one of the servers, as of
	// middleAt.
	middle   float64
	middleAt time.Duration
	// latency predicts the time to the first event.
	latency latencyModel
	// shortest is the shortest target of its requests lately.
	shortest shortest
	// engine says that answers are generated.
	engine bool
}

// View replaces the table and the directory.
type View struct{ Table *table.Table }

func (e View) apply(c *Core) {
	old := c.servers
	c.servers = make(map[wire.Key]*server, len(e.Table.Backends))
	for _, s := range c.services {
		s.servers, s.orders = nil, nil
	}
	for _, b := range e.Table.Backends {
		key := wire.KeyOf(b.Name)
		s, ok := old[key]
		if !ok {
			s = &server{key: key, joined: c.now, own: map[uint64]*request{}}
		}
		s.Backend = b
		s.closed = e.Table.ZoneIsClosed(b.Zone)
		s.setWarmup(e.Table, c.now)
		c.servers[key] = s
		for _, m := range b.Models {
			sv := c.service(m)
			sv.servers = append(sv.servers, s)
		}
	}
	for _, row := range e.Table.Services {
		c.service(row.Name).engine = row.Engine
	}
	c.stated = e.Table.Bounds.TokensPerSecond
	c.keepRunning(old)
	c.ordered = slices.SortedFunc(maps.Values(c.servers), func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	c.assignOwners()
	c.serveOwned()
	c.advanceWaiting()
}

// keepRunning keeps the backend servers that are gone from the directory while
// requests of this router run there.
func (c *Core) keepRunning(old map[wire.Key]*server) {
	for key, s := range old {
		if _, ok := c.servers[key]; !ok && len(s.own) > 0 {
			s.Mark = table.Leaving
			c.servers[key] = s
		}
	}
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{name: name, latency: newLatencyModel()}
		c.services[name] = s
	}
	return s
}

// serviceOf returns the service of a backend server.
func (c *Core) serviceOf(s *server) *service { return c.service(s.Models[0]) }

// Routers replaces the routers that are heard and do not leave, without this
// one.
type Routers struct {
	List []Router
	// Leaving says that this router leaves.
	Leaving bool
	// Known is how many routers are known in each zone: those listed, this one, and
	// those that fell silent lately. Nil if nobody counts.
	Known map[string]int
}

func (e Routers) apply(c *Core) {
	c.known = e.Known
	c.routers = slices.Clone(e.List)
	if len(e.List) > 0 && c.joined == 0 {
		c.joined = c.now
	}
	if !e.Leaving || len(c.routers) == 0 {
		c.routers = append(c.routers, c.opt.self)
	}
	c.assignOwners()
	c.advanceWaiting()
}

// assignOwners finds the owner of each backend server, and tells a new one what
// is under way there.
func (c *Core) assignOwners() {
	c.accounts.capacity = c.stated * c.reachable()
	byZone := map[string][]Router{}
	for _, r := range c.routers {
		byZone[r.Zone] = append(byZone[r.Zone], r)
	}
	for _, s := range c.ordered {
		from := byZone[s.Zone]
		if len(from) == 0 {
			from = c.routers
		}
		owner := ownerOf(s.Name, from)
		if owner == s.owner {
			continue
		}
		s.owner = owner
		if owner == c.opt.self.Address {
			s.ownedSince = c.now
		}
		c.tellHeld(s)
	}
}

// reachable returns which part of the engines is in zones of which a router is
// heard and that are not closed, 1 if there are no engines.
func (c *Core) reachable() float64 {
	zones := map[string]bool{c.opt.self.Zone: true}
	for _, r := range c.routers {
		zones[r.Zone] = true
	}
	all, near := 0, 0
	for _, s := range c.ordered {
		if !c.serviceOf(s).engine {
			continue
		}
		all++
		if zones[s.Zone] && !s.closed {
			near++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(near) / float64(all)
}

// ownerOf returns the router that owns a backend server: each owns a part that
// is proportional to its capacity.
func ownerOf(server string, routers []Router) string {
	best, most := "", 0.0
	for _, r := range routers {
		score := rendezvous.Score(server, r.Address, r.capacity())
		if best == "" || score > most || score == most && r.Address < best {
			best, most = r.Address, score
		}
	}
	return best
}

func (r *Router) capacity() float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}

// tellHeld tells the owner of a backend server what this router has there.
func (c *Core) tellHeld(s *server) {
	if len(s.own) > 0 || s.owner == c.opt.self.Address {
		c.send(s.owner, &wire.Sync{Held: []wire.Held{s.held()}})
	}
}

// held lists what this router has under way at a backend server.
func (s *server) held() wire.Held {
	h := wire.Held{Server: s.key}
	for _, id := range slices.Sorted(maps.Keys(s.own)) {
		h.IDs = append(h.IDs, id)
		h.Unread = append(h.Unread, s.own[id].unread)
	}
	return h
}

// syncEvery is the interval at which owners are told all that is under way.
const syncEvery = time.Second

// syncIfDue tells each owner what this router has at its backend servers, so
// that messages which were lost do no lasting harm.
func (c *Core) syncIfDue() {
	if c.now-c.synced < syncEvery {
		return
	}
	c.synced = c.now
	held := map[string]*wire.Sync{}
	for _, s := range c.ordered {
		if len(s.own) == 0 {
			continue
		}
		if held[s.owner] == nil {
			held[s.owner] = &wire.Sync{}
		}
		held[s.owner].Held = append(held[s.owner].Held, s.held())
	}
	for _, owner := range slices.Sorted(maps.Keys(held)) {
		c.send(owner, held[owner])
	}
}
