package catalog

import "slices"

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
