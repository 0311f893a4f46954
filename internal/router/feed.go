package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TableName is the name of the table's value on the platform.
const TableName = "table"

// readerCheckInterval is how often a router that is not a reader checks whether
// it has become one.
const readerCheckInterval = 100 * time.Millisecond

// newBackoff returns a randomized backoff, so that routers do not retry in
// lockstep after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 200 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	b.RandomizationFactor = 0.5
	return b
}

// pause waits for d. It reports false if the router is closed meanwhile.
func (r *Router) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// follow calls read repeatedly with the greatest revision read so far. It backs
// off after an error and after an older revision, which a stale platform
// returns without delay.
func (r *Router) follow(read func(after uint64) (revision uint64, err error)) {
	wait := newBackoff()
	after := uint64(0)
	for r.ctx.Err() == nil {
		revision, err := read(after)
		if err == nil && revision >= after {
			wait.Reset()
			after = revision
			continue
		}
		if err != nil {
			r.count("platform_errors")
		}
		if !r.pause(wait.NextBackOff()) {
			return
		}
	}
}

// watchInstances follows the platform's list of instances.
func (r *Router) watchInstances() {
	r.follow(func(after uint64) (uint64, error) {
		list, changed, err := r.platform.WatchInstances(r.ctx, after)
		if err != nil || !changed {
			return after, err
		}
		if list.Revision > after {
			r.post(instances{list})
		}
		return list.Revision, nil
	})
}

type instances struct{ platform.Instances }

func (e instances) apply(c *core) {
	c.instances = e.Instances.Instances
	c.instancesChanged()
}

// watchTable follows the table while this router is a reader.
func (r *Router) watchTable() {
	pages := newPageReader(r.platform)
	r.follow(func(after uint64) (uint64, error) {
		if !r.snapshot.reader.Load() {
			r.pause(readerCheckInterval + rand.N(readerCheckInterval))
			return after, nil
		}
		v, changed, err := r.platform.Watch(r.ctx, TableName, after)
		if err != nil || !changed {
			return after, err
		}
		if v.Revision <= after {
			return v.Revision, nil
		}
		read, err := pages.read(r.ctx, v)
		if err != nil {
			return after, err
		}
		r.post(read)
		return v.Revision, nil
	})
}

type tableRead struct{ tablesync.PlatformValue }

func (e tableRead) apply(c *core) { c.runSync(e.PlatformValue) }

// loadFeed reads the load of one backend server periodically.
type loadFeed struct {
	cancel context.CancelFunc
	// soon requests an early reading.
	soon chan struct{}
}

// readLoadsSoon requests early readings for the owned pools, after the time
// that a backend server needs to notice the disconnection of a router.
func (c *core) readLoadsSoon() {
	for _, f := range c.loadFeeds {
		select {
		case f.soon <- struct{}{}:
		default:
		}
	}
}

// updateLoadFeeds starts and stops load feeds so that there is one for each
// backend server of the owned pools.
func (c *core) updateLoadFeeds() {
	wanted := map[string]bool{}
	for p := range c.owners {
		for _, b := range c.pools[p] {
			wanted[b.Name] = true
			if _, ok := c.loadFeeds[b.Name]; !ok {
				c.loadFeeds[b.Name] = c.r.feedLoad(b)
			}
		}
	}
	for name, f := range c.loadFeeds {
		if !wanted[name] {
			f.cancel()
			delete(c.loadFeeds, name)
		}
	}
}

func (r *Router) feedLoad(b table.Backend) *loadFeed {
	ctx, cancel := context.WithCancel(r.ctx)
	f := &loadFeed{cancel: cancel, soon: make(chan struct{}, 1)}
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		r.readLoads(ctx, b, f.soon)
	}()
	return f
}

// earlyReadDelay exceeds pool.LoadLag, so that the owner trusts the reading.
const earlyReadDelay = pool.LoadLag + 50*time.Millisecond

func (r *Router) readLoads(ctx context.Context, b table.Backend, soon <-chan struct{}) {
	for ctx.Err() == nil {
		n, err := r.loads.Load(ctx, b)
		if ctx.Err() != nil {
			return
		}
		r.post(loadRead{backend: b.Name, inFlight: n, err: err})
		select {
		case <-time.After(DefaultLoadInterval):
		case <-soon:
			if !r.pause(earlyReadDelay) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

type loadRead struct {
	backend  string
	inFlight int
	err      error
}

func (e loadRead) apply(c *core) {
	if c.table == nil {
		return
	}
	b, ok := c.table.Backend(e.backend)
	if !ok {
		return
	}
	for _, p := range wire.SortedPools(c.owners) {
		if p.Model == b.Models[0] && p.Zone == b.Zone {
			c.runOwner(c.owners[p], e.event())
		}
	}
}

func (e loadRead) event() pool.Event {
	if e.err != nil {
		return pool.Unreachable{Backend: e.backend}
	}
	return pool.Load{Backend: e.backend, InFlight: e.inFlight}
}
