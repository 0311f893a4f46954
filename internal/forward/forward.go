// Package forward hands callers' connections on from a router that has no time to one
// that has: bytes of the connection go over the connections that routers keep among
// themselves, without another one to accept and to open. The router that takes a
// connection serves it as if its caller had come there.
//
// All callers of an account may come to one small router; to pass bytes on takes it a
// third of the time that a request does.
package forward

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Sender sends messages to other routers by their addresses and does not wait.
type Sender interface{ Send(to string, msg any) }

// Server serves the connections that others hand on.
type Server interface {
	// AcceptsForwarded reports whether it has time for one more, and knows the table of
	// a revision.
	AcceptsForwarded(by table.Version) bool
	// ServeForwarded serves a connection to its end.
	ServeForwarded(c net.Conn)
}

// Peer is a router that connections may be handed to.
type Peer struct {
	Address string
	// Capacity is its share of processors, above 0.
	Capacity float64
}

const (
	// busyFor is for how long a router that took no connection is passed over.
	busyFor = 300 * time.Millisecond
	// tries is how many routers are asked to take a connection.
	tries = 2
	// mostWaiting bounds the messages of one stream that wait to be written to its
	// connection: what a caller that does not read leaves behind.
	mostWaiting = 64
	// pieceSize is the most that is sent on at once.
	pieceSize = 16 << 10
)

// Forwarder hands connections on, and serves those that others hand on.
type Forwarder struct {
	clock *clock.Clock
	send  Sender
	front Server
	// gather is for how long answers are collected before more of them is sent back.
	gather func() time.Duration

	mu         sync.Mutex
	lastID     uint64
	neighbours []Peer
	// busy are the neighbours that took no connection, until when.
	busy map[string]time.Time
	// out are the streams handed on, in those that others handed on.
	out map[uint64]*outgoing
	in  map[inKey]*incoming
}

// inKey names a stream of another router.
type inKey struct {
	from   string
	inc    uint64
	stream uint64
}

// Option changes a new Forwarder.
type Option func(*Forwarder)

// WithBatchDelay sets for how long answers are collected before more of them is sent back.
func WithBatchDelay(gather func() time.Duration) Option {
	return func(f *Forwarder) { f.gather = gather }
}

// WithClock sets the clock by which streams are given up.
func WithClock(c *clock.Clock) Option { return func(f *Forwarder) { f.clock = c } }

// New returns a forwarder that knows no neighbours, and neither takes nor hands on
// anything before Use.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{
		clock: clock.System(), gather: func() time.Duration { return 0 },
		busy: map[string]time.Time{}, out: map[uint64]*outgoing{}, in: map[inKey]*incoming{},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Bind sets what messages go by, and what serves connections that others hand on.
func (f *Forwarder) Bind(send Sender, front Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.send, f.front = send, front
}

// SetPeers replaces the routers that connections may be handed to. What was handed
// to others goes on: they may be leaving.
func (f *Forwarder) SetPeers(list []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.neighbours = list
}

// Close ends all streams.
func (f *Forwarder) Close() {
	f.endAll(func(string) bool { return true })
}

// EndStreams takes in that messages to or from a router may be lost: its streams cannot go on.
func (f *Forwarder) EndStreams(address string) {
	f.endAll(func(a string) bool { return a == address })
}

// EndStreamsExcept ends the streams at or from routers that do not live.
func (f *Forwarder) EndStreamsExcept(live map[string]bool) {
	f.endAll(func(a string) bool { return !live[a] })
}

// endAll ends the streams at or from some routers.
func (f *Forwarder) endAll(some func(address string) bool) {
	f.mu.Lock()
	var out []*outgoing
	var in []*incoming
	for _, o := range f.out {
		if some(o.to) {
			out = append(out, o)
		}
	}
	for key, i := range f.in {
		if some(key.from) {
			in = append(in, i)
		}
	}
	f.mu.Unlock()
	for _, o := range out {
		o.end()
	}
	for _, i := range in {
		i.close()
	}
}

// Handle takes a message that belongs to a stream, and reports whether it was one.
func (f *Forwarder) Handle(in peer.Inbound) bool {
	switch m := in.Msg.(type) {
	case *wire.Forward:
		f.mu.Lock()
		send, front := f.send, f.front
		f.mu.Unlock()
		if send != nil {
			f.accept(in, m, send, front)
		}
	case *wire.ForwardData:
		f.data(in, m)
	default:
		return false
	}
	return true
}

func (f *Forwarder) data(in peer.Inbound, m *wire.ForwardData) {
	f.mu.Lock()
	o, i := f.out[m.Stream], f.in[inKey{in.From, in.Incarnation, m.Stream}]
	f.mu.Unlock()
	switch {
	case m.Response && o != nil && o.to == in.From:
		o.take(m)
	case !m.Response && i != nil:
		i.take(m)
	}
}

// choose draws a neighbour by what it has of processors, without those that are busy or
// were asked before. It reports false if there is none.
func (f *Forwarder) choose(now time.Time, asked string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	may := func(n Peer) bool { return n.Address != asked && !now.Before(f.busy[n.Address]) }
	sum := 0.0
	for _, n := range f.neighbours {
		if may(n) {
			sum += n.Capacity
		}
	}
	draw := rand.Float64() * sum
	for _, n := range f.neighbours {
		if !may(n) {
			continue
		}
		if draw -= n.Capacity; draw < 0 {
			return n.Address, true
		}
	}
	return "", false
}

// noteBusy passes a neighbour over for a while.
func (f *Forwarder) noteBusy(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[address] = now.Add(busyFor)
}
