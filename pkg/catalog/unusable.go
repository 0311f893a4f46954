package catalog

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Reason says in a word why an entry of the directory cannot be used.
type Reason string

// The reasons. The field that is the matter override beside them.
const (
	// Unreadable: its bytes are not what an entry is written in.
	Unreadable Reason = "unreadable"
	// TooLarge: it is larger than any entry can be.
	TooLarge Reason = "too-large"
	// MissingField and WrongType: a field that it must have is not there, or is a
	// value of another type.
	MissingField Reason = "missing-field"
	WrongType    Reason = "wrong-type"
	// BadValue: a field's value is none that can be used.
	BadValue Reason = "bad-value"
	// DuplicateField: a field is there more than once, so that nobody can know which holds.
	DuplicateField Reason = "given-twice"
	// OwnAddress: its address is a router's own, to which requests would go round.
	OwnAddress Reason = "own-address"
)

// Unusable says why an entry names no backend server to use; its zero value that it
// does. An entry may be damaged, or another program's.
type Unusable struct {
	Reason Reason
	// Field is which field is the matter, "" if it is the whole entry.
	Field string
}

// IsSet reports whether the entry cannot be used.
func (u Unusable) IsSet() bool { return u.Reason != "" }

// Skipped is something that was published and says nothing that can be used: neither an
// entry with a name nor a table.
type Skipped struct {
	// Key is where it is published, as far as that can be read.
	Key      string
	Revision uint64
	Unusable Unusable
	// Server and Zone are the name of the entry or mark that it is of, "" if it is of
	// none: what was known of that stays.
	Server, Zone string
}

// mostSlots bounds what an entry may say of its slots: the largest batches of engines
// are some hundreds, and a figure beyond this is a slip that would draw all requests.
const mostSlots = 100_000

// Check returns why a row cannot be used as a backend server, whoever told it.
func Check(b *table.Backend) Unusable {
	address, err := netip.ParseAddrPort(b.Address)
	switch {
	case len(b.Models) == 0 || b.Models[0] == "":
		return Unusable{BadValue, "service"}
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return Unusable{BadValue, "address"}
	case b.Zone == "":
		return Unusable{BadValue, "zone"}
	case b.Slots < 1 || b.Slots > mostSlots:
		return Unusable{BadValue, "slots"}
	case b.Mark != table.Serving && b.Mark != table.Leaving:
		return Unusable{BadValue, "state"}
	default:
		return Unusable{}
	}
}

// Checked returns news as another router told them with the entries that cannot be used
// marked as such: it may have other rules, or be another program.
func (n Update) Checked() Update {
	shared := true
	for i := range n.Servers {
		s := &n.Servers[i]
		if s.Gone || s.Unusable.IsSet() {
			continue
		}
		why := Check(&s.Backend)
		if !why.IsSet() {
			continue
		}
		if shared {
			// What was told may be shared with whoever told it.
			n.Servers, shared = slices.Clone(n.Servers), false
		}
		n.Servers[i].Unusable = why
	}
	n.Retained = n.Retained.checked()
	return n
}

// checked returns what is kept without the entries that cannot be used.
func (k *Retained) checked() *Retained {
	if k == nil {
		return nil
	}
	return &Retained{Table: k.Table, Zones: k.Zones, Servers: slices.DeleteFunc(slices.Clone(k.Servers), func(x RetainedServer) bool {
		return !x.Server.Gone && Check(&x.Server.Backend).IsSet()
	})}
}

// checked returns an entry as it counts: one that cannot be used says nothing but that,
// and leaves what was known of its backend server before, which gets nothing new.
func (c *Catalog) checked(s Server, old Server) Server {
	if s.Gone {
		s.Unusable = Unusable{}
		return s
	}
	if !s.Unusable.IsSet() && c.isOwn(s.Backend.Address) {
		s.Unusable = Unusable{OwnAddress, "address"}
	}
	if !s.Unusable.IsSet() {
		return s
	}
	s.Backend = table.Backend{Name: s.Backend.Name}
	if !old.Gone && old.Backend.Mark != "" {
		s.Backend = old.Backend
		s.Backend.Mark = table.Leaving
	}
	return s
}

func (c *Catalog) isOwn(address string) bool { return c.own != nil && c.own(address) }

// mostNoted bounds the entries whose reasons wait to be logged.
const mostNoted = 64

// note keeps an entry that cannot be used until DrainUnusable is called.
func (c *Catalog) note(s Server) {
	c.damaged[s.Unusable.Reason]++
	if len(c.noted) < mostNoted {
		c.noted = append(c.noted, s)
	}
}

// DrainUnusable returns the entries that turned out to be of no use since the last call, of
// which there may be some more.
func (c *Catalog) DrainUnusable() (list []Server) {
	list, c.noted = c.noted, nil
	return list
}

// UnusableTotals returns how many entries turned out to be of no use since the start, by reason.
func (c *Catalog) UnusableTotals() map[Reason]int64 { return maps.Clone(c.damaged) }

// Unusable returns why entries cannot be used, by their names, mostNoted at the most, and
// how many there are.
func (c *Catalog) Unusable() (list map[string]Unusable, count int) {
	if len(c.unusable) == 0 {
		return nil, 0
	}
	list = map[string]Unusable{}
	for name := range c.unusable {
		if len(list) == mostNoted {
			break
		}
		list[name] = c.servers[name].Unusable
	}
	return list, len(c.unusable)
}
