package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/returns"
)

// ownerState is what the owner of a backend server knows about it.
type ownerState struct {
	occupancy
	entries map[entryKey]*entry
	// queue is the slot requests that wait, in no particular order.
	queue []*receivedRequest
	load  load
	// memory is what the requests in flight occupy at most.
	memory memoryUse
	// prefillBehindCopies is the part of prefill that the engine reads only after copies.
	prefillBehindCopies int64
	// reading is the prompt that the engine reads.
	reading reading
	// createdAt is when this router became the owner.
	createdAt time.Duration
	// prefixes are the prompt prefixes that it has, or will have processed before the next prompt.
	prefixes knownPrefixes
	// inUse is the memory that the entries use besides shared prefixes, in tokens.
	inUse int64
	// pace limits the rate of grants during a warm-up.
	pace pacer
	// exclusive is the request that runs without new neighbors until exclusiveUntil.
	exclusive      entryKey
	exclusiveUntil time.Duration
	// idleTime measures the time without prompt tokens to process. clock is the current time of the core.
	idleTime idleMeter
	clock    *time.Duration
	// health is what the results of all holders show.
	health sharedHealth
	// plain is what was learned about a plain server, nil for engines.
	plain *plainState
	// returns are the promised retries of an engine, nil if there were none.
	returns *returns.List
	// arriving is the rate of prompt tokens to be processed for first slot requests.
	arriving rate
	// pauses limits the running requests of an engine.
	pauses pauseLimit
	// slotTime is the mean time that requests occupy a slot, 0 if unknown.
	slotTime time.Duration
	lateTurn
}

// ownerStateOf returns the owner state of a backend server. It is created for any backend
// server for which another router takes this one for the owner.
func (c *Core) ownerStateOf(s *server) *ownerState {
	if s.owned == nil {
		s.owned = &ownerState{createdAt: c.now, entries: map[entryKey]*entry{}, clock: &c.now}
		at, _ := slices.BinarySearchFunc(c.ownedServers, s, compareNames)
		c.ownedServers = slices.Insert(c.ownedServers, at, s)
	}
	return s.owned
}

// idle reports whether no request is in flight or queued.
func (o *ownerState) idle() bool { return len(o.entries) == 0 && len(o.queue) == 0 }
