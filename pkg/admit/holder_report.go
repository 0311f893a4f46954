package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// AttemptTTL is the time after which a request that its holder no longer lists counts as ended,
// and its slot is reassigned.
const AttemptTTL = 3 * time.Second

// handleRequestUpdate updates the owner's record of a request from a report of its holder.
func (c *Core) handleRequestUpdate(from string, m *wire.RequestUpdate) {
	s, ok := c.servers[m.Server]
	if !ok {
		return
	}
	o := c.ownerStateOf(s)
	key := entryKey{from, m.ID}
	switch m.Kind {
	case wire.RequestStarted:
		o.add(key, c.newListedEntry(m.PrefillTokens))
		c.recordStart(s)
		return
	case wire.RequestFirstEvent:
		o.clearExclusive(key)
		c.recordEngineResponse(s, from)
		if e, ok := o.entries[key]; ok {
			c.observeTransfer(from, e, time.Duration(m.FirstEventMillis)*time.Millisecond)
			c.observeFirstEvent(s, e, time.Duration(m.FirstEventMillis)*time.Millisecond)
		}
	case wire.RequestEnded:
		s.assumeWarmup(c.now, Result(m.Result))
		c.recordAttemptEnd(s, key, Result(m.Result))
		c.observePlainEnd(s, key, Result(m.Result))
		o.observeSlotTime(key, c.now)
		o.remove(key)
	case wire.RequestCanceled:
		o.dequeue(key)
	}
	c.serveQueue(s)
}

// syncGrace is the least age of an entry that is removed because its holder does not list it.
// The list may have been sent before the grant arrived.
const syncGrace = 200 * time.Millisecond

// reconcileInFlight replaces the owner's view of what one holder has in flight at some backend
// servers with that holder's full list.
func (c *Core) reconcileInFlight(from string, m *wire.RequestSync) {
	for _, h := range m.Servers {
		if s, ok := c.servers[h.Server]; ok {
			c.reconcileServer(s, from, h)
			c.serveQueue(s)
		}
	}
}

func (c *Core) reconcileServer(s *server, from string, h wire.ServerRequests) {
	o := c.ownerStateOf(s)
	listed := make(map[uint64]bool, len(h.IDs))
	for i, id := range h.IDs {
		listed[id] = true
		key := entryKey{from, id}
		if e, ok := o.entries[key]; ok {
			e.confirmedAt = c.now
			continue
		}
		if i < len(h.PrefillTokens) {
			o.add(key, c.newListedEntry(h.PrefillTokens[i]))
		}
	}
	for key, e := range o.entries {
		if key.holder == from && !listed[key.id] && c.now-e.startedAt >= syncGrace {
			o.remove(key)
		}
	}
}

// dropHolder removes all entries and queued slot requests of a holder.
func (c *Core) dropHolder(holder string) {
	for _, s := range c.ownedServers {
		for key := range s.owned.entries {
			if key.holder == holder {
				s.owned.abandon(key, c.now)
			}
		}
		s.owned.queue = slices.DeleteFunc(s.owned.queue, func(a *receivedRequest) bool { return a.from == holder })
		s.owned.health.dropHolderFailure(holder)
		c.serveQueue(s)
	}
}
