package catalog

import (
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

// vanishedTogether returns the backend servers that stay in the view although their entries
// are gone. If at least half of a service's backend servers vanish, a fault of the directory
// is more likely than a failure of all of them. Requests detect those that did fail.
func (c *Catalog) vanishedTogether() map[string]table.Backend {
	if len(c.vanished) == 0 {
		return nil
	}
	removed := map[string]int{}
	for _, v := range c.vanished {
		countModels(removed, &v.backend, 1)
	}
	held := map[string]table.Backend{}
	for name, v := range c.vanished {
		b := v.backend
		if slices.ContainsFunc(b.Models, func(m string) bool { return removed[m] >= max(minVanished, c.listed[m]) }) {
			// Its remaining warm-up is unknown: assume all of it.
			b.WarmupLeft = c.warmupTime(&b)
			held[name] = b
		}
	}
	return held
}

// countModels adds n to the count of each model of a backend server.
func countModels(counts map[string]int, b *table.Backend, n int) {
	for _, m := range b.Models {
		counts[m] += n
	}
}
