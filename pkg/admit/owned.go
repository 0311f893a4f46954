package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// owned is what the owner of a backend server knows of it.
type owned struct {
	use
	entries map[entryKey]*entry
	// queue is what waits for a place, in no order.
	queue []*asking
	load  load
	// known are the prompts' beginnings that were read there lately.
	known recent
	// pace spaces the places while it warms up.
	pace pacer
	// apart is the request that no other joins until apartUntil.
	apart      entryKey
	apartUntil time.Duration
}

// entryKey names a request among those of all routers.
type entryKey struct {
	holder string
	id     uint64
}

// entry is a request that is under way.
type entry struct {
	unread int64
	// ahead is the tokens to be read before its first event as known when it
	// was granted its place.
	ahead int64
	since time.Duration
	// heard is when its holder last told of it.
	heard time.Duration
}

// asking is a request that waits for a place.
type asking struct {
	*wire.SlotRequest
	from string
	// until is when its holder waits no more, due when its first event is.
	until, due time.Duration
}

// AttemptTTL is when a request is taken to have ended whose holder does not tell of it
// any more: its place is given to another.
const AttemptTTL = 3 * time.Second

// ownedOf returns what this router knows of a backend server as its owner. It
// acts as one for whoever takes it for the owner.
func (c *Core) ownedOf(s *server) *owned {
	if s.owned == nil {
		s.owned = &owned{entries: map[entryKey]*entry{}}
		at, _ := slices.BinarySearchFunc(c.held, s, byName)
		c.held = slices.Insert(c.held, at, s)
	}
	return s.owned
}

func (o *owned) add(key entryKey, e *entry) {
	o.remove(key)
	o.entries[key] = e
	o.running++
	o.load.most = max(o.load.most, o.running)
	o.unread += e.unread
}

func (o *owned) remove(key entryKey) {
	e, ok := o.entries[key]
	if !ok {
		return
	}
	delete(o.entries, key)
	o.join(key)
	o.running--
	o.unread -= e.unread
}

// read notes that an entry's prompt has been read.
func (o *owned) read(e *entry) {
	o.unread -= e.unread
	e.unread = 0
	e.ahead = 0
}

// asked answers a router that asks for a place.
func (c *Core) asked(from string, m *wire.SlotRequest) {
	s, ok := c.servers[m.Server]
	if !ok || !s.open() {
		if ok {
			c.tellLeaving(s, from)
		}
		c.send(from, &wire.SlotReply{ID: m.ID, Server: m.Server, State: wire.SlotDenied})
		return
	}
	if c.weights != nil && from != c.opt.self.Address {
		c.weights.asked(useKey{wire.HashName(c.serviceOf(s).name), m.Account}, c.now)
	}
	o := c.ownedOf(s)
	firstAsk := !m.Spill && !m.MayHaveRun
	if firstAsk {
		c.serviceOf(s).shortest.observe(c.now, time.Duration(m.TargetMillis)*time.Millisecond)
	}
	a := &asking{
		SlotRequest: m, from: from,
		until: c.now + time.Duration(m.WaitMillis)*time.Millisecond,
		due:   c.now + time.Duration(m.TargetMillis)*time.Millisecond,
	}
	granted := (len(o.queue) == 0 || !m.Spill) && c.grant(s, a)
	if firstAsk {
		c.noteAsked(m.Account, granted)
	}
	switch {
	case granted:
	case m.Spill || c.now >= a.until || c.weights != nil && s.owner != c.opt.self.Address:
		c.answer(s, a, wire.SlotDenied)
	default:
		o.queue = append(slices.DeleteFunc(o.queue, func(x *asking) bool { return x.from == from && x.ID == m.ID }), a)
		c.answer(s, a, wire.SlotQueued)
	}
}

func (c *Core) answer(s *server, a *asking, state wire.SlotState) {
	o := c.ownedOf(s)
	c.send(a.from, &wire.SlotReply{ID: a.ID, Server: s.key, State: state, Running: o.running, PrefillTokens: o.unread})
}

// grant gives a request a place if there is one for it.
func (c *Core) grant(s *server, a *asking) bool {
	o := c.ownedOf(s)
	sv := c.serviceOf(s)
	toRead := o.toRead(a.SlotRequest, c.now)
	if !c.hasPlace(sv, s, a, toRead) {
		return false
	}
	fetch := a.CopyPrefix && !o.keeps(a.SlotRequest, c.now)
	e := &entry{unread: toRead, ahead: o.unread + toRead, since: c.now, heard: c.now}
	key := entryKey{a.from, a.ID}
	o.add(key, e)
	if a.Exclusive {
		o.setApart(key, c.now)
	}
	c.noteStart(s)
	if c.weights != nil && a.from != c.opt.self.Address {
		c.weights.noteGiven(useKey{wire.HashName(sv.name), a.Account}, c.now)
	}
	if a.Prefix != 0 {
		o.known.note(a.Prefix, c.now)
	}
	c.send(a.from, &wire.SlotReply{
		ID: a.ID, Server: s.key, State: wire.SlotGranted, Running: o.running, PrefillTokens: o.unread,
		CopyPrefix: fetch, OwnPrefillTokens: toRead, TokensAhead: e.ahead, ExpectedMillis: sv.latency.predict(e.ahead).Milliseconds(),
	})
	return true
}

// keeps reports whether the shared parts of a prompt are kept.
func (o *owned) keeps(m *wire.SlotRequest, now time.Duration) bool {
	return m.Prefix != 0 && o.known.has(m.Prefix, now)
}

// toRead returns how many tokens of a prompt are to be read: what is neither
// kept nor copied from elsewhere.
func (o *owned) toRead(m *wire.SlotRequest, now time.Duration) int64 {
	if m.CopyPrefix || o.keeps(m, now) {
		return m.PromptTokens - m.SharedTokens
	}
	return m.PromptTokens
}

// serveOwned gives what places there are at this router's backend servers.
func (c *Core) serveOwned() {
	for _, s := range c.held {
		if len(s.owned.queue) > 0 {
			c.serveQueue(s)
		}
	}
}

// serveQueue gives places to what waits, in order, and drops what waits no
// more.
func (c *Core) serveQueue(s *server) {
	o := s.owned
	if len(o.queue) == 0 {
		return
	}
	if c.weights != nil {
		c.serveByWeight(s)
		return
	}
	c.order(o.queue)
	left := o.queue[:0]
	for _, a := range o.queue {
		switch {
		case c.now >= a.until || !s.open():
			c.tellLeaving(s, a.from)
			c.answer(s, a, wire.SlotDenied)
		case !c.grant(s, a):
			left = append(left, a)
		}
	}
	clear(o.queue[len(left):])
	o.queue = left
}

// serveByWeight gives places to the accounts that had the least service, one after the other:
// each place that is given changes the order.
func (c *Core) serveByWeight(s *server) {
	o := s.owned
	o.queue = slices.DeleteFunc(o.queue, func(a *asking) bool {
		if c.now < a.until && s.open() && s.owner == c.opt.self.Address {
			return false
		}
		c.tellLeaving(s, a.from)
		c.answer(s, a, wire.SlotDenied)
		return true
	})
	for len(o.queue) > 0 {
		first := slices.MinFunc(o.queue, func(a, b *asking) int { return cmp.Or(compareFirst(a.MayHaveRun, b.MayHaveRun), c.compareLag(s, a, b)) })
		if !c.grant(s, first) {
			return
		}
		o.queue = slices.DeleteFunc(o.queue, func(a *asking) bool { return a == first })
	}
}

// order sorts what waits: what has begun before, then by rank, by what the
// account has had, by when the first event is due.
func (c *Core) order(queue []*asking) {
	over := make(map[wire.NameHash]float64, len(queue))
	for _, a := range queue {
		if _, ok := over[a.Account]; !ok {
			over[a.Account] = c.accounts.over(a.Account, c.now)
		}
	}
	slices.SortStableFunc(queue, func(a, b *asking) int {
		return cmp.Or(
			compareFirst(a.MayHaveRun, b.MayHaveRun),
			cmp.Compare(a.AccountRank, b.AccountRank), cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(over[a.Account], over[b.Account]), cmp.Compare(a.due, b.due),
		)
	})
}

// compareFirst puts what is true first.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// handleRequestUpdate updates the owner's record of a request from a report of the
// router that holds it.
func (c *Core) handleRequestUpdate(from string, m *wire.RequestUpdate) {
	s, ok := c.servers[m.Server]
	if !ok {
		return
	}
	o := c.ownedOf(s)
	key := entryKey{from, m.ID}
	switch m.Kind {
	case wire.RequestStarted:
		o.add(key, &entry{unread: m.PrefillTokens, since: c.now, heard: c.now})
		c.noteStart(s)
		return
	case wire.RequestFirstEvent:
		o.join(key)
		if e, ok := o.entries[key]; ok {
			c.firstCame(s, e, time.Duration(m.FirstEventMillis)*time.Millisecond)
		}
	case wire.RequestEnded:
		s.doubt(c.now, Result(m.Result))
		o.remove(key)
	case wire.RequestCanceled:
		o.queue = slices.DeleteFunc(o.queue, func(a *asking) bool { return a.from == from && a.ID == m.ID })
	}
	c.serveQueue(s)
}

// firstCame learns from the time to a first event.
func (c *Core) firstCame(s *server, e *entry, took time.Duration) {
	if e.ahead > 0 {
		latency := &c.serviceOf(s).latency
		s.health.first(took, latency.predict(e.ahead))
		latency.observe(e.ahead, took)
	}
	s.owned.read(e)
}

// heldGrace is how long ago a place must have been given to be taken back when
// its holder does not list it: the list may have been under way meanwhile.
const heldGrace = 200 * time.Millisecond

// reconcileInFlight replaces the owner's view of what one holder has in flight at
// some backend servers with that holder's full list.
func (c *Core) reconcileInFlight(from string, m *wire.RequestSync) {
	for _, h := range m.Servers {
		if s, ok := c.servers[h.Server]; ok {
			c.replaceHeld(s, from, h)
			c.serveQueue(s)
		}
	}
}

func (c *Core) replaceHeld(s *server, from string, h wire.ServerRequests) {
	o := c.ownedOf(s)
	listed := make(map[uint64]bool, len(h.IDs))
	for i, id := range h.IDs {
		listed[id] = true
		key := entryKey{from, id}
		if e, ok := o.entries[key]; ok {
			e.heard = c.now
			continue
		}
		if i < len(h.PrefillTokens) {
			o.add(key, &entry{unread: h.PrefillTokens[i], since: c.now, heard: c.now})
		}
	}
	for key, e := range o.entries {
		if key.holder == from && !listed[key.id] && c.now-e.since >= heldGrace {
			o.remove(key)
		}
	}
}

// dropHolder forgets all that a router had under way and asked for.
func (c *Core) dropHolder(from string) {
	for _, s := range c.held {
		for key := range s.owned.entries {
			if key.holder == from {
				s.owned.giveUp(key, c.now)
			}
		}
		s.owned.queue = slices.DeleteFunc(s.owned.queue, func(a *asking) bool { return a.from == from })
		c.serveQueue(s)
	}
}

// idle reports whether nothing is under way or waits.
func (o *owned) idle() bool { return len(o.entries) == 0 && len(o.queue) == 0 }

// dropLost forgets requests whose holders do not tell of them any more.
func (o *owned) dropLost(now time.Duration) {
	for key, e := range o.entries {
		if now-e.heard >= AttemptTTL {
			o.giveUp(key, now)
		}
	}
}
