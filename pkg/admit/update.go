package admit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TableUpdate replaces the table, including the directory of backend servers.
type TableUpdate struct{ Table *table.Table }

func (e TableUpdate) apply(c *Core) {
	c.generation++
	c.table = e.Table
	for _, r := range c.waiting {
		c.restrictRegions(r)
	}
	changed := c.applyRows(e.Table)
	changed = c.dropUnlisted() || changed
	c.dropNotices()
	for _, row := range e.Table.Services {
		c.service(row.Name).engine = row.Engine
	}
	c.statedCapacity = e.Table.Bounds.TokensPerSecond
	if c.weighted != nil {
		c.weighted.setAccounts(e.Table.Accounts, c.now)
	}
	if changed {
		c.indexServers(e.Table)
	}
	c.assignMissingOwners()
	c.serveQueues()
	c.advanceWaiting()
}

// applyRows updates the backend servers from the table, and reports whether any is new or
// serves other models.
func (c *Core) applyRows(t *table.Table) bool {
	changed := false
	for _, b := range t.Backends {
		// The key differs for each incarnation, since a restarted server has no requests and no
		// cached prefixes.
		key := incarnationKey(&b)
		s, known := c.servers[key]
		if !known {
			s = &server{key: key, addedAt: c.now, requests: map[uint64]*request{}, notice: c.notices[key]}
			c.servers[key] = s
		}
		if !known || s.generation != c.generation-1 || !slices.Equal(s.Models, b.Models) {
			changed = true
		}
		if s.Zone != b.Zone {
			s.owner = ""
			changed = true
		}
		s.Backend, s.generation, s.vanished = b, c.generation, false
		if s.notice != nil {
			s.notice.applyMark(b.Mark)
		}
		s.zoneClosed = t.ZoneIsClosed(b.Zone)
		s.setWarmup(t, c.now)
	}
	return changed
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
			changed = changed || s.generation == c.generation-1
			s.Mark = table.Leaving
			continue
		}
		changed = true
		delete(c.servers, key)
		c.ownedServers = slices.DeleteFunc(c.ownedServers, func(h *server) bool { return h == s })
	}
	return changed
}

// indexServers rebuilds the sorted list of backend servers and the lists of each service. This
// is too slow in large fleets for every change of a row.
func (c *Core) indexServers(t *table.Table) {
	for _, svc := range c.services {
		svc.servers, svc.orders, svc.regional = nil, nil, nil
	}
	for _, b := range t.Backends {
		s := c.servers[incarnationKey(&b)]
		for _, m := range b.Models {
			svc := c.service(m)
			svc.servers = append(svc.servers, s)
		}
	}
	c.sortedServers = slices.SortedFunc(maps.Values(c.servers), compareNames)
}

// incarnationKey returns the key of a backend server's incarnation.
func incarnationKey(b *table.Backend) wire.NameHash { return wire.HashName(b.Incarnation().String()) }

func compareNames(a, b *server) int { return cmp.Compare(a.Name, b.Name) }
