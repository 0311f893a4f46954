package catalog

import (
	"maps"
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// A platform that is restored from a backup has lost its latest changes. What it lists is then
// older than what this catalog knew, so the catalog retains the newer items, which override the
// list until they are published again or expire.

// enterEpoch begins a new epoch before its full update is merged.
func (c *Catalog) enterEpoch(now time.Duration, u *Update) {
	e := epochChange{c: c, prevEpoch: c.asOf.Epoch, prevEntryNumber: c.epochEntryNumber, listed: u, evidence: c.compareHistories(u)}
	e.servers, e.zones = c.allServers(), c.allZones()
	c.asOf = Revision{Epoch: u.Epoch}
	c.epochSince, c.epochEntryNumber = now-u.EpochAge, u.AsOf
	c.history, c.highest, c.revisions = history{}, 0, nil
	c.retainedServers, c.retainedZones = map[string]retained[Server]{}, map[string]retained[Zone]{}
	c.tableRetained = c.table != nil
	for name, s := range c.servers {
		// Revision 0 lets any entry of the new epoch replace this one.
		s = e.servers[name].item
		s.Revision = 0
		c.setServer(name, s)
	}
	for name, z := range c.zones {
		z.Zone = e.zones[name].item
		z.Revision = 0
		c.zones[name] = z
	}
	c.pending.All = true
	c.change = &e
}

// epochChange holds the state of the previous epoch while the first full update of a new one
// is merged.
type epochChange struct {
	c *Catalog
	// prevEpoch is the previous epoch. prevEntryNumber is the revision number of the update
	// that began it, so the previous epoch assigned the numbers above.
	prevEpoch, prevEntryNumber uint64
	listed                     *Update
	evidence                   evidence
	servers                    map[string]retained[Server]
	zones                      map[string]retained[Zone]
}

// finish runs after the full update was merged. It retains what the update lacks or lists in
// an older state.
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
	if listed := s.Revision > 0 && !e.mayPredateRemoval(&s, old.Origin); listed {
		if e.mayPredate(s.Revision, old.Override) && contradicts(&old.item, &s) && !e.isNewIncarnation(&old, &s) {
			c.retainedServers[name] = retained[Server]{item: old.item, until: c.epochSince + overrideTTL, Override: Override{Origin: old.Origin, Over: s.Revision}}
		}
		return
	}
	c.deleteServer(name)
	c.tombstones.remove(name)
	if !old.item.Gone && e.wasInBackup(old.Origin) {
		// The backup had the entry, so it was removed after the restore.
		c.setServer(name, Server{Revision: e.listed.AsOf, Gone: true, Backend: table.Backend{Name: name}})
		c.tombstones.add(name, now)
		c.recordRemoval(now, old.item)
		return
	}
	c.retainedServers[name] = retained[Server]{item: old.item, until: c.epochSince + c.unlistedGrace, Override: Override{Origin: old.Origin}}
}

// mayPredateRemoval reports whether an entry that is listed as removed may have been written again after
// that, before the platform was restored. An entry whose removal has a higher revision than the known
// entry was removed later: otherwise the removal would be known.
func (e *epochChange) mayPredateRemoval(s *Server, known Revision) bool {
	return s.Gone && (known.Epoch != e.prevEpoch || s.Revision <= known.Number)
}

func (e *epochChange) finishZone(name string, old retained[Zone]) {
	c := e.c
	z := c.zones[name]
	override := Override{Origin: old.Origin, Over: z.Revision}
	listed := z.Revision > 0
	switch {
	case listed && (!e.mayPredate(z.Revision, old.Override) || z.Closed == old.item.Closed):
		return
	case !listed && (!old.item.Closed || e.wasInBackup(old.Origin)):
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
	c.retainedZones[name] = retained[Zone]{item: old.item, until: c.epochSince + overrideTTL, Override: override}
}

// mayPredate reports whether a listed item with the given revision number may be older than an
// item of an earlier epoch. Up to the backup, both epochs share one history.
func (e *epochChange) mayPredate(number uint64, old Override) bool {
	if number >= e.evidence.firstReused {
		return false
	}
	if old.Origin.Epoch < e.prevEpoch && number > e.prevEntryNumber {
		return number <= old.Over
	}
	return number <= old.Over || number < old.Origin.Number
}

// isNewIncarnation reports whether the listed entry was written after the last change of an
// entry that was then removed. The backup cannot contain such an entry.
func (e *epochChange) isNewIncarnation(old *retained[Server], listed *Server) bool {
	return old.Origin.Epoch == e.prevEpoch && old.item.Gone && old.item.Last > 0 && listed.Revision > old.item.Last
}

// wasInBackup reports whether the backup contained an item of the previous epoch.
func (e *epochChange) wasInBackup(origin Revision) bool {
	return origin.Epoch == e.prevEpoch && origin.Number <= e.evidence.commonUpTo
}

// contradicts reports whether the listed entry conflicts with a later one of an earlier epoch,
// in a way that one incarnation of a backend server does not change its entry.
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

// evidence is what the first full update of an epoch shows about the age of the backup.
type evidence struct {
	// commonUpTo is a revision number up to which both epochs have the same history.
	commonUpTo uint64
	// firstReused is a revision number from which on the new epoch assigned all numbers.
	firstReused uint64
}

// compareHistories compares the items of a full update with what the current epoch published
// under the same revision numbers.
func (c *Catalog) compareHistories(u *Update) evidence {
	ev := evidence{firstReused: math.MaxUint64}
	observe := func(number, digest uint64) {
		switch matches, isKnown := c.history.matches(number, digest); {
		case isKnown && matches:
			ev.commonUpTo = max(ev.commonUpTo, number)
		case isKnown:
			ev.firstReused = min(ev.firstReused, number)
		}
	}
	for i := range u.Servers {
		if !u.Servers[i].Gone {
			observe(u.Servers[i].Revision, u.Servers[i].digest())
		}
	}
	for _, z := range u.Zones {
		if z.Closed {
			observe(z.Revision, z.digest())
		}
	}
	if u.Table != nil {
		observe(u.Table.Revision, tableDigest(u.Table))
	}
	ev.commonUpTo = min(ev.commonUpTo, ev.firstReused-1)
	return ev
}

// allServers returns all entries by name, retained ones in preference to published ones.
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
