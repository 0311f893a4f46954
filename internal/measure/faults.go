package measure

import (
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/node"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// versions records which table came into force where and when.
type versions struct {
	mu        sync.Mutex
	highest   map[string]uint64
	reverts   int
	published map[uint64]time.Time
	// slowest is the longest time from publishing to in force on a router
	// that could hear of it all the while.
	slowest time.Duration
	// deaf is until when a router could last not hear of an edit.
	deaf map[string]time.Time
}

func newVersions() *versions {
	return &versions{highest: map[string]uint64{}, published: map[uint64]time.Time{}, deaf: map[string]time.Time{}}
}

// setDeaf notes that routers cannot hear of edits until the time given.
func (v *versions) setDeaf(names []string, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range names {
		if until.After(v.deaf[n]) {
			v.deaf[n] = until
		}
	}
}

// versionsAt is the observer of one router.
type versionsAt struct {
	all  *versions
	name string
}

func (v *versions) of(name string) *versionsAt { return &versionsAt{all: v, name: name} }

// TableInForce implements router.Observer.
func (x *versionsAt) TableInForce(revision uint64) {
	v := x.all
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.highest[x.name] {
		v.reverts++
	}
	v.highest[x.name] = max(v.highest[x.name], revision)
	if at, ok := v.published[revision]; ok && v.deaf[x.name].Before(at) {
		v.slowest = max(v.slowest, time.Since(at))
	}
}

// followEvery is the interval at which is looked which table is in force.
const followEvery = 5 * time.Millisecond

// follow observes a router that tells nobody which table came into force.
func (v *versions) follow(name string, d *dispatch.Dispatcher) {
	at, last := v.of(name), uint64(0)
	for ; !d.Closed(); time.Sleep(followEvery) {
		if t := d.Table(); t != nil && t.Revision != last {
			last = t.Revision
			at.TableInForce(last)
		}
	}
}

func (v *versions) publish(c *cluster) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := time.Now()
	v.published[c.publishTable()] = at
}

// state is which faults are in force now.
type state struct {
	mu     sync.Mutex
	cut    map[string]bool
	marked map[string]bool
	flood  map[string]bool
	away   map[string]bool
}

func newState() *state {
	return &state{cut: map[string]bool{}, marked: map[string]bool{}, flood: map[string]bool{}, away: map[string]bool{}}
}

func (s *state) set(m map[string]bool, key string, v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m[key] = v
}

func (s *state) get(m map[string]bool, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m[key]
}

// floodFactor is how many times its share a flooding account sends.
const floodFactor = 50

// inject brings a fault about and mends it after its time.
func (c *cluster) inject(f Fault, done <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-done:
			return false
		}
	}
	if !wait(f.At) {
		return
	}
	c.versions.setDeaf(c.affected(f), time.Now().Add(f.For))
	mend := c.begin(f)
	wait(f.For)
	mend()
}

// affected returns the routers that a fault keeps from hearing of edits.
func (c *cluster) affected(f Fault) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, s := range c.fixed {
		platform := f.Kind == "platform_down" || f.Kind == "platform_stale"
		zone := f.Kind == "partition" && s.Zone == f.Target
		self := (f.Kind == "restart" || f.Kind == "pause") && name == f.Target
		if platform || zone || self {
			names = append(names, name)
		}
	}
	return names
}

func (c *cluster) begin(f Fault) (mend func()) {
	st := c.state
	switch f.Kind {
	case "partition":
		set := func(on bool) {
			st.set(st.cut, f.Target, on)
			c.fabric.SetPartitioned(f.Target, on)
			c.judge.SetPartitioned(f.Target, on)
		}
		set(true)
		return func() {
			set(false)
			c.closeMarked(f.Target)
		}
	case "restart":
		st.set(st.away, f.Target, true)
		zone := c.fixed[f.Target].Zone
		c.stopNode(f.Target)
		return func() {
			_ = c.startNode(zone, f.Target)
			st.set(st.away, f.Target, false)
		}
	case "pause":
		return c.pause(f.Target)
	case "platform_down":
		c.platform.SetDown(true)
		return func() { c.platform.SetDown(false) }
	case "platform_stale":
		c.platform.SetStale(true)
		return func() { c.platform.SetStale(false) }
	case "leave":
		return c.mark(f.Target, table.Leaving)
	case "stop":
		return c.mark(f.Target, table.Stopping)
	case "flood":
		st.set(st.flood, f.Target, true)
		return func() { st.set(st.flood, f.Target, false) }
	default:
		return c.edit(f.Target)
	}
}

func (c *cluster) pause(name string) (mend func()) {
	n := c.node(name)
	if n == nil {
		return func() {}
	}
	c.state.set(c.state.away, name, true)
	c.fabric.SetPaused(name, true)
	thaw := freeze(n)
	return func() {
		thaw()
		c.fabric.SetPaused(name, false)
		c.state.set(c.state.away, name, false)
	}
}

// freeze stops what decides in a router.
func freeze(n *node.Node) (thaw func()) {
	if n.Router != nil {
		return n.Router.PauseLoop()
	}
	return n.Dispatch.PauseLoop()
}

// mark marks a backend server; the mark stays.
func (c *cluster) mark(name string, m table.Mark) (mend func()) {
	c.mu.Lock()
	for i := range c.table.Backends {
		if c.table.Backends[i].Name == name {
			c.table.Backends[i].Mark = m
		}
	}
	c.mu.Unlock()
	c.state.set(c.state.marked, name, true)
	zone := c.zoneOfBackend(name)
	c.versions.publish(c)
	if !c.state.get(c.state.cut, zone) {
		c.judge.MarkDraining(name)
	}
	return func() {}
}

func (c *cluster) zoneOfBackend(name string) string {
	for _, b := range c.table.Backends {
		if b.Name == name {
			return b.Zone
		}
	}
	return ""
}

// closeMarked starts the judge's clock for marks that a zone could not hear
// of while it was cut off.
func (c *cluster) closeMarked(zone string) {
	for _, b := range c.table.Backends {
		if b.Zone == zone && c.state.get(c.state.marked, b.Name) {
			c.judge.MarkDraining(b.Name)
		}
	}
}

// edit changes an account's limit, which changes no decision.
func (c *cluster) edit(name string) (mend func()) {
	for i := range c.table.Accounts {
		if c.table.Accounts[i].Name == name {
			c.table.Accounts[i].Limits.Queued++
		}
	}
	c.versions.publish(c)
	return func() {}
}

// reachable reports whether two zones are joined now.
func (c *cluster) reachable(a, b string) bool {
	return a == b || !c.state.get(c.state.cut, a) && !c.state.get(c.state.cut, b)
}

// serving reports whether a backend server takes new work.
func (c *cluster) serving(name string) bool { return !c.state.get(c.state.marked, name) }
