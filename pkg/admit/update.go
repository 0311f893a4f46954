package admit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TableUpdate replaces the table, including the directory of backend servers.
type TableUpdate struct {
	Table *table.Table
	// Partial says that nothing but the backend servers named in Changed may differ from the table
	// before.
	Partial bool
	Changed []string
}

func (e TableUpdate) apply(c *Core) {
	c.table = e.Table
	if e.Partial {
		for _, name := range e.Changed {
			c.applyChange(name)
		}
	} else {
		c.replaceTable()
	}
	c.reportSoftware()
	c.dropNotices()
	c.updateCapacity()
	c.serveQueues()
	c.advanceWaiting()
}

// replaceTable applies a table of which anything may have changed.
func (c *Core) replaceTable() {
	t := c.table
	c.generation++
	for _, r := range c.waiting {
		c.restrictRegions(r)
	}
	changed := false
	for b := range t.AllBackends() {
		_, isNew := c.applyRow(b)
		changed = changed || isNew
	}
	changed = c.dropUnlisted() || changed
	for _, row := range t.Services {
		svc := c.service(row.Name)
		svc.engine, svc.cacheTokens = row.Engine, row.CacheTokens
	}
	c.statedCapacity = t.Bounds.TokensPerSecond
	if c.weighted != nil {
		c.weighted.setAccounts(t.Accounts, c.now)
	}
	if changed {
		c.indexServers()
	}
	c.assignMissingOwners()
}

// Work counts what a Core has computed since its creation.
type Work struct {
	// Rows is the number of rows applied, Scores the number of candidates compared for an owner,
	// Orders the number of orders of preference computed.
	Rows, Scores, Orders int
}

// Work returns the current counts.
func (c *Core) Work() Work { return c.work }

// applyRow updates a backend server from its row, and reports whether it belongs to the lists of
// servers anew: it is new, or serves other models or another zone, or runs another software.
func (c *Core) applyRow(b *table.Backend) (s *server, isNew bool) {
	// The key differs for each incarnation, since a restarted server has no requests and no
	// cached prefixes.
	c.work.Rows++
	key := incarnationKey(b)
	s, known := c.servers[key]
	if !known {
		s = &server{key: key, addedAt: c.now, requests: map[uint64]*request{}, notice: c.notices[key], speedClass: c.speeds.speedOfNew(key)}
		c.servers[key] = s
	}
	isNew = !s.isListed || s.movesLists(b)
	if s.Zone != b.Zone {
		s.owner = ""
	}
	s.Backend, s.generation, s.isListed, s.vanished = *b, c.generation, true, false
	c.setEngine(s)
	if s.notice != nil {
		s.notice.applyMark(b.Mark)
	}
	s.zoneClosed = c.table.ZoneIsClosed(b.Zone)
	s.setWarmup(c.table, c.now)
	return s, isNew
}

// movesLists reports whether a row puts a backend server into other lists, or other places of them.
func (s *server) movesLists(row *table.Backend) bool {
	return s.Zone != row.Zone || s.Software() != row.Software() || !slices.Equal(s.Models, row.Models)
}

// applyChange updates the backend server of a name. What it costs does not depend on how many there
// are, but for the shift of the lists.
func (c *Core) applyChange(name string) {
	row, listed := c.table.Backend(name)
	if !listed {
		for _, s := range c.listedIncarnations(name) {
			c.unlist(s)
		}
		return
	}
	key := incarnationKey(&row)
	for _, s := range c.listedIncarnations(name) {
		if s.key != key {
			c.unlist(s)
			continue
		}
		if s.movesLists(&row) {
			c.removeFromServices(s)
		}
	}
	s, isNew := c.applyRow(&row)
	if isNew {
		c.addToServices(s)
		c.addSorted(s)
	}
	if s.owner == "" {
		c.assignOwner(s, c.ownerCandidates(s.Zone), "", 0)
	}
}

// incarnations returns all known incarnations of a name.
func (c *Core) incarnations(name string) []*server {
	from, _ := slices.BinarySearchFunc(c.sortedServers, name, func(s *server, name string) int { return cmp.Compare(s.Name, name) })
	to := from
	for to < len(c.sortedServers) && c.sortedServers[to].Name == name {
		to++
	}
	return c.sortedServers[from:to]
}

// listedIncarnations returns the incarnations of a name that the table before lists.
func (c *Core) listedIncarnations(name string) []*server {
	return slices.DeleteFunc(slices.Clone(c.incarnations(name)), func(s *server) bool { return !s.isListed })
}

// unlist removes a backend server that the table no longer lists. One with requests of this router in
// flight stays known until they have ended.
func (c *Core) unlist(s *server) {
	c.recordVanished(s)
	s.isListed = false
	c.removeFromServices(s)
	if len(s.requests) > 0 {
		s.Mark = table.Leaving
		return
	}
	c.forget(s)
}

// forget drops a backend server that the table does not list.
func (c *Core) forget(s *server) {
	delete(c.servers, s.key)
	isSame := func(x *server) bool { return x == s }
	c.sortedServers = slices.DeleteFunc(c.sortedServers, isSame)
	c.ownedServers = slices.DeleteFunc(c.ownedServers, isSame)
}

// dropUnlisted removes the backend servers that the table no longer lists, except those with
// requests of this router in flight. It reports whether the lists of servers have to be rebuilt.
func (c *Core) dropUnlisted() bool {
	changed := false
	for key, s := range c.servers {
		if s.generation == c.generation {
			continue
		}
		c.recordVanished(s)
		if len(s.requests) > 0 {
			changed = changed || s.isListed
			s.isListed, s.Mark = false, table.Leaving
			continue
		}
		changed = true
		delete(c.servers, key)
		c.ownedServers = slices.DeleteFunc(c.ownedServers, func(h *server) bool { return h == s })
	}
	return changed
}

// indexServers rebuilds the sorted list of backend servers and the lists of each service.
func (c *Core) indexServers() {
	for _, svc := range c.services {
		svc.reset(c.now)
	}
	for b := range c.table.AllBackends() {
		s := c.servers[incarnationKey(b)]
		for _, m := range b.Models {
			c.service(m).append(s)
		}
	}
	c.sortedServers = slices.SortedFunc(maps.Values(c.servers), compareNames)
}

// addSorted adds a backend server to the sorted list, unless it is there already.
func (c *Core) addSorted(s *server) {
	if !slices.Contains(c.incarnations(s.Name), s) {
		at, _ := slices.BinarySearchFunc(c.sortedServers, s, compareNames)
		c.sortedServers = slices.Insert(c.sortedServers, at, s)
	}
}

// addToServices adds a backend server to the lists of its services, removeFromServices removes it.
func (c *Core) addToServices(s *server) {
	for _, m := range s.Models {
		c.service(m).insert(s)
	}
}

func (c *Core) removeFromServices(s *server) {
	for _, m := range s.Models {
		c.service(m).remove(s, c.now)
	}
}

// incarnationKey returns the key of a backend server's incarnation.
func incarnationKey(b *table.Backend) wire.NameHash { return wire.HashName(b.Incarnation().String()) }

func compareNames(a, b *server) int { return cmp.Compare(a.Name, b.Name) }
