package admit

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// server is a backend server as this router knows it.
type server struct {
	table.Backend
	key wire.NameHash
	// joined is when this router first saw it in the directory.
	joined time.Duration
	// generation is the last table that lists it.
	generation uint64
	// owner is the router that gives places there, ownerScore its score among those
	// that might, ownedSince when this router last became it.
	owner      string
	ownerScore float64
	ownedSince time.Duration
	// closed says that its zone is closed to new requests.
	closed bool
	// warmUntil is until when it bears warmupRate requests a second only.
	warmUntil  time.Duration
	warmupRate float64
	// warmupTime is for how long it warms up after a start, doubtUntil until when it
	// may have started anew without having said so.
	warmupTime, doubtUntil time.Duration
	// own are the requests that this router has under way there.
	own map[uint64]*request
	// seen is what its owner last told is under way there, and when.
	seen   use
	seenAt time.Duration
	// busyUntil is until when it is taken to have no place.
	busyUntil time.Duration
	health    health
	// alive is the last time during which it is known not to have ended.
	alive span
	// heard is when it last answered this router.
	heard time.Duration
	// silences are tries of this router during which it said nothing, the oldest first.
	silences []silence
	// vanished says that the directory ceased to list it without having said that it leaves.
	vanished bool
	// word is what it says of itself, nil if it said nothing.
	word *word
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
func (s *server) open() bool {
	return s.Mark == table.Serving && !s.closed && !s.saysLeaving()
}

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

// tellHeld tells the owner of a backend server what this router has there.
func (c *Core) tellHeld(s *server) {
	if len(s.own) > 0 || s.owner == c.opt.self.Address {
		c.send(s.owner, &wire.RequestSync{Servers: []wire.ServerRequests{s.held()}})
	}
}

// held lists what this router has under way at a backend server.
func (s *server) held() wire.ServerRequests {
	h := wire.ServerRequests{Server: s.key}
	for _, id := range slices.Sorted(maps.Keys(s.own)) {
		h.IDs = append(h.IDs, id)
		h.PrefillTokens = append(h.PrefillTokens, s.own[id].unread)
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
	held := map[string]*wire.RequestSync{}
	for _, s := range c.ordered {
		if len(s.own) == 0 {
			continue
		}
		if held[s.owner] == nil {
			held[s.owner] = &wire.RequestSync{}
		}
		held[s.owner].Servers = append(held[s.owner].Servers, s.held())
	}
	for _, owner := range slices.Sorted(maps.Keys(held)) {
		c.send(owner, held[owner])
	}
}
