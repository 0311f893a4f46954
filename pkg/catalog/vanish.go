package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// vanished is an entry that was removed without having been marked as leaving.
type vanished struct {
	backend table.Backend
	at      time.Duration
}

// minVanished is the minimum number of a service's backend servers that must vanish for them
// to be kept.
const minVanished = 2

// recordRemoval records the removal of an entry that was not marked as leaving first.
func (c *Catalog) recordRemoval(now time.Duration, old Server) {
	if !old.Gone && old.Backend.Mark == table.Serving {
		c.vanished[old.Backend.Name] = vanished{backend: old.Backend, at: now}
	}
}

// Refresh expires items at the time now and reports whether the view changed.
func (c *Catalog) Refresh(now time.Duration) bool {
	c.now = now
	before := len(c.vanished)
	maps.DeleteFunc(c.vanished, func(_ string, v vanished) bool { return now-v.at >= c.removalGrace })
	if len(c.vanished) < before && c.vanishedInView > 0 {
		c.dirty = true
	}
	c.dirty = c.expireRetained(now) || c.dirty
	if !c.dirty || !c.mayRebuild(now) {
		return false
	}
	c.view, c.dirty, c.builtAt = c.buildView(), false, now
	return true
}

// vanishedTogether returns the backend servers that stay in the view although their entries
// are gone. If at least half of a service's backend servers vanish, a fault of the directory
// is more likely than a failure of all of them. Requests detect those that did fail.
func (c *Catalog) vanishedTogether() []table.Backend {
	if len(c.vanished) == 0 {
		return nil
	}
	listed, removed := map[string]int{}, map[string]int{}
	for _, s := range c.servers {
		if !s.Gone {
			countModels(listed, &s.Backend)
		}
	}
	for _, v := range c.vanished {
		countModels(removed, &v.backend)
	}
	var list []table.Backend
	for _, name := range slices.Sorted(maps.Keys(c.vanished)) {
		b := c.vanished[name].backend
		if slices.ContainsFunc(b.Models, func(m string) bool { return removed[m] >= max(minVanished, listed[m]) }) {
			// Its remaining warm-up is unknown: assume all of it.
			b.WarmupLeft = c.warmupTime(&b)
			list = append(list, b)
		}
	}
	return list
}

func countModels(counts map[string]int, b *table.Backend) {
	for _, m := range b.Models {
		counts[m]++
	}
}
