package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// settleFor is for how long an item of an earlier epoch overrides what the copy lists: longer
// than an entry lasts whose backend server has ended.
const settleFor = 10 * time.Second

// DefaultUnlistedGrace is for how long a backend server is retained that the copy does not list.
const DefaultUnlistedGrace = 1500 * time.Millisecond

// WithUnlistedGrace sets for how long a backend server is retained that a new epoch does not list,
// since it may have come after the copy; it enters itself again within that.
func WithUnlistedGrace(d time.Duration) Option { return func(c *Catalog) { c.missingFor = d } }

// Retained is what an earlier epoch published last, and the current one has not written again.
type Retained struct {
	// Table is the operators' table, nil if that is of the current epoch.
	Table   *table.Table
	Servers []RetainedServer
	Zones   []RetainedZone
}

// RetainedServer is an entry of an earlier epoch.
type RetainedServer struct {
	Server   Server
	Override Override
}

// RetainedZone is a mark of an earlier epoch.
type RetainedZone struct {
	Zone     Zone
	Override Override
}

// Override says what an item of an earlier epoch overrides, and for how long.
type Override struct {
	// Origin is the item's own revision.
	Origin Revision
	// Over is the number in the current epoch of what is listed in its place, 0 if nothing.
	// Whatever is written later replaces the item.
	Over uint64
	// Left is for how much longer it is retained.
	Left time.Duration
}

// retained is an item of an earlier epoch, with the time at which it expires.
type retained[T any] struct {
	item  T
	until time.Duration
	Override
}

// Empty reports whether nothing is retained.
func (k *Retained) Empty() bool { return k.Table == nil && len(k.Servers) == 0 && len(k.Zones) == 0 }

// Retained returns what is retained of earlier epochs, nil if nothing is.
func (c *Catalog) Retained() *Retained {
	k := &Retained{}
	if c.tableRetained {
		k.Table = c.table
	}
	for _, name := range slices.Sorted(maps.Keys(c.retainedServers)) {
		x := c.retainedServers[name]
		if x.item.Gone && x.Over == 0 {
			// It only guards against what others retain.
			continue
		}
		k.Servers = append(k.Servers, RetainedServer{Server: x.item, Override: x.at(c.now)})
	}
	for _, name := range slices.Sorted(maps.Keys(c.retainedZones)) {
		x := c.retainedZones[name]
		k.Zones = append(k.Zones, RetainedZone{Zone: x.item, Override: x.at(c.now)})
	}
	if k.Empty() {
		return nil
	}
	return k
}

func (k *retained[T]) at(now time.Duration) Override {
	s := k.Override
	s.Left = k.until - now
	return s
}

// mergeRetained takes in what another router keeps of earlier epochs.
func (c *Catalog) mergeRetained(now time.Duration, k *Retained) bool {
	changed := false
	if k.Table != nil && (c.table == nil || k.Table.Version().NewerThan(c.table.Version())) {
		c.table, c.tableRetained = k.Table, true
		changed = true
	}
	for _, x := range k.Servers {
		b := &x.Server.Backend
		if c.isOwn(b.Address) || !mayOverride(c.servers[b.Name].Revision, c.retainedServers[b.Name].Origin, x.Override) {
			continue
		}
		c.retainedServers[b.Name] = retained[Server]{item: x.Server, until: now + min(x.Override.Left, settleFor), Override: x.Override}
		c.names = nil
		changed = true
	}
	for _, x := range k.Zones {
		name := x.Zone.Name
		if !mayOverride(c.zones[name].Revision, c.retainedZones[name].Origin, x.Override) {
			continue
		}
		c.retainedZones[name] = retained[Zone]{item: x.Zone, until: now + min(x.Override.Left, settleFor), Override: x.Override}
		changed = true
	}
	return changed
}

// mayOverride reports whether an item of an earlier epoch overrides what is listed here with
// a number, 0 for nothing, and what is retained already.
func mayOverride(listed uint64, retainedOrigin Revision, x Override) bool {
	return listed == x.Over && retainedOrigin.Before(x.Origin) && x.Left > 0
}

// expireRetained drops what has expired, and reports whether the view changes by that.
func (c *Catalog) expireRetained(now time.Duration) bool {
	changed := false
	for name, k := range c.retainedServers {
		isMissing := k.Over == 0 && !k.item.Gone
		switch {
		case isMissing && now >= k.until:
			// It has gone, and guards against an older entry.
			k.item = Server{Revision: k.item.Revision, Gone: true, Last: k.item.Revision, Backend: table.Backend{Name: name}}
			k.until = c.enteredAt + settleFor
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

// MarkVerified notes that nothing newer was published at a time than what is known.
func (c *Catalog) MarkVerified(at time.Duration) { c.verifiedAt = max(c.verifiedAt, at) }

// hasExpired reports whether something has been retained for long enough: it is dropped only
// once this catalog is known to hold the newest since then.
func (c *Catalog) hasExpired(now, until time.Duration) bool {
	return now >= until && c.verifiedAt >= until
}

// current returns an entry as it counts.
func (c *Catalog) current(name string) (s Server, ok bool) {
	if k, isRetained := c.retainedServers[name]; isRetained {
		return k.item, true
	}
	s, ok = c.servers[name]
	return s, ok
}

// isClosed reports whether a zone counts as closed.
func (c *Catalog) isClosed(name string) bool {
	if k, isRetained := c.retainedZones[name]; isRetained {
		return k.item.Closed
	}
	return c.zones[name].Closed
}
