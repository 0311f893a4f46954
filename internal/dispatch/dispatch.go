// Package dispatch is the task around the decisions of package admit: it
// follows the platform, hears other routers, and answers the callers' side.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const (
	// tickEvery is the interval of the core's own clock.
	tickEvery = 50 * time.Millisecond
	inboxSize = 4096
)

// Source is the platform as a router reads it.
type Source interface {
	// Read reads everything as it is now.
	Read(ctx context.Context) (catalog.News, error)
	// Watch waits for changes after a revision. Its error is
	// catalog.ErrForgotten if the platform does not remember them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.News, error)
}

// Identity is who a router is.
type Identity struct {
	// Name is the router's name in logs.
	Name string
	// Zone is the availability zone.
	Zone string
	// Inc is the incarnation: the wall time of the start in nanoseconds.
	Inc uint64
}

// Dispatcher is one router's scheduler.
type Dispatcher struct {
	id      Identity
	source  Source
	log     *slog.Logger
	started time.Time
	events  chan event
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	view    atomic.Pointer[table.Table]
	drain   atomic.Bool
}

// Option changes a new Dispatcher.
type Option func(*Dispatcher)

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(d *Dispatcher) { d.log = l } }

// New returns a dispatcher that Start starts.
func New(id Identity, source Source, opts ...Option) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		id: id, source: source, log: slog.Default(), started: time.Now(),
		events: make(chan event, inboxSize), ctx: ctx, cancel: cancel,
	}
	for _, f := range opts {
		f(d)
	}
	return d
}

// Start starts the tasks.
func (d *Dispatcher) Start() {
	d.tasks.Add(2)
	go func() {
		defer d.tasks.Done()
		d.run()
	}()
	go func() {
		defer d.tasks.Done()
		d.follow()
	}()
}

// Close ends the tasks at once.
func (d *Dispatcher) Close() {
	d.cancel()
	d.tasks.Wait()
}

// now is the dispatcher's clock, which only runs on.
func (d *Dispatcher) now() time.Duration { return time.Since(d.started) }

// event is what the task takes in one step.
type event interface{ apply(s *state) }

// state is what the task owns.
type state struct {
	d       *Dispatcher
	now     time.Duration
	core    *admit.Core
	catalog *catalog.Catalog
	nextID  uint64
	waiting map[uint64]*attempt
}

// run is the task that owns the decisions.
func (d *Dispatcher) run() {
	s := &state{d: d, core: admit.New(d.id.Zone), catalog: catalog.New(), waiting: map[uint64]*attempt{}}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case ev := <-d.events:
			s.now = d.now()
			ev.apply(s)
		case <-tick.C:
			s.now = d.now()
		}
	}
}

// step lets the core take an event and does what it says.
func (s *state) step(ev admit.Event) {
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case admit.Start:
			s.reply(a.ID, decision{backend: a.Backend})
		case admit.Refuse:
			s.reply(a.ID, decision{err: a.Err})
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

// Table implements front.Scheduler.
func (d *Dispatcher) Table() *table.Table { return d.view.Load() }

// MayRetry implements front.Scheduler.
func (d *Dispatcher) MayRetry(front.Request) bool { return true }

// Claim implements front.Scheduler.
func (d *Dispatcher) Claim(context.Context, front.Claim) error { return nil }

// Unclaim implements front.Scheduler.
func (d *Dispatcher) Unclaim(front.Claim) {}

// Drain makes the dispatcher's router leave.
func (d *Dispatcher) Drain() { d.drain.Store(true) }

// Draining reports whether Drain was called.
func (d *Dispatcher) Draining() bool { return d.drain.Load() }

// State is the router's state for operators.
func (d *Dispatcher) State() any {
	return Status{Name: d.id.Name, Zone: d.id.Zone, Incarnation: d.id.Inc, Draining: d.Draining()}
}

// Status is one router's state, for operators.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
}
