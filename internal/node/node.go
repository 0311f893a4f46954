// Package node wires one router process: its listeners, the tasks behind
// them, and the order in which they start and stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/burn"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/metrics"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/internal/router"
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
	Peers    *peer.Net
	Front    *front.Server
	Platform *platform.Client

	admin   *admin.Server
	metrics *metrics.Metrics
	burn    *burn.Window
	backend *backend.Client
	loads   *backend.Loads
	log     *slog.Logger
	failed  chan error
	stop    context.CancelFunc
	ls      *listeners
}

type options struct {
	dialer    Dialer
	log       *slog.Logger
	router    []router.Option
	observer  front.Observer
	scheduler func(*router.Router) front.Scheduler
}

// Option changes a new Node.
type Option func(*options)

// WithDialer replaces the plain TCP dialer of all connections.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

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
	}
	for _, f := range opts {
		f(&o)
	}
	n := &Node{Settings: s, log: o.log.With("router", s.Name), failed: make(chan error, 2)}
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
	id := router.Identity{Name: s.Name, Zone: s.Zone, Inc: uint64(time.Now().UnixNano())}
	peerOpts := []peer.Option{peer.WithDialer(o.dialer), peer.WithLogger(n.log)}
	if t.peers != nil {
		peerOpts = append(peerOpts, peer.WithTLS(t.peers))
	}
	n.burn = burn.New(s.Name, s.Objectives)
	n.Peers = peer.New(id.Name, id.Zone, id.Inc, ls.peers, peerOpts...)
	n.Platform = platform.New(s.Platform, platform.WithTransport(&http.Transport{DialContext: o.dialer.DialContext}))
	n.loads = backend.NewLoads(o.dialer)
	ropts := append([]router.Option{router.WithLogger(n.log), router.WithObserver(n.metrics)}, o.router...)
	n.Router = router.New(id, n.Peers, n.Platform, n.loads, ropts...)
	n.backend = backend.New(backend.WithDialer(o.dialer), backend.WithIdle(s.Backends.Idle), backend.WithMaxAnswer(s.Backends.MaxAnswerBytes))
	fopts := []front.Option{
		front.WithMaxBody(s.Callers.MaxBodyBytes), front.WithMaxHeader(s.Callers.MaxHeaderBytes),
		front.WithDeadline(s.Callers.DefaultDeadline), front.WithSlowCaller(s.Callers.SlowCaller),
		front.WithMaxOpen(s.Callers.MaxOpen), front.WithTLS(t.callers), front.WithLogger(n.log),
		front.WithObserver(observers{n.metrics, n.burn, o.observer}),
	}
	n.Front = front.New(s.Name, id.Inc, o.scheduler(n.Router), n.backend, fopts...)
	n.admin = admin.New(n.Router, n.metrics.Handler(), func() any { return n.burn.Snapshot() }, t.admin)
	n.ls = ls
	n.Router.Start()
	n.serve(ls)
	return nil
}

func (n *Node) serve(ls *listeners) {
	go func() { n.failed <- n.Front.Serve(ls.callers) }()
	go func() { n.failed <- n.admin.Serve(ls.admin) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.gauge(ctx)
	n.log.Info("router_started", "zone", n.Settings.Zone, "callers", ls.callers.Addr().String(),
		"peers", ls.peers.Addr().String(), "admin", ls.admin.Addr().String())
}

// Listening returns where the router listens, with the ports that a 0 in the
// settings was given.
func (n *Node) Listening() config.Listen {
	return config.Listen{
		Callers: n.ls.callers.Addr().String(), Peers: n.ls.peers.Addr().String(), Admin: n.ls.admin.Addr().String(),
	}
}

// Failed delivers an error if a listener fails; nil means that it was closed.
func (n *Node) Failed() <-chan error { return n.failed }

// Stop ends the router as a planned stop does: nothing new is taken, leases
// go back, streams run to their end or until ctx is done.
func (n *Node) Stop(ctx context.Context) error {
	n.Front.Drain()
	n.Router.Drain()
	err := n.Front.Shutdown(ctx)
	n.log.Info("router_stopped", "cut", n.Front.Open())
	n.close()
	return err
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
	n.Router.Close()
	_ = n.Peers.Close()
	n.backend.Close()
	n.loads.Close()
	_ = n.metrics.Close()
}
