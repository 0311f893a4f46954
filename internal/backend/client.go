// Package backend sends one request to one backend server and copies its
// answer to the caller. It knows at each moment whether a byte of the request
// was sent, so its verdicts are exact.
package backend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Bounds of an exchange with a backend server.
const (
	// DefaultMaxResponse is the largest whole answer that is taken, in bytes.
	DefaultMaxResponse = 32 << 20
	// DefaultIdleTimeout is how long a stream may stay silent.
	DefaultIdleTimeout = 60 * time.Second
	copyBufSize        = 32 << 10
)

// Dialer opens a connection; net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is one request for one backend server.
type Call struct {
	Address string
	Method  string
	// Path is the path with its query, starting with a slash.
	Path string
	// Host is the Host header; "" means the address.
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is unique in the fleet; an answer to another is refused.
	RequestID string
	Priority  int
	// Account is the client account.
	Account string
	// Instance is the start of the backend server that is meant, "" for any.
	Instance string
	// StartTime is when that start was, 0 if it does not say: it may bear an earlier one's
	// name.
	StartTime int64
	// MaxConnections is this router's part of the connections that the backend server
	// takes: beyond it, connections that rest are closed; 0 is no bound.
	MaxConnections int
	// Deadline is when the answer is worth nothing any more; zero if the
	// backend server is not told.
	Deadline time.Time
	// NotRepeatable says that the request must not run twice.
	NotRepeatable bool
	// MayStream says that the answer to copy may be a stream of events whose
	// tokens are counted; a plain service's answer is copied as it is.
	MayStream bool
	// Opaque says that events are passed on without a look at their data.
	Opaque bool
	// CopyPrefixFrom is the address of a backend server from which the prompt's shared
	// parts are copied before what is left of it is read, "" if none.
	CopyPrefixFrom string
	// Resume says that the sink has begun and the answer goes on after
	// LastEvent.
	Resume bool
	// LastEvent is the number of the last event that the caller has, 0 if
	// none.
	LastEvent uint64
	// WithholdServerErrors says that a failure of the backend server's own is not
	// passed on, because the request may be tried again.
	WithholdServerErrors bool
	// BufferLimit is up to how many bytes a plain answer is taken whole before it
	// is passed on, so that a broken one can be told or tried again.
	BufferLimit int
	// Failover is how long the backend server may be silent while another one
	// can be tried.
	Failover Failover
	// MayStart is asked just before the first byte is sent.
	MayStart func() bool
	// BatchDelay tells for how long the events that follow one are gathered, to be passed
	// on together; nil if each is passed on as it comes.
	BatchDelay func() time.Duration
	// Served counts the tokens or events as they come.
	Served *atomic.Int64
	// OnFirstByte is called when the first event or byte of a body came; nil if
	// nobody asks.
	OnFirstByte func()
	// OnNotice is called with what the backend server says of itself, when the head of its
	// answer came and if it says something; nil if nobody asks.
	OnNotice func(Notice)
}

// connKey names the connections that may carry the call: one that was opened
// to an earlier start of a backend server is no use.
func (c *Call) connKey() string {
	return c.Address + " " + c.Instance + " " + strconv.FormatInt(c.StartTime, 10)
}

// Sink is where the answer goes.
type Sink interface {
	// Begin is called once, before any other call.
	Begin(status int, header http.Header)
	// Write passes bytes on; an error means that the caller went away.
	Write(p []byte) (int, error)
	// Flush sends what was written.
	Flush() error
	// Trailer is called at most once, after the last byte.
	Trailer(header http.Header)
}

// Result tells how a call ended.
type Result struct {
	// Err is nil if the whole answer was passed on.
	Err *verdict.Error
	// Sent says whether any byte of the request was sent.
	Sent bool
	// Began says whether the caller has received a part of the answer.
	Began bool
	// Unreachable says that the backend server could not be reached.
	Unreachable bool
	// Stalled says that it sent nothing for too long.
	Stalled bool
	// Status is the answer's status, 0 if there was none.
	Status int
	// FirstByte is when the first byte of the body came, zero if none did.
	FirstByte time.Time
	// LastEvent is the number of the last event that was passed on.
	LastEvent uint64
	// Notice is what the backend server says of itself in its answer.
	Notice Notice
}

// Client calls backend servers.
type Client struct {
	opt      options
	conns    *conns
	hearings hearings
	passed   passed
}

// passed counts what was passed on to callers since the start.
type passed struct{ events, sends atomic.Int64 }

// Stats is what was passed on to callers since the start.
type Stats struct {
	// Events counts the events of streams, Flushes the times that something was sent
	// on to a caller: one for several events where they came together.
	Events, Flushes int64
}

// Stats returns what was passed on since the start.
func (c *Client) Stats() Stats {
	return Stats{Events: c.passed.events.Load(), Flushes: c.passed.sends.Load()}
}

type options struct {
	dialer    Dialer
	maxAnswer int64
	idle      time.Duration
	dialect   HeaderConfig
	clock     *clock.Clock
}

// Option changes a new Client.
type Option func(*options)

// WithDialer replaces the plain TCP dialer.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithMaxResponse sets the largest whole answer, in bytes.
func WithMaxResponse(n int64) Option { return func(o *options) { o.maxAnswer = n } }

// WithIdleTimeout sets how long a stream may stay silent.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idle = d } }

// WithClock sets the clock by which deadlines and rests are told.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithHeaders sets the headers that are exchanged.
func WithHeaders(d HeaderConfig) Option { return func(o *options) { o.dialect = d } }

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{opt: options{
		dialer:    &net.Dialer{},
		maxAnswer: DefaultMaxResponse,
		idle:      DefaultIdleTimeout,
		dialect:   DefaultHeaders(),
		clock:     clock.System(),
	}}
	for _, f := range opts {
		f(&c.opt)
	}
	c.conns = newConns(c.opt.dialer, c.opt.clock)
	c.hearings.clock, c.hearings.by = c.opt.clock, map[string]*hearing{}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.conns.close() }

// Do sends the call and copies the answer to the sink. It returns when the
// answer ends, fails, or ctx is done.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) Result {
	x := &exchange{client: c, call: call, sink: sink}
	x.result.LastEvent = call.LastEvent
	x.run(ctx)
	return x.result
}
