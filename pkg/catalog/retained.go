package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// overrideTTL is how long an item of an earlier epoch overrides what the backup lists. It
// exceeds the lifetime of the entry of a backend server that has stopped.
const overrideTTL = 10 * time.Second

// Retained is what earlier epochs published and the current one has not published again.
type Retained struct {
	// Table is the operators' table, nil if the current epoch published it.
	Table   *table.Table
	Servers []RetainedServer
	Zones   []RetainedZone
}

// RetainedServer is an entry of an earlier epoch.
type RetainedServer struct {
	Server   Server
	Override Override
}

// RetainedZone is a zone mark of an earlier epoch.
type RetainedZone struct {
	Zone     Zone
	Override Override
}

// Override says which published item an item of an earlier epoch overrides, and for how long.
type Override struct {
	// Origin is the retained item's own revision.
	Origin Revision
	// Over is the revision number of the overridden item in the current epoch, 0 if there is
	// none. A later revision replaces the retained item.
	Over uint64
	// Left is the remaining retention time.
	Left time.Duration
}

// retained is an item of an earlier epoch and the time at which it expires.
type retained[T any] struct {
	item  T
	until time.Duration
	Override
}

// Empty reports whether nothing is retained.
func (k *Retained) Empty() bool { return k.Table == nil && len(k.Servers) == 0 && len(k.Zones) == 0 }

// Retained returns what is retained from earlier epochs, nil if nothing is.
func (c *Catalog) Retained() *Retained {
	k := &Retained{}
	if c.tableRetained {
		k.Table = c.table
	}
	for _, name := range slices.Sorted(maps.Keys(c.retainedServers)) {
		x := c.retainedServers[name]
		if x.item.Gone && x.Over == 0 {
			// It only keeps other routers from restoring the entry here.
			continue
		}
		k.Servers = append(k.Servers, RetainedServer{Server: x.item, Override: x.overrideAt(c.now)})
	}
	for _, name := range slices.Sorted(maps.Keys(c.retainedZones)) {
		x := c.retainedZones[name]
		k.Zones = append(k.Zones, RetainedZone{Zone: x.item, Override: x.overrideAt(c.now)})
	}
	if k.Empty() {
		return nil
	}
	return k
}

// overrideAt returns the override with the retention time left at now.
func (k *retained[T]) overrideAt(now time.Duration) Override {
	s := k.Override
	s.Left = k.until - now
	return s
}

// mergeRetained applies what another router retains and reports whether the view changes.
func (c *Catalog) mergeRetained(now time.Duration, k *Retained) bool {
	changed := false
	if k.Table != nil && (c.table == nil || k.Table.Version().NewerThan(c.table.Version())) {
		c.table, c.tableRetained = k.Table, true
		changed = true
	}
	for _, x := range k.Servers {
		b := &x.Server.Backend
		if c.isOwnAddress(b.Address) || !mayOverride(c.servers[b.Name].Revision, c.retainedServers[b.Name].Origin, x.Override) {
			continue
		}
		c.retainedServers[b.Name] = retained[Server]{item: x.Server, until: now + min(x.Override.Left, overrideTTL), Override: x.Override}
		c.names = nil
		changed = true
	}
	for _, x := range k.Zones {
		name := x.Zone.Name
		if !mayOverride(c.zones[name].Revision, c.retainedZones[name].Origin, x.Override) {
			continue
		}
		c.retainedZones[name] = retained[Zone]{item: x.Zone, until: now + min(x.Override.Left, overrideTTL), Override: x.Override}
		changed = true
	}
	return changed
}

// mayOverride reports whether an item with the given override applies here. listedNumber is
// the revision number of the published item, 0 if there is none, and retainedOrigin the
// revision of the item retained so far.
func mayOverride(listedNumber uint64, retainedOrigin Revision, x Override) bool {
	return listedNumber == x.Over && retainedOrigin.Before(x.Origin) && x.Left > 0
}

// expireRetained drops what has expired and reports whether the view changes.
func (c *Catalog) expireRetained(now time.Duration) bool {
	changed := false
	for name, k := range c.retainedServers {
		isMissing := k.Over == 0 && !k.item.Gone
		switch {
		case isMissing && now >= k.until:
			// A tombstone keeps other routers from restoring an older entry.
			k.item = Server{Revision: k.item.Revision, Gone: true, Last: k.item.Revision, Backend: table.Backend{Name: name}}
			k.until = c.epochSince + overrideTTL
			c.retainedServers[name] = k
			changed = true
		case c.hasExpired(now, k.until):
			delete(c.retainedServers, name)
			c.names = nil
			changed = true
		}
	}
	for name, k := range c.retainedZones {
		if !c.hasExpired(now, k.until) {
			continue
		}
		delete(c.retainedZones, name)
		if z := c.zones[name]; k.item.Closed && !z.Closed {
			z.Name, z.opened = name, now
			c.zones[name] = z
		}
		changed = true
	}
	return changed
}

// MarkVerified records that the catalog was current at the given time.
func (c *Catalog) MarkVerified(at time.Duration) { c.verifiedAt = max(c.verifiedAt, at) }

// hasExpired reports whether the deadline has passed and the catalog has been verified since.
// A router that is cut off from the platform thus keeps what it retains.
func (c *Catalog) hasExpired(now, deadline time.Duration) bool {
	return now >= deadline && c.verifiedAt >= deadline
}

// current returns the entry in force, which is the retained one if there is one.
func (c *Catalog) current(name string) (s Server, ok bool) {
	if k, isRetained := c.retainedServers[name]; isRetained {
		return k.item, true
	}
	s, ok = c.servers[name]
	return s, ok
}

// isClosed reports whether a zone is closed.
func (c *Catalog) isClosed(name string) bool {
	if k, isRetained := c.retainedZones[name]; isRetained {
		return k.item.Closed
	}
	return c.zones[name].Closed
}
