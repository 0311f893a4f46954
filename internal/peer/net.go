// Package peer sends messages between routers. Each pair of routers has one TCP connection in
// each direction, and one goroutine per connection writes to it. A message is delivered at most
// once. Messages of one connection arrive in order. Losses that the sender detects are reported.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Limits of a connection between routers.
const (
	// MaxFrame is the largest payload accepted, in bytes. A full table must fit.
	MaxFrame = 4 << 20
	// outboxSize is the number of messages that may be queued for one peer.
	outboxSize = 4096
	// batchSize is the largest number of messages in one frame.
	batchSize = 256
	// dialTimeout bounds the opening of a connection. The kernel retransmits a lost SYN
	// only after a second, so another attempt starts every dialRetryInterval.
	dialTimeout       = time.Second
	dialRetryInterval = 100 * time.Millisecond
	writeTimeout      = 3 * time.Second
	// redialAfter is the pause after a failed dial.
	redialAfter = 100 * time.Millisecond
	// maxInbound is the largest number of inbound connections at a time.
	maxInbound = 2048
)

// Inbound is a message from another router.
type Inbound struct {
	// From identifies the sender: its name, or its address with WithAddress.
	From string
	// Name is the sender's name for logs.
	Name        string
	Zone        string
	Incarnation uint64
	// Conn numbers the connection that the message arrived on. It differs between all connections to this
	// router and is above 0.
	Conn uint64
	Msg  any
}

// Disconnected is the Msg that follows the last message of a connection. Only the interceptor gets it.
type Disconnected struct{}

// Loss reports that messages to a peer were dropped, or that its connection ended. Refused
// reports that its address refused a connection, so that no process listens there.
type Loss struct {
	Peer    string
	Refused bool
}

// Dialer opens connections; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Counters count the traffic between a router and its peers.
type Counters struct {
	MessagesOut atomic.Int64
	MessagesIn  atomic.Int64
	BytesOut    atomic.Int64
	BytesIn     atomic.Int64
	Dropped     atomic.Int64
	// CodecNanos is the time spent on encoding and decoding.
	CodecNanos atomic.Int64

	sent [wire.KindCount]struct{ messages, bytes atomic.Int64 }
}

// KindCount counts the messages of a kind that were sent, and their bytes without the frames.
type KindCount struct{ Messages, Bytes int64 }

// SentByKind returns what was sent, by wire.Kind.
func (c *Counters) SentByKind() (sent [wire.KindCount]KindCount) {
	for kind := range c.sent {
		sent[kind] = KindCount{c.sent[kind].messages.Load(), c.sent[kind].bytes.Load()}
	}
	return sent
}

// addSent counts a message.
func (c *Counters) addSent(kind wire.Kind, bytes int) {
	if int(kind) < len(c.sent) {
		c.sent[kind].messages.Add(1)
		c.sent[kind].bytes.Add(int64(bytes))
	}
}

// Transport holds a router's connections to its peers.
type Transport struct {
	opt    options
	ln     net.Listener
	inbox  chan Inbound
	losses chan Loss
	count  *Counters
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex
	hello wire.Hello
	addrs map[string]string
	out   map[string]*outbox
	// pending is the number of messages that are neither written nor dropped.
	pending atomic.Int64
	// lastConn is the number of the last connection that a peer opened.
	lastConn atomic.Uint64
}

type options struct {
	dialer    Dialer
	tls       *tls.Config
	log       *slog.Logger
	address   string
	intercept func(Inbound) bool
	unsent    func(to string, msg any)
}

// Option configures a Transport.
type Option func(*options)

// WithDialer replaces the default dialer, a net.Dialer.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithTLS enables mutual TLS. The configuration holds the router's certificate and the
// certificate authority of its peers.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithAddress identifies routers by the addresses where they listen instead of their names.
// Send then takes addresses, and SetAddresses is not needed.
func WithAddress(address string) Option { return func(o *options) { o.address = address } }

// WithInterceptor sets a function that is called for each message first. If it returns true, the
// message does not go to the inbox. It runs on the goroutine that reads the sender's connection
// and must not block. After the last message of a connection it gets Disconnected.
func WithInterceptor(f func(Inbound) bool) Option { return func(o *options) { o.intercept = f } }

// WithUnsent sets a function that is called for each message that was dropped before any of it was
// written. It must not block.
func WithUnsent(f func(to string, msg any)) Option { return func(o *options) { o.unsent = f } }

// New returns a Transport that accepts connections on ln. Close closes ln.
func New(name, zone string, inc uint64, ln net.Listener, opts ...Option) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		hello:  wire.Hello{Protocol: wire.Protocol, Oldest: wire.OldestProtocol, Name: name, Zone: zone, Incarnation: inc},
		opt:    options{dialer: &net.Dialer{}, log: slog.Default()},
		ln:     ln,
		inbox:  make(chan Inbound, outboxSize),
		losses: make(chan Loss, outboxSize),
		count:  &Counters{},
		ctx:    ctx,
		cancel: cancel,
		addrs:  map[string]string{},
		out:    map[string]*outbox{},
	}
	for _, f := range opts {
		f(&t.opt)
	}
	t.hello.Address = t.opt.address
	if t.opt.tls != nil {
		t.ln = tls.NewListener(ln, t.opt.tls)
	}
	t.tasks.Add(1)
	go t.accept()
	return t
}

// Inbox returns the channel of received messages.
func (t *Transport) Inbox() <-chan Inbound { return t.inbox }

// Losses returns the channel on which losses are reported.
func (t *Transport) Losses() <-chan Loss { return t.losses }

// Connections returns the number of routers that this one has sent something.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.out)
}

// Counters returns the live counters.
func (t *Transport) Counters() *Counters { return t.count }

// SetAddresses replaces the addresses of the peers by name.
func (t *Transport) SetAddresses(addrs map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addrs = addrs
}

func (t *Transport) address(name string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.addrs[name]; ok || t.opt.address == "" {
		return a, ok
	}
	return name, true
}

// SetIncarnation replaces the router's incarnation and sends it to all peers, now and in the
// Hello of later connections.
func (t *Transport) SetIncarnation(inc uint64) {
	t.mu.Lock()
	t.hello.Incarnation = inc
	hello := t.hello
	to := slices.Collect(maps.Keys(t.out))
	t.mu.Unlock()
	for _, peer := range to {
		t.Send(peer, &hello)
	}
}

func (t *Transport) currentHello() wire.Hello {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hello
}

// Send queues a message for a peer without blocking. It drops the message if the queue is full.
// It must not be called after Close.
func (t *Transport) Send(to string, msg any) {
	t.mu.Lock()
	o, ok := t.out[to]
	if !ok {
		o = &outbox{transport: t, to: to, queue: newQueue(), closed: make(chan net.Conn)}
		t.out[to] = o
		t.tasks.Add(1)
		go o.run()
	}
	t.mu.Unlock()
	t.pending.Add(1)
	if !o.queue.push(msg) {
		t.pending.Add(-1)
		t.count.Dropped.Add(1)
		t.reportUnsent(to, msg)
		t.reportLoss(to, nil)
	}
}

// reportUnsent reports messages of which nothing was written.
func (t *Transport) reportUnsent(to string, messages ...any) {
	if t.opt.unsent == nil {
		return
	}
	for _, msg := range messages {
		t.opt.unsent(to, msg)
	}
}

func (t *Transport) reportLoss(peer string, err error) {
	l := Loss{Peer: peer, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	select {
	case t.losses <- l:
	default:
	}
}

const flushPollInterval = 5 * time.Millisecond

// Flush waits until all queued messages are written or dropped, or ctx is done.
func (t *Transport) Flush(ctx context.Context) {
	tick := time.NewTicker(flushPollInterval)
	defer tick.Stop()
	for t.pending.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all connections and waits for the goroutines of the Transport.
func (t *Transport) Close() error {
	t.cancel()
	err := t.ln.Close()
	t.tasks.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("peer: close listener: %w", err)
	}
	return nil
}
