package catalog

import (
	"cmp"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Since returns the changes after a revision number of the current epoch. It returns a full
// update for 0, and if not all removals since then are known.
func (c *Catalog) Since(after uint64) Update {
	after = c.completeSince(after)
	u := Update{Epoch: c.asOf.Epoch, EpochAge: c.now - c.epochSince, After: after, AsOf: c.asOf.Number}
	if after >= c.asOf.Number {
		u.After = c.asOf.Number
		return u
	}
	if after == 0 {
		u.Retained = c.Retained()
	}
	for _, j := range c.jumps {
		if j.To > after {
			u.Jumps = append(u.Jumps, j)
		}
	}
	if c.table != nil && c.table.Revision > after {
		u.Table = c.table
	}
	u.Servers = c.changedAfter(after)
	for i := range u.Servers {
		s := &u.Servers[i]
		if s.Unusable.IsSet() {
			s.Backend = table.Backend{Name: s.Backend.Name}
		}
		s.Backend.WarmupLeft = max(0, c.warmupUntil[s.Backend.Name]-c.now)
	}
	u.Zones = c.zonesSince(after)
	return u
}

// Jump is a step from the state as of one revision number to a full update as of another.
// Items that were added and removed between them are unknown.
type Jump struct{ From, To uint64 }

// maxJumps bounds the jumps kept. Requests for changes after an older one get a full update.
const maxJumps = 16

// recordFullUpdate records that a full update as of a revision number was received.
func (c *Catalog) recordFullUpdate(number uint64) {
	if c.asOf.Number == 0 {
		c.historyFrom, c.jumps = number, nil
		return
	}
	c.addJump(Jump{From: c.asOf.Number, To: number})
}

// addJump records a jump made here or by the router that sent an update.
func (c *Catalog) addJump(j Jump) {
	if j.To <= j.From+1 || slices.Contains(c.jumps, j) {
		return
	}
	c.jumps = append(c.jumps, j)
	if len(c.jumps) <= maxJumps {
		return
	}
	slices.SortFunc(c.jumps, func(a, b Jump) int { return cmp.Compare(a.To, b.To) })
	c.historyFrom = max(c.historyFrom, c.jumps[0].To)
	c.jumps = slices.Delete(c.jumps, 0, 1)
}

// HasHistorySince reports whether an incremental update can cover all changes after a revision
// number of the current epoch.
func (c *Catalog) HasHistorySince(number uint64) bool { return c.completeSince(number) > 0 }

// completeSince returns the highest revision number, at most the given one, since which all
// changes are known. It returns 0 if only a full update covers them.
func (c *Catalog) completeSince(number uint64) uint64 {
	for {
		i := slices.IndexFunc(c.jumps, func(j Jump) bool { return number > j.From && number < j.To })
		if i < 0 {
			break
		}
		number = c.jumps[i].From
	}
	if number < c.historyFrom {
		return 0
	}
	return number
}
