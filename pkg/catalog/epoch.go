package catalog

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// A platform that comes back from a copy has lost what it published last. Until that is
// written again, what it lists is older than what callers were served by, so this is kept.

// settleFor is for how long what an earlier epoch published last of a name stands above what
// the copy lists: longer than an entry lasts whose backend server has ended.
const settleFor = 10 * time.Second

// DefaultLost is for how long a backend server is kept that the copy does not list.
const DefaultLost = 1500 * time.Millisecond

// WithLost sets for how long a backend server is kept that a new epoch does not list, since
// it may have come after the copy; it enters itself again within that.
func WithLost(d time.Duration) Option { return func(c *Catalog) { c.lostFor = d } }

// Kept is what an earlier epoch published last, and the current one has not written again.
type Kept struct {
	// Table is the operators' table, nil if that is of the current epoch.
	Table   *table.Table
	Servers []KeptServer
	Zones   []KeptZone
}

// KeptServer is an entry of an earlier epoch.
type KeptServer struct {
	Server Server
	Stands Stands
}

// KeptZone is a mark of an earlier epoch.
type KeptZone struct {
	Zone   Zone
	Stands Stands
}

// Stands says against what an item of an earlier epoch stands, and for how long.
type Stands struct {
	// Origin is the item's own revision.
	Origin Revision
	// Over is the number in the current epoch of what is listed in its place; 0 if nothing.
	// Anything that is written later counts.
	Over uint64
	// Left is for how much longer it is kept.
	Left time.Duration
}

// kept is the same with the time by which it ends.
type kept[T any] struct {
	item  T
	until time.Duration
	Stands
}

// Empty reports whether nothing is kept.
func (k *Kept) Empty() bool { return k.Table == nil && len(k.Servers) == 0 && len(k.Zones) == 0 }

// Kept returns what is kept of earlier epochs, nil if nothing is.
func (c *Catalog) Kept() *Kept {
	k := &Kept{}
	if c.tableKept {
		k.Table = c.table
	}
	for _, name := range slices.Sorted(maps.Keys(c.keptServers)) {
		x := c.keptServers[name]
		if x.item.Gone && x.Over == 0 {
			// It only stands against what others keep.
			continue
		}
		k.Servers = append(k.Servers, KeptServer{Server: x.item, Stands: x.at(c.now)})
	}
	for _, name := range slices.Sorted(maps.Keys(c.keptZones)) {
		x := c.keptZones[name]
		k.Zones = append(k.Zones, KeptZone{Zone: x.item, Stands: x.at(c.now)})
	}
	if k.Empty() {
		return nil
	}
	return k
}

func (k *kept[T]) at(now time.Duration) Stands {
	s := k.Stands
	s.Left = k.until - now
	return s
}

// enter begins a new epoch with all that it lists.
func (c *Catalog) enter(now time.Duration, n *News) {
	e := epochChange{c: c, from: c.asOf.Epoch, listed: n, signs: c.signsOf(n)}
	e.servers, e.zones = c.allServers(), c.allZones()
	c.asOf = Revision{Epoch: n.Epoch}
	c.enteredAt = now - n.EpochAge
	c.history, c.highest = history{}, 0
	c.keptServers, c.keptZones = map[string]kept[Server]{}, map[string]kept[Zone]{}
	c.tableKept = c.table != nil
	for name, s := range c.servers {
		// Whatever the new epoch says of it counts.
		s = e.servers[name].item
		s.Revision = 0
		c.servers[name] = s
	}
	for name, z := range c.zones {
		z.Zone = e.zones[name].item
		z.Revision = 0
		c.zones[name] = z
	}
	c.dirty = true
	c.change = &e
}

// epochChange is what was known when a new epoch began, while its list is taken in.
type epochChange struct {
	c       *Catalog
	from    uint64
	listed  *News
	signs   signs
	servers map[string]kept[Server]
	zones   map[string]kept[Zone]
}

// finish keeps what the list of the new epoch, now taken in, lacks or has older.
func (e *epochChange) finish(now time.Duration) {
	for name, old := range e.servers {
		e.finishServer(now, name, old)
	}
	for name, old := range e.zones {
		e.finishZone(name, old)
	}
	e.c.names = nil
	e.c.dropKept(now)
}

func (e *epochChange) finishServer(now time.Duration, name string, old kept[Server]) {
	c := e.c
	s := c.servers[name]
	if listed := s.Revision > 0; listed {
		if e.isOlder(s.Revision, old.Stands) && contradicts(&old.item, &s) && !e.isNewStart(&old, &s) {
			c.keptServers[name] = kept[Server]{item: old.item, until: c.enteredAt + settleFor, Stands: Stands{Origin: old.Origin, Over: s.Revision}}
		}
		return
	}
	delete(c.servers, name)
	delete(c.goneAt, name)
	if !old.item.Gone && e.wasListed(old.Origin) {
		// The copy had it, so it was removed since.
		c.servers[name] = Server{Revision: e.listed.AsOf, Gone: true, Backend: table.Backend{Name: name}}
		c.goneAt[name] = now
		c.vanish(now, old.item)
		return
	}
	c.keptServers[name] = kept[Server]{item: old.item, until: c.enteredAt + c.lostFor, Stands: Stands{Origin: old.Origin}}
}

func (e *epochChange) finishZone(name string, old kept[Zone]) {
	c := e.c
	z := c.zones[name]
	stands := Stands{Origin: old.Origin, Over: z.Revision}
	listed := z.Revision > 0
	switch {
	case listed && (!e.isOlder(z.Revision, old.Stands) || z.Closed == old.item.Closed):
		return
	case !listed && (!old.item.Closed || e.wasListed(old.Origin)):
		if old.item.Closed {
			z.opened = c.now
		}
		z.Zone = Zone{Revision: e.listed.AsOf, Name: name}
		c.zones[name] = z
		return
	}
	if !listed {
		z.Zone = Zone{Name: name}
		c.zones[name] = z
	}
	c.keptZones[name] = kept[Zone]{item: old.item, until: c.enteredAt + settleFor, Stands: stands}
}

// isOlder reports whether what is listed with a number may have been written before an item
// of an earlier epoch. Numbers of both are those of one history up to the copy.
func (e *epochChange) isOlder(number uint64, old Stands) bool {
	if number >= e.signs.foreign {
		return false
	}
	if old.Origin.Epoch < e.from {
		return number <= old.Over
	}
	return number < old.Origin.Number
}

// isNewStart reports whether an entry was written after the last one that was known before it
// went: the copy cannot hold that.
func (e *epochChange) isNewStart(old *kept[Server], listed *Server) bool {
	return old.Origin.Epoch == e.from && old.item.Gone && old.item.Last > 0 && listed.Revision > old.item.Last
}

// wasListed reports whether the copy held an item of the epoch before.
func (e *epochChange) wasListed(origin Revision) bool {
	return origin.Epoch == e.from && origin.Number <= e.signs.common
}

// contradicts reports whether an entry says something else than a later one of the epoch
// before, which is not what a backend server says in the course of a start.
func contradicts(later, listed *Server) bool {
	switch {
	case listed.Unusable.Is() || later.Unusable.Is():
		return false
	case later.Gone || listed.Gone:
		return later.Gone && !listed.Gone
	case later.Backend.Born != listed.Backend.Born:
		return true
	default:
		return later.Backend.Mark == table.Leaving && listed.Backend.Mark == table.Serving
	}
}

// signs are what a list of a new epoch tells of the copy.
type signs struct {
	// common is a number up to which the histories of both epochs are the same, foreign one
	// from which on numbers were given in the new epoch.
	common, foreign uint64
}

func (c *Catalog) signsOf(n *News) signs {
	x := signs{foreign: math.MaxUint64}
	see := func(number, digest uint64) {
		switch same, isKnown := c.history.same(number, digest); {
		case isKnown && same:
			x.common = max(x.common, number)
		case isKnown:
			x.foreign = min(x.foreign, number)
		}
	}
	for i := range n.Servers {
		see(n.Servers[i].Revision, n.Servers[i].digest())
	}
	for _, z := range n.Zones {
		see(z.Revision, z.digest())
	}
	if n.Table != nil {
		see(n.Table.Revision, digestOf(n.Table))
	}
	x.common = min(x.common, x.foreign-1)
	return x
}

// allServers returns all entries as they count.
func (c *Catalog) allServers() map[string]kept[Server] {
	all := make(map[string]kept[Server], len(c.servers)+len(c.keptServers))
	for name, s := range c.servers {
		all[name] = kept[Server]{item: s, Stands: Stands{Origin: Revision{c.asOf.Epoch, s.Revision}}}
	}
	maps.Copy(all, c.keptServers)
	return all
}

func (c *Catalog) allZones() map[string]kept[Zone] {
	all := make(map[string]kept[Zone], len(c.zones)+len(c.keptZones))
	for name, z := range c.zones {
		all[name] = kept[Zone]{item: z.Zone, Stands: Stands{Origin: Revision{c.asOf.Epoch, z.Revision}}}
	}
	maps.Copy(all, c.keptZones)
	return all
}

// mergeKept takes in what another router keeps of earlier epochs.
func (c *Catalog) mergeKept(now time.Duration, k *Kept) bool {
	changed := false
	if k.Table != nil && (c.table == nil || k.Table.Version().NewerThan(c.table.Version())) {
		c.table, c.tableKept = k.Table, true
		changed = true
	}
	for _, x := range k.Servers {
		b := &x.Server.Backend
		if c.isOwn(b.Address) || !mayStand(c.servers[b.Name].Revision, c.keptServers[b.Name].Origin, x.Stands) {
			continue
		}
		c.keptServers[b.Name] = kept[Server]{item: x.Server, until: now + min(x.Stands.Left, settleFor), Stands: x.Stands}
		c.names = nil
		changed = true
	}
	for _, x := range k.Zones {
		name := x.Zone.Name
		if !mayStand(c.zones[name].Revision, c.keptZones[name].Origin, x.Stands) {
			continue
		}
		c.keptZones[name] = kept[Zone]{item: x.Zone, until: now + min(x.Stands.Left, settleFor), Stands: x.Stands}
		changed = true
	}
	return changed
}

// mayStand reports whether an item of an earlier epoch stands above what is listed here with
// a number, 0 for nothing, and what is kept already.
func mayStand(listed uint64, keptOrigin Revision, x Stands) bool {
	return listed == x.Over && keptOrigin.Before(x.Origin) && x.Left > 0
}

// dropKept ends what was kept for long enough, and reports whether there was any.
func (c *Catalog) dropKept(now time.Duration) bool {
	before := len(c.keptServers) + len(c.keptZones)
	maps.DeleteFunc(c.keptServers, func(_ string, k kept[Server]) bool {
		return c.hasEnded(now, k.until) || k.Over == 0 && now >= k.until
	})
	maps.DeleteFunc(c.keptZones, func(name string, k kept[Zone]) bool {
		if !c.hasEnded(now, k.until) {
			return false
		}
		if z := c.zones[name]; k.item.Closed && !z.Closed {
			z.Name, z.opened = name, now
			c.zones[name] = z
		}
		return true
	})
	if len(c.keptServers)+len(c.keptZones) == before {
		return false
	}
	c.names = nil
	return true
}

// Verified notes that nothing newer was published at a time than what is known.
func (c *Catalog) Verified(at time.Duration) { c.verifiedAt = max(c.verifiedAt, at) }

// hasEnded reports whether something has been kept for long enough: it is only given up by who
// has heard since that nothing else is published.
func (c *Catalog) hasEnded(now, until time.Duration) bool {
	return now >= until && c.verifiedAt >= until
}

// current returns an entry as it counts.
func (c *Catalog) current(name string) (s Server, ok bool) {
	if k, isKept := c.keptServers[name]; isKept {
		return k.item, true
	}
	s, ok = c.servers[name]
	return s, ok
}

// isClosed reports whether a zone counts as closed.
func (c *Catalog) isClosed(name string) bool {
	if k, isKept := c.keptZones[name]; isKept {
		return k.item.Closed
	}
	return c.zones[name].Closed
}
