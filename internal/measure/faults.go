package measure

import (
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/node"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// versions records when each router applied which revision of the table.
type versions struct {
	mu        sync.Mutex
	highest   map[string]uint64
	reverts   int
	published map[uint64]time.Time
	// slowest is the longest time from publishing a revision to applying it, on a router that was
	// reachable throughout.
	slowest time.Duration
	// unreachableUntil is until when a fault keeps a router from receiving tables.
	unreachableUntil map[string]time.Time
}

func newVersions() *versions {
	return &versions{highest: map[string]uint64{}, published: map[uint64]time.Time{}, unreachableUntil: map[string]time.Time{}}
}

// markUnreachable records that routers cannot receive tables until the given time.
func (v *versions) markUnreachable(names []string, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range names {
		if until.After(v.unreachableUntil[n]) {
			v.unreachableUntil[n] = until
		}
	}
}

// routerVersions observes the tables of one router.
type routerVersions struct {
	versions *versions
	name     string
}

func (v *versions) observer(name string) *routerVersions {
	return &routerVersions{versions: v, name: name}
}

// TableInForce implements router.Observer.
func (x *routerVersions) TableInForce(revision uint64) {
	v := x.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.highest[x.name] {
		v.reverts++
	}
	v.highest[x.name] = max(v.highest[x.name], revision)
	if at, ok := v.published[revision]; ok && v.unreachableUntil[x.name].Before(at) {
		v.slowest = max(v.slowest, time.Since(at))
	}
}

// pollInterval is the interval at which poll reads the current table.
const pollInterval = 5 * time.Millisecond

// poll observes the tables of a dispatcher, which has no observer for them.
func (v *versions) poll(name string, d *dispatch.Dispatcher) {
	at, last := v.observer(name), uint64(0)
	for ; !d.Closed(); time.Sleep(pollInterval) {
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

// state holds the faults that are active now.
type state struct {
	mu          sync.Mutex
	partitioned map[string]bool
	marked      map[string]bool
	flood       map[string]bool
	down        map[string]bool
}

func newState() *state {
	return &state{partitioned: map[string]bool{}, marked: map[string]bool{}, flood: map[string]bool{}, down: map[string]bool{}}
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

// floodFactor multiplies the request rate of an account during a flood.
const floodFactor = 50

// inject starts a fault at its time and ends it after its duration.
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
	c.versions.markUnreachable(c.affected(f), time.Now().Add(f.For))
	end := c.startFault(f)
	wait(f.For)
	end()
}

// affected returns the routers that a fault keeps from receiving tables.
func (c *cluster) affected(f Fault) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, s := range c.settingsByRouter {
		platform := f.Kind == "platform_down" || f.Kind == "platform_stale"
		zone := f.Kind == "partition" && s.Zone == f.Target
		self := (f.Kind == "restart" || f.Kind == "pause") && name == f.Target
		if platform || zone || self {
			names = append(names, name)
		}
	}
	return names
}

func (c *cluster) startFault(f Fault) (end func()) {
	st := c.state
	switch f.Kind {
	case "partition":
		set := func(on bool) {
			st.set(st.partitioned, f.Target, on)
			c.fabric.SetPartitioned(f.Target, on)
			c.recorder.SetPartitioned(f.Target, on)
		}
		set(true)
		return func() {
			set(false)
			c.drainMarked(f.Target)
		}
	case "restart":
		st.set(st.down, f.Target, true)
		zone := c.settingsByRouter[f.Target].Zone
		c.killNode(f.Target)
		return func() {
			_ = c.startNode(zone, f.Target)
			st.set(st.down, f.Target, false)
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
		return c.markBackend(f.Target, table.Leaving)
	case "stop":
		return c.markBackend(f.Target, table.Stopping)
	case "flood":
		st.set(st.flood, f.Target, true)
		return func() { st.set(st.flood, f.Target, false) }
	default:
		return c.editAccount(f.Target)
	}
}

func (c *cluster) pause(name string) (end func()) {
	n := c.node(name)
	if n == nil {
		return func() {}
	}
	c.state.set(c.state.down, name, true)
	c.fabric.SetPaused(name, true)
	resume := pauseLoop(n)
	return func() {
		resume()
		c.fabric.SetPaused(name, false)
		c.state.set(c.state.down, name, false)
	}
}

// pauseLoop pauses the event loop of a router.
func pauseLoop(n *node.Node) (resume func()) {
	if n.Router != nil {
		return n.Router.PauseLoop()
	}
	return n.Dispatch.PauseLoop()
}

// markBackend marks a backend server. The mark outlasts the fault.
func (c *cluster) markBackend(name string, m table.Mark) (end func()) {
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
	if !c.state.get(c.state.partitioned, zone) {
		c.recorder.MarkDraining(name)
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

// drainMarked records the marks that a zone could not receive during a partition.
func (c *cluster) drainMarked(zone string) {
	for _, b := range c.table.Backends {
		if b.Zone == zone && c.state.get(c.state.marked, b.Name) {
			c.recorder.MarkDraining(b.Name)
		}
	}
}

// editAccount publishes a table with another queue limit of an account, which changes no decision.
func (c *cluster) editAccount(name string) (end func()) {
	for i := range c.table.Accounts {
		if c.table.Accounts[i].Name == name {
			c.table.Accounts[i].Limits.Queued++
		}
	}
	c.versions.publish(c)
	return func() {}
}

// reachable reports whether no partition separates two zones.
func (c *cluster) reachable(a, b string) bool {
	return a == b || !c.state.get(c.state.partitioned, a) && !c.state.get(c.state.partitioned, b)
}

// serving reports whether a backend server accepts new requests.
func (c *cluster) serving(name string) bool { return !c.state.get(c.state.marked, name) }
