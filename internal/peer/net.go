// Package peer carries messages between routers: one TCP connection each way
// for a pair, each owned by one task. A message is delivered at most once and
// in order per connection; a loss is reported, never hidden.
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

// Bounds of a connection between routers.
const (
	// MaxFrame is the largest payload accepted, in bytes: a whole table at
	// the target size with room to grow.
	MaxFrame = 4 << 20
	// outboxSize is how many messages may wait for one peer.
	outboxSize = 4096
	// batchSize is how many messages go into one frame at most.
	batchSize = 256
	// dialTimeout bounds the opening of a connection; between the farthest regions
	// the way there and back takes about 200 ms. An opening packet that is lost,
	// as when the peer has no power yet, is sent again only after a second, so
	// that another connection is tried each dialAgain meanwhile.
	dialTimeout  = time.Second
	dialAgain    = 100 * time.Millisecond
	writeTimeout = 3 * time.Second
	// redialAfter is the pause after a failed dial.
	redialAfter = 100 * time.Millisecond
	// maxInbound bounds the connections accepted at once.
	maxInbound = 2048
)

// Inbound is a message of another router.
type Inbound struct {
	// From identifies the sender: its name, or its address where WithAddress
	// is used.
	From string
	// Name is the sender's name for logs.
	Name        string
	Zone        string
	Incarnation uint64
	Msg         any
}

// Loss reports that messages to a peer were dropped. Refused says that its
// address refused the connection, so that no process listens there.
type Loss struct {
	Peer    string
	Refused bool
}

// Dialer opens a connection; net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Counters count what a router exchanged with its peers.
type Counters struct {
	MessagesOut atomic.Int64
	MessagesIn  atomic.Int64
	BytesOut    atomic.Int64
	BytesIn     atomic.Int64
	Dropped     atomic.Int64
	// CodecNanos is the time spent on encoding and decoding.
	CodecNanos atomic.Int64
}

// Transport is a router's end of all connections to its peers.
type Transport struct {
	opt    options
	ln     net.Listener
	inbox  chan Inbound
	lost   chan Loss
	count  *Counters
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu    sync.Mutex
	hello wire.Hello
	addrs map[string]string
	out   map[string]*outbox
	// waiting counts the messages that were not written yet.
	waiting atomic.Int64
}

type options struct {
	dialer  Dialer
	tls     *tls.Config
	log     *slog.Logger
	address string
	taken   func(Inbound) bool
}

// Option changes a new Net.
type Option func(*options)

// WithDialer replaces the plain TCP dialer.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// WithTLS makes connections mutual TLS by the configuration, which holds both
// the own certificate and the authority of the peers'.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithLogger sets where events are logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithAddress makes the address where a router listens its identity, so that
// peers need no list of names: messages are sent to addresses.
func WithAddress(address string) Option { return func(o *options) { o.address = address } }

// WithInterceptor sets what may take a message instead of the inbox, in the task that reads its
// sender's connection: it must not wait.
func WithInterceptor(taken func(Inbound) bool) Option { return func(o *options) { o.taken = taken } }

// New starts to accept connections on ln, which it closes at the end.
func New(name, zone string, inc uint64, ln net.Listener, opts ...Option) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Transport{
		hello:  wire.Hello{Protocol: wire.Protocol, Oldest: wire.OldestProtocol, Name: name, Zone: zone, Incarnation: inc},
		opt:    options{dialer: &net.Dialer{}, log: slog.Default()},
		ln:     ln,
		inbox:  make(chan Inbound, outboxSize),
		lost:   make(chan Loss, outboxSize),
		count:  &Counters{},
		ctx:    ctx,
		cancel: cancel,
		addrs:  map[string]string{},
		out:    map[string]*outbox{},
	}
	for _, f := range opts {
		f(&n.opt)
	}
	n.hello.Address = n.opt.address
	if n.opt.tls != nil {
		n.ln = tls.NewListener(ln, n.opt.tls)
	}
	n.tasks.Add(1)
	go n.accept()
	return n
}

// Inbox is where messages of peers come in.
func (n *Transport) Inbox() <-chan Inbound { return n.inbox }

// Losses is where losses are reported.
func (n *Transport) Losses() <-chan Loss { return n.lost }

// Counters returns the counters, which go on counting.
func (n *Transport) Counters() *Counters { return n.count }

// SetAddresses replaces the addresses of the peers by name.
func (n *Transport) SetAddresses(addrs map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs = addrs
}

func (n *Transport) address(name string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, ok := n.addrs[name]; ok || n.opt.address == "" {
		return a, ok
	}
	return name, true
}

// SetIncarnation tells all peers, over the connections that there are and at the beginning of
// later ones, that this router is of another start than it said.
func (n *Transport) SetIncarnation(inc uint64) {
	n.mu.Lock()
	n.hello.Incarnation = inc
	hello := n.hello
	to := slices.Collect(maps.Keys(n.out))
	n.mu.Unlock()
	for _, peer := range to {
		n.Send(peer, &hello)
	}
}

func (n *Transport) currentHello() wire.Hello {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hello
}

// Send puts a message into the peer's outbox and does not wait. It must not
// be called after Close.
func (n *Transport) Send(to string, msg any) {
	n.mu.Lock()
	o, ok := n.out[to]
	if !ok {
		o = &outbox{net: n, to: to, queue: make(chan any, outboxSize), ended: make(chan net.Conn)}
		n.out[to] = o
		n.tasks.Add(1)
		go o.run()
	}
	n.mu.Unlock()
	n.waiting.Add(1)
	select {
	case o.queue <- msg:
	default:
		n.waiting.Add(-1)
		n.count.Dropped.Add(1)
		n.reportLost(to, nil)
	}
}

func (n *Transport) reportLost(peer string, err error) {
	l := Loss{Peer: peer, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	select {
	case n.lost <- l:
	default:
	}
}

// flushLook is how often Flush looks whether all is written.
const flushLook = 5 * time.Millisecond

// Flush waits until all that was sent has been written or given up, or ctx is done.
func (n *Transport) Flush(ctx context.Context) {
	tick := time.NewTicker(flushLook)
	defer tick.Stop()
	for n.waiting.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends all connections and tasks.
func (n *Transport) Close() error {
	n.cancel()
	err := n.ln.Close()
	n.tasks.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("peer: close listener: %w", err)
	}
	return nil
}
