package catalog

import (
	"cmp"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Since returns what changed after a number of the current epoch, everything for 0 and where
// not all removals after it are remembered.
func (c *Catalog) Since(after uint64) News {
	after = c.recordedFrom(after)
	n := News{Epoch: c.asOf.Epoch, EpochAge: c.now - c.enteredAt, After: after, AsOf: c.asOf.Number}
	if after >= c.asOf.Number {
		n.After = c.asOf.Number
		return n
	}
	if after == 0 {
		n.Retained = c.Retained()
	}
	if c.table != nil && c.table.Revision > after {
		n.Table = c.table
	}
	for name, s := range c.servers {
		if s.Revision > after {
			if s.Unusable.Is() {
				s.Backend = table.Backend{Name: name}
			}
			s.Backend.WarmupLeft = max(0, c.warmUntil[name]-c.now)
			n.Servers = append(n.Servers, s)
		}
	}
	slices.SortFunc(n.Servers, func(a, b Server) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
	n.Zones = c.zonesSince(after)
	return n
}

// jump is a step from what was known up to a number to a whole list as of another one.
type jump struct{ from, to uint64 }

// mostJumps bounds the jumps that are remembered. Who asks for what came after an earlier
// one is told everything.
const mostJumps = 16

// noteJump takes in that everything is listed as of a number.
func (c *Catalog) noteJump(to uint64) {
	from := c.asOf.Number
	switch {
	case from == 0:
		c.recordFrom, c.jumps = to, nil
	case to > from:
		c.jumps = append(c.jumps, jump{from, to})
	}
	if len(c.jumps) > mostJumps {
		c.recordFrom = max(c.recordFrom, c.jumps[0].to)
		c.jumps = slices.Delete(c.jumps, 0, 1)
	}
}

// Remembers reports whether all that changed after a number of the current epoch can be told
// without telling everything.
func (c *Catalog) Remembers(number uint64) bool { return c.recordedFrom(number) > 0 }

// recordedFrom returns the last number up to one since which all changes can be told, 0 if
// everything is to be told.
func (c *Catalog) recordedFrom(number uint64) uint64 {
	for _, j := range c.jumps {
		if number > j.from && number < j.to {
			number = j.from
		}
	}
	if number < c.recordFrom {
		return 0
	}
	return number
}
