// Package router runs the state machines for membership, table, leases and
// pools. One goroutine owns their state; others communicate with it by events.
package router

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// The defaults.
const (
	// TickInterval is the interval between ticks of the core.
	TickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two events that counts as a pause of
	// the process, after which the core's state may be out of date.
	pauseThreshold = time.Second
	// DefaultLoadInterval is the interval at which an owner reads the load of a
	// backend server.
	DefaultLoadInterval = time.Second
	inboxSize           = 8192
)

// Platform reads values and the list of instances from the platform.
type Platform interface {
	Watch(ctx context.Context, name string, after uint64) (platform.Value, bool, error)
	WatchInstances(ctx context.Context, after uint64) (platform.Instances, bool, error)
}

// LoadReader reads the load of backend servers.
type LoadReader interface {
	// Load returns the number of requests that run on the backend server.
	Load(ctx context.Context, b table.Backend) (int, error)
}

// Transport sends and receives messages between routers.
type Transport interface {
	Send(to string, msg any)
	Inbox() <-chan peer.Inbound
	Losses() <-chan peer.Loss
	SetAddresses(addrs map[string]string)
}

// Identity identifies a router.
type Identity struct {
	// Name is unique in the fleet.
	Name string
	// Zone is the availability zone.
	Zone string
	// Incarnation is the wall time of the start in nanoseconds.
	Incarnation uint64
}

// Router is the scheduler of one router.
type Router struct {
	id       Identity
	opt      options
	net      Transport
	platform Platform
	loads    LoadReader
	started  time.Time
	events   chan event
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	snapshot snapshot
	// pauseMu pauses the core while held; see PauseLoop.
	pauseMu sync.Mutex
	// coreTime is the time spent in the core, in nanoseconds.
	coreTime atomic.Int64
}

type options struct {
	log       *slog.Logger
	pool      []pool.Option
	hold      []hold.Option
	clock     func() time.Duration
	observers []Observer
}

// Observer gets notifications of the router's decisions. It must not block.
type Observer interface {
	// TableInForce is called when a table revision comes into force.
	TableInForce(revision uint64)
}

// Option configures a new Router.
type Option func(*options)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithPool sets options for the owners of pools.
func WithPool(opts ...pool.Option) Option { return func(o *options) { o.pool = opts } }

// WithHold sets options for the holder.
func WithHold(opts ...hold.Option) Option { return func(o *options) { o.hold = opts } }

// WithClock replaces the router's clock, for tests.
func WithClock(clock func() time.Duration) Option { return func(o *options) { o.clock = clock } }

// WithObserver adds an observer.
func WithObserver(ob Observer) Option {
	return func(o *options) { o.observers = append(o.observers, ob) }
}

// New returns a router. Start starts it.
func New(id Identity, n Transport, p Platform, loads LoadReader, opts ...Option) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		id: id, net: n, platform: p, loads: loads,
		opt:     options{log: slog.Default()},
		started: clock.System().Now(),
		events:  make(chan event, inboxSize),
		ctx:     ctx, cancel: cancel,
	}
	for _, f := range opts {
		f(&r.opt)
	}
	return r
}

// Start starts the router's goroutines.
func (r *Router) Start() {
	c := newCore(r)
	r.tasks.Add(3)
	go func() {
		defer r.tasks.Done()
		r.run(c)
	}()
	go func() {
		defer r.tasks.Done()
		r.watchInstances()
	}()
	go func() {
		defer r.tasks.Done()
		r.watchTable()
	}()
}

// Close stops the router's goroutines and waits for them.
func (r *Router) Close() {
	r.cancel()
	r.tasks.Wait()
}

// now returns the time on the router's clock: the wall time of the start,
// advanced by the monotonic clock.
func (r *Router) now() time.Duration {
	if r.opt.clock != nil {
		return r.opt.clock()
	}
	return time.Duration(r.started.UnixNano()) + clock.System().Since(r.started)
}

// run is the event loop that owns the core.
func (r *Router) run(c *core) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case ev := <-r.events:
			r.step(c, ev)
		case in := <-r.net.Inbox():
			r.step(c, inbound{in})
		case l := <-r.net.Losses():
			r.step(c, lost{l})
		case <-tick.C:
			r.step(c, tickEvent{})
		}
	}
}

func (r *Router) step(c *core, ev event) {
	r.pauseMu.Lock()
	defer r.pauseMu.Unlock()
	start := time.Now()
	c.step(r.now(), ev)
	r.coreTime.Add(int64(time.Since(start)))
}

// PauseLoop blocks the event loop until resume is called, to simulate a paused
// process. It is for tests.
func (r *Router) PauseLoop() (resume func()) {
	r.pauseMu.Lock()
	return r.pauseMu.Unlock
}

// post sends an event to the core. It reports false if the router is closed.
func (r *Router) post(ev event) bool {
	select {
	case r.events <- ev:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// Busy returns the total processing time of the core.
func (r *Router) Busy() time.Duration { return time.Duration(r.coreTime.Load()) }
