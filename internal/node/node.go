// Package node assembles a router process from its parts, starts it and stops it.
package node

import (
	"cmp"
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
	// Router, Peers, Front and Platform are exported for measurements.
	Router   *router.Router
	Peers    *peer.Transport
	Front    *front.Server
	Platform *platform.Client

	// Dispatch schedules requests, or Router if Dispatch is nil.
	Dispatch *dispatch.Dispatcher

	core core
	// forwarder forwards callers' connections to other routers; it may be nil.
	forwarder   *forward.Forwarder
	admin       *admin.Server
	metrics     *metrics.Metrics
	burn        *burn.Window
	backend     *backend.Client
	loads       *backend.LoadReader
	log         *slog.Logger
	clock       *clock.Clock
	serveErrors chan error
	stopTasks   context.CancelFunc
	listeners   *listeners
	// lastWork is the value at the last call of updateWorkGauges.
	lastWork workCounters

	mu          sync.Mutex
	drainNotice time.Duration
	// seeds are those of the settings.
	seeds []string
	// maxEventDelay is the maximum delay of a backend server's event on its way to the caller.
	maxEventDelay time.Duration
}

// core is the scheduler of a router.
type core interface {
	front.Scheduler
	Start()
	Drain()
	Close()
}

// Platform connects routers to a kind of external platform.
type Platform struct {
	// Source returns a reader of the platform at an address, host and port.
	Source func(address string, d Dialer) dispatch.Source
	// History is how long the platform keeps past changes, unless the settings say it.
	History time.Duration
	// Callers and Backends name the headers used with callers and backend servers.
	Callers  front.HeaderConfig
	Backends backend.HeaderConfig
}

type options struct {
	platforms     map[string]Platform
	dialer        Dialer
	log           *slog.Logger
	router        []router.Option
	observer      front.Observer
	scheduler     func(*router.Router) front.Scheduler
	clock         *clock.Clock
	wallClock     func() time.Time
	useDispatcher bool
}

// Option configures a Node.
type Option func(*options)

// WithDialer replaces the TCP dialer for all outgoing connections.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithDispatcher serves the built-in API with a dispatch.Dispatcher instead of a
// router.Router.
func WithDispatcher() Option { return func(o *options) { o.useDispatcher = true } }

// WithClock sets the clock for deadlines and the age of information.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithWallClock replaces time.Now for the incarnation number of the router.
func WithWallClock(now func() time.Time) Option { return func(o *options) { o.wallClock = now } }

// WithPlatforms sets the platforms by the platform_kind that selects them.
func WithPlatforms(p map[string]Platform) Option { return func(o *options) { o.platforms = p } }

// WithRouter adds options of router.New.
func WithRouter(opts ...router.Option) Option {
	return func(o *options) { o.router = append(o.router, opts...) }
}

// WithObserver adds an observer of request outcomes.
func WithObserver(ob front.Observer) Option { return func(o *options) { o.observer = ob } }

// WithScheduler replaces the scheduler that serves callers, for baseline measurements.
func WithScheduler(f func(*router.Router) front.Scheduler) Option {
	return func(o *options) { o.scheduler = f }
}

const dialTimeout = time.Second

// Start starts a router with the given settings.
func Start(s config.Settings, opts ...Option) (*Node, error) {
	o := options{
		dialer:    &net.Dialer{Timeout: dialTimeout},
		log:       slog.Default(),
		scheduler: func(r *router.Router) front.Scheduler { return r },
		clock:     clock.System(),
		wallClock: time.Now,
	}
	for _, f := range opts {
		f(&o)
	}
	n := &Node{Settings: s, log: o.log.With("router", s.Name), serveErrors: make(chan error, 3), drainNotice: s.DrainNotice, seeds: s.Seeds, maxEventDelay: s.Callers.MaxEventDelay, clock: o.clock}
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
	n.listeners = ls
	n.burn = burn.New(s.Name, s.Objectives)
	incarnation := uint64(o.wallClock().UnixNano())
	backendOpts := []backend.Option{
		backend.WithDialer(o.dialer), backend.WithIdleTimeout(s.Backends.IdleTimeout), backend.WithMaxResponse(s.Backends.MaxResponseBytes), backend.WithClock(n.clock),
	}
	frontOpts := []front.Option{
		front.WithCallerLimits(callerLimits(s)), front.WithTLS(t.callers), front.WithLogger(n.log),
		front.WithObserver(observers{n.metrics, n.burn, o.observer}), front.WithClock(n.clock),
	}
	var scheduler front.Scheduler
	var source admin.Source
	switch {
	case s.PlatformKind == config.PlatformValues && o.useDispatcher:
		n.setUpValuesDispatcher(s, o, t, incarnation)
		n.core, scheduler, source = n.Dispatch, n.Dispatch, n.Dispatch
	case s.PlatformKind == config.PlatformValues:
		n.setUpRouter(s, o, t, incarnation)
		n.core, scheduler, source = n.Router, o.scheduler(n.Router), n.Router
	default:
		p, ok := o.platforms[s.PlatformKind]
		if !ok {
			return errors.Join(fmt.Errorf("platform_kind %q is unknown; write one of %v", s.PlatformKind, slices.Sorted(maps.Keys(o.platforms))), ls.close())
		}
		n.setUpPlatformDispatcher(s, o, t, p, incarnation)
		d := n.Dispatch
		n.core, scheduler, source = d, d, d
		backendOpts = append(backendOpts, backend.WithHeaders(p.Backends))
		frontOpts = append(frontOpts, front.WithHeaders(p.Callers), front.WithRoutesOnly(), front.WithForwarder(n.forwarder))
	}
	n.backend = backend.New(backendOpts...)
	n.Front = front.New(s.Name, incarnation, scheduler, n.backend, frontOpts...)
	if n.forwarder != nil {
		n.forwarder.Bind(n.Peers, n.Front)
	}
	n.admin = admin.New(readiness{source, n.Front}, n.metrics.Handler(), func() any { return n.burn.Snapshot() }, t.admin)
	n.core.Start()
	n.serve(ls)
	return nil
}

// setUpPlatformDispatcher creates the scheduler of a router on an external platform.
func (n *Node) setUpPlatformDispatcher(s config.Settings, o options, t tlsConfigs, p Platform, incarnation uint64) {
	id := dispatch.Identity{Name: s.Name, Address: n.listeners.peers.Addr().String(), Zone: s.Zone, Incarnation: incarnation, Capacity: s.Machine.Processors, ListenAddresses: n.listeners.addresses()}
	n.forwarder = forward.New(forward.WithBatchDelay(n.forwardedBatchDelay), forward.WithClock(n.clock), forward.WithLogger(n.log))
	peerOpts := append(n.peerOptions(o, t), peer.WithAddress(id.Address), peer.WithInterceptor(n.forwarder.Handle), peer.WithUnsent(n.forwarder.Unsent))
	n.Peers = peer.New(id.Name, id.Zone, id.Incarnation, n.listeners.peers, peerOpts...)
	opts := []dispatch.Option{
		dispatch.WithLogger(n.log), dispatch.WithSeeds(s.Seeds), dispatch.WithApplyWithin(s.ApplyWithin),
		dispatch.WithRetryBudget(retryBudget(s.Retries)), dispatch.WithForwarder(n.forwarder), dispatch.WithClock(n.clock), dispatch.WithRegions(s.Regions),
		dispatch.WithHistory(cmp.Or(s.History, p.History)),
	}
	if p.Backends.Instance != "" {
		opts = append(opts, dispatch.WithUniqueIncarnations())
	}
	n.Dispatch = dispatch.New(id, p.Source(s.Platform, o.dialer), n.Peers, opts...)
}

// setUpValuesDispatcher creates a dispatcher for the built-in API.
func (n *Node) setUpValuesDispatcher(s config.Settings, o options, t tlsConfigs, incarnation uint64) {
	id := dispatch.Identity{Name: s.Name, Address: n.listeners.peers.Addr().String(), Zone: s.Zone, Incarnation: incarnation, Capacity: s.Machine.Processors, ListenAddresses: n.listeners.addresses()}
	n.Peers = peer.New(id.Name, id.Zone, id.Incarnation, n.listeners.peers, append(n.peerOptions(o, t), peer.WithAddress(id.Address))...)
	n.Platform = platform.New(s.Platform, platform.WithTransport(&http.Transport{DialContext: o.dialer.DialContext}))
	n.loads = backend.NewLoadReader(o.dialer)
	n.Dispatch = dispatch.New(id, values.New(n.Platform), n.Peers,
		dispatch.WithLogger(n.log), dispatch.WithSeeds(s.Seeds), dispatch.WithApplyWithin(s.ApplyWithin),
		dispatch.WithRetryBudget(retryBudget(s.Retries)), dispatch.WithClock(n.clock), dispatch.WithRegions(s.Regions), dispatch.WithWeightedAccounts(), dispatch.WithLoadReader(n.loads))
}

// forwardedBatchFraction is the fraction of the event delay limit for which responses to another
// router's callers are batched.
const forwardedBatchFraction = 0.25

func (n *Node) forwardedBatchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(forwardedBatchFraction * float64(n.maxEventDelay))
}

func (n *Node) peerOptions(o options, t tlsConfigs) []peer.Option {
	opts := []peer.Option{peer.WithDialer(o.dialer), peer.WithLogger(n.log)}
	if t.peers != nil {
		opts = append(opts, peer.WithTLS(t.peers))
	}
	return opts
}

// setUpRouter creates a router.Router, which owns pools of backend servers.
func (n *Node) setUpRouter(s config.Settings, o options, t tlsConfigs, incarnation uint64) {
	id := router.Identity{Name: s.Name, Zone: s.Zone, Incarnation: incarnation}
	n.Peers = peer.New(id.Name, id.Zone, id.Incarnation, n.listeners.peers, n.peerOptions(o, t)...)
	n.Platform = platform.New(s.Platform, platform.WithTransport(&http.Transport{DialContext: o.dialer.DialContext}))
	n.loads = backend.NewLoadReader(o.dialer)
	opts := append([]router.Option{router.WithLogger(n.log), router.WithObserver(n.metrics)}, o.router...)
	n.Router = router.New(id, n.Peers, n.Platform, n.loads, opts...)
}

func (n *Node) serve(ls *listeners) {
	go func() { n.serveErrors <- n.Front.Serve(ls.callers) }()
	go func() { n.serveErrors <- n.admin.Serve(ls.admin) }()
	if ls.readiness != nil {
		go func() { n.serveErrors <- n.admin.Serve(ls.readiness) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopTasks = cancel
	go n.watchClock(ctx)
	go n.runGauges(ctx)
	if n.Dispatch != nil {
		go n.runCosts(ctx)
	}
	n.log.Info("router_started", "zone", n.Settings.Zone, "callers", ls.callers.Addr().String(),
		"peers", ls.peers.Addr().String(), "admin", ls.admin.Addr().String())
}

// ListenAddresses returns the addresses of the listeners with the actual ports.
func (n *Node) ListenAddresses() config.Listen {
	l := config.Listen{
		Callers: n.listeners.callers.Addr().String(), Peers: n.listeners.peers.Addr().String(), Admin: n.listeners.admin.Addr().String(),
	}
	if n.listeners.readiness != nil {
		l.Readiness = n.listeners.readiness.Addr().String()
	}
	return l
}

// Reload applies the settings that can change at run time.
func (n *Node) Reload(s config.Settings) {
	n.mu.Lock()
	n.drainNotice, n.maxEventDelay = s.DrainNotice, s.Callers.MaxEventDelay
	seedsChanged := !slices.Equal(n.seeds, s.Seeds)
	n.seeds = s.Seeds
	n.mu.Unlock()
	n.Front.SetCallerLimits(callerLimits(s))
	if n.Dispatch != nil {
		n.Dispatch.Reconfigure(retryBudget(s.Retries), s.ApplyWithin)
		if seedsChanged {
			n.Dispatch.SetSeeds(s.Seeds)
		}
	}
}

func (n *Node) currentDrainNotice() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drainNotice
}

func retryBudget(r config.Retries) allowance.Config {
	return allowance.Config{Ratio: r.Ratio, Extra: r.Extra, Window: r.Window}
}

func callerLimits(s config.Settings) front.CallerLimits {
	return front.CallerLimits{
		MaxBody: s.Callers.MaxBodyBytes, MaxHeader: s.Callers.MaxHeaderBytes, Deadline: s.Callers.DefaultDeadline,
		IOTimeout: s.Callers.IOTimeout, MaxOpen: s.Callers.MaxOpen, MaxConnections: maxConnections(s.Machine),
		MaxBodyMemory: int64(bodyMemoryFraction * float64(s.Machine.MemoryMB<<20)), MaxEventDelay: s.Callers.MaxEventDelay,
	}
}

const (
	// callerDescriptorFraction is the fraction of file descriptors, less the reserved ones, for
	// callers' connections. Connections to backend servers and routers use the rest.
	callerDescriptorFraction = 0.6
	reservedDescriptors      = 200
	// connectionMemory is the memory of a caller's connection with its request and its
	// connection to the backend server, in bytes, including garbage.
	connectionMemory = 64 << 10
	// connectionMemoryFraction is the fraction of the memory for callers' connections.
	connectionMemoryFraction = 0.5
	// bodyMemoryFraction is the fraction of the memory for the large bodies of open requests. It is less than
	// the fraction for the heap, which has all else, too.
	bodyMemoryFraction = 0.6
)

// maxConnections returns the limit on callers' connections, 0 for none.
func maxConnections(m config.Machine) int {
	limit := 0
	if m.Descriptors > reservedDescriptors {
		limit = int(callerDescriptorFraction * float64(m.Descriptors-reservedDescriptors))
	}
	if m.MemoryMB > 0 {
		byMemory := int(connectionMemoryFraction * float64(m.MemoryMB<<20) / connectionMemory)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// Failed delivers the result of each listener that ends: an error if it failed, nil if it
// was closed.
func (n *Node) Failed() <-chan error { return n.serveErrors }

// Stop shuts the router down gracefully. It first reports the router as not ready, and to other routers as
// leaving, for the drain notice, so that load balancers and routers stop sending requests. Then it refuses new requests,
// returns leases and waits for open requests until ctx is done.
func (n *Node) Stop(ctx context.Context) error {
	n.admin.MarkNotReady()
	n.Front.DisableKeepAlives()
	if deadline, ok := ctx.Deadline(); ok {
		n.Front.StopBy(deadline)
	}
	n.log.Info("router_leaving", "notice_ms", n.currentDrainNotice().Milliseconds())
	if n.Dispatch != nil {
		n.Dispatch.Leave()
	}
	n.clock.Sleep(ctx, n.currentDrainNotice())
	n.Front.Drain()
	n.core.Drain()
	err := n.Front.Shutdown(ctx)
	n.log.Info("router_stopped", "cut", n.Front.OpenRequests())
	_ = n.Front.Close()
	n.flushPeers(ctx)
	n.close()
	return err
}

const (
	// minFlushTime is the least time to send the last messages to other routers, also if ctx is done.
	minFlushTime = 200 * time.Millisecond
	// maxFlushTime bounds that time if another router does not read.
	maxFlushTime = 2 * time.Second
)

// flushPeers waits until the ends of responses to other routers' callers, and all other messages to other
// routers, are written.
func (n *Node) flushPeers(ctx context.Context) {
	flush, cancel := context.WithTimeout(context.Background(), n.flushTime(ctx))
	defer cancel()
	if n.forwarder != nil {
		n.forwarder.Drain(flush)
	}
	n.Peers.Flush(flush)
}

// flushTime returns how long to wait for messages to other routers in a planned stop that ends with ctx.
func (n *Node) flushTime(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return minFlushTime
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxFlushTime
	}
	return min(maxFlushTime, max(minFlushTime, n.clock.Until(deadline)))
}

// Kill stops the router without draining, as a crash would.
func (n *Node) Kill() {
	_ = n.Front.Close()
	n.close()
}

func (n *Node) close() {
	n.stopTasks()
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
