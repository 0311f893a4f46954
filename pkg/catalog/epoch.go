package catalog

import (
	"maps"
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// A platform that comes back from a copy has lost what it published last. Until that is
// written again, what it lists is older than what callers were served by: what this catalog
// knew is retained, and overrides the list.

// enter begins a new epoch with all that it lists.
func (c *Catalog) enter(now time.Duration, n *Update) {
	e := epochChange{c: c, from: c.asOf.Epoch, fromEntered: c.enteredNumber, listed: n, evidence: c.compareHistories(n)}
	e.servers, e.zones = c.allServers(), c.allZones()
	c.asOf = Revision{Epoch: n.Epoch}
	c.enteredAt, c.enteredNumber = now-n.EpochAge, n.AsOf
	c.history, c.highest = history{}, 0
	c.retainedServers, c.retainedZones = map[string]retained[Server]{}, map[string]retained[Zone]{}
	c.tableRetained = c.table != nil
	for name, s := range c.servers {
		// Whatever the new epoch says of it counts.
		s = e.servers[name].item
		s.Revision = 0
		c.servers[name] = s
	}
	for name, z := range c.zones {
		z.Zone = e.zones[name].item
		z.Revision = 0
		c.zones[name] = z
	}
	c.dirty = true
	c.change = &e
}

// epochChange is what was known when a new epoch began, while its list is taken in.
type epochChange struct {
	c *Catalog
	// from is the epoch before, fromEntered the number as of which that was entered: later
	// ones were given out in it.
	from, fromEntered uint64
	listed            *Update
	evidence          evidence
	servers           map[string]retained[Server]
	zones             map[string]retained[Zone]
}

// finish keeps what the list of the new epoch, now taken in, lacks or has older.
func (e *epochChange) finish(now time.Duration) {
	for name, old := range e.servers {
		e.finishServer(now, name, old)
	}
	for name, old := range e.zones {
		e.finishZone(name, old)
	}
	e.c.names = nil
	e.c.expireRetained(now)
}

func (e *epochChange) finishServer(now time.Duration, name string, old retained[Server]) {
	c := e.c
	s := c.servers[name]
	if listed := s.Revision > 0; listed {
		if e.mayPredate(s.Revision, old.Override) && contradicts(&old.item, &s) && !e.isNewStart(&old, &s) {
			c.retainedServers[name] = retained[Server]{item: old.item, until: c.enteredAt + settleFor, Override: Override{Origin: old.Origin, Over: s.Revision}}
		}
		return
	}
	delete(c.servers, name)
	delete(c.goneAt, name)
	if !old.item.Gone && e.wasInCopy(old.Origin) {
		// The copy had it, so it was removed since.
		c.servers[name] = Server{Revision: e.listed.AsOf, Gone: true, Backend: table.Backend{Name: name}}
		c.goneAt[name] = now
		c.vanish(now, old.item)
		return
	}
	c.retainedServers[name] = retained[Server]{item: old.item, until: c.enteredAt + c.missingFor, Override: Override{Origin: old.Origin}}
}

func (e *epochChange) finishZone(name string, old retained[Zone]) {
	c := e.c
	z := c.zones[name]
	override := Override{Origin: old.Origin, Over: z.Revision}
	listed := z.Revision > 0
	switch {
	case listed && (!e.mayPredate(z.Revision, old.Override) || z.Closed == old.item.Closed):
		return
	case !listed && (!old.item.Closed || e.wasInCopy(old.Origin)):
		if old.item.Closed {
			z.opened = c.now
		}
		z.Zone = Zone{Revision: e.listed.AsOf, Name: name}
		c.zones[name] = z
		return
	}
	if !listed {
		z.Zone = Zone{Name: name}
		c.zones[name] = z
	}
	c.retainedZones[name] = retained[Zone]{item: old.item, until: c.enteredAt + settleFor, Override: override}
}

// mayPredate reports whether what is listed with a number may have been written before an item
// of an earlier epoch. Numbers of both are those of one history up to the copy.
func (e *epochChange) mayPredate(number uint64, old Override) bool {
	if number >= e.evidence.foreign {
		return false
	}
	if old.Origin.Epoch < e.from && number > e.fromEntered {
		return number <= old.Over
	}
	return number <= old.Over || number < old.Origin.Number
}

// isNewStart reports whether an entry was written after the last one that was known before it
// went: the copy cannot hold that.
func (e *epochChange) isNewStart(old *retained[Server], listed *Server) bool {
	return old.Origin.Epoch == e.from && old.item.Gone && old.item.Last > 0 && listed.Revision > old.item.Last
}

// wasInCopy reports whether the copy held an item of the epoch before.
func (e *epochChange) wasInCopy(origin Revision) bool {
	return origin.Epoch == e.from && origin.Number <= e.evidence.common
}

// contradicts reports whether an entry says something else than a later one of the epoch
// before, which is not what a backend server says in the course of a start.
func contradicts(later, listed *Server) bool {
	switch {
	case listed.Unusable.IsSet() || later.Unusable.IsSet():
		return false
	case later.Gone || listed.Gone:
		return later.Gone && !listed.Gone
	case later.Backend.StartTime != listed.Backend.StartTime:
		return true
	default:
		return later.Backend.Mark == table.Leaving && listed.Backend.Mark == table.Serving
	}
}

// evidence is what the list of a new epoch tells of how far the copy goes.
type evidence struct {
	// common is a number up to which the histories of both epochs are the same.
	common uint64
	// foreign is a number from which on all were given out in the new epoch.
	foreign uint64
}

// compareHistories compares a list of a new epoch with what recent numbers of this one were of.
func (c *Catalog) compareHistories(n *Update) evidence {
	x := evidence{foreign: math.MaxUint64}
	observe := func(number, digest uint64) {
		switch same, isKnown := c.history.same(number, digest); {
		case isKnown && same:
			x.common = max(x.common, number)
		case isKnown:
			x.foreign = min(x.foreign, number)
		}
	}
	for i := range n.Servers {
		if !n.Servers[i].Gone {
			observe(n.Servers[i].Revision, n.Servers[i].digest())
		}
	}
	for _, z := range n.Zones {
		if z.Closed {
			observe(z.Revision, z.digest())
		}
	}
	if n.Table != nil {
		observe(n.Table.Revision, digestOf(n.Table))
	}
	x.common = min(x.common, x.foreign-1)
	return x
}

// allServers returns all entries as they count.
func (c *Catalog) allServers() map[string]retained[Server] {
	all := make(map[string]retained[Server], len(c.servers)+len(c.retainedServers))
	for name, s := range c.servers {
		all[name] = retained[Server]{item: s, Override: Override{Origin: Revision{c.asOf.Epoch, s.Revision}}}
	}
	maps.Copy(all, c.retainedServers)
	return all
}

func (c *Catalog) allZones() map[string]retained[Zone] {
	all := make(map[string]retained[Zone], len(c.zones)+len(c.retainedZones))
	for name, z := range c.zones {
		all[name] = retained[Zone]{item: z.Zone, Override: Override{Origin: Revision{c.asOf.Epoch, z.Revision}}}
	}
	maps.Copy(all, c.retainedZones)
	return all
}
