package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Reason says why a directory entry cannot be used.
type Reason string

// The reasons. Unusable.Field names the field concerned.
const (
	// Unreadable: the bytes cannot be decoded.
	Unreadable Reason = "unreadable"
	// TooLarge: the entry exceeds the size limit.
	TooLarge Reason = "too-large"
	// MissingField and WrongType: a required field is missing or has the wrong type.
	MissingField Reason = "missing-field"
	WrongType    Reason = "wrong-type"
	// BadValue: the value of a field is invalid.
	BadValue Reason = "bad-value"
	// DuplicateField: a field occurs more than once.
	DuplicateField Reason = "given-twice"
	// OwnAddress: the address belongs to a router, so requests would loop.
	OwnAddress Reason = "own-address"
)

// Unusable says why an entry cannot be used as a backend server. The zero value means that it
// can. The entry may be damaged or written by another program.
type Unusable struct {
	Reason Reason
	// Field is the name of the field concerned, "" for the whole entry.
	Field string
}

// IsSet reports whether the entry cannot be used.
func (u Unusable) IsSet() bool { return u.Reason != "" }

// Skipped is a published item that is neither an entry with a name nor a table.
type Skipped struct {
	// Key is the item's key, as far as it can be read.
	Key      string
	Revision uint64
	Unusable Unusable
	// Server and Zone name the entry or zone mark that the item belongs to, "" if none. What
	// was known of that stays in force.
	Server, Zone string
	// Table says that the item is the operators' table.
	Table bool
}

// maxSlots bounds the slots of an entry. A higher figure is an error that would attract all
// requests.
const maxSlots = 100_000

// maxName bounds the names and the address of an entry, in bytes. Routers send them to each other with each change of
// the entry, and all entries must fit in a message.
const maxName = 256

// IsName reports whether a text can name a backend server, a service or an availability zone. Names go into headers,
// logs and messages.
func IsName(s string) bool {
	return s != "" && len(s) <= maxName && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// Check returns why a row cannot be used as a backend server.
func Check(b *table.Backend) Unusable {
	address, err := netip.ParseAddrPort(b.Address)
	switch {
	case !IsName(b.Name):
		return Unusable{BadValue, "name"}
	case len(b.Models) == 0 || !allNames(b.Models):
		return Unusable{BadValue, "service"}
	case err != nil || len(b.Address) > maxName || address.Port() == 0 || address.Addr().IsUnspecified():
		return Unusable{BadValue, "address"}
	case !IsName(b.Zone):
		return Unusable{BadValue, "zone"}
	case b.Slots < 1 || b.Slots > maxSlots:
		return Unusable{BadValue, "slots"}
	case b.Mark != table.Serving && b.Mark != table.Leaving:
		return Unusable{BadValue, "state"}
	default:
		return Unusable{}
	}
}

func allNames(list []string) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !IsName(s) })
}

// Checked returns an update from another router with the unusable entries marked as such. The
// other router may apply different rules.
func (u Update) Checked() Update {
	shared := true
	for i := range u.Servers {
		s := &u.Servers[i]
		if s.Gone || s.Unusable.IsSet() {
			continue
		}
		unusable := Check(&s.Backend)
		if !unusable.IsSet() {
			continue
		}
		if shared {
			// The slice may be shared with the sender.
			u.Servers, shared = slices.Clone(u.Servers), false
		}
		u.Servers[i].Unusable = unusable
	}
	u.Retained = u.Retained.checked()
	return u
}

// checked returns what is retained without the unusable entries.
func (k *Retained) checked() *Retained {
	if k == nil {
		return nil
	}
	return &Retained{Table: k.Table, Zones: k.Zones, Servers: slices.DeleteFunc(slices.Clone(k.Servers), func(x RetainedServer) bool {
		return !x.Server.Gone && Check(&x.Server.Backend).IsSet()
	})}
}

// normalized returns an entry in the form that is stored. An unusable entry keeps the backend
// server that was known before, marked as leaving so that it gets no new requests.
func (c *Catalog) normalized(s Server, old Server) Server {
	if s.Gone {
		s.Unusable = Unusable{}
		return s
	}
	if !s.Unusable.IsSet() && c.isOwnAddress(s.Backend.Address) {
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

func (c *Catalog) isOwnAddress(address string) bool {
	return c.ownAddress != nil && c.ownAddress(address)
}

// maxUnusableQueue bounds the entries that wait for DrainUnusable, and those that Unusable
// returns.
const maxUnusableQueue = 64

// queueUnusable counts an unusable entry and queues it for DrainUnusable.
func (c *Catalog) queueUnusable(s Server) {
	c.unusableTotals[s.Unusable.Reason]++
	if len(c.unusableQueue) < maxUnusableQueue {
		c.unusableQueue = append(c.unusableQueue, s)
	}
}

// DrainUnusable returns the entries found unusable since the last call, at most
// maxUnusableQueue of them.
func (c *Catalog) DrainUnusable() (list []Server) {
	list, c.unusableQueue = c.unusableQueue, nil
	return list
}

// UnusableTotals returns how many entries were found unusable since the start, by reason.
func (c *Catalog) UnusableTotals() map[Reason]int64 { return maps.Clone(c.unusableTotals) }

// Unusable returns why entries are unusable, by name, for at most maxUnusableQueue of them.
// The count covers all.
func (c *Catalog) Unusable() (list map[string]Unusable, count int) {
	if len(c.unusable) == 0 {
		return nil, 0
	}
	list = map[string]Unusable{}
	for name := range c.unusable {
		if len(list) == maxUnusableQueue {
			break
		}
		list[name] = c.servers[name].Unusable
	}
	return list, len(c.unusable)
}
