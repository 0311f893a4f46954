// Package forward relays callers' connections from an overloaded router to one with spare
// capacity. The bytes of each connection travel as messages over the existing connections
// between routers; the receiving router serves them like a connection of its own.
//
// Relaying bytes costs a router much less than handling the request. This helps when all
// callers of an account connect to one small router.
package forward

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Sender sends messages to other routers without blocking.
type Sender interface{ Send(to string, msg any) }

// Server serves connections that other routers forward.
type Server interface {
	// AcceptsForwarded reports whether the server has capacity for one more connection and has
	// a table at least as new as version.
	AcceptsForwarded(version table.Version) bool
	// ServeForwarded serves a connection until it closes.
	ServeForwarded(c net.Conn)
}

// Peer is a router that connections may be forwarded to.
type Peer struct {
	Address string
	// Capacity is the router's weight, its share of processors; it is above 0.
	Capacity float64
	// Remote says that it is in another availability zone.
	Remote bool
}

const (
	// busyCooldown is how long a peer that refused a connection is not chosen again.
	busyCooldown = 300 * time.Millisecond
	// attemptLimit is the number of peers of the zone to which a connection is offered.
	attemptLimit = 2
	// remoteWithin is the time since the first offer in which a connection may be offered to a
	// router of another zone. Zones are at most 8 ms apart, and the shortest targets are 150 ms.
	remoteWithin = 50 * time.Millisecond
	// maxQueued bounds the messages of one stream that wait to be written to its connection.
	maxQueued = 64
	// chunkSize is the most bytes sent in one message.
	chunkSize = 16 << 10
	// abortSeq is the sequence number of a last message that ends a response early. Routers that do not
	// know it find the message out of order, which ends the stream as well.
	abortSeq = 0
	// drainPollInterval is the poll interval of Drain.
	drainPollInterval = 5 * time.Millisecond
)

// Forwarder forwards connections to peers and serves connections that peers forward.
type Forwarder struct {
	clock  *clock.Clock
	log    *slog.Logger
	sender Sender
	server Server
	// batchDelay returns how long to collect response bytes before sending the next message.
	batchDelay func() time.Duration

	mu sync.Mutex
	// lastID is the number of the last stream. It starts at random, since peers may send responses to streams of a
	// former process of this router.
	lastID uint64
	peers  []Peer
	// busyUntil holds the peers that refused a connection recently.
	busyUntil map[string]time.Time
	// outgoing holds the streams forwarded to peers, incoming those received from peers.
	outgoing map[uint64]*outgoing
	incoming map[streamKey]*incoming
}

// streamKey identifies a stream that another router forwarded.
type streamKey struct {
	from        string
	incarnation uint64
	id          uint64
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithBatchDelay sets how long response bytes are collected before the next message is sent.
func WithBatchDelay(delay func() time.Duration) Option {
	return func(f *Forwarder) { f.batchDelay = delay }
}

// WithClock sets the clock for the deadlines of streams.
func WithClock(c *clock.Clock) Option { return func(f *Forwarder) { f.clock = c } }

// WithLogger sets the logger for streams of other routers that end early.
func WithLogger(l *slog.Logger) Option { return func(f *Forwarder) { f.log = l } }

// New returns a forwarder without peers. It forwards and accepts nothing before Bind.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{
		clock: clock.System(), log: slog.New(slog.DiscardHandler), batchDelay: func() time.Duration { return 0 },
		lastID: rand.Uint64() >> 1, busyUntil: map[string]time.Time{}, outgoing: map[uint64]*outgoing{}, incoming: map[streamKey]*incoming{},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Bind sets how messages are sent and which server handles forwarded connections.
func (f *Forwarder) Bind(sender Sender, server Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sender, f.server = sender, server
}

// SetPeers replaces the routers that connections may be forwarded to. Streams to former peers
// continue, since those routers may be draining.
func (f *Forwarder) SetPeers(peers []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = peers
}

// anyIncarnation is above all incarnations.
const anyIncarnation = math.MaxUint64

// Close ends all streams.
func (f *Forwarder) Close() {
	f.closeMatching(Stopped, anyIncarnation, func(string) bool { return true })
}

// EndStreams ends all streams to and from the router at address, for example when messages to it may
// have been lost. Responses that it has sent still reach their callers.
func (f *Forwarder) EndStreams(address string, why Reason) {
	f.closeMatching(why, anyIncarnation, func(a string) bool { return a == address })
}

// EndStreamsBefore ends the streams to the router at address, and those from its processes before an incarnation. The
// process of that incarnation may have forwarded some already.
func (f *Forwarder) EndStreamsBefore(address string, incarnation uint64) {
	f.closeMatching(PeerRestarted, incarnation, func(a string) bool { return a == address })
}

// Drain waits until the responses to the callers of other routers have been sent, or ctx is done. The
// server must have stopped.
func (f *Forwarder) Drain(ctx context.Context) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for f.incomingCount() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Forwarder) incomingCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.incoming)
}

// EndStreamsExcept ends the streams to and from all routers that are not in live.
func (f *Forwarder) EndStreamsExcept(live map[string]bool) {
	f.closeMatching(PeerSilent, anyIncarnation, func(a string) bool { return !live[a] })
}

// closeMatching ends the streams to the routers whose address matches, and those from their processes before an
// incarnation.
func (f *Forwarder) closeMatching(why Reason, before uint64, match func(address string) bool) {
	f.mu.Lock()
	var outs []*outgoing
	var ins []*incoming
	for _, o := range f.outgoing {
		if match(o.to) {
			outs = append(outs, o)
		}
	}
	for key, i := range f.incoming {
		if match(key.from) && key.incarnation < before {
			ins = append(ins, i)
		}
	}
	f.mu.Unlock()
	for _, o := range outs {
		if why.mayPrecedeResponse() {
			o.suspect(why)
			continue
		}
		o.end(why)
	}
	for _, i := range ins {
		i.close(why)
	}
}

// Handle processes a message that belongs to a stream, or the end of a connection, and reports whether it
// was one.
func (f *Forwarder) Handle(in peer.Inbound) bool {
	switch m := in.Msg.(type) {
	case *wire.Forward:
		f.mu.Lock()
		sender, server := f.sender, f.server
		f.mu.Unlock()
		if sender != nil {
			f.accept(in, m, sender, server)
		}
	case *wire.ForwardData:
		f.handleData(in, m)
	case peer.Disconnected:
		f.endResponses(in)
	default:
		return false
	}
	return true
}

// endResponses ends the streams whose responses arrive on a connection that has ended. All of its messages
// have been handled.
func (f *Forwarder) endResponses(in peer.Inbound) {
	f.mu.Lock()
	var ended []*outgoing
	for _, o := range f.outgoing {
		if o.conn != 0 && o.conn == in.Conn {
			ended = append(ended, o)
		}
	}
	f.mu.Unlock()
	for _, o := range ended {
		o.end(ConnectionLost)
	}
}

// Unsent processes that a message did not leave this router. A router that was not asked to serve a
// connection has refused it.
func (f *Forwarder) Unsent(to string, msg any) {
	m, ok := msg.(*wire.Forward)
	if !ok {
		return
	}
	f.mu.Lock()
	o := f.outgoing[m.Stream]
	f.mu.Unlock()
	if o != nil && o.to == to {
		o.receive(&wire.ForwardData{Stream: m.Stream, Response: true, Refused: true})
	}
}

func (f *Forwarder) handleData(in peer.Inbound, m *wire.ForwardData) {
	f.mu.Lock()
	o, i := f.outgoing[m.Stream], f.incoming[streamKey{in.From, in.Incarnation, m.Stream}]
	if m.Response && o != nil && o.to == in.From {
		o.conn = in.Conn
	}
	f.mu.Unlock()
	switch {
	case m.Response && o != nil && o.to == in.From:
		o.receive(m)
	case !m.Response && i != nil:
		i.receive(m)
	}
}

// choosePeer picks a random peer of this zone or of others, weighted by capacity, other than exclude and
// the busy ones. It returns false if there is none.
func (f *Forwarder) choosePeer(now time.Time, exclude string, remote bool) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	eligible := func(p Peer) bool {
		return p.Remote == remote && p.Address != exclude && !now.Before(f.busyUntil[p.Address])
	}
	total := 0.0
	for _, p := range f.peers {
		if eligible(p) {
			total += p.Capacity
		}
	}
	draw := rand.Float64() * total
	for _, p := range f.peers {
		if !eligible(p) {
			continue
		}
		if draw -= p.Capacity; draw < 0 {
			return p.Address, true
		}
	}
	return "", false
}

// markBusy excludes a peer from choosePeer for busyCooldown.
func (f *Forwarder) markBusy(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busyUntil[address] = now.Add(busyCooldown)
}
