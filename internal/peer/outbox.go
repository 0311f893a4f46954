package peer

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// outbox sends messages to one peer. Its goroutine owns the connection.
type outbox struct {
	transport *Transport
	to        string
	queue     *queue
	conn      net.Conn
	// failedAt is when the last failed dial ended, zero if none failed.
	failedAt time.Time
	// peerConnected reports that the peer has connected to this router since the last dial, so
	// it probably listens.
	peerConnected atomic.Bool
	// closed delivers connections that the peer closed.
	closed chan net.Conn
	buf    bytes.Buffer
	enc    *wire.Encoder
}

func (o *outbox) run() {
	defer o.transport.tasks.Done()
	defer o.closeConn()
	for {
		select {
		case <-o.transport.ctx.Done():
			return
		case <-o.queue.ready:
			o.deliver()
		case conn := <-o.closed:
			o.reconnect(conn)
		}
	}
}

// deliver writes the waiting messages, as many as a frame takes.
func (o *outbox) deliver() {
	messages := o.queue.take(batchSize)
	if len(messages) == 0 {
		return
	}
	defer o.transport.pending.Add(-int64(len(messages)))
	if err := o.connect(); err != nil {
		o.transport.reportUnsent(o.to, messages...)
		o.reportDropped(len(messages), err)
		return
	}
	for len(messages) > 0 {
		o.buf.Reset()
		o.buf.Write(make([]byte, headerSize))
		count := o.fill(messages)
		if err := o.write(); err != nil {
			o.reportDropped(len(messages), err)
			o.closeConn()
			return
		}
		messages = messages[count:]
		o.transport.count.MessagesOut.Add(int64(count))
		o.transport.count.BytesOut.Add(int64(o.buf.Len()))
		o.shrink()
	}
}

// maxKeptBuffer is the largest buffer kept for the next frame. There is a buffer for each peer, so
// that large ones would add up.
const maxKeptBuffer = 4 << 10

// shrink releases the buffer if the last frame was unusually large.
func (o *outbox) shrink() {
	if o.buf.Cap() > maxKeptBuffer {
		o.buf = bytes.Buffer{}
	}
}

// fill encodes messages up to the limit of a frame, and returns their number.
func (o *outbox) fill(messages []any) int {
	for i, msg := range messages {
		start, before := time.Now(), o.buf.Len()
		if err := o.enc.Append(msg); err != nil {
			o.transport.opt.log.Error("peer_encode_failed", "peer", o.to, "error", err)
		}
		o.transport.count.CodecNanos.Add(int64(time.Since(start)))
		o.transport.count.addSent(wire.KindOf(msg), o.buf.Len()-before)
		if o.buf.Len() > MaxFrame/2 {
			return i + 1
		}
	}
	return len(messages)
}

func (o *outbox) reportDropped(count int, err error) {
	o.transport.count.Dropped.Add(int64(count))
	o.transport.reportLoss(o.to, err)
}

func (o *outbox) write() error {
	frame := o.buf.Bytes()
	size := len(frame) - headerSize
	if size > MaxFrame {
		return fmt.Errorf("peer: frame of %d bytes exceeds the limit of %d", size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	if err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("peer: set deadline: %w", err)
	}
	if _, err := o.conn.Write(frame); err != nil {
		return fmt.Errorf("peer: write frame: %w", err)
	}
	return nil
}

// connect opens a connection if there is none. It fails at once if the last dial failed less than
// redialAfter ago.
func (o *outbox) connect() error {
	if o.conn != nil {
		return nil
	}
	// A peer that has connected here has probably just started and listens by now.
	if !o.peerConnected.Swap(false) && time.Since(o.failedAt) < redialAfter {
		return errDialFailed
	}
	conn, err := o.dial()
	if err != nil {
		o.failedAt = time.Now()
		return err
	}
	o.conn = conn
	o.enc = wire.NewEncoder(&o.buf)
	go o.watch(conn)
	return nil
}

func (o *outbox) dial() (net.Conn, error) {
	addr, ok := o.transport.address(o.to)
	if !ok {
		return nil, errNoAddress
	}
	conn, err := dialRetrying(o.transport.ctx, o.transport.opt.dialer, addr)
	if err != nil {
		return nil, fmt.Errorf("peer: dial %s: %w", o.to, err)
	}
	if err := setUserTimeout(conn); err != nil {
		o.transport.opt.log.Warn("peer_not_bounded", "peer", o.to, "error", err)
	}
	if c := o.transport.opt.tls; c != nil {
		conn = tls.Client(conn, clientTLSConfig(c, o.to))
	}
	if err := writeHello(conn, o.transport.currentHello()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// watch reports to run when the peer closes the connection. Peers send nothing on it.
func (o *outbox) watch(conn net.Conn) {
	var one [1]byte
	_, _ = conn.Read(one[:])
	select {
	case o.closed <- conn:
	case <-o.transport.ctx.Done():
	}
}

// reconnect replaces a connection that the peer closed. It dials at once, so that a peer that has
// stopped is detected before the next message.
func (o *outbox) reconnect(conn net.Conn) {
	if conn != o.conn {
		_ = conn.Close()
		return
	}
	o.closeConn()
	o.reportDropped(0, o.connect())
}

func (o *outbox) closeConn() {
	if o.conn != nil {
		_ = o.conn.Close()
		o.conn = nil
	}
}
