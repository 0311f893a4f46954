package admit

import (
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// Routers replaces the list of live routers that are not leaving, without this one.
type Routers struct {
	List []Router
	// Leaving says that this router is leaving.
	Leaving bool
	// KnownByZone counts the known routers of each zone: those listed, this one, and those that
	// fell silent recently. It is nil if the counts are unknown.
	KnownByZone map[string]int
	// MissesSeeds says that there may be routers that this one does not know.
	MissesSeeds bool
}

func (e Routers) apply(c *Core) {
	before := c.routers
	c.routersByZone, c.missesSeeds = e.KnownByZone, e.MissesSeeds
	c.routers = slices.Clone(e.List)
	if len(e.List) > 0 && c.firstPeerAt == 0 {
		c.firstPeerAt = c.now
	}
	if !e.Leaving || len(c.routers) == 0 {
		c.routers = append(c.routers, c.opt.self)
	}
	c.updateUnreachableZones()
	c.reassignOwners(before)
	c.advanceWaiting()
}

// candidateChange is a change of the routers that may own the backend servers of a zone: those of the
// zone, or all if the zone has no live router.
type candidateChange struct {
	list []Router
	// added became candidates with the last change, removed are no longer candidates.
	added   []Router
	removed map[string]bool
	// replaced says that the previous candidates were other routers altogether: those of the
	// zone instead of all, or the reverse.
	replaced bool
}

// reassignOwners updates the owners after a change of the routers. It considers only the
// routers that joined and the backend servers of those that left: the cost of reassigning everything grows
// with the product of routers and backend servers, and would recur for each router when all start at once.
func (c *Core) reassignOwners(before []Router) {
	zonesBefore, zonesNow := groupByZone(before), groupByZone(c.routers)
	zones := map[string]*candidateChange{}
	for _, s := range c.sortedServers {
		cs, ok := zones[s.Zone]
		if !ok {
			cs = candidatesOf(s.Zone, zonesBefore, zonesNow, before, c.routers)
			zones[s.Zone] = cs
		}
		switch {
		case cs.replaced || s.owner == "" || cs.removed[s.owner]:
			c.assignOwner(s, cs.list, "", 0)
		case len(cs.added) > 0:
			c.assignOwner(s, cs.added, s.owner, s.ownerScore)
		}
	}
	c.updateCapacity()
}

// assignMissingOwners assigns the backend servers without an owner.
func (c *Core) assignMissingOwners() {
	candidates := map[string][]Router{}
	for _, s := range c.sortedServers {
		if s.owner != "" {
			continue
		}
		from, ok := candidates[s.Zone]
		if !ok {
			from = c.ownerCandidates(s.Zone)
			candidates[s.Zone] = from
		}
		c.assignOwner(s, from, "", 0)
	}
}

// ownerCandidates returns the routers that may own the backend servers of a zone.
func (c *Core) ownerCandidates(zone string) []Router {
	var list []Router
	for _, r := range c.routers {
		if r.Zone == zone {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return c.routers
	}
	return list
}

// updateCapacity updates the throughput that accounts share.
func (c *Core) updateCapacity() {
	c.accounts.capacity = c.statedCapacity * c.reachableEngineFraction()
	c.fleet.invalidate()
}

func groupByZone(routers []Router) map[string][]Router {
	zones := map[string][]Router{}
	for _, r := range routers {
		zones[r.Zone] = append(zones[r.Zone], r)
	}
	return zones
}

func candidatesOf(zone string, zonesBefore, zonesNow map[string][]Router, before, now []Router) *candidateChange {
	old, list := zonesBefore[zone], zonesNow[zone]
	cs := &candidateChange{replaced: (len(old) == 0) != (len(list) == 0)}
	if len(list) == 0 {
		old, list = before, now
	}
	cs.list = list
	if cs.replaced {
		return cs
	}
	removed := make(map[Router]bool, len(old))
	for _, r := range old {
		removed[r] = true
	}
	for _, r := range list {
		if !removed[r] {
			cs.added = append(cs.added, r)
		}
		delete(removed, r)
	}
	cs.removed = make(map[string]bool, len(removed))
	for r := range removed {
		cs.removed[r.Address] = true
	}
	return cs
}

// assignOwner makes the candidate with the best score the owner of a backend server, unless the
// current owner's score is better. It sends a new owner the requests in flight there.
func (c *Core) assignOwner(s *server, from []Router, owner string, score float64) {
	c.work.Scores += len(from)
	for i := range from {
		r := &from[i]
		x := rendezvous.Score(s.Name, r.Address, r.Weight())
		if owner == "" || x > score || x == score && r.Address < owner {
			owner, score = r.Address, x
		}
	}
	s.ownerScore = score
	if owner == s.owner {
		return
	}
	s.owner = owner
	if owner == c.opt.self.Address {
		s.ownedSince = c.now
	}
	c.syncOwner(s)
}

// reachableEngineFraction returns the fraction of engines in open zones with a live router, 1
// if there are no engines.
func (c *Core) reachableEngineFraction() float64 {
	zones := map[string]bool{c.opt.self.Zone: true}
	for _, r := range c.routers {
		zones[r.Zone] = true
	}
	all, reachable := 0, 0
	for _, svc := range c.services {
		if !svc.engine {
			continue
		}
		for zone, n := range svc.byZone {
			all += n
			if zones[zone] && !c.table.ZoneIsClosed(zone) {
				reachable += n
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(reachable) / float64(all)
}

// Weight returns the router's weight in rendezvous hashing: its capacity, or 1 if that is
// unknown.
func (r *Router) Weight() float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}
