package catalog

import (
	"cmp"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Since returns what changed after a number of the current epoch, everything for 0 and where
// not all removals after it are remembered.
func (c *Catalog) Since(after uint64) Update {
	after = c.recordedFrom(after)
	n := Update{Epoch: c.asOf.Epoch, EpochAge: c.now - c.enteredAt, After: after, AsOf: c.asOf.Number}
	if after >= c.asOf.Number {
		n.After = c.asOf.Number
		return n
	}
	if after == 0 {
		n.Retained = c.Retained()
	}
	for _, j := range c.jumps {
		if j.To > after {
			n.Jumps = append(n.Jumps, j)
		}
	}
	if c.table != nil && c.table.Revision > after {
		n.Table = c.table
	}
	for name, s := range c.servers {
		if s.Revision > after {
			if s.Unusable.IsSet() {
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

// Jump is a step from what was known up to a number to a whole list as of another one: what
// came and went within it is not known.
type Jump struct{ From, To uint64 }

// mostJumps bounds the jumps that are remembered. Who asks for what came after an earlier
// one is told everything.
const mostJumps = 16

// noteWhole takes in that everything is listed as of a number.
func (c *Catalog) noteWhole(to uint64) {
	if c.asOf.Number == 0 {
		c.recordFrom, c.jumps = to, nil
		return
	}
	c.noteJump(Jump{From: c.asOf.Number, To: to})
}

// noteJump takes in a jump of this catalog's own, or of one that told it news.
func (c *Catalog) noteJump(j Jump) {
	if j.To <= j.From+1 || slices.Contains(c.jumps, j) {
		return
	}
	c.jumps = append(c.jumps, j)
	if len(c.jumps) <= mostJumps {
		return
	}
	slices.SortFunc(c.jumps, func(a, b Jump) int { return cmp.Compare(a.To, b.To) })
	c.recordFrom = max(c.recordFrom, c.jumps[0].To)
	c.jumps = slices.Delete(c.jumps, 0, 1)
}

// HasHistorySince reports whether all that changed after a number of the current epoch can be told
// without telling everything.
func (c *Catalog) HasHistorySince(number uint64) bool { return c.recordedFrom(number) > 0 }

// recordedFrom returns the last number up to one since which all changes can be told, 0 if
// everything is to be told.
func (c *Catalog) recordedFrom(number uint64) uint64 {
	for {
		i := slices.IndexFunc(c.jumps, func(j Jump) bool { return number > j.From && number < j.To })
		if i < 0 {
			break
		}
		number = c.jumps[i].From
	}
	if number < c.recordFrom {
		return 0
	}
	return number
}
