package catalog

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// warmupSlack is by how much an entry may prolong a warm-up unnoticed: entries
// that count it down arrive up to some hundred milliseconds late, and each would
// else be a change of the whole view.
const warmupSlack = 500 * time.Millisecond

// noteWarmup takes in for how much longer a backend server warms up, and reports
// whether that is news beside what time alone changes.
func (c *Catalog) noteWarmup(now time.Duration, b *table.Backend) bool {
	before, until := c.warmUntil[b.Name], now+b.WarmupLeft
	switch {
	case b.WarmupLeft <= 0:
		delete(c.warmUntil, b.Name)
		return before > now
	case before > now && until <= before+warmupSlack:
		return false
	default:
		c.warmUntil[b.Name] = until
		return true
	}
}

// warming returns a row with what is left of its warm-up: by its entry, and after
// its zone was opened, when it may have turned cold without an entry to say so.
func (c *Catalog) warming(b table.Backend) table.Backend {
	until := c.warmUntil[b.Name]
	if z, ok := c.zones[b.Zone]; ok && z.opened > 0 {
		until = max(until, z.opened+c.warmupTime(&b))
	}
	b.WarmupLeft = max(0, until-c.now)
	return b
}

// warmupTime returns for how long a backend server warms up after its start.
func (c *Catalog) warmupTime(b *table.Backend) time.Duration {
	for _, m := range b.Models {
		if row, ok := c.table.ServiceByName(m); ok && row.WarmupRate > 0 {
			return row.WarmupTime
		}
	}
	return 0
}
