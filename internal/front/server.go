// Package front serves callers. It authenticates and parses requests, asks the scheduler for a
// slot on a backend server, sends the request there and relays the response.
package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/bodymemory"
	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
)

// Default limits.
const (
	// DefaultMaxBody is the maximum size of a request body, in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultMaxHeader is the maximum size of a request header, in bytes.
	DefaultMaxHeader = 64 << 10
	// DefaultDeadline applies to requests that state no deadline.
	DefaultDeadline = 5 * time.Minute
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline = time.Hour
	// DefaultIOTimeout bounds one read from or write to a caller.
	DefaultIOTimeout = 30 * time.Second
	// DefaultMaxOpen is the maximum number of open requests.
	DefaultMaxOpen = 20_000
	// DefaultMaxEventDelay is the maximum delay of an event on its way to the caller.
	DefaultMaxEventDelay = 200 * time.Millisecond
	headerTimeout        = 10 * time.Second
	idleTimeout          = 2 * time.Minute
)

// Paths of the built-in API.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathModels      = "/v1/models"
	// PathServices is followed by the name of a service and the path to request there.
	PathServices = "/services/"
)

// Backend runs a request on a backend server.
type Backend interface {
	Do(ctx context.Context, call backend.Call, sink backend.Sink) backend.Result
}

// Observer receives the outcomes of requests.
type Observer interface {
	// RequestEnded is called once for each request.
	RequestEnded(o Outcome)
}

// Outcome describes how a request ended.
type Outcome struct {
	Account string
	Model   string
	// Status and Code are those of the response; Code is "" for success.
	Status int
	Code   string
	// Verdict is the verdict as in the response header.
	Verdict string
	// Waited is the time spent waiting for slots. FirstByte is the time to the response's
	// first byte and Total the whole duration, both from the request's arrival.
	Waited    time.Duration
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int64
	Attempts  int
	// RetryAfter is when the caller of a refused request was told to return, 0 if it was not.
	// Return is what it can expect then.
	RetryAfter time.Duration
	Return     returns.Case
}

// Server serves callers over HTTP.
type Server struct {
	opt       options
	scheduler Scheduler
	backend   Backend
	name      string
	// idPrefix makes request IDs unique across restarts of the router.
	idPrefix     string
	nextID       atomic.Uint64
	openRequests atomic.Int64
	bodyMemory   bodymemory.Memory
	// requests counts all requests since the start.
	requests        atomic.Int64
	limits          atomic.Pointer[CallerLimits]
	reservedHeaders reservedHeaders
	connections     connections
	connectionLog   throttle
	draining        atomic.Bool
	// stopBy is when open requests are aborted in a planned stop, nil if there is none.
	stopBy atomic.Pointer[time.Time]
	// earlyConns is the number of connections in the early check or being forwarded.
	earlyConns atomic.Int64
	// keepAlivesOff says that connections close after their next response, stopped that no more are
	// accepted, accepting that Serve has not returned.
	keepAlivesOff, stopped, accepting atomic.Bool

	mu          sync.Mutex
	ln          net.Listener
	generations []*generation
}

type options struct {
	limits     CallerLimits
	tls        *tls.Config
	log        *slog.Logger
	observer   Observer
	headers    HeaderConfig
	routesOnly bool
	forwarder  Forwarder
	clock      *clock.Clock
}

// Option configures a new Server.
type Option func(*options)

// CallerLimits are the limits on callers.
type CallerLimits struct {
	// MaxBody is the maximum size of a request body, MaxHeader of a header, in bytes.
	MaxBody   int64
	MaxHeader int
	// Deadline applies to requests that state none.
	Deadline time.Duration
	// IOTimeout bounds one read from or write to a caller.
	IOTimeout time.Duration
	// MaxOpen bounds the open requests, MaxConnections the connections; 0 connections means no
	// limit.
	MaxOpen        int64
	MaxConnections int
	// MaxBodyMemory bounds the memory of the bodies of open requests, in bytes; 0 means no limit.
	MaxBodyMemory int64
	// MaxEventDelay is the maximum delay of a backend server's event on its way to the caller.
	MaxEventDelay time.Duration
}

// DefaultCallerLimits returns the limits that apply without settings.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{
		MaxBody: DefaultMaxBody, MaxHeader: DefaultMaxHeader, Deadline: DefaultDeadline,
		IOTimeout: DefaultIOTimeout, MaxOpen: DefaultMaxOpen, MaxEventDelay: DefaultMaxEventDelay,
	}
}

// WithCallerLimits sets the limits on callers.
func WithCallerLimits(limits CallerLimits) Option { return func(o *options) { o.limits = limits } }

// WithMaxBody sets the maximum size of a request body, in bytes.
func WithMaxBody(n int64) Option { return func(o *options) { o.limits.MaxBody = n } }

// WithIOTimeout bounds one read from or write to a caller.
func WithIOTimeout(d time.Duration) Option { return func(o *options) { o.limits.IOTimeout = d } }

// SetCallerLimits replaces the limits. Limits of connections apply to new connections only.
func (s *Server) SetCallerLimits(limits CallerLimits) { s.limits.Store(&limits) }

// WithTLS serves callers over TLS.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithObserver sets the observer of outcomes.
func WithObserver(observer Observer) Option { return func(o *options) { o.observer = observer } }

// WithHeaders sets the header names of routed requests.
func WithHeaders(headers HeaderConfig) Option { return func(o *options) { o.headers = headers } }

// WithClock sets the clock for deadlines.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithRoutesOnly disables the built-in API.
func WithRoutesOnly() Option { return func(o *options) { o.routesOnly = true } }

type noObserver struct{}

func (noObserver) RequestEnded(Outcome) {}

// New returns a server for the router with the given name and incarnation.
func New(name string, inc uint64, s Scheduler, b Backend, opts ...Option) *Server {
	srv := &Server{
		opt: options{
			limits: DefaultCallerLimits(), log: slog.Default(), observer: noObserver{}, headers: DefaultHeaders(),
			clock: clock.System(),
		},
		scheduler: s, backend: b, name: name,
		idPrefix: name + "-" + strconv.FormatUint(inc, 36) + "-",
	}
	for _, f := range opts {
		f(&srv.opt)
	}
	srv.connections.clock = srv.opt.clock
	srv.SetCallerLimits(srv.opt.limits)
	return srv
}

func (s *Server) clock() *clock.Clock { return s.opt.clock }

// protocols enables HTTP/1.1 and HTTP/2, with and without TLS.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// handler returns a handler that serves the table's routes first, then the built-in API.
func (s *Server) handler() http.Handler {
	builtin := http.HandlerFunc(s.notFound)
	if !s.opt.routesOnly {
		builtin = s.builtinAPI().ServeHTTP
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.dropReservedHeaders(r)
		t := s.scheduler.Table()
		if t == nil {
			s.noTable(w, r)
			return
		}
		if route, ok := t.RouteFor(r.Host, pathOf(r)); ok {
			s.serveRoute(w, r, t, route)
			return
		}
		builtin(w, r)
	})
}

func (s *Server) builtinAPI() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathCompletions, s.completions)
	mux.HandleFunc("POST "+PathChat, s.completions)
	mux.HandleFunc("GET "+PathModels, s.models)
	mux.HandleFunc(PathServices+"{service}/{rest...}", s.plainService)
	mux.HandleFunc("/", s.notFound)
	return mux
}

// DisableKeepAlives makes every connection close after its next response.
func (s *Server) DisableKeepAlives() { s.keepAlivesOff.Store(true) }

// StopBy announces a planned stop that aborts open requests at a time. Those that are expected to end later are no longer
// sent to backend servers.
func (s *Server) StopBy(at time.Time) { s.stopBy.Store(&at) }

// endsInTime reports whether a request that is sent now is expected to end before a planned stop aborts it.
func (s *Server) endsInTime(grant *Grant) bool {
	stopBy := s.stopBy.Load()
	return stopBy == nil || s.clock().Until(*stopBy) > grant.ExpectedFirstEvent+grant.FirstEventMargin
}

// Drain refuses new requests; waiting and running ones continue.
func (s *Server) Drain() { s.draining.Store(true) }

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// Requests returns the number of requests since the start.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Shutdown drains the server and waits until all requests have ended or ctx is done. Every request of which
// something was read gets a response.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.stopAccepting()
	// http.Server.Shutdown drops requests whose header is not complete yet.
	errs := []error{s.waitUntil(ctx, func() bool {
		return !s.accepting.Load() && s.connections.closeQuiet(s.clock().Now())
	})}
	for _, g := range s.allGenerations() {
		errs = append(errs, g.http.Shutdown(ctx))
	}
	errs = append(errs, s.waitUntil(ctx, func() bool { return s.earlyConns.Load() == 0 }))
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("front: shutdown: %w", err)
	}
	return nil
}

// waitUntil waits until a condition holds or ctx is done.
func (s *Server) waitUntil(ctx context.Context, cond func() bool) error {
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// shutdownPollInterval is the poll interval of Shutdown.
const shutdownPollInterval = 5 * time.Millisecond

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.stopListening()
	var errs []error
	for _, g := range s.allGenerations() {
		errs = append(errs, g.http.Close())
	}
	return errors.Join(errs...)
}

func (s *Server) httpLogger() *log.Logger {
	return slog.NewLogLogger(s.opt.log.Handler(), slog.LevelDebug)
}

func (s *Server) newRequestID() string {
	return s.idPrefix + strconv.FormatUint(s.nextID.Add(1), 10)
}
