package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Zone is the operators' mark of an availability zone.
type Zone struct {
	// Revision is the mark's last change; it only grows.
	Revision uint64
	Name     string
	// Closed says that its backend servers are to get nothing new.
	Closed bool
}

// zone is a mark as it was heard.
type zone struct {
	Zone
	// opened is when this catalog heard that a closed zone was opened, 0 if never.
	opened time.Duration
}

// mergeZone takes a mark in unless a newer one is known, or it is not above a number up to which
// everything is, so that an older closing cannot overtake an opening.
func (c *Catalog) mergeZone(now time.Duration, z Zone, settled uint64) bool {
	old := c.zones[z.Name]
	if old.Revision >= z.Revision || z.Revision <= settled {
		return false
	}
	c.highest = max(c.highest, z.Revision)
	if z.Closed {
		c.history.note(z.Revision, z.digest())
	}
	wasClosed := c.isClosed(z.Name)
	delete(c.retainedZones, z.Name)
	next := zone{Zone: z, opened: old.opened}
	if wasClosed && !z.Closed {
		next.opened = now
	}
	c.zones[z.Name] = next
	return wasClosed != z.Closed
}

// openUnlisted opens the zones that were closed after the revision since which the news are
// complete, and which they do not list.
func (c *Catalog) openUnlisted(now time.Duration, n *Update) bool {
	listed := make(map[string]bool, len(n.Zones))
	for _, z := range n.Zones {
		listed[z.Name] = true
	}
	for _, x := range n.Skipped {
		listed[x.Zone] = true
	}
	changed := false
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if z := c.zones[name]; z.Closed && !listed[name] && z.Revision > n.After && z.Revision < n.AsOf {
			changed = c.mergeZone(now, Zone{Revision: n.AsOf, Name: name}, 0) || changed
		}
	}
	return changed
}

// zoneRows returns the closed zones as rows of the table.
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

// zonesSince returns the marks that changed after a revision, all closed zones for 0.
func (c *Catalog) zonesSince(after uint64) []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if z := c.zones[name]; z.Revision > after && (after > 0 || z.Closed) {
			list = append(list, z.Zone)
		}
	}
	return list
}
