package table

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Delta is the difference between two versions of a table, by row.
type Delta struct {
	// From and To are platform revisions; From is less than To.
	From uint64
	To   uint64
	// Digest is the Digest of the table at To. Apply verifies it.
	Digest uint64
	// Accounts and Backends are the new or changed rows.
	Accounts []Account
	Backends []Backend
	// RemovedAccounts and RemovedBackends are the names of removed rows.
	RemovedAccounts []string
	RemovedBackends []string
	// Routing is the rest of the table, complete; nil if unchanged.
	Routing *Routing
}

// Routing is the part of a table besides accounts and backend servers.
type Routing struct {
	Routes   []Route
	Services []ServiceRow
	Zones    []ZoneRow
	Bounds   Bounds
}

func (t *Table) routing() *Routing {
	return &Routing{Routes: t.Routes, Services: t.Services, Zones: t.Zones, Bounds: t.Bounds}
}

// Diff returns the difference between two versions.
func Diff(from, to *Table) Delta {
	d := Delta{From: from.Revision, To: to.Revision, Digest: to.Digest()}
	for _, a := range to.Accounts {
		if old, ok := from.Account(a.Name); !ok || !reflect.DeepEqual(old, a) {
			d.Accounts = append(d.Accounts, a)
		}
	}
	for _, a := range from.Accounts {
		if _, ok := to.Account(a.Name); !ok {
			d.RemovedAccounts = append(d.RemovedAccounts, a.Name)
		}
	}
	for _, b := range to.Backends {
		if old, ok := from.Backend(b.Name); !ok || !old.equal(&b) {
			d.Backends = append(d.Backends, b)
		}
	}
	for _, b := range from.Backends {
		if _, ok := to.Backend(b.Name); !ok {
			d.RemovedBackends = append(d.RemovedBackends, b.Name)
		}
	}
	if old, now := from.routing(), to.routing(); rowDigest(old) != rowDigest(now) {
		d.Routing = now
	}
	return d
}

func (b *Backend) equal(c *Backend) bool {
	return b.EqualExceptWarmup(c) && b.WarmupLeft == c.WarmupLeft
}

// EqualExceptWarmup reports whether two rows are equal but for WarmupLeft.
func (b *Backend) EqualExceptWarmup(c *Backend) bool {
	if len(b.Models) != len(c.Models) {
		return false
	}
	for i := range b.Models {
		if b.Models[i] != c.Models[i] {
			return false
		}
	}
	return b.Name == c.Name && b.Zone == c.Zone && b.Address == c.Address && b.Kind == c.Kind &&
		b.Slots == c.Slots && b.Mark == c.Mark && b.ChecksFences == c.ChecksFences && b.StartTime == c.StartTime &&
		b.Version == c.Version && b.VersionUnknown == c.VersionUnknown
}

// Apply returns the table with the delta applied. It fails if the delta starts at another
// revision, or if the result differs from the sender's table.
func (t *Table) Apply(d Delta) (*Table, error) {
	if d.From != t.Revision {
		return nil, fmt.Errorf("table delta starts at revision %d, want %d", d.From, t.Revision)
	}
	accounts := merge(t.Accounts, d.Accounts, d.RemovedAccounts, func(a Account) string { return a.Name })
	backends := merge(t.Backends, d.Backends, d.RemovedBackends, func(b Backend) string { return b.Name })
	routing := d.Routing
	if routing == nil {
		routing = t.routing()
	}
	next := &Table{
		Revision: d.To, Accounts: accounts, Backends: backends,
		Routes: routing.Routes, Services: routing.Services, Zones: routing.Zones, Bounds: routing.Bounds,
	}
	next.Index()
	if next.Digest() != d.Digest {
		return nil, fmt.Errorf("table delta to revision %d: digest does not match the sender's table", d.To)
	}
	return next, nil
}

func merge[R any](old, changed []R, removed []string, name func(R) string) []R {
	rows := make(map[string]R, len(old)+len(changed))
	for _, r := range old {
		rows[name(r)] = r
	}
	for _, r := range changed {
		rows[name(r)] = r
	}
	for _, n := range removed {
		delete(rows, n)
	}
	merged := make([]R, 0, len(rows))
	for _, r := range rows {
		merged = append(merged, r)
	}
	sort.Slice(merged, func(i, j int) bool { return name(merged[i]) < name(merged[j]) })
	return merged
}

// Digest returns a hash of the table that does not depend on the order of accounts and
// backend servers.
func (t *Table) Digest() uint64 {
	var sum uint64
	for i := range t.Accounts {
		sum += rowDigest(&t.Accounts[i])
	}
	for i := range t.Backends {
		sum += rowDigest(&t.Backends[i])
	}
	return sum + rowDigest(t.routing())
}

func rowDigest(row any) uint64 {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(row); err != nil {
		return 0
	}
	return xxhash.Sum64(buf.Bytes())
}
