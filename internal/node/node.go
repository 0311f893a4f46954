// Package node wires one router process: its listeners, the tasks behind
// them, and the order in which they start and stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/burn"
	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/metrics"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/internal/router"
	"github.com/yarrowmast/yarrowmast/internal/values"
	"github.com/yarrowmast/yarrowmast/pkg/allowance"
)

// Dialer opens a connection; net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is one running router.
type Node struct {
	Settings config.Settings
	// Router, Peers, Front and Platform are its parts, for measurements.
	Router   *router.Router
	Peers    *peer.Transport
	Front    *front.Server
	Platform *platform.Client

	// Dispatch decides where a platform is followed; Router does elsewhere.
	Dispatch *dispatch.Dispatcher

	core core
	// forwarder hands callers' connections on, nil where nobody takes them.
	forwarder *forward.Forwarder
	admin     *admin.Server
	metrics   *metrics.Metrics
	burn      *burn.Window
	backend   *backend.Client
	loads     *backend.LoadReader
	log       *slog.Logger
	clock     *clock.Clock
	failed    chan error
	stop      context.CancelFunc
	ls        *listeners
	// work is what the time had gone to when that was last looked at.
	work work

	mu          sync.Mutex
	drainNotice time.Duration
}

// core decides which request goes where.
type core interface {
	front.Scheduler
	Start()
	Drain()
	Close()
}

// Platform is an operators' platform that a router can be run on.
type Platform struct {
	// Source reads what it publishes at an IP number and port.
	Source func(address string, d Dialer) dispatch.Source
	// Callers and Backends are the headers spoken there.
	Callers  front.HeaderConfig
	Backends backend.HeaderConfig
}

type options struct {
	platforms map[string]Platform
	dialer    Dialer
	log       *slog.Logger
	router    []router.Option
	observer  front.Observer
	scheduler func(*router.Router) front.Scheduler
	clock     *clock.Clock
	wall      func() time.Time
	// owners says that the product's own interface is served by owners of backend servers.
	owners bool
}

// Option changes a new Node.
type Option func(*options)

// WithDialer replaces the plain TCP dialer of all connections.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithDispatcher has the product's own interface served by the owners of backend servers that
// serve operators' platforms, in place of owners of pools.
func WithDispatcher() Option { return func(o *options) { o.owners = true } }

// WithClock sets the clock by which the router's beliefs age and its deadlines end.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithWallClock sets what tells the time of day, by which the router's starts are told apart.
func WithWallClock(now func() time.Time) Option { return func(o *options) { o.wall = now } }

// WithPlatforms adds platforms by the names that settings give them.
func WithPlatforms(p map[string]Platform) Option { return func(o *options) { o.platforms = p } }

// WithRouter passes options on to the router.
func WithRouter(opts ...router.Option) Option {
	return func(o *options) { o.router = append(o.router, opts...) }
}

// WithObserver adds someone who is told how requests ended.
func WithObserver(ob front.Observer) Option { return func(o *options) { o.observer = ob } }

// WithScheduler replaces the router as the callers' scheduler, for baselines.
func WithScheduler(f func(*router.Router) front.Scheduler) Option {
	return func(o *options) { o.scheduler = f }
}

// dialTimeout bounds the opening of any connection.
const dialTimeout = time.Second

// Start starts a router by its settings.
func Start(s config.Settings, opts ...Option) (*Node, error) {
	o := options{
		dialer:    &net.Dialer{Timeout: dialTimeout},
		log:       slog.Default(),
		scheduler: func(r *router.Router) front.Scheduler { return r },
		clock:     clock.System(),
		wall:      time.Now,
	}
	for _, f := range opts {
		f(&o)
	}
	n := &Node{Settings: s, log: o.log.With("router", s.Name), failed: make(chan error, 3), drainNotice: s.DrainNotice, clock: o.clock}
	if err := n.start(s, o); err != nil {
		return nil, fmt.Errorf("node %s: %w", s.Name, err)
	}
	return n, nil
}

func (n *Node) start(s config.Settings, o options) error {
	ls, err := listenAll(s.Listen)
	if err != nil {
		return err
	}
	t, err := loadTLS(s.TLS)
	if err != nil {
		return errors.Join(err, ls.close())
	}
	n.metrics, err = metrics.New(s.Zone)
	if err != nil {
		return errors.Join(err, ls.close())
	}
	n.ls = ls
	n.burn = burn.New(s.Name, s.Objectives)
	inc := uint64(o.wall().UnixNano())
	backendOpts := []backend.Option{
		backend.WithDialer(o.dialer), backend.WithIdleTimeout(s.Backends.Idle), backend.WithMaxResponse(s.Backends.MaxAnswerBytes), backend.WithClock(n.clock),
	}
	frontOpts := []front.Option{
		front.WithCallerLimits(callersOf(s)), front.WithTLS(t.callers), front.WithLogger(n.log),
		front.WithObserver(observers{n.metrics, n.burn, o.observer}), front.WithClock(n.clock),
	}
	var scheduler front.Scheduler
	var source admin.Source
	switch {
	case s.PlatformKind == config.PlatformValues && o.owners:
		n.startOwners(s, o, t, inc)
		n.core, scheduler, source = n.Dispatch, n.Dispatch, n.Dispatch
	case s.PlatformKind == config.PlatformValues:
		n.startRouter(s, o, t, inc)
		n.core, scheduler, source = n.Router, o.scheduler(n.Router), n.Router
	default:
		p, ok := o.platforms[s.PlatformKind]
		if !ok {
			return errors.Join(fmt.Errorf("platform_kind %q is unknown; write one of %v", s.PlatformKind, slices.Sorted(maps.Keys(o.platforms))), ls.close())
		}
		n.startDispatcher(s, o, t, p, inc)
		d := n.Dispatch
		n.core, scheduler, source = d, d, d
		backendOpts = append(backendOpts, backend.WithHeaders(p.Backends))
		frontOpts = append(frontOpts, front.WithHeaders(p.Callers), front.WithRoutesOnly(), front.WithForwarder(n.forwarder))
	}
	n.backend = backend.New(backendOpts...)
	n.Front = front.New(s.Name, inc, scheduler, n.backend, frontOpts...)
	if n.forwarder != nil {
		n.forwarder.Bind(n.Peers, n.Front)
	}
	n.admin = admin.New(readiness{source, n.Front}, n.metrics.Handler(), func() any { return n.burn.Snapshot() }, t.admin)
	n.core.Start()
	n.serve(ls)
	return nil
}

// startDispatcher makes the scheduler of a router that follows a platform.
func (n *Node) startDispatcher(s config.Settings, o options, t tlsAll, p Platform, inc uint64) {
	id := dispatch.Identity{Name: s.Name, Address: n.ls.peers.Addr().String(), Zone: s.Zone, Incarnation: inc, Capacity: s.Machine.Processors, ListenAddresses: n.ls.addresses()}
	n.forwarder = forward.New(forward.WithBatchDelay(n.gatherForwarded), forward.WithClock(n.clock))
	n.Peers = peer.New(id.Name, id.Zone, id.Incarnation, n.ls.peers, append(n.peerOptions(o, t), peer.WithAddress(id.Address), peer.WithInterceptor(n.forwarder.Handle))...)
	opts := []dispatch.Option{
		dispatch.WithLogger(n.log), dispatch.WithSeeds(s.Seeds), dispatch.WithApplyWithin(s.ApplyWithin),
		dispatch.WithRetryBudget(ruleOf(s.Retries)), dispatch.WithForwarder(n.forwarder), dispatch.WithClock(n.clock),
	}
	if p.Backends.Instance != "" {
		opts = append(opts, dispatch.WithUniqueStarts())
	}
	n.Dispatch = dispatch.New(id, p.Source(s.Platform, o.dialer), n.Peers, opts...)
}

// startOwners makes the scheduler of a router that follows values of the platform.
func (n *Node) startOwners(s config.Settings, o options, t tlsAll, inc uint64) {
	id := dispatch.Identity{Name: s.Name, Address: n.ls.peers.Addr().String(), Zone: s.Zone, Incarnation: inc, Capacity: s.Machine.Processors, ListenAddresses: n.ls.addresses()}
	n.Peers = peer.New(id.Name, id.Zone, id.Incarnation, n.ls.peers, append(n.peerOptions(o, t), peer.WithAddress(id.Address))...)
	n.Platform = platform.New(s.Platform, platform.WithTransport(&http.Transport{DialContext: o.dialer.DialContext}))
	n.loads = backend.NewLoadReader(o.dialer)
	n.Dispatch = dispatch.New(id, values.New(n.Platform), n.Peers,
		dispatch.WithLogger(n.log), dispatch.WithSeeds(s.Seeds), dispatch.WithApplyWithin(s.ApplyWithin),
		dispatch.WithRetryBudget(ruleOf(s.Retries)), dispatch.WithClock(n.clock), dispatch.WithWeights(), dispatch.WithLoadReader(n.loads))
}

// gatherPart is the part of the time within which an event is to reach its caller for
// which pieces of an answer are collected before they go back to the router that has the
// caller: each takes it as long as a piece of its own answers.
const gatherPart = 0.25

// gatherForwarded is for how long answers to another router's callers are collected.
func (n *Node) gatherForwarded() time.Duration {
	return time.Duration(gatherPart * float64(n.Settings.Callers.PassWithin))
}

func (n *Node) peerOptions(o options, t tlsAll) []peer.Option {
	opts := []peer.Option{peer.WithDialer(o.dialer), peer.WithLogger(n.log)}
	if t.peers != nil {
		opts = append(opts, peer.WithTLS(t.peers))
	}
	return opts
}

// startRouter makes the router that owns pools of backend servers.
func (n *Node) startRouter(s config.Settings, o options, t tlsAll, inc uint64) {
	id := router.Identity{Name: s.Name, Zone: s.Zone, Inc: inc}
	n.Peers = peer.New(id.Name, id.Zone, id.Inc, n.ls.peers, n.peerOptions(o, t)...)
	n.Platform = platform.New(s.Platform, platform.WithTransport(&http.Transport{DialContext: o.dialer.DialContext}))
	n.loads = backend.NewLoadReader(o.dialer)
	opts := append([]router.Option{router.WithLogger(n.log), router.WithObserver(n.metrics)}, o.router...)
	n.Router = router.New(id, n.Peers, n.Platform, n.loads, opts...)
}

func (n *Node) serve(ls *listeners) {
	go func() { n.failed <- n.Front.Serve(ls.callers) }()
	go func() { n.failed <- n.admin.Serve(ls.admin) }()
	if ls.readiness != nil {
		go func() { n.failed <- n.admin.Serve(ls.readiness) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.watchClock(ctx)
	go n.gauge(ctx)
	n.log.Info("router_started", "zone", n.Settings.Zone, "callers", ls.callers.Addr().String(),
		"peers", ls.peers.Addr().String(), "admin", ls.admin.Addr().String())
}

// ListenAddresses returns where the router listens, with the ports that a 0 in the
// settings was given.
func (n *Node) ListenAddresses() config.Listen {
	l := config.Listen{
		Callers: n.ls.callers.Addr().String(), Peers: n.ls.peers.Addr().String(), Admin: n.ls.admin.Addr().String(),
	}
	if n.ls.readiness != nil {
		l.Readiness = n.ls.readiness.Addr().String()
	}
	return l
}

// Reload takes over settings that a running router can.
func (n *Node) Reload(s config.Settings) {
	n.mu.Lock()
	n.drainNotice = s.DrainNotice
	n.mu.Unlock()
	n.Front.SetCallerLimits(callersOf(s))
	if n.Dispatch != nil {
		n.Dispatch.Reconfigure(ruleOf(s.Retries), s.ApplyWithin)
	}
}

func (n *Node) notice() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drainNotice
}

func ruleOf(r config.Retries) allowance.Rule {
	return allowance.Rule{Ratio: r.Ratio, Extra: r.Extra, Window: r.Window}
}

// callersOf returns what callers may do by the settings.
func callersOf(s config.Settings) front.CallerLimits {
	return front.CallerLimits{
		MaxBody: s.Callers.MaxBodyBytes, MaxHeader: s.Callers.MaxHeaderBytes, Deadline: s.Callers.DefaultDeadline,
		IOTimeout: s.Callers.SlowCaller, MaxOpen: s.Callers.MaxOpen, MaxConnections: connectionsOf(s.Machine),
		MaxEventDelay: s.Callers.PassWithin,
	}
}

// Parts of the descriptors: callers' connections may take this one, the rest
// is for backend servers, peers and files.
const (
	callersPart      = 0.6
	otherDescriptors = 200
	// connectionMemory is what a caller's connection takes with its request, in
	// bytes; connectionsPart of the memory may be theirs. Heap and stacks of one
	// with a request of 12 kB take 36 kB, of an idle one 19 kB
	// (BenchmarkConnectionMemory); the rest is for the connection to the backend
	// server and for what the collector has not freed yet.
	connectionMemory = 64 << 10
	connectionsPart  = 0.5
)

// connectionsOf returns how many connections callers may have open, 0 for any
// number.
func connectionsOf(m config.Machine) int {
	most := 0
	if m.Descriptors > otherDescriptors {
		most = int(callersPart * float64(m.Descriptors-otherDescriptors))
	}
	if m.MemoryMB > 0 {
		byMemory := int(connectionsPart * float64(m.MemoryMB<<20) / connectionMemory)
		if most == 0 || byMemory < most {
			most = byMemory
		}
	}
	return most
}

// Failed delivers an error if a listener fails; nil means that it was closed.
func (n *Node) Failed() <-chan error { return n.failed }

// Stop ends the router as a planned stop does: for a while it goes on and only
// says that it is stopping, so that balancers notice; then nothing new is
// taken, leases go back, streams run to their end or until ctx is done.
func (n *Node) Stop(ctx context.Context) error {
	n.admin.Leave()
	n.Front.DisableKeepAlives()
	n.log.Info("router_leaving", "notice_ms", n.notice().Milliseconds())
	n.clock.Sleep(ctx, n.notice())
	n.Front.Drain()
	n.core.Drain()
	err := n.Front.Shutdown(ctx)
	n.flushPeers()
	n.log.Info("router_stopped", "cut", n.Front.OpenRequests())
	n.close()
	return err
}

// flushFor bounds the wait for the ends of answers that go to other routers' callers.
const flushFor = 200 * time.Millisecond

// flushPeers waits until what was said to other routers is written.
func (n *Node) flushPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), flushFor)
	defer cancel()
	n.Peers.Flush(ctx)
}

// Kill ends the router as a crash does.
func (n *Node) Kill() {
	_ = n.Front.Close()
	n.close()
}

func (n *Node) close() {
	n.stop()
	_ = n.Front.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.admin.Shutdown(ctx)
	n.core.Close()
	if n.forwarder != nil {
		n.forwarder.Close()
	}
	if n.Peers != nil {
		_ = n.Peers.Close()
	}
	n.backend.Close()
	if n.loads != nil {
		n.loads.Close()
	}
	_ = n.metrics.Close()
}
