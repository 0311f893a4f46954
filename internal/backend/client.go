// Package backend sends one request to one backend server and copies its
// answer to the caller. It knows at each moment whether a byte of the request
// was sent, so its verdicts are exact.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Bounds of an exchange with a backend server.
const (
	// DefaultMaxAnswer is the largest whole answer that is taken, in bytes.
	DefaultMaxAnswer = 32 << 20
	// DefaultIdle is how long a stream may stay silent.
	DefaultIdle = 60 * time.Second
	dialTimeout = time.Second
	// idleConns bounds the idle connections kept to one backend server.
	idleConns   = 256
	idleFor     = 90 * time.Second
	maxHeader   = 64 << 10
	copyBufSize = 32 << 10
)

// Headers that are exchanged with backend servers.
const (
	// HeaderRequestID carries the request's id through the fleet.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the priority to an engine that honours it.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is how a backend server says that it did not run it.
	HeaderNotRun = "X-Not-Run"
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
	Path   string
	Header http.Header
	Body   []byte
	// RequestID is unique in the fleet; an answer to another is refused.
	RequestID string
	Priority  int
	// Once says that the request must not run twice.
	Once bool
	// Events says that the answer to copy may be a stream of events whose
	// tokens are counted; a plain service's answer is copied as it is.
	Events bool
	// MayStart is asked just before the first byte is sent.
	MayStart func() bool
	// Served counts the tokens as they come.
	Served *atomic.Int64
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
	// Failed says that the backend server could not be reached.
	Failed bool
	// Status is the answer's status, 0 if there was none.
	Status int
	// FirstByte is when the first byte of the body came, zero if none did.
	FirstByte time.Time
}

// Client calls backend servers.
type Client struct {
	opt   options
	many  *http.Transport
	fresh *http.Transport
}

type options struct {
	dialer    Dialer
	maxAnswer int64
	idle      time.Duration
}

// Option changes a new Client.
type Option func(*options)

// WithDialer replaces the plain TCP dialer.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithMaxAnswer sets the largest whole answer, in bytes.
func WithMaxAnswer(n int64) Option { return func(o *options) { o.maxAnswer = n } }

// WithIdle sets how long a stream may stay silent.
func WithIdle(d time.Duration) Option { return func(o *options) { o.idle = d } }

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{opt: options{
		dialer:    &net.Dialer{Timeout: dialTimeout},
		maxAnswer: DefaultMaxAnswer,
		idle:      DefaultIdle,
	}}
	for _, f := range opts {
		f(&c.opt)
	}
	c.many = c.transport(false)
	c.fresh = c.transport(true)
	return c
}

// transport makes one of the two transports. Requests that must not run twice
// take a fresh connection each, because net/http may send a request again by
// itself when a kept connection turns out to be closed.
func (c *Client) transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleFor,
		MaxResponseHeaderBytes: maxHeader,
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.opt.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("backend: dial: %w", err)
	}
	return &gatedConn{Conn: conn}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.many.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends the call and copies the answer to the sink. It returns when the
// answer ends, fails, or ctx is done.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &exchange{client: c, call: call, sink: sink, cancel: cancel, gate: &gate{may: call.MayStart}}
	x.run(ctx)
	x.result.Sent = x.gate.sent()
	return x.result
}

// exchange is the state of one call.
type exchange struct {
	client *Client
	call   Call
	sink   Sink
	cancel context.CancelFunc
	gate   *gate
	result Result
	dialed atomic.Bool
}

func (x *exchange) run(ctx context.Context) {
	req, err := x.request(ctx)
	if err != nil {
		x.fail(verdict.PhaseDial, http.StatusBadRequest, "bad-request", "the request cannot be passed on", err)
		return
	}
	transport := x.client.many
	if x.call.Once {
		transport = x.client.fresh
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		x.failBeforeAnswer(ctx, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	x.result.Status = resp.StatusCode
	x.answer(resp)
}

func (x *exchange) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		x.dialed.Store(true)
		if g, ok := info.Conn.(*gatedConn); ok {
			g.gate.Store(x.gate)
		}
	}}
	url := "http://" + x.call.Address + x.call.Path
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.call.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("backend: make request: %w", err)
	}
	if len(x.call.Body) > 0 {
		// Without GetBody, net/http cannot send the body a second time.
		req.Body = io.NopCloser(bytes.NewReader(x.call.Body))
		req.ContentLength = int64(len(x.call.Body))
	}
	req.Header = x.call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	removeHopHeaders(req.Header)
	req.Header.Set(HeaderRequestID, x.call.RequestID)
	if x.call.Events {
		req.Header.Set(HeaderPriority, strconv.Itoa(x.call.Priority))
	}
	return req, nil
}

// failBeforeAnswer finds the verdict of a call that got no response header.
func (x *exchange) failBeforeAnswer(ctx context.Context, err error) {
	switch {
	case x.gate.refused.Load() && !x.gate.sent():
		x.fail(verdict.PhaseDial, http.StatusServiceUnavailable, "lease-expired", "the lease ran out before the request was sent", err)
	case !x.gate.sent():
		x.result.Failed = ctx.Err() == nil
		x.fail(verdict.PhaseDial, http.StatusBadGateway, "backend-unreachable", "the backend server could not be reached", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.fail(verdict.PhaseHeader, http.StatusGatewayTimeout, "deadline", "the deadline passed before the backend server answered", err)
	default:
		x.fail(verdict.PhaseHeader, http.StatusBadGateway, "backend-broke", "the connection broke before the backend server answered", err)
	}
}

func (x *exchange) fail(phase verdict.Phase, status int, code, detail string, err error) {
	x.result.Err = verdict.New(phase, status, code, detail).Wrap(err)
}
