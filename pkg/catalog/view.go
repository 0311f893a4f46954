package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Change says what may differ between two views.
type Change struct {
	// All says that any row may differ, Names which backend servers may otherwise, in order.
	All   bool
	Names []string
}

// add adds a backend server, in no particular order.
func (x *Change) add(name string) {
	if !x.All {
		x.Names = append(x.Names, name)
	}
}

// isEmpty reports whether nothing has changed.
func (x *Change) isEmpty() bool { return !x.All && len(x.Names) == 0 }

// Work counts what a catalog has computed since its creation.
type Work struct {
	// Views is the number of views that were built, Rows the number of backend servers examined for
	// them.
	Views, Rows int
}

// Work returns the current counts.
func (c *Catalog) Work() Work { return c.work }

// LastChange says what changed when the current view replaced the one before.
func (c *Catalog) LastChange() Change { return c.lastChange }

// Refresh expires items at the time now and reports whether the view changed.
func (c *Catalog) Refresh(now time.Duration) bool {
	c.now = now
	before := len(c.vanished)
	maps.DeleteFunc(c.vanished, func(_ string, v vanished) bool { return now-v.at >= c.removalGrace })
	heldMayChange := len(c.vanished) < before && len(c.held) > 0
	c.pending.All = c.expireRetained(now) || c.pending.All
	if c.pending.isEmpty() && !heldMayChange || !c.mayBuild(now) {
		return false
	}
	held := c.vanishedTogether()
	c.addHeldChanges(held)
	if c.pending.isEmpty() {
		return false
	}
	c.work.Views++
	if c.view == nil || c.pending.All || len(c.table.Backends) > 0 {
		// Rows of the operators' own are listed first, so that the directory is not in order by itself.
		c.pending = Change{All: true}
		c.view, c.builtAt = c.buildView(held), now
	} else {
		slices.Sort(c.pending.Names)
		c.pending.Names = slices.Compact(c.pending.Names)
		c.view = c.updateView(held)
	}
	c.held = map[string]bool{}
	for name := range held {
		c.held[name] = true
	}
	c.lastChange, c.pending = c.pending, Change{}
	return true
}

// buildIntervalPerServer is the minimum interval between two builds of the whole view, per backend
// server. It limits the processor time that a large directory takes while the table changes often.
const buildIntervalPerServer = 30 * time.Microsecond

// maxImmediateBuild is the number of entries up to which the whole view is built at once.
const maxImmediateBuild = 256

// mayBuild reports whether the pending changes may be applied now.
func (c *Catalog) mayBuild(now time.Duration) bool {
	switch {
	case c.table == nil:
		return false
	case c.view == nil || !c.pending.All || len(c.servers) <= maxImmediateBuild:
		return true
	default:
		return now-c.builtAt >= buildIntervalPerServer*time.Duration(len(c.servers))
	}
}

// addHeldChanges adds the backend servers to the pending changes that become held, or cease to be.
func (c *Catalog) addHeldChanges(held map[string]table.Backend) {
	for name := range held {
		if !c.held[name] {
			c.pending.add(name)
		}
	}
	for name := range c.held {
		if _, still := held[name]; !still {
			c.pending.add(name)
		}
	}
}

// buildView returns the table with all usable directory entries.
func (c *Catalog) buildView(held map[string]table.Backend) *table.Table {
	names := slices.Concat(c.sortedNames(), slices.Collect(maps.Keys(held)))
	slices.Sort(names)
	rows := make([]table.Backend, 0, len(names))
	for _, name := range slices.Compact(names) {
		if row := c.row(name, held); row != nil {
			rows = append(rows, *row)
		}
	}
	t := *c.table
	t.Zones = c.zoneRows()
	t.Index()
	return t.WithDirectory(table.NewDirectory(rows))
}

// updateView returns the view with the pending changes of backend servers.
func (c *Catalog) updateView(held map[string]table.Backend) *table.Table {
	d := c.view.Directory()
	for _, name := range c.pending.Names {
		d = d.With(name, c.row(name, held))
	}
	return c.view.WithDirectory(d)
}

// row returns the row of a directory entry, nil if the view does not include it.
func (c *Catalog) row(name string, held map[string]table.Backend) *table.Backend {
	c.work.Rows++
	if b, ok := held[name]; ok {
		return &b
	}
	s, ok := c.current(name)
	if !ok || s.Gone || s.Unusable.IsSet() && s.Backend.Mark == "" || !c.isServiceInTable(&s.Backend) {
		return nil
	}
	b := c.withWarmup(s.Backend)
	return &b
}
