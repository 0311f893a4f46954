// Package router joins the pure cores (members, table, holder, owners) with
// the tasks around them. One task owns all of the cores; everything else
// talks to it by messages.
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
	// TickEvery is the interval of the core's own clock.
	TickEvery = 50 * time.Millisecond
	// awayAfter is a gap between two ticks that means the process was
	// paused: what it believed before may be long out of date.
	awayAfter = time.Second
	// DefaultLoadEvery is the interval at which an owner reads a backend
	// server's load.
	DefaultLoadEvery = time.Second
	inboxSize        = 8192
)

// Platform is what the router reads of the platform.
type Platform interface {
	Watch(ctx context.Context, name string, after uint64) (platform.Value, bool, error)
	WatchInstances(ctx context.Context, after uint64) (platform.Instances, bool, error)
}

// Loads reads the load of backend servers.
type Loads interface {
	// Load returns how many requests run there.
	Load(ctx context.Context, b table.Backend) (int, error)
}

// Net carries messages to peers.
type Net interface {
	Send(to string, msg any)
	Inbox() <-chan peer.Inbound
	Losses() <-chan peer.Loss
	SetAddresses(addrs map[string]string)
}

// Identity is who a router is.
type Identity struct {
	// Name is unique in the fleet.
	Name string
	// Zone is the availability zone.
	Zone string
	// Inc is the incarnation: the wall time of the start in nanoseconds.
	Inc uint64
}

// Router is one router's scheduler.
type Router struct {
	id       Identity
	opt      options
	net      Net
	platform Platform
	loads    Loads
	started  time.Time
	events   chan event
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	snapshot snapshot
	// pauseMu is held to freeze the core; only tests and measurements do.
	pauseMu sync.Mutex
	// busy is the time spent in the core, in nanoseconds.
	busy atomic.Int64
}

type options struct {
	log       *slog.Logger
	pool      []pool.Option
	hold      []hold.Option
	clock     func() time.Duration
	observers []Observer
}

// Observer is told of what the router decides. It must not block.
type Observer interface {
	// TableInForce is called when a version comes into force.
	TableInForce(revision uint64)
}

// Option changes a new Router.
type Option func(*options)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithPool passes options on to the owners of pools.
func WithPool(opts ...pool.Option) Option { return func(o *options) { o.pool = opts } }

// WithHold passes options on to the holder.
func WithHold(opts ...hold.Option) Option { return func(o *options) { o.hold = opts } }

// WithClock replaces the router's clock, for tests.
func WithClock(clock func() time.Duration) Option { return func(o *options) { o.clock = clock } }

// WithObserver adds one who is told of decisions.
func WithObserver(ob Observer) Option {
	return func(o *options) { o.observers = append(o.observers, ob) }
}

// New returns a router that Run starts.
func New(id Identity, n Net, p Platform, loads Loads, opts ...Option) *Router {
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

// Start starts the router's tasks.
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

// Close ends the router's tasks at once.
func (r *Router) Close() {
	r.cancel()
	r.tasks.Wait()
}

// now is the router's clock: the wall time of its start, run on by the
// monotonic clock. It never goes back and is unique to this start.
func (r *Router) now() time.Duration {
	if r.opt.clock != nil {
		return r.opt.clock()
	}
	return time.Duration(r.started.UnixNano()) + clock.System().Since(r.started)
}

// run is the task that owns the core.
func (r *Router) run(c *core) {
	tick := time.NewTicker(TickEvery)
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
			r.step(c, ticked{})
		}
	}
}

func (r *Router) step(c *core, ev event) {
	r.pauseMu.Lock()
	defer r.pauseMu.Unlock()
	begun := time.Now()
	c.step(r.now(), ev)
	r.busy.Add(int64(time.Since(begun)))
}

// Freeze stops the core until the returned function is called, as a paused
// process would. It is for tests and measurements.
func (r *Router) Freeze() (thaw func()) {
	r.pauseMu.Lock()
	return r.pauseMu.Unlock
}

// post hands an event to the core, unless the router has ended.
func (r *Router) post(ev event) bool {
	select {
	case r.events <- ev:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// Busy returns the time that the core has spent on decisions.
func (r *Router) Busy() time.Duration { return time.Duration(r.busy.Load()) }
