// Package front answers callers: it finds out whose request it is, what it
// asks for and by when, lets the scheduler say when it runs, and passes the
// answer on.
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
	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// The defaults of the callers' listener.
const (
	// DefaultMaxBody is the largest request body, in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultMaxHeader is the largest request header, in bytes.
	DefaultMaxHeader = 64 << 10
	// DefaultDeadline is how long a request may take that states none.
	DefaultDeadline = 5 * time.Minute
	// MaxDeadline is the longest deadline a caller may state.
	MaxDeadline = time.Hour
	// DefaultIOTimeout is how long a caller may take for one read or write.
	DefaultIOTimeout = 30 * time.Second
	// DefaultMaxOpen is how many requests may be open at once.
	DefaultMaxOpen = 20_000
	// DefaultMaxEventDelay is within what time an event is to reach its caller.
	DefaultMaxEventDelay = 200 * time.Millisecond
	headerTimeout        = 10 * time.Second
	idleTimeout          = 2 * time.Minute
)

// Paths that callers use.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathModels      = "/v1/models"
	// PathServices is followed by the service's name and its own path.
	PathServices = "/services/"
)

// Backend runs a call on a backend server.
type Backend interface {
	Do(ctx context.Context, call backend.Call, sink backend.Sink) backend.Result
}

// Observer is told how requests ended.
type Observer interface {
	// RequestEnded is called once for each request.
	RequestEnded(o Outcome)
}

// Outcome is how one request ended.
type Outcome struct {
	Account string
	Model   string
	// Status and Code are what the caller was told; Code is "" for success.
	Status int
	Code   string
	// Verdict is as in the response header.
	Verdict string
	// Waited is the time before the request started, FirstByte the time to
	// the first byte of the answer, Total the whole, all from its arrival.
	Waited    time.Duration
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int64
	Attempts  int
}

// Server is the callers' listener.
type Server struct {
	opt       options
	scheduler Scheduler
	backend   Backend
	name      string
	// idBase makes request ids unique to this start of the router.
	idBase string
	nextID atomic.Uint64
	open   atomic.Int64
	// requests counts all that came since the start.
	requests    atomic.Int64
	callers     atomic.Pointer[CallerLimits]
	reserved    reserved
	connections connections
	crowdLog    throttle
	draining    atomic.Bool
	// early counts the connections that are looked at, or handed on, before the HTTP
	// server has them.
	early atomic.Int64
	// leaving says that each connection ends with its next answer, ended that
	// no more are accepted.
	leaving, ended atomic.Bool

	mu          sync.Mutex
	ln          net.Listener
	generations []*generation
}

type options struct {
	callers    CallerLimits
	tls        *tls.Config
	log        *slog.Logger
	observer   Observer
	dialect    HeaderConfig
	routesOnly bool
	forwarder  Forwarder
	clock      *clock.Clock
}

// Option changes a new Server.
type Option func(*options)

// CallerLimits bounds what callers may do.
type CallerLimits struct {
	// MaxBody is the largest request body, MaxHeader the largest header, in
	// bytes.
	MaxBody   int64
	MaxHeader int
	// Deadline is for requests that state none.
	Deadline time.Duration
	// IOTimeout bounds one read from or write to a caller.
	IOTimeout time.Duration
	// MaxOpen bounds the requests open at once, MaxConnections the
	// connections; 0 means any number of these.
	MaxOpen        int64
	MaxConnections int
	// MaxEventDelay is within what time an event that a backend server sent is to
	// reach its caller.
	MaxEventDelay time.Duration
}

// DefaultCallerLimits is what callers may do unless settings say otherwise.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{
		MaxBody: DefaultMaxBody, MaxHeader: DefaultMaxHeader, Deadline: DefaultDeadline,
		IOTimeout: DefaultIOTimeout, MaxOpen: DefaultMaxOpen, MaxEventDelay: DefaultMaxEventDelay,
	}
}

// WithCallerLimits sets what callers may do.
func WithCallerLimits(c CallerLimits) Option { return func(o *options) { o.callers = c } }

// WithMaxBody sets the largest request body, in bytes.
func WithMaxBody(n int64) Option { return func(o *options) { o.callers.MaxBody = n } }

// WithIOTimeout bounds one read from or write to a caller.
func WithIOTimeout(d time.Duration) Option { return func(o *options) { o.callers.IOTimeout = d } }

// SetCallerLimits changes what callers may do from now on; what bounds a
// connection holds for new ones.
func (s *Server) SetCallerLimits(c CallerLimits) { s.callers.Store(&c) }

// WithTLS serves callers over TLS.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithObserver sets who is told of outcomes.
func WithObserver(ob Observer) Option { return func(o *options) { o.observer = ob } }

// WithHeaders sets the headers that callers of routes speak.
func WithHeaders(d HeaderConfig) Option { return func(o *options) { o.dialect = d } }

// WithClock sets the clock by which deadlines are told.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithRoutesOnly leaves out the interfaces that need no route.
func WithRoutesOnly() Option { return func(o *options) { o.routesOnly = true } }

type noObserver struct{}

func (noObserver) RequestEnded(Outcome) {}

// New returns a server for the router name, whose incarnation is inc.
func New(name string, inc uint64, s Scheduler, b Backend, opts ...Option) *Server {
	srv := &Server{
		opt: options{
			callers: DefaultCallerLimits(), log: slog.Default(), observer: noObserver{}, dialect: DefaultHeaders(),
			clock: clock.System(),
		},
		scheduler: s, backend: b, name: name,
		idBase: name + "-" + strconv.FormatUint(inc, 36) + "-",
	}
	for _, f := range opts {
		f(&srv.opt)
	}
	srv.SetCallerLimits(srv.opt.callers)
	return srv
}

// clock is that by which deadlines are told.
func (s *Server) clock() *clock.Clock { return s.opt.clock }

// protocols allows HTTP/1.1 and HTTP/2, the latter without TLS too.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// handler serves the routes of the table first, then the own interfaces.
func (s *Server) handler() http.Handler {
	own := http.HandlerFunc(s.notFound)
	if !s.opt.routesOnly {
		own = s.ownInterfaces().ServeHTTP
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.dropReserved(r)
		t := s.scheduler.Table()
		if t == nil {
			s.notReady(w, r)
			return
		}
		if route, ok := t.RouteFor(r.Host, pathOf(r)); ok {
			s.routed(w, r, t, route)
			return
		}
		own(w, r)
	})
}

func (s *Server) ownInterfaces() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathCompletions, s.completions)
	mux.HandleFunc("POST "+PathChat, s.completions)
	mux.HandleFunc("GET "+PathModels, s.models)
	mux.HandleFunc(PathServices+"{service}/{rest...}", s.service)
	mux.HandleFunc("/", s.notFound)
	return mux
}

// DisableKeepAlives ends each kept connection with its next answer.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// Drain refuses new requests as not run; those that wait or run go on.
func (s *Server) Drain() { s.draining.Store(true) }

// OpenRequests returns how many requests are open.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// Requests returns how many requests came since the start.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Shutdown waits until every request has ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.stopListening()
	var errs []error
	for _, g := range s.all() {
		errs = append(errs, g.http.Shutdown(ctx))
	}
	errs = append(errs, s.waitEarly(ctx))
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("front: shutdown: %w", err)
	}
	return nil
}

// waitEarly waits until no connection is handed on any more, or ctx is done.
func (s *Server) waitEarly(ctx context.Context) error {
	tick := time.NewTicker(earlyLook)
	defer tick.Stop()
	for s.early.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// earlyLook is how often waitEarly looks again.
const earlyLook = 5 * time.Millisecond

// Close cuts every connection.
func (s *Server) Close() error {
	s.stopListening()
	var errs []error
	for _, g := range s.all() {
		errs = append(errs, g.http.Close())
	}
	return errors.Join(errs...)
}

func (s *Server) httpLog() *log.Logger {
	return slog.NewLogLogger(s.opt.log.Handler(), slog.LevelDebug)
}

func (s *Server) requestID() string {
	return s.idBase + strconv.FormatUint(s.nextID.Add(1), 10)
}
