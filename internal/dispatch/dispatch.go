// Package dispatch runs the scheduler of package admit in a router. It reads the platform,
// exchanges messages with other routers and implements front.Scheduler.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/allowance"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const (
	// The core receives ticks every tickInterval, and every busyTickInterval while requests
	// wait.
	tickInterval     = 50 * time.Millisecond
	busyTickInterval = 10 * time.Millisecond
	inboxSize        = 4096
)

// Source reads what the platform publishes.
type Source interface {
	// Read returns everything that is published.
	Read(ctx context.Context) (catalog.Update, error)
	// Watch waits for changes after a revision. It returns catalog.ErrCompacted if the
	// platform no longer keeps them.
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Update, error)
	// Revision returns the platform's current revision.
	Revision(ctx context.Context) (catalog.Revision, error)
}

// Transport sends messages to other routers by address and receives theirs.
type Transport interface {
	Send(to string, msg any)
	// SetIncarnation changes the incarnation number sent to peers.
	SetIncarnation(inc uint64)
	Inbox() <-chan peer.Inbound
	Losses() <-chan peer.Loss
}

// Identity describes a router.
type Identity struct {
	// Name is used in logs.
	Name string
	// Address is where the router listens for peers.
	Address string
	Zone    string
	// Incarnation is the wall-clock start time in nanoseconds.
	Incarnation uint64
	// Capacity is the router's share of processors, 0 if unknown.
	Capacity float64
	// ListenAddresses are all addresses on which the router listens.
	ListenAddresses []string
}

// Dispatcher is one router's scheduler.
type Dispatcher struct {
	id        Identity
	opt       options
	source    Source
	transport Transport
	startTime time.Time
	// steadyStart is the start time on the monotonic clock, which stops while the machine
	// is suspended. Lag is measured on it, so that a suspension does not count as lag.
	steadyStart time.Time
	events      chan event
	ctx         context.Context
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
	shared      shared
	admission   admission
	// historyRequests asks for the platform's history as of a revision.
	historyRequests chan historyRequest
	// verifyRequests asks for a verification of the known revision.
	verifyRequests chan struct{}
}

// shared holds the state that other goroutines may read.
type shared struct {
	table  atomic.Pointer[table.Table]
	status atomic.Pointer[Status]
	// leaving is true once other routers are told that this one stops soon, draining while it stops.
	leaving, draining atomic.Bool
	// overloaded is true while the router can process only a small fraction of its
	// requests.
	overloaded atomic.Bool
	// saturated is true while the router lacks processor time for some of its requests,
	// shedding while it refuses many.
	saturated, shedding atomic.Bool
	// loadStats is nil before the first measurement.
	loadStats atomic.Pointer[LoadStats]
	// asOf is the platform revision up to which everything is known, nil before the first
	// update.
	asOf atomic.Pointer[catalog.Revision]
	// cancelWatch cancels the pending watch, nil if there is none.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// lastVerified is when the known revision was last confirmed as the newest, on the
	// dispatcher's clock; 0 if never.
	lastVerified atomic.Int64
	// verifyWanted is the latest time for which a verification was requested.
	verifyWanted atomic.Int64
	// applyWithin is the option of that name in nanoseconds.
	applyWithin atomic.Int64
	// versionsMissing says that the software versions of some backend servers are not known.
	versionsMissing atomic.Bool
	// seeds are the addresses of the routers to contact first.
	seeds atomic.Pointer[[]string]
	// readEverything says that this router has read everything that is published itself.
	readEverything atomic.Bool
	// versionsReadAt is when this router last read everything for that, on the dispatcher's clock.
	versionsReadAt atomic.Int64
	// readFailures counts failed platform reads since the last success.
	readFailures atomic.Int64
	// noTableReason is why there is no table, nil if unknown.
	noTableReason atomic.Pointer[error]
	// routerCount is the number of known routers, including those that became silent
	// recently.
	routerCount atomic.Int64
	// readerRank is this router's position in the order of platform readers, from 0.
	readerRank atomic.Int64
}

type options struct {
	log         *slog.Logger
	seeds       []string
	retryConfig allowance.Config
	applyWithin time.Duration
	// history is how long the platform keeps past changes, 0 if it keeps none.
	history time.Duration
	// random returns numbers in [0, 1).
	random func() float64
	// regions holds the region of each availability zone, nil if there are none.
	regions map[string]string
	// forwarder is nil if connections are not forwarded.
	forwarder Forwarder
	clock     *clock.Clock
	// wallClock returns the time of day. Callers state the first use of an idempotency key
	// by it.
	wallClock   func() time.Time
	coreOptions []admit.Option
	// weighted is true if accounts are scheduled by weight.
	weighted bool
	// loadReader is nil if backend loads are not polled.
	loadReader LoadReader
}

// Forwarder forwards callers' connections to other routers.
type Forwarder interface {
	// SetPeers replaces the routers that accept forwarded connections. EndStreamsExcept
	// ends the streams with all routers that are not alive, EndStreams those with one
	// router.
	SetPeers(list []forward.Peer)
	EndStreamsExcept(live map[string]bool)
	EndStreams(address string, why forward.Reason)
	// EndStreamsBefore ends the streams with the processes of a router before an incarnation.
	EndStreamsBefore(address string, incarnation uint64)
}

// WithForwarder sets the forwarder that is kept up to date with the live routers.
func WithForwarder(f Forwarder) Option { return func(o *options) { o.forwarder = f } }

// Option changes a new Dispatcher.
type Option func(*options)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSeeds sets the addresses of the routers to contact first.
func WithSeeds(seeds []string) Option { return func(o *options) { o.seeds = seeds } }

// WithRetryBudget sets the fleet's retry budget.
func WithRetryBudget(r allowance.Config) Option { return func(o *options) { o.retryConfig = r } }

// WithApplyWithin sets the time within which every reachable router must apply a change at the
// platform.
func WithApplyWithin(d time.Duration) Option { return func(o *options) { o.applyWithin = d } }

// WithHistory sets for how long the platform keeps past changes. By default it keeps none.
func WithHistory(d time.Duration) Option { return func(o *options) { o.history = d } }

// WithClock sets the clock that measures the age of all state.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithUniqueIncarnations declares that every start of a backend server has its own name, unless the
// directory numbers the starts. Requests that are meant for another start are refused.
func WithUniqueIncarnations() Option {
	return func(o *options) { o.coreOptions = append(o.coreOptions, admit.WithUniqueIncarnations()) }
}

// WithRegions sets the region of each availability zone, which the restrictions of routes and
// accounts to some regions refer to.
func WithRegions(byZone map[string]string) Option {
	return func(o *options) {
		o.regions = byZone
		o.coreOptions = append(o.coreOptions, admit.WithRegions(byZone))
	}
}

// WithRandom sets the source of random numbers in [0, 1) that selects which requests are
// admitted when an account is throttled. The default is rand.Float64.
func WithRandom(randomFloat func() float64) Option {
	return func(o *options) { o.random = randomFloat }
}

// DefaultApplyWithin applies where the settings give no value.
const DefaultApplyWithin = 2 * time.Second

// New returns a dispatcher. Call Start to run it.
func New(id Identity, source Source, n Transport, opts ...Option) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		id: id, source: source, transport: n, steadyStart: time.Now(),
		opt: options{
			log: slog.Default(), retryConfig: allowance.DefaultConfig(), applyWithin: DefaultApplyWithin, random: rand.Float64, clock: clock.System(), wallClock: time.Now,
		},
		events: make(chan event, inboxSize), ctx: ctx, cancel: cancel, admission: newAdmission(),
		historyRequests: make(chan historyRequest, 1), verifyRequests: make(chan struct{}, 1),
	}
	for _, f := range opts {
		f(&d.opt)
	}
	d.startTime = d.opt.clock.Now()
	d.shared.applyWithin.Store(int64(d.opt.applyWithin))
	d.shared.seeds.Store(&d.opt.seeds)
	return d
}

// Reconfigure replaces the retry budget and the time within which platform changes must
// be applied.
func (d *Dispatcher) Reconfigure(r allowance.Config, applyWithin time.Duration) {
	d.shared.applyWithin.Store(int64(applyWithin))
	d.post(setApplyWithinEvent{applyWithin})
	d.post(setRetryConfigEvent{r})
}

type setRetryConfigEvent struct{ allowance.Config }

func (e setRetryConfigEvent) apply(s *state) {
	s.retryConfig = e.Config
	s.retryBudget.Reconfigure(s.now, e.Config)
}

// Start starts the goroutines.
func (d *Dispatcher) Start() {
	tasks := []func(){d.run, d.watchPlatform, d.verifyPlatform, d.verifyOnRequest, d.readHistories, d.measureLag}
	if l, ok := d.source.(InstanceLister); ok {
		tasks = append(tasks, func() { d.watchInstances(l) })
	}
	for _, task := range tasks {
		d.tasks.Add(1)
		go func() {
			defer d.tasks.Done()
			task()
		}()
	}
}

// Close stops the goroutines and waits for them.
func (d *Dispatcher) Close() {
	d.cancel()
	d.tasks.Wait()
}

// Closed reports whether Close was called.
func (d *Dispatcher) Closed() bool { return d.ctx.Err() != nil }

// clockStart is the reading of the dispatcher's clock at the start, so that 0 can mean "never".
const clockStart = time.Hour

// now returns the time on the dispatcher's clock, which also counts while the machine is
// suspended.
func (d *Dispatcher) now() time.Duration { return clockStart + d.opt.clock.Since(d.startTime) }

// event is one step of the event loop.
type event interface{ apply(s *state) }

// run is the event loop. It owns the state.
func (d *Dispatcher) run() {
	s := newState(d)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	busyTimer := time.NewTimer(busyTickInterval)
	defer busyTimer.Stop()
	armed := true
	for {
		if !armed && s.core.NeedsTicks() {
			busyTimer.Reset(busyTickInterval)
			armed = true
		}
		select {
		case <-d.ctx.Done():
			return
		case <-busyTimer.C:
			armed = false
			s.apply(tickEvent{})
		case ev := <-d.events:
			s.apply(ev)
		case in := <-d.transport.Inbox():
			s.apply(messageEvent{in})
		case l := <-d.transport.Losses():
			s.apply(lossEvent{l})
		case <-tick.C:
			s.apply(tickEvent{})
		}
	}
}

// post queues an event for the event loop. It reports false if the dispatcher was closed.
func (d *Dispatcher) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// asOf returns the platform revision up to which everything is known.
func (d *Dispatcher) asOf() catalog.Revision {
	if r := d.shared.asOf.Load(); r != nil {
		return *r
	}
	return catalog.Revision{}
}

// Table implements front.Scheduler.
func (d *Dispatcher) Table() *table.Table { return d.shared.table.Load() }

// Leave announces to other routers that this one stops soon, so that they take over what it does for
// them. Requests of its own callers go on.
func (d *Dispatcher) Leave() {
	d.shared.leaving.Store(true)
	d.post(leaveEvent{})
}

// Drain also refuses waiting requests, if accounts are scheduled by weight.
func (d *Dispatcher) Drain() {
	d.shared.draining.Store(true)
	d.Leave()
	d.post(drainEvent{})
}

// Draining reports whether Drain was called.
func (d *Dispatcher) Draining() bool { return d.shared.draining.Load() }

// Overloaded reports whether this router can process only a small fraction of its requests.
func (d *Dispatcher) Overloaded() bool { return d.shared.overloaded.Load() }
