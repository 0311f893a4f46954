package catalog

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// updateWarmup applies the remaining warm-up that a later revision of an entry states, and reports whether its end
// changed. An end that moves by little counts: it may be another warm-up.
func (c *Catalog) updateWarmup(now time.Duration, b *table.Backend) bool {
	before, until := c.warmupUntil[b.Name], now+b.WarmupLeft
	if b.WarmupLeft <= 0 {
		delete(c.warmupUntil, b.Name)
		return before > now
	}
	c.warmupUntil[b.Name] = until
	return until != before
}

// withWarmup returns a row with its remaining warm-up. A backend server may have cooled down
// while its zone was closed, so the opening of the zone starts a warm-up as well.
func (c *Catalog) withWarmup(b table.Backend) table.Backend {
	until := c.warmupUntil[b.Name]
	if z, ok := c.zones[b.Zone]; ok && z.opened > 0 {
		until = max(until, z.opened+c.warmupTime(&b))
	}
	b.WarmupLeft = max(0, until-c.now)
	return b
}

// warmupTime returns how long a backend server warms up after its start.
func (c *Catalog) warmupTime(b *table.Backend) time.Duration {
	for _, m := range b.Models {
		if row, ok := c.table.ServiceByName(m); ok && row.WarmupRate > 0 {
			return row.WarmupTime
		}
	}
	return 0
}
