// Package dispatch is the task around the decisions of package admit: it
// follows the platform, hears other routers, and answers the callers' side.
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
	// tickEvery is the interval of the core's own clock, busyTick while
	// something waits.
	tickEvery = 50 * time.Millisecond
	busyTick  = 10 * time.Millisecond
	inboxSize = 4096
)

// Source is the platform as a router reads it.
type Source interface {
	// Read reads everything as it is now.
	Read(ctx context.Context) (catalog.Update, error)
	// Watch waits for changes after a revision. Its error is
	// catalog.ErrCompacted if the platform does not remember them.
	Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Update, error)
	// Revision returns the platform's revision as it is now.
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

// Identity is who a router is.
type Identity struct {
	// Name is the router's name in logs.
	Name string
	// Address is where it listens for peers.
	Address string
	// Zone is the availability zone.
	Zone string
	// Incarnation is the wall-clock start time in nanoseconds.
	Incarnation uint64
	// Capacity is the share of processors, 0 if it is not stated.
	Capacity float64
	// ListenAddresses are all addresses on which the router listens.
	ListenAddresses []string
}

// Dispatcher is one router's scheduler.
type Dispatcher struct {
	id      Identity
	opt     options
	source  Source
	net     Transport
	started time.Time
	// begun is the same by the steady clock, by which lag is measured: a suspension is
	// none.
	begun  time.Time
	events chan event
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	shared shared
	screen screen
}

// shared is what other tasks may read of the state.
type shared struct {
	view     atomic.Pointer[table.Table]
	status   atomic.Pointer[Status]
	draining atomic.Bool
	// overloaded says that this router cannot keep up with its requests.
	overloaded atomic.Bool
	// hurried says that it could not work on all of its requests a moment ago, refusing
	// that it refuses many.
	hurried, refusing atomic.Bool
	// pace is how well it keeps up, nil before that was measured.
	pace atomic.Pointer[LoadStats]
	// asOf is the platform's revision up to which all is known, nil before anything is.
	asOf atomic.Pointer[catalog.Revision]
	// endWatch ends the watch that waits, nil if there is none.
	endWatch atomic.Pointer[context.CancelFunc]
	// verified is when that was last known to be the newest, on the
	// dispatcher's clock; 0 if never.
	verified atomic.Int64
	// applyWithin is the option of that name, in nanoseconds.
	applyWithin atomic.Int64
	// readFails counts the reads of the platform that failed since one did not.
	readFails atomic.Int64
	// lack is why there is no table, nil if that is not known.
	lack atomic.Pointer[error]
	// routers is how many routers are known, those that fell silent lately with them.
	routers atomic.Int64
	// turn is this router's place among those that read the platform.
	turn atomic.Int64
}

type options struct {
	log         *slog.Logger
	seeds       []string
	rule        allowance.Rule
	applyWithin time.Duration
	// draw draws from 0 up to 1.
	draw func() float64
	// forwarder is told of the other routers, nil if nothing is handed on.
	forwarder Forwarder
	clock     *clock.Clock
	// wall tells the time of day, by which callers say when they first used a key.
	wall func() time.Time
	// core are passed on to the decisions.
	core []admit.Option
	// weights says that accounts are served by their weights.
	weights bool
	// loads reads those of backend servers, nil if nobody does.
	loads LoadReader
}

// Forwarder hands callers' connections on to other routers.
type Forwarder interface {
	// SetPeers replaces the routers that take some, EndStreamsExcept ends what is under
	// way with all that do not live, Lost with one.
	SetPeers(list []forward.Peer)
	EndStreamsExcept(live map[string]bool)
	EndStreams(address string)
}

// WithForwarder sets who is told of the other routers to which connections may be handed.
func WithForwarder(f Forwarder) Option { return func(o *options) { o.forwarder = f } }

// Option changes a new Dispatcher.
type Option func(*options)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSeeds sets the addresses of the routers to begin with.
func WithSeeds(seeds []string) Option { return func(o *options) { o.seeds = seeds } }

// WithRetryBudget sets the fleet's retry budget.
func WithRetryBudget(r allowance.Rule) Option { return func(o *options) { o.rule = r } }

// WithApplyWithin sets within what time a change at the platform is to be in
// force at every router that can hear of it.
func WithApplyWithin(d time.Duration) Option { return func(o *options) { o.applyWithin = d } }

// WithClock sets the clock by which all that is believed ages.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithUniqueStarts says that each start of a backend server has a name of its own unless the
// directory gives it a number, and refuses what is meant for another.
func WithUniqueStarts() Option {
	return func(o *options) { o.core = append(o.core, admit.WithUniqueIncarnations()) }
}

// WithRandom sets the source of random numbers in [0, 1) that selects which requests are
// admitted when an account is throttled. The default is rand.Float64.
func WithRandom(draw func() float64) Option { return func(o *options) { o.draw = draw } }

// DefaultApplyWithin is used where settings do not say.
const DefaultApplyWithin = 2 * time.Second

// New returns a dispatcher that Start starts.
func New(id Identity, source Source, n Transport, opts ...Option) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		id: id, source: source, net: n, begun: time.Now(),
		opt: options{
			log: slog.Default(), rule: allowance.DefaultRule(), applyWithin: DefaultApplyWithin, draw: rand.Float64, clock: clock.System(), wall: time.Now,
		},
		events: make(chan event, inboxSize), ctx: ctx, cancel: cancel, screen: newScreen(),
	}
	for _, f := range opts {
		f(&d.opt)
	}
	d.started = d.opt.clock.Now()
	d.shared.applyWithin.Store(int64(d.opt.applyWithin))
	return d
}

// Reconfigure replaces the retry budget and the time within which platform changes must
// be applied.
func (d *Dispatcher) Reconfigure(r allowance.Rule, applyWithin time.Duration) {
	d.shared.applyWithin.Store(int64(applyWithin))
	d.post(setRule{r})
}

type setRule struct{ allowance.Rule }

func (e setRule) apply(s *state) {
	s.rule = e.Rule
	s.allowance.SetRule(e.Rule)
}

// Start starts the tasks.
func (d *Dispatcher) Start() {
	tasks := []func(){d.run, d.watch, d.verify, d.measureLag}
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

// Close ends the tasks at once.
func (d *Dispatcher) Close() {
	d.cancel()
	d.tasks.Wait()
}

// Closed reports whether Close was called.
func (d *Dispatcher) Closed() bool { return d.ctx.Err() != nil }

// clockStart is what the dispatcher's clock shows at its start, so that no
// moment is the zero time.
const clockStart = time.Hour

// now is the dispatcher's clock, which only runs on, also while the machine is suspended.
func (d *Dispatcher) now() time.Duration { return clockStart + d.opt.clock.Since(d.started) }

// event is what the task takes in one step.
type event interface{ apply(s *state) }

// run is the task that owns the state.
func (d *Dispatcher) run() {
	s := newState(d)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	soon := time.NewTimer(busyTick)
	defer soon.Stop()
	armed := true
	for {
		if !armed && s.core.NeedsTicks() {
			soon.Reset(busyTick)
			armed = true
		}
		select {
		case <-d.ctx.Done():
			return
		case <-soon.C:
			armed = false
			s.apply(ticked{})
		case ev := <-d.events:
			s.apply(ev)
		case in := <-d.net.Inbox():
			s.apply(inbound{in})
		case l := <-d.net.Losses():
			s.apply(lost{l})
		case <-tick.C:
			s.apply(ticked{})
		}
	}
}

// post hands an event to the task, unless it has ended.
func (d *Dispatcher) post(ev event) bool {
	select {
	case d.events <- ev:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// asOf returns the platform's revision up to which all is known.
func (d *Dispatcher) asOf() catalog.Revision {
	if r := d.shared.asOf.Load(); r != nil {
		return *r
	}
	return catalog.Revision{}
}

// Table implements front.Scheduler.
func (d *Dispatcher) Table() *table.Table { return d.shared.view.Load() }

// Drain makes the router leave: others are told, and what waits is refused.
func (d *Dispatcher) Drain() {
	d.shared.draining.Store(true)
	d.post(drained{})
}

// Draining reports whether Drain was called.
func (d *Dispatcher) Draining() bool { return d.shared.draining.Load() }

// Overloaded reports whether this router cannot keep up with its requests.
func (d *Dispatcher) Overloaded() bool { return d.shared.overloaded.Load() }
