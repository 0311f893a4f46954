// Package backend sends a request to a backend server and forwards the response to
// the caller. It tracks whether any byte of the request was sent, which determines
// whether the request may have run.
package backend

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Defaults of a Client.
const (
	// DefaultMaxResponse limits a JSON response, in bytes.
	DefaultMaxResponse = 32 << 20
	// DefaultIdleTimeout limits how long a backend server may send nothing.
	DefaultIdleTimeout = 60 * time.Second
	copyBufSize        = 32 << 10
)

// Dialer opens a connection; net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is one request to one backend server.
type Call struct {
	Address string
	Method  string
	// Path starts with a slash and includes the query.
	Path string
	// Host is the Host header; "" means Address.
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is unique across the fleet. A response with another id is rejected.
	RequestID string
	Priority  int
	// Account is the name of the client account.
	Account string
	// Instance is the name of the expected incarnation of the backend server, "" for any.
	Instance string
	// StartTime is the start time of the incarnation, 0 if unknown. It distinguishes
	// incarnations with the same name.
	StartTime int64
	// Software is what the backend server runs. A new one under the same name has other connections.
	Software table.Software
	// MaxConnections is this router's share of the connections that the backend server
	// accepts. Beyond it, idle connections are closed; 0 means no limit.
	MaxConnections int
	// Deadline is sent to the backend server unless it is zero.
	Deadline time.Time
	// NotRepeatable marks a request that must not run twice.
	NotRepeatable bool
	// MayStream means that the response may be a stream, whose events or tokens are
	// counted. Otherwise the response is forwarded unparsed.
	MayStream bool
	// Opaque means that the data of events is not parsed and only their numbers are
	// checked.
	Opaque bool
	// CopyPrefixFrom is the address of a backend server whose cached prompt prefix the
	// called one copies, "" for none.
	CopyPrefixFrom string
	// Resume means that the caller already has the response up to LastEvent, and that
	// the backend server continues after it.
	Resume bool
	// LastEvent is the number of the last event the caller has, 0 for none.
	LastEvent uint64
	// WithholdServerErrors keeps responses with a 5xx status from the caller, so that
	// the request can be retried.
	WithholdServerErrors bool
	// BufferLimit is the number of bytes of an unparsed response that are read before
	// the first is forwarded. If it breaks off before that, the request can be retried.
	BufferLimit int
	// ReserveMemory reserves memory for what is held of the response, n bytes in all, and reports whether there is
	// enough; nil means that there is.
	ReserveMemory func(n int64) bool
	// Failover sets when a request moves from a stalled backend server to another.
	Failover Failover
	// MayStart reports whether the lease is still valid. It is called before dialing and
	// again before the first byte is sent; nil means that there is no lease.
	MayStart func() bool
	// BatchDelay returns how long to wait after an event, so that the following events
	// are sent together; nil sends each event at once.
	BatchDelay func() time.Duration
	// Served is set to the number of tokens or events received so far.
	Served *atomic.Int64
	// OnFirstByte, if not nil, is called at the first event or byte of the body.
	OnFirstByte func()
	// PauseTarget is the longest desired pause between events; 0 means that pauses are not
	// measured.
	PauseTarget time.Duration
	// OnPause, if not nil, is called when a pause exceeds PauseTarget, at most once in
	// pauseReportInterval.
	OnPause func(pause, target time.Duration)
	// OnNotice, if not nil, is called when the response headers hold a notice.
	OnNotice func(Notice)
}

// connKey returns the key of connections that may carry the call. It changes when the
// backend server restarts.
func (c *Call) connKey() string {
	return c.Address + " " + c.Instance + " " + strconv.FormatInt(c.StartTime, 10) + " " + c.Software.String()
}

// Sink receives the response.
type Sink interface {
	// Begin is called once, before the other methods.
	Begin(status int, header http.Header)
	// Write returns an error if the caller has disconnected.
	Write(p []byte) (int, error)
	// Flush sends the bytes written so far.
	Flush() error
	// Trailer is called at most once, after the last Write.
	Trailer(header http.Header)
}

// Result is the outcome of a call.
type Result struct {
	// Err is nil if the whole response was forwarded.
	Err *verdict.Error
	// Sent reports whether any byte of the request was sent.
	Sent bool
	// Began reports whether forwarding of the response has begun.
	Began bool
	// Unreachable reports whether no byte could be sent to the backend server.
	Unreachable bool
	// Stalled reports whether the backend server sent nothing before a timeout.
	Stalled bool
	// Status is the status of the response, 0 if there was none.
	Status int
	// Framing is how the end of the response is marked.
	Framing Framing
	// Empty says that the response was a stream without events.
	Empty bool
	// Malformed says that the response broke off for bytes that are none of it, and not for the end of its connection.
	Malformed bool
	// FirstByte is the time of the first event or byte of the body, zero if there was none.
	FirstByte time.Time
	// LastEvent is the number of the last forwarded event.
	LastEvent uint64
	// Pauses is the number of pauses between events that were measured, LongestPause the longest
	// of them.
	Pauses       int
	LongestPause time.Duration
	// Notice is read from the response headers.
	Notice Notice
	// Invalid is why the response was broken off, nil unless it held bytes that are no event of it.
	Invalid *InvalidEventError
}

// Client calls backend servers.
type Client struct {
	opt      options
	pool     *connPool
	activity activityTracker
	stats    counters
}

type counters struct{ events, flushes, invalidStreams atomic.Int64 }

// Stats counts what a Client has forwarded since its creation.
type Stats struct {
	// Events counts stream events. Flushes counts writes to callers, each of which may
	// hold several events.
	Events, Flushes int64
	// InvalidStreams counts streams that were broken off for bytes that are no event of them.
	InvalidStreams int64
}

// Stats returns the current counts.
func (c *Client) Stats() Stats {
	return Stats{Events: c.stats.events.Load(), Flushes: c.stats.flushes.Load(), InvalidStreams: c.stats.invalidStreams.Load()}
}

type options struct {
	dialer      Dialer
	maxResponse int64
	idleTimeout time.Duration
	headers     HeaderConfig
	clock       *clock.Clock
}

// Option configures a Client.
type Option func(*options)

// WithDialer replaces the plain TCP dialer.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithMaxResponse limits JSON responses, in bytes. Streams and unparsed responses have no
// limit.
func WithMaxResponse(n int64) Option { return func(o *options) { o.maxResponse = n } }

// WithIdleTimeout limits how long a backend server may send nothing.
func WithIdleTimeout(d time.Duration) Option { return func(o *options) { o.idleTimeout = d } }

// WithClock sets the clock for deadlines and idle times.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithHeaders sets the names of the protocol headers.
func WithHeaders(d HeaderConfig) Option { return func(o *options) { o.headers = d } }

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{opt: options{
		dialer:      &net.Dialer{},
		maxResponse: DefaultMaxResponse,
		idleTimeout: DefaultIdleTimeout,
		headers:     DefaultHeaders(),
		clock:       clock.System(),
	}}
	for _, f := range opts {
		f(&c.opt)
	}
	c.pool = newConnPool(c.opt.dialer, c.opt.clock)
	c.activity.clock, c.activity.byServer = c.opt.clock, map[string]*serverActivity{}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Do sends the request and forwards the response to the sink. It returns when the
// response ends, the call fails, or ctx is done.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) Result {
	x := &roundTrip{client: c, call: call, sink: sink, pauses: pauseMeter{target: call.PauseTarget, report: call.OnPause}}
	x.result.LastEvent = call.LastEvent
	x.run(ctx)
	x.result.Pauses, x.result.LongestPause = x.pauses.count, x.pauses.longest
	return x.result
}
