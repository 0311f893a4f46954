package admit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TableUpdate replaces the table and the directory.
type TableUpdate struct{ Table *table.Table }

func (e TableUpdate) apply(c *Core) {
	c.generation++
	relisted := c.takeRows(e.Table)
	relisted = c.dropUnlisted() || relisted
	c.dropWords()
	for _, row := range e.Table.Services {
		c.service(row.Name).engine = row.Engine
	}
	c.stated = e.Table.Bounds.TokensPerSecond
	if c.weights != nil {
		c.weights.setRows(e.Table.Accounts, c.now)
	}
	if relisted {
		c.relist(e.Table)
	}
	c.assignNew()
	c.serveOwned()
	c.advanceWaiting()
}

// takeRows takes in the rows of the backend servers and reports whether any is new or
// serves something else.
func (c *Core) takeRows(t *table.Table) bool {
	relisted := false
	for _, b := range t.Backends {
		// A start of its own for all that is kept by key: a server that starts again
		// holds and knows nothing of before.
		key := keyOf(&b)
		s, known := c.servers[key]
		if !known {
			s = &server{key: key, joined: c.now, own: map[uint64]*request{}, word: c.words[key]}
			c.servers[key] = s
		}
		if !known || s.generation != c.generation-1 || !slices.Equal(s.Models, b.Models) {
			relisted = true
		}
		if s.Zone != b.Zone {
			s.owner = ""
		}
		s.Backend, s.generation, s.vanished = b, c.generation, false
		if s.word != nil {
			s.word.noteRow(b.Mark)
		}
		s.closed = t.ZoneIsClosed(b.Zone)
		s.setWarmup(t, c.now)
	}
	return relisted
}

// dropUnlisted drops the backend servers that the table does not list any more, but for
// those where requests of this router run. It reports whether any was listed before.
func (c *Core) dropUnlisted() bool {
	relisted := false
	for key, s := range c.servers {
		if s.generation == c.generation {
			continue
		}
		c.noteVanished(s)
		if len(s.own) > 0 {
			relisted = relisted || s.generation == c.generation-1
			s.Mark = table.Leaving
			continue
		}
		relisted = true
		delete(c.servers, key)
		c.held = slices.DeleteFunc(c.held, func(h *server) bool { return h == s })
	}
	return relisted
}

// relist sorts the backend servers by name, and lists those of each service. At 3,000
// this takes 1 ms, which a change of a single row need not cost.
func (c *Core) relist(t *table.Table) {
	for _, sv := range c.services {
		sv.servers, sv.orders = nil, nil
	}
	for _, b := range t.Backends {
		s := c.servers[keyOf(&b)]
		for _, m := range b.Models {
			sv := c.service(m)
			sv.servers = append(sv.servers, s)
		}
	}
	c.ordered = slices.SortedFunc(maps.Values(c.servers), byName)
}

// keyOf returns the key of the start of a backend server that a row is of.
func keyOf(b *table.Backend) wire.NameHash { return wire.HashName(b.Incarnation().String()) }

func byName(a, b *server) int { return cmp.Compare(a.Name, b.Name) }
