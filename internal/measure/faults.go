package measure

import (
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// versions records which table came into force where and when.
type versions struct {
	mu        sync.Mutex
	highest   map[string]uint64
	reverts   int
	published map[uint64]time.Time
	// slowest is the longest time from publishing to in force on a router
	// that could be reached at both moments.
	slowest time.Duration
	exempt  func(name string) bool
}

func newVersions() *versions {
	return &versions{highest: map[string]uint64{}, published: map[uint64]time.Time{}, exempt: func(string) bool { return false }}
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
	if at, ok := v.published[revision]; ok && !v.exempt(x.name) {
		v.slowest = max(v.slowest, time.Since(at))
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
	mend := c.begin(f)
	wait(f.For)
	mend()
}

func (c *cluster) begin(f Fault) (mend func()) {
	st := c.state
	switch f.Kind {
	case "partition":
		set := func(on bool) {
			st.set(st.cut, f.Target, on)
			c.fabric.Cut(f.Target, on)
			c.judge.Cut(f.Target, on)
		}
		set(true)
		return func() { set(false) }
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
	c.fabric.Freeze(name, true)
	thaw := n.Router.Freeze()
	return func() {
		thaw()
		c.fabric.Freeze(name, false)
		c.state.set(c.state.away, name, false)
	}
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
	c.judge.Close(name)
	c.versions.publish(c)
	return func() {}
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
