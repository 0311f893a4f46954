// Package catalog holds what the platform publishes: the operators' table and the directory of
// backend servers. It merges updates from the platform and from other routers. Per entry the
// highest revision wins, so the result does not depend on the order of updates or on
// duplicates, and a late update never restores an older state.
package catalog

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// ErrCompacted says that the platform no longer holds the changes after a revision. The caller
// must read everything again.
var ErrCompacted = errors.New("catalog: the changes after the revision are no longer available")

// Server is an entry of the directory of backend servers.
type Server struct {
	// Revision is the revision of the entry's last change.
	Revision uint64
	// Made is the revision at which the entry was created, 0 if unknown. Routers do not tell it each other.
	Made uint64 `msgpack:"-"`
	// Gone says that the entry was removed at Revision. Last is the revision of its last
	// change before that, 0 if unknown.
	Gone bool
	Last uint64
	// Unusable says why the entry cannot be used as a backend server.
	Unusable Unusable
	// Backend is the entry's content. In an update, only its name is valid if the entry is
	// gone or unusable.
	Backend table.Backend
}

// Update is a full or incremental update of what the platform publishes.
type Update struct {
	// Epoch is the platform's epoch, to which all revisions in the update belong.
	Epoch uint64
	// EpochAge is how long ago the sender learned of the epoch.
	EpochAge time.Duration
	// After and AsOf are the range of revisions that the update covers: all changes after
	// After, up to AsOf. A full update has After 0.
	After uint64
	AsOf  uint64
	// Table is the operators' table, nil if it did not change.
	Table *table.Table
	// Servers are the changed directory entries. Any other entry whose last known change is in
	// the range has been removed.
	Servers []Server
	// Zones are the changed zone marks. Any other zone that was closed in the range is open.
	Zones []Zone
	// Jumps are the jumps known to the sending router.
	Jumps []Jump
	// Retained is what the sending router keeps from earlier epochs, nil if nothing.
	Retained *Retained
	// Skipped are published items that could not be interpreted. The router that read them
	// logs them.
	Skipped []Skipped `msgpack:"-"`
	// Numbers are the revision numbers at which the items that were read were created and last changed, also of items
	// that are not understood. It is empty if the platform does not tell them.
	Numbers []uint64 `msgpack:"-"`
}

// Empty reports whether the update is incremental and holds no changes.
func (u *Update) Empty() bool {
	return u.Table == nil && len(u.Servers) == 0 && len(u.Zones) == 0 && u.Retained == nil && u.After > 0
}

// covers reports whether the update tells of all changes at a revision number.
func (u *Update) covers(number uint64) bool { return number > u.After && number <= u.AsOf }

// Catalog is the merged state. Create it with New.
type Catalog struct {
	// now is the time of the last Merge or Refresh.
	now  time.Duration
	asOf Revision
	// epochSince is when any router first learned of the current epoch.
	epochSince time.Duration
	// epochEntryNumber is the revision number of the full update that began the epoch here.
	epochEntryNumber uint64
	// verifiedAt is the last time at which asOf was known to be current.
	verifiedAt time.Duration
	// change is the state before the current epoch, set while its first update is merged.
	change *epochChange
	// history covers the current epoch.
	history history
	table   *table.Table
	// servers and zones are as published in the current epoch. Items in retainedServers and
	// retainedZones take precedence over them. tableRetained says that the table is from an
	// earlier epoch.
	servers         map[string]Server
	retainedServers map[string]retained[Server]
	retainedZones   map[string]retained[Zone]
	tableRetained   bool
	// unlistedGrace is how long entries are kept that a new epoch does not list.
	unlistedGrace time.Duration
	// names caches the sorted entry names, nil if it is out of date.
	names []string
	zones map[string]zone
	// warmupUntil is when the warm-up of a backend server ends according to its entry, by
	// name.
	warmupUntil map[string]time.Duration
	// tombstones are the removed entries that are remembered.
	tombstones tombstones
	// listed counts the entries that are not gone by model, revisions orders all by revision.
	listed    map[string]int
	revisions revisionLog
	// historyFrom is the revision number after which all removals are known. Earlier removals
	// may have been missed or forgotten.
	historyFrom uint64
	// versionsMissing counts the entries whose software version is not known.
	versionsMissing int
	// highest is the highest revision number of a merged entry or mark.
	highest uint64
	// jumps are the latest jumps above historyFrom.
	jumps []Jump
	// vanished are the entries removed within removalGrace that were not marked as leaving
	// first, by name. held are those that the view includes.
	vanished     map[string]vanished
	removalGrace time.Duration
	held         map[string]bool
	// ownAddress reports whether an address belongs to a router.
	ownAddress func(address string) bool
	// unusable are the names of the unusable entries. unusableQueue holds those that wait for
	// DrainUnusable, unusableTotals counts them since the start by reason.
	unusable       map[string]bool
	unusableQueue  []Server
	unusableTotals map[Reason]int64
	view           *table.Table
	// pending is what may have changed since the view was built, lastChange what changed with the
	// last build.
	pending, lastChange Change
	// builtAt is when the whole view was last built.
	builtAt time.Duration
	// work counts what building views has cost.
	work Work
}

// Option configures a new Catalog.
type Option func(*Catalog)

// WithOwnAddress sets the function that reports whether an address belongs to a router.
func WithOwnAddress(own func(address string) bool) Option {
	return func(c *Catalog) { c.ownAddress = own }
}

// New returns an empty catalog.
func New(opts ...Option) *Catalog {
	c := &Catalog{
		servers: map[string]Server{}, zones: map[string]zone{}, warmupUntil: map[string]time.Duration{},
		tombstones: newTombstones(), listed: map[string]int{}, vanished: map[string]vanished{}, unusable: map[string]bool{}, unusableTotals: map[Reason]int64{},
		retainedServers: map[string]retained[Server]{}, retainedZones: map[string]retained[Zone]{}, unlistedGrace: DefaultUnlistedGrace,
	}
	for _, f := range opts {
		f(c)
	}
	return c
}

// tombstoneTTL is how long removed entries are remembered, so that delayed updates cannot
// restore them.
const tombstoneTTL = 5 * time.Minute

// AsOf returns the revision up to which the catalog is complete.
func (c *Catalog) AsOf() Revision { return c.asOf }

// View returns the table in force with the backend servers of the directory added, nil while
// there is no table. Callers must not modify it, and the catalog never does.
func (c *Catalog) View() *table.Table { return c.view }

// Merge applies an update at the time now and reports whether the view changed. It ignores
// updates of earlier epochs, and incremental updates of later ones.
func (c *Catalog) Merge(now time.Duration, u Update) bool {
	c.now = now
	full := u.After == 0 && u.AsOf > 0
	if u.Epoch < c.asOf.Epoch || u.Epoch > c.asOf.Epoch && !full {
		return c.Refresh(now)
	}
	if u.Epoch > c.asOf.Epoch {
		c.enterEpoch(now, &u)
	}
	if full {
		c.recordFullUpdate(u.AsOf)
	}
	for _, j := range u.Jumps {
		c.addJump(j)
	}
	highestBefore, completeTo := c.highest, c.asOf.Number
	if full && u.AsOf >= completeTo {
		// A current full update also has what earlier updates missed.
		completeTo = 0
	}
	changed := c.mergeTable(u.Table)
	for _, s := range u.Servers {
		if c.mergeServer(now, s, completeTo) {
			c.pending.add(s.Backend.Name)
		}
	}
	for _, z := range u.Zones {
		changed = c.mergeZone(now, z, completeTo) || changed
	}
	if c.change != nil {
		c.change.finish(now)
		c.change = nil
	}
	if u.AsOf > c.asOf.Number && highestBefore > u.After {
		c.removeUnlisted(now, &u)
		changed = c.openUnlisted(now, &u) || changed
	}
	if u.Retained != nil {
		changed = c.mergeRetained(now, u.Retained) || changed
	}
	if u.After <= c.asOf.Number {
		c.asOf.Number = max(c.asOf.Number, u.AsOf)
	}
	c.dropTombstones(now)
	c.pending.All = c.pending.All || changed
	return c.Refresh(now)
}

// mergeTable applies a table of the current epoch and reports whether it is newer.
func (c *Catalog) mergeTable(t *table.Table) bool {
	if t == nil {
		return false
	}
	c.history.add(t.Revision, tableDigest(t))
	isRewritten := c.tableRetained && c.table.Edition == t.Edition
	learnsVersions := c.table != nil && t.Version() == c.table.Version() && c.table.LacksVersions() && !t.LacksVersions()
	if c.table != nil && !isRewritten && !learnsVersions && !t.Version().NewerThan(c.table.Version()) {
		return false
	}
	c.table, c.tableRetained = t, false
	return true
}

// mergeServer applies an entry and reports whether the view changes. It ignores entries up to
// the revision number completeTo, and those of which it knows the same or a later change.
func (c *Catalog) mergeServer(now time.Duration, s Server, completeTo uint64) bool {
	name := s.Backend.Name
	old, known := c.servers[name]
	if known && old.learnsVersion(&s) {
		old.Backend.Version, old.Backend.VersionUnknown = s.Backend.Version, false
		c.servers[name] = old
		c.versionsMissing--
		return true
	}
	if known && old.Revision >= s.Revision || s.Revision <= completeTo {
		return false
	}
	c.highest = max(c.highest, s.Revision)
	if !s.Gone && !s.Backend.VersionUnknown {
		c.history.add(s.Revision, s.digest())
	}
	if k, isRetained := c.retainedServers[name]; isRetained {
		old, known = k.item, true
		delete(c.retainedServers, name)
		c.names = nil
	}
	s = c.normalized(s, old)
	if s.Gone && s.Last == 0 {
		s.Last = old.lastLive()
	}
	c.setServer(name, s)
	if !known {
		c.names = nil
	}
	if s.Unusable.IsSet() {
		return c.mergeUnusable(s, old)
	}
	delete(c.unusable, name)
	if s.Gone {
		c.tombstones.add(name, now)
		delete(c.warmupUntil, name)
		if known {
			c.recordRemoval(now, old)
		}
		return known && !old.Gone
	}
	c.tombstones.remove(name)
	delete(c.vanished, name)
	warmupChanged := c.updateWarmup(now, &s.Backend)
	return warmupChanged || !known || old.Gone || !old.Backend.EqualExceptWarmup(&s.Backend)
}

// learnsVersion reports whether an entry holds the software version that a known one, of the same
// revision, lacks.
func (s *Server) learnsVersion(read *Server) bool {
	return s.Revision == read.Revision && !s.Gone && !read.Gone && !read.Unusable.IsSet() && s.Backend.VersionUnknown && !read.Backend.VersionUnknown
}

// VersionsMissing reports whether the software version of any backend server is not known, since another
// router sent its row without.
func (c *Catalog) VersionsMissing() bool {
	return c.versionsMissing > 0 || c.table != nil && c.table.LacksVersions()
}

// lastLive returns the revision of the last change before any removal, 0 if unknown.
func (s *Server) lastLive() uint64 {
	if s.Gone {
		return s.Last
	}
	return s.Revision
}

// mergeUnusable applies an unusable entry and reports whether the view changes. A backend
// server that was usable before becomes leaving.
func (c *Catalog) mergeUnusable(s, old Server) bool {
	name := s.Backend.Name
	c.unusable[name] = true
	c.tombstones.remove(name)
	_, wasVanished := c.vanished[name]
	delete(c.vanished, name)
	c.queueUnusable(s)
	return wasVanished || old.Backend.Mark != s.Backend.Mark
}

// removeUnlisted removes the entries whose last change is in the range that the update covers
// but which it does not list.
func (c *Catalog) removeUnlisted(now time.Duration, u *Update) {
	listed := make(map[string]bool, len(u.Servers))
	for _, s := range u.Servers {
		listed[s.Backend.Name] = true
	}
	for _, x := range u.Skipped {
		listed[x.Server] = true
	}
	for name, s := range c.servers {
		if s.Gone || !u.covers(s.Revision) || listed[name] {
			continue
		}
		s, _ = c.current(name)
		delete(c.retainedServers, name)
		c.setServer(name, Server{Revision: u.AsOf, Gone: true, Last: s.lastLive(), Backend: table.Backend{Name: name}})
		c.tombstones.add(name, now)
		delete(c.warmupUntil, name)
		delete(c.unusable, name)
		c.recordRemoval(now, s)
		c.pending.add(name)
	}
}

// dropTombstones forgets removed entries after tombstoneTTL.
func (c *Catalog) dropTombstones(now time.Duration) {
	for _, name := range c.tombstones.expired(now - tombstoneTTL) {
		c.historyFrom = max(c.historyFrom, c.servers[name].Revision)
		c.deleteServer(name)
	}
}

// sortedNames returns the sorted names of all entries. Some of them may have been dropped
// since.
func (c *Catalog) sortedNames() []string {
	if c.names == nil {
		c.names = slices.Collect(maps.Keys(c.servers))
		for name := range c.retainedServers {
			if _, isListed := c.servers[name]; !isListed {
				c.names = append(c.names, name)
			}
		}
		slices.Sort(c.names)
	}
	return c.names
}

// isServiceInTable reports whether the table defines a service of the backend server. Backend
// servers without one stay out of the view until a later table defines it.
func (c *Catalog) isServiceInTable(b *table.Backend) bool {
	if len(c.table.Services) == 0 {
		return true
	}
	return slices.ContainsFunc(b.Models, func(m string) bool {
		_, ok := c.table.ServiceByName(m)
		return ok
	})
}
