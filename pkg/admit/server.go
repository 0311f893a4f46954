package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
	"github.com/yarrowmast/yarrowmast/pkg/prefixcache"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// server is the state of a backend server at this router.
type server struct {
	table.Backend
	key wire.NameHash
	// addedAt is when this router first saw it in the directory.
	addedAt time.Duration
	// isListed says that the current table lists it, generation is that of the last whole table
	// that did.
	isListed   bool
	generation uint64
	// owner is the router that grants slots there, ownerScore its rendezvous score, ownedSince
	// when this router last became the owner.
	owner      string
	ownerScore float64
	ownedSince time.Duration
	// zoneClosed says that operators closed its zone to new requests.
	zoneClosed bool
	// warmUntil is the end of its warm-up, during which it takes only warmupRate requests per
	// second.
	warmUntil  time.Duration
	warmupRate float64
	// warmupTime is the length of a warm-up. Until mayWarmUntil it may be in a warm-up that the
	// directory does not show yet.
	warmupTime, mayWarmUntil time.Duration
	// requests are those that this router has in flight there.
	requests map[uint64]*request
	// reported is the occupancy last reported by its owner.
	reported   occupancy
	reportedAt time.Duration
	// busyUntil is until when it is assumed to have no free slot.
	busyUntil time.Duration
	health    health
	// engine predicts the time to first events there, engineService is the service that it belongs to.
	engine        *enginemodel.Engine
	engineService string
	// reports is what is known and was sent of it.
	reports engineReports
	// alive is the last interval in which it is known not to have crashed.
	alive interval
	// answeredAt is when it last responded to this router.
	answeredAt time.Duration
	// stalls are recent attempts of this router without a response, the oldest first.
	stalls []stall
	// unconfirmed are completions that may be crashes, the oldest first.
	unconfirmed []unconfirmed
	// vanished says that the directory stopped listing it without having shown it as leaving.
	vanished bool
	// notice is what it announced about itself, nil if nothing.
	notice *notice
	// prefixes are the prompt prefixes that were processed there or copied to it.
	// reportedPrefixes are those that some router reported recently.
	prefixes         knownPrefixes
	reportedPrefixes *prefixcache.Cache
	// speedClass is the engine's speed class, orderClass the one that the cached orders use.
	speedClass speedClass
	orderClass int8
	// copyBudget limits copies from it when it leaves.
	copyBudget copyBudget
	// plainEstimate is what owners stated about the waits at a plain server.
	plainEstimate plainEstimate
	// owned is the owner state, nil if this router has none for it.
	owned *ownerState
}

// occupancy is the load of a backend server.
type occupancy struct {
	// running is the number of requests in flight.
	running int
	// prefill is the number of their prompt tokens still to be processed.
	prefill int64
}

// isOpen reports whether the backend server takes new requests.
func (s *server) isOpen() bool {
	return s.Mark == table.Serving && !s.zoneClosed && !s.announcedLeaving()
}

// occupancyTTL is how long a reported number of requests is used.
const occupancyTTL = time.Second

// running returns the estimated number of requests in flight.
func (s *server) running(now time.Duration) int {
	if now-s.reportedAt > occupancyTTL {
		return len(s.requests)
	}
	return max(s.reported.running, len(s.requests))
}

// ownPrefill returns the number of prefill tokens of this router's own requests.
func (s *server) ownPrefill() int64 {
	sum := int64(0)
	for _, r := range s.requests {
		sum += r.prefill
	}
	return sum
}

// serviceOf returns the service of a backend server.
func (c *Core) serviceOf(s *server) *service { return c.service(s.Models[0]) }

// syncOwner sends the owner of a backend server the list of this router's requests in flight
// there.
func (c *Core) syncOwner(s *server) {
	if len(s.requests) > 0 || s.owner == c.opt.self.Address {
		c.send(s.owner, &wire.RequestSync{Servers: []wire.ServerRequests{s.heldRequests()}})
	}
}

// heldRequests lists the requests that this router has in flight at a backend server.
func (s *server) heldRequests() wire.ServerRequests {
	h := wire.ServerRequests{Server: s.key}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		h.IDs = append(h.IDs, id)
		h.PrefillTokens = append(h.PrefillTokens, s.requests[id].prefill)
	}
	return h
}

// syncInterval is the interval at which owners get full lists of the requests in flight.
const syncInterval = time.Second

// syncIfDue sends each owner the full list of this router's requests at its backend servers,
// which corrects the effects of lost messages.
func (c *Core) syncIfDue() {
	if c.now-c.syncedAt < syncInterval {
		return
	}
	c.syncedAt = c.now
	held := map[string]*wire.RequestSync{}
	for _, s := range c.serversInUse() {
		if held[s.owner] == nil {
			held[s.owner] = &wire.RequestSync{}
		}
		held[s.owner].Servers = append(held[s.owner].Servers, s.heldRequests())
	}
	for _, owner := range slices.Sorted(maps.Keys(held)) {
		c.send(owner, held[owner])
	}
}

// serversInUse returns the backend servers with requests of this router in flight, by name.
func (c *Core) serversInUse() []*server {
	inUse := map[*server]bool{}
	for _, r := range c.requests {
		if r.server != nil {
			inUse[r.server] = true
		}
	}
	return slices.SortedFunc(maps.Keys(inUse), func(a, b *server) int {
		return cmp.Or(compareNames(a, b), cmp.Compare(a.key, b.key))
	})
}
