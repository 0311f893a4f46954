package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Zone is the operators' mark of an availability zone.
type Zone struct {
	// Revision is the revision of the mark's last change.
	Revision uint64
	Name     string
	// Closed says that the zone's backend servers get no new requests.
	Closed bool
}

// zone is a mark as stored.
type zone struct {
	Zone
	// opened is when this catalog learned that the closed zone was opened, 0 if never.
	opened time.Duration
}

// mergeZone applies a mark and reports whether the view changes. It ignores marks up to the
// revision number completeTo, and those of which it knows the same or a later change.
func (c *Catalog) mergeZone(now time.Duration, z Zone, completeTo uint64) bool {
	if c.zones[z.Name].Revision >= z.Revision || z.Revision <= completeTo {
		return false
	}
	return c.setZone(now, z)
}

// setZone replaces a mark and reports whether the view changes.
func (c *Catalog) setZone(now time.Duration, z Zone) bool {
	c.highest = max(c.highest, z.Revision)
	if z.Closed {
		c.history.add(z.Revision, z.digest())
	}
	wasClosed := c.isClosed(z.Name)
	delete(c.retainedZones, z.Name)
	next := zone{Zone: z, opened: c.zones[z.Name].opened}
	if wasClosed && !z.Closed {
		next.opened = now
	}
	c.zones[z.Name] = next
	return wasClosed != z.Closed
}

// openUnlisted opens the zones that were closed in the range that the update covers but which
// it does not list.
func (c *Catalog) openUnlisted(now time.Duration, u *Update) bool {
	listed := make(map[string]bool, len(u.Zones))
	for _, z := range u.Zones {
		listed[z.Name] = true
	}
	for _, x := range u.Skipped {
		listed[x.Zone] = true
	}
	changed := false
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if z := c.zones[name]; z.Closed && !listed[name] && u.covers(z.Revision) {
			changed = c.setZone(now, Zone{Revision: u.AsOf, Name: name}) || changed
		}
	}
	return changed
}

// zoneRows returns the table's zone rows and those of the closed zones.
func (c *Catalog) zoneRows() []table.ZoneRow {
	rows := slices.Clone(c.table.Zones)
	names := slices.AppendSeq(slices.Collect(maps.Keys(c.zones)), maps.Keys(c.retainedZones))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if c.isClosed(name) {
			rows = append(rows, table.ZoneRow{Name: name, Mark: table.ZoneClosed})
		}
	}
	return rows
}

// zonesSince returns the marks that changed after a revision number, also those that were removed: after
// a restore of the platform they tell what was removed from what the backup lacked.
func (c *Catalog) zonesSince(after uint64) []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if z := c.zones[name]; z.Revision > after {
			list = append(list, z.Zone)
		}
	}
	return list
}
