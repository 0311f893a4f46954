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

// TableName is the platform's name of the table's value.
const TableName = "table"

// notReaderPause is how often a router that reads nothing looks whether it
// has become a reader.
const notReaderPause = 100 * time.Millisecond

// newBackoff spreads the retries of all routers after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 200 * time.Millisecond
	b.MaxInterval = 5 * time.Second
	b.RandomizationFactor = 0.5
	return b
}

// pause waits; it reports false if the router ends meanwhile.
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

// follow calls read again and again with the greatest revision read so far.
// It pauses after an error, and after an older revision, which a stale
// platform gives at once.
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

// watchInstances is the task that follows the platform's list.
func (r *Router) watchInstances() {
	r.follow(func(after uint64) (uint64, error) {
		list, news, err := r.platform.WatchInstances(r.ctx, after)
		if err != nil || !news {
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

// watchTable is the task that reads the table while this router is a reader.
func (r *Router) watchTable() {
	pages := newPages(r.platform)
	r.follow(func(after uint64) (uint64, error) {
		if !r.snapshot.reader.Load() {
			r.pause(notReaderPause + rand.N(notReaderPause))
			return after, nil
		}
		v, news, err := r.platform.Watch(r.ctx, TableName, after)
		if err != nil || !news {
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

// loadFeed is the task that reads one backend server's load.
type loadFeed struct {
	cancel context.CancelFunc
	// soon asks for a reading before the next regular one.
	soon chan struct{}
}

// readSoon asks the readers of the owned pools for the loads as they will be
// when a backend server has noticed that a router is gone.
func (c *core) readSoon() {
	for _, f := range c.feeds {
		select {
		case f.soon <- struct{}{}:
		default:
		}
	}
}

// feedLoads starts and ends load readers so that there is one for each
// backend server of the owned pools.
func (c *core) feedLoads() {
	wanted := map[string]bool{}
	for p := range c.owners {
		for _, b := range c.pools[p] {
			wanted[b.Name] = true
			if _, ok := c.feeds[b.Name]; !ok {
				c.feeds[b.Name] = c.r.feedLoad(b)
			}
		}
	}
	for name, f := range c.feeds {
		if !wanted[name] {
			f.cancel()
			delete(c.feeds, name)
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

// soonAfter is a little more than pool.LoadLag, after which a reading counts.
const soonAfter = pool.LoadLag + 50*time.Millisecond

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
			if !r.pause(soonAfter) {
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
