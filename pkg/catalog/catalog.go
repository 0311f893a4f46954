// Package catalog keeps what the platform publishes: the operators' table and
// the directory of backend servers. Whatever a router hears, from the platform
// or from other routers, early, late or twice, merges to the same state: of
// each entry the highest revision wins, so nothing older comes back.
package catalog

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// ErrCompacted says that the platform no longer remembers the changes after a
// revision, so that everything must be read anew.
var ErrCompacted = errors.New("catalog: the changes since that revision are forgotten")

// Server is one entry of the directory of backend servers.
type Server struct {
	// Revision is the entry's last change; it only grows.
	Revision uint64
	// Gone says that the entry was removed at Revision, and Last is its last change before
	// that, 0 if it is not known.
	Gone bool
	Last uint64
	// Unusable says why the entry names no backend server to use.
	Unusable Unusable
	// Backend is the entry; only its name counts if it is gone or cannot be used.
	Backend table.Backend
}

// Update is a part of what the platform publishes.
type Update struct {
	// Epoch is the platform's epoch, of which all revisions are.
	Epoch uint64
	// EpochAge is how long ago the sender first heard of the epoch.
	EpochAge time.Duration
	// After is the revision since which the news are complete; 0 means that
	// they hold everything.
	After uint64
	// AsOf is the revision up to which they are complete.
	AsOf uint64
	// Table is the operators' table, nil if it did not change.
	Table *table.Table
	// Servers are the directory's entries that changed. Those that changed after After
	// and are not listed are gone.
	Servers []Server
	// Zones are the marks of availability zones that changed. Zones that were closed
	// after After and are not listed are open.
	Zones []Zone
	// Jumps are those of the router that tells the news.
	Jumps []Jump
	// Retained is what a router keeps of earlier epochs, nil if nothing.
	Retained *Retained
	// Skipped is what was published besides and says nothing. It is for the log of the
	// router that read it.
	Skipped []Skipped `msgpack:"-"`
}

// Empty reports whether the news say nothing but how far they reach.
func (n *Update) Empty() bool {
	return n.Table == nil && len(n.Servers) == 0 && len(n.Zones) == 0 && n.Retained == nil && n.After > 0
}

// Catalog is the merged state. Its zero value is not ready; use New.
type Catalog struct {
	// now is the time of the last Merge or Refresh.
	now  time.Duration
	asOf Revision
	// enteredAt is when the current epoch was first heard of by anybody.
	enteredAt time.Duration
	// enteredNumber is the number as of which this catalog entered it.
	enteredNumber uint64
	// verifiedAt is when nothing newer than asOf was known to be published.
	verifiedAt time.Duration
	// change is what was known before, while a list of a new epoch is taken in.
	change *epochChange
	// history is of the current epoch.
	history history
	table   *table.Table
	// servers are the entries as the current epoch has them. Those of retainedServers stand
	// above them; the same holds for zones. tableRetained says that the table is of an earlier
	// epoch.
	servers         map[string]Server
	retainedServers map[string]retained[Server]
	retainedZones   map[string]retained[Zone]
	tableRetained   bool
	// missingFor is for how long entries are kept that a new epoch does not list.
	missingFor time.Duration
	// names are those of the entries, sorted; nil once there are new ones.
	names []string
	zones map[string]zone
	// warmUntil is until when a backend server warms up by its entry, by name.
	warmUntil map[string]time.Duration
	// goneAt is when an entry was heard to be gone, by name.
	goneAt map[string]time.Duration
	// recordFrom is the number of the current epoch after which all removals are remembered:
	// what was there before this catalog knew anything may have gone unheard of.
	recordFrom uint64
	// highest is the number of the latest change of an entry or mark that was taken in.
	highest uint64
	// jumps are the latest steps between whole lists after that: what came and went within
	// one is not known.
	jumps []Jump
	// vanished are the entries that were removed within keep without having
	// been marked first, by name; kept is how many of them the view holds.
	vanished map[string]vanished
	keep     time.Duration
	kept     int
	// own reports whether an address is a router's own.
	own func(address string) bool
	// unusable are the names of the entries that cannot be used, noted those of them
	// that were not logged yet, damaged how many there were since the start.
	unusable map[string]bool
	noted    []Server
	damaged  map[Reason]int64
	view     *table.Table
	// dirty says that the view lacks a change, joinedAt when it was made.
	dirty    bool
	joinedAt time.Duration
}

// Option changes a new Catalog.
type Option func(*Catalog)

// WithRemovalGrace sets for how long backend servers whose entries vanish together are
// kept in the view; 0, the default, is not at all.
func WithRemovalGrace(d time.Duration) Option { return func(c *Catalog) { c.keep = d } }

// WithOwnAddress sets what tells whether an address is a router's own.
func WithOwnAddress(own func(address string) bool) Option { return func(c *Catalog) { c.own = own } }

// New returns a catalog that knows nothing.
func New(opts ...Option) *Catalog {
	c := &Catalog{
		servers: map[string]Server{}, zones: map[string]zone{}, warmUntil: map[string]time.Duration{},
		goneAt: map[string]time.Duration{}, vanished: map[string]vanished{}, unusable: map[string]bool{}, damaged: map[Reason]int64{},
		retainedServers: map[string]retained[Server]{}, retainedZones: map[string]retained[Zone]{}, missingFor: DefaultUnlistedGrace,
	}
	for _, f := range opts {
		f(c)
	}
	return c
}

// forgetAfter is how long an entry that is gone is remembered, so that news
// which were under way all the while cannot bring it back.
const forgetAfter = 5 * time.Minute

// AsOf returns the revision up to which the catalog is complete.
func (c *Catalog) AsOf() Revision { return c.asOf }

// View returns the table in force with all backend servers of the directory,
// nil before there is a table. It is never changed once returned.
func (c *Catalog) View() *table.Table { return c.view }

// Merge takes news in at the time now and reports whether the view changed. News of an
// earlier epoch say nothing, nor do those of a later one unless they hold everything.
func (c *Catalog) Merge(now time.Duration, n Update) bool {
	c.now = now
	whole := n.After == 0 && n.AsOf > 0
	if n.Epoch < c.asOf.Epoch || n.Epoch > c.asOf.Epoch && !whole {
		return c.Refresh(now)
	}
	if n.Epoch > c.asOf.Epoch {
		c.enter(now, &n)
	}
	if whole {
		c.noteWhole(n.AsOf)
	}
	for _, j := range n.Jumps {
		c.noteJump(j)
	}
	highest, settled := c.highest, c.asOf.Number
	if whole && n.AsOf >= settled {
		// The list is of now: it tells what was missed as well.
		settled = 0
	}
	changed := c.mergeTable(n.Table)
	for _, s := range n.Servers {
		changed = c.mergeServer(now, s, settled) || changed
	}
	for _, z := range n.Zones {
		changed = c.mergeZone(now, z, settled) || changed
	}
	if c.change != nil {
		c.change.finish(now)
		c.change = nil
	}
	if n.AsOf > c.asOf.Number && highest > n.After {
		changed = c.dropUnlisted(now, &n) || changed
		changed = c.openUnlisted(now, &n) || changed
	}
	if n.Retained != nil {
		changed = c.mergeRetained(now, n.Retained) || changed
	}
	if n.After <= c.asOf.Number {
		c.asOf.Number = max(c.asOf.Number, n.AsOf)
	}
	c.forget(now)
	c.dirty = c.dirty || changed
	return c.Refresh(now)
}

// mergeTable takes in a table of the current epoch.
func (c *Catalog) mergeTable(t *table.Table) bool {
	if t == nil {
		return false
	}
	c.history.note(t.Revision, digestOf(t))
	isWrittenAgain := c.tableRetained && c.table.Edition == t.Edition
	if c.table != nil && !isWrittenAgain && !t.Version().NewerThan(c.table.Version()) {
		return false
	}
	c.table, c.tableRetained = t, false
	return true
}

// joinEach bounds how often the view is made anew: not sooner after the last time than
// so long for each backend server. To make it takes 1 us for each, so that at 3,000,
// where the entries of a release change 20 times a second, it would else take a third of
// a small router's time.
const joinEach = 30 * time.Microsecond

// joinsAtOnce is up to how many backend servers the view is made anew at each change.
const joinsAtOnce = 256

// mayJoin reports whether the view may be made anew now.
func (c *Catalog) mayJoin(now time.Duration) bool {
	if c.table == nil {
		return false
	}
	return c.view == nil || len(c.servers) <= joinsAtOnce || now-c.joinedAt >= joinEach*time.Duration(len(c.servers))
}

// mergeServer takes in an entry unless a later change of it is known, or it is not above a
// number up to which everything is.
func (c *Catalog) mergeServer(now time.Duration, s Server, settled uint64) bool {
	name := s.Backend.Name
	old, known := c.servers[name]
	if known && old.Revision >= s.Revision || s.Revision <= settled {
		return false
	}
	c.highest = max(c.highest, s.Revision)
	if !s.Gone {
		c.history.note(s.Revision, s.digest())
	}
	if k, isRetained := c.retainedServers[name]; isRetained {
		old, known = k.item, true
		delete(c.retainedServers, name)
		c.names = nil
	}
	s = c.checked(s, old)
	if s.Gone && s.Last == 0 {
		s.Last = old.lastLive()
	}
	c.servers[name] = s
	if !known {
		c.names = nil
	}
	if s.Unusable.IsSet() {
		return c.mergeUnusable(s, old)
	}
	delete(c.unusable, name)
	if s.Gone {
		c.goneAt[name] = now
		delete(c.warmUntil, name)
		if known {
			c.vanish(now, old)
		}
		return known && !old.Gone
	}
	delete(c.goneAt, name)
	delete(c.vanished, name)
	later := c.noteWarmup(now, &s.Backend)
	return later || !known || old.Gone || !old.Backend.EqualExceptWarmup(&s.Backend)
}

// lastLive returns the last change of an entry while it was there, 0 if it is not known.
func (s *Server) lastLive() uint64 {
	if s.Gone {
		return s.Last
	}
	return s.Revision
}

// mergeUnusable takes in an entry that cannot be used, and reports whether the view
// changes: a backend server that was used before is left.
func (c *Catalog) mergeUnusable(s, old Server) bool {
	name := s.Backend.Name
	c.unusable[name] = true
	delete(c.goneAt, name)
	_, kept := c.vanished[name]
	delete(c.vanished, name)
	c.note(s)
	return kept || old.Backend.Mark != s.Backend.Mark
}

// dropUnlisted takes away the entries that changed last after the revision since which the
// news are complete, and which they do not hold: they are gone by now.
func (c *Catalog) dropUnlisted(now time.Duration, n *Update) bool {
	listed := make(map[string]bool, len(n.Servers))
	for _, s := range n.Servers {
		listed[s.Backend.Name] = true
	}
	for _, x := range n.Skipped {
		listed[x.Server] = true
	}
	changed := false
	for name, s := range c.servers {
		if s.Gone || s.Revision <= n.After || s.Revision > n.AsOf || listed[name] {
			continue
		}
		s, _ = c.current(name)
		delete(c.retainedServers, name)
		c.servers[name] = Server{Revision: n.AsOf, Gone: true, Last: s.lastLive(), Backend: table.Backend{Name: name}}
		c.goneAt[name] = now
		delete(c.warmUntil, name)
		delete(c.unusable, name)
		c.vanish(now, s)
		changed = true
	}
	return changed
}

func (c *Catalog) forget(now time.Duration) {
	for name, at := range c.goneAt {
		if now-at >= forgetAfter {
			c.recordFrom = max(c.recordFrom, c.servers[name].Revision)
			delete(c.goneAt, name)
			delete(c.servers, name)
		}
	}
}

// sortedNames returns the names of all entries, sorted; among them may be some that
// were forgotten.
func (c *Catalog) sortedNames() []string {
	if c.names == nil {
		c.names = slices.Collect(maps.Keys(c.servers))
		for name := range c.retainedServers {
			if _, isListed := c.servers[name]; !isListed {
				c.names = append(c.names, name)
			}
		}
		slices.Sort(c.names)
	}
	return c.names
}

// join returns the table's rows and the directory's entries in one table.
func (c *Catalog) join() *table.Table {
	t := *c.table
	t.Backends = make([]table.Backend, 0, len(c.table.Backends)+len(c.servers))
	t.Backends = append(t.Backends, c.table.Backends...)
	for _, name := range c.sortedNames() {
		if s, ok := c.current(name); ok && !s.Gone {
			if s.Unusable.IsSet() && s.Backend.Mark == "" || !c.inTable(&s.Backend) {
				continue
			}
			t.Backends = append(t.Backends, c.warming(s.Backend))
		}
	}
	lapsed := c.lapsed()
	c.kept = len(lapsed)
	t.Backends = append(t.Backends, lapsed...)
	t.Zones = c.zoneRows()
	t.Index()
	return &t
}

// inTable reports whether the table names a service of a backend server. One of which it
// names none is left out until a later table does.
func (c *Catalog) inTable(b *table.Backend) bool {
	if len(c.table.Services) == 0 {
		return true
	}
	return slices.ContainsFunc(b.Models, func(m string) bool {
		_, ok := c.table.ServiceByName(m)
		return ok
	})
}
