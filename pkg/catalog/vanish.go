package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// vanished is an entry that was removed without having been marked first.
type vanished struct {
	backend table.Backend
	at      time.Duration
}

// leastVanished is how many of a service's backend servers must vanish at
// least to be kept for a while.
const leastVanished = 2

// vanish notes that an entry was removed. One that was marked as leaving
// before has left as planned.
func (c *Catalog) vanish(now time.Duration, old Server) {
	if !old.Gone && old.Backend.Mark == table.Serving {
		c.vanished[old.Backend.Name] = vanished{backend: old.Backend, at: now}
	}
}

// Refresh lets time pass and reports whether the view changed.
func (c *Catalog) Refresh(now time.Duration) bool {
	c.now = now
	before := len(c.vanished)
	maps.DeleteFunc(c.vanished, func(_ string, v vanished) bool { return now-v.at >= c.keep })
	if len(c.vanished) < before && c.kept > 0 {
		c.dirty = true
	}
	c.dirty = c.expireRetained(now) || c.dirty
	if !c.dirty || !c.mayJoin(now) {
		return false
	}
	c.view, c.dirty, c.joinedAt = c.join(), false, now
	return true
}

// lapsed returns the backend servers that are kept though their entries are
// gone: where at least half of a service's vanish together, it is more likely
// that the directory lost them, as when it was down for longer than entries
// last, than that all of them failed; those that did are found out by requests.
func (c *Catalog) lapsed() []table.Backend {
	if len(c.vanished) == 0 {
		return nil
	}
	listed, gone := map[string]int{}, map[string]int{}
	for _, s := range c.servers {
		if !s.Gone {
			count(listed, &s.Backend)
		}
	}
	for _, v := range c.vanished {
		count(gone, &v.backend)
	}
	var list []table.Backend
	for _, name := range slices.Sorted(maps.Keys(c.vanished)) {
		b := c.vanished[name].backend
		if slices.ContainsFunc(b.Models, func(m string) bool { return gone[m] >= max(leastVanished, listed[m]) }) {
			// Nothing fresh is known of it.
			b.WarmupLeft = c.warmupTime(&b)
			list = append(list, b)
		}
	}
	return list
}

func count(by map[string]int, b *table.Backend) {
	for _, m := range b.Models {
		by[m]++
	}
}
