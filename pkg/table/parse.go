package table

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
)

// Limits that catch typing errors.
const (
	maxWeight   = 1e6
	maxPriority = 9
	maxSlots    = 1 << 16
	maxName     = 128
	hashBytes   = 32
)

// Bounds of the figures in tables of all sources. Sums and products of figures within them do not overflow.
const (
	MaxTime  = 365 * 24 * time.Hour
	MaxCount = 1 << 53
	MaxRate  = 1e15
	// MinWarmupRate is the lowest rate of a service that warms up, in requests per second.
	MinWarmupRate = 1e-3
)

// Page is a part of a table: a file, or a value of the platform.
type Page struct {
	// Name identifies the page in errors.
	Name string
	Data []byte
}

// Parse parses and validates a table of one page. The error wraps a
// *strictyaml.Problems that lists all problems.
func Parse(file string, data []byte) (*Table, error) {
	return ParsePages([]Page{{Name: file, Data: data}})
}

// ParsePages parses and validates a table that is split into pages. Names and keys must be
// unique across pages. The error joins the *strictyaml.Problems of each invalid page.
func ParsePages(pages []Page) (*Table, error) {
	t := &Table{}
	c := checker{names: map[string]bool{}, keys: map[string]string{}}
	var errs []error
	for _, p := range pages {
		if err := c.page(t, p); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) == 0 && len(t.Accounts) == 0 {
		errs = append(errs, noRows(pages))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	t.Index()
	return t, nil
}

func noRows(pages []Page) error {
	d := strictyaml.Decode(pages[0].Name, pages[0].Data, &Table{})
	d.Add("no rows: a table without client accounts would reject every request; add at least one", "accounts")
	return d.Err()
}

// page validates the rows of a page and adds them to the table.
func (c *checker) page(t *Table, p Page) error {
	part := &Table{}
	c.doc = strictyaml.Decode(p.Name, p.Data, part)
	if err := c.doc.Err(); err != nil {
		return err
	}
	for i := range part.Accounts {
		c.account(i, &part.Accounts[i])
	}
	for i := range part.Backends {
		c.backend(i, &part.Backends[i])
	}
	for i := range part.Routes {
		c.route(i, &part.Routes[i])
	}
	for i := range part.Services {
		c.service(i, &part.Services[i])
	}
	for i := range part.Zones {
		c.zone(i, &part.Zones[i])
	}
	c.bounds(t, &part.Bounds)
	t.Zones = append(t.Zones, part.Zones...)
	t.Accounts = append(t.Accounts, part.Accounts...)
	t.Routes = append(t.Routes, part.Routes...)
	t.Services = append(t.Services, part.Services...)
	t.Backends = append(t.Backends, part.Backends...)
	return c.doc.Err()
}

// checker validates rows and records problems in the Doc of the current page.
type checker struct {
	doc *strictyaml.Doc
	// names holds kind and name of all rows so far, keys the account of each key hash.
	names map[string]bool
	keys  map[string]string
}

func (c *checker) name(kind, name string, path ...any) {
	if name == "" || len(name) > maxName {
		c.doc.Add(fmt.Sprintf("needs a name of 1 to %d bytes", maxName), path...)
		return
	}
	id := kind + " " + name
	if c.names[id] {
		c.doc.Add(fmt.Sprintf("%s %q occurs twice; remove or rename one row", kind, name), path...)
	}
	c.names[id] = true
}

func (c *checker) account(i int, a *Account) {
	c.name("account", a.Name, "accounts", i, "name")
	if !(a.Weight > 0) || a.Weight > maxWeight || math.IsNaN(a.Weight) {
		c.doc.Add(fmt.Sprintf("is %v; write a number above 0 and up to %v", a.Weight, float64(maxWeight)), "accounts", i, "weight")
	}
	if a.Priority < 0 || a.Priority > maxPriority {
		c.doc.Add(fmt.Sprintf("is %d; write 0 to %d", a.Priority, maxPriority), "accounts", i, "priority")
	}
	c.accountKeys(i, a)
	c.regions(a.Regions, "accounts", i, "regions")
	c.limits(i, &a.Limits)
}

func (c *checker) accountKeys(i int, a *Account) {
	if a.KeySHA256 == "" {
		c.doc.Add("is missing; write the hex SHA-256 of the account's key", "accounts", i, "key_sha256")
		return
	}
	c.keyHash(a, &a.KeySHA256, "accounts", i, "key_sha256")
	for k := range a.MoreKeys {
		c.keyHash(a, &a.MoreKeys[k], "accounts", i, "more_keys_sha256", k)
	}
}

func (c *checker) keyHash(a *Account, hash *string, path ...any) {
	raw, err := hex.DecodeString(*hash)
	if err != nil || len(raw) != hashBytes {
		c.doc.Add("is not 64 hex digits; write the SHA-256 of the account's key", path...)
		return
	}
	*hash = hex.EncodeToString(raw)
	if other, duplicate := c.keys[*hash]; duplicate {
		c.doc.Add(fmt.Sprintf("is also the key of account %q; give each account its own", other), path...)
	}
	c.keys[*hash] = a.Name
}

func (c *checker) limits(i int, l *Limits) {
	c.rate(l.RequestsPerSecond, "accounts", i, "limits", "requests_per_second")
	c.rate(l.TokensPerSecond, "accounts", i, "limits", "tokens_per_second")
	c.count(int64(l.InFlight), "accounts", i, "limits", "in_flight")
	c.count(int64(l.Queued), "accounts", i, "limits", "queued")
	if l.Queued == 0 {
		l.Queued = DefaultQueued
	}
}

// rate checks a rate, of which 0 means that there is no limit or that it is not stated.
func (c *checker) rate(x float64, path ...any) {
	if !(x >= 0) || x > MaxRate {
		c.doc.Add(fmt.Sprintf("is %v; write 0 for no limit, or a number above 0 and up to %v", x, float64(MaxRate)), path...)
	}
}

// count checks a number of things, bytes or tokens.
func (c *checker) count(n int64, path ...any) {
	if n < 0 || n > MaxCount {
		c.doc.Add(fmt.Sprintf("is %d; write 0 to %d", n, int64(MaxCount)), path...)
	}
}

// time checks a duration.
func (c *checker) time(d time.Duration, path ...any) {
	if d < 0 || d > MaxTime {
		c.doc.Add(fmt.Sprintf("is %v; write 0s to %v", d, time.Duration(MaxTime)), path...)
	}
}

func (c *checker) backend(i int, b *Backend) {
	c.name("backend server", b.Name, "backends", i, "name")
	if b.Zone == "" {
		c.doc.Add("is missing; write the availability zone", "backends", i, "zone")
	}
	if a, err := netip.ParseAddrPort(b.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.doc.Add(fmt.Sprintf("%q is not an IP address and port, such as 10.0.0.7:8000", b.Address), "backends", i, "address")
	}
	if b.Kind == "" {
		b.Kind = Engine
	}
	if b.Kind != Engine && b.Kind != Service {
		c.doc.Add(fmt.Sprintf("%q is unknown; write engine or service", b.Kind), "backends", i, "kind")
	}
	if len(b.Models) == 0 {
		c.doc.Add("is empty; list the models it serves", "backends", i, "models")
	}
	if b.Slots < 1 || b.Slots > maxSlots {
		c.doc.Add(fmt.Sprintf("is %d; write 1 to %d", b.Slots, maxSlots), "backends", i, "slots")
	}
	c.softwareVersion(i, b)
	c.mark(i, b)
}

func (c *checker) mark(i int, b *Backend) {
	switch b.Mark {
	case "":
		b.Mark = Serving
	case Joining, Serving, Leaving, Stopping:
	default:
		c.doc.Add(fmt.Sprintf("%q is unknown; write joining, serving, leaving or stopping", b.Mark), "backends", i, "mark")
	}
}
