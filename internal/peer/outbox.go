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

// outbox is the task that owns the connection to one peer.
type outbox struct {
	net   *Transport
	to    string
	queue chan any
	conn  net.Conn
	// failedAt is when the last dial failed; the zero time if it did not.
	failedAt time.Time
	// heard says that the peer has connected here since: it listens.
	heard atomic.Bool
	// ended delivers a connection that the other side closed.
	ended chan net.Conn
	buf   bytes.Buffer
	enc   *wire.Encoder
}

func (o *outbox) run() {
	defer o.net.tasks.Done()
	defer o.drop()
	for {
		select {
		case <-o.net.ctx.Done():
			return
		case msg := <-o.queue:
			o.deliver(msg)
		case conn := <-o.ended:
			o.reconnect(conn)
		}
	}
}

// deliver writes the message and all that wait behind it as one frame.
func (o *outbox) deliver(first any) {
	if err := o.connect(); err != nil {
		o.net.waiting.Add(-1)
		o.lose(1, err)
		return
	}
	o.buf.Reset()
	o.buf.Write(make([]byte, headerSize))
	count := o.fill(first)
	defer o.net.waiting.Add(-int64(count))
	if err := o.write(); err != nil {
		o.lose(count, err)
		o.drop()
		return
	}
	o.net.count.MessagesOut.Add(int64(count))
	o.net.count.BytesOut.Add(int64(o.buf.Len()))
	o.shrink()
}

// keptBuffer is how large a buffer is kept for the next frame: frames of a quiet fleet
// have up to 2 kB. A router that told 300 others all that the platform published, 0.3 MB
// each, would else hold 100 MB from then on.
const keptBuffer = 64 << 10

// shrink gives back the buffer of a frame that was larger than usual.
func (o *outbox) shrink() {
	if o.buf.Cap() > keptBuffer {
		o.buf = bytes.Buffer{}
	}
}

func (o *outbox) fill(first any) int {
	count := 0
	for msg := first; ; {
		begun := time.Now()
		if err := o.enc.Append(msg); err != nil {
			o.net.opt.log.Error("peer_encode_failed", "peer", o.to, "error", err)
		}
		o.net.count.CodecNanos.Add(int64(time.Since(begun)))
		count++
		if count >= batchSize || o.buf.Len() > MaxFrame/2 {
			return count
		}
		select {
		case msg = <-o.queue:
		default:
			return count
		}
	}
}

func (o *outbox) lose(count int, err error) {
	o.net.count.Dropped.Add(int64(count))
	o.net.reportLost(o.to, err)
}

func (o *outbox) write() error {
	frame := o.buf.Bytes()
	size := len(frame) - headerSize
	if size > MaxFrame {
		return fmt.Errorf("peer: frame of %d bytes is over %d", size, MaxFrame)
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

// connect dials unless there is a connection, but not again soon after a
// failure: what is sent meanwhile is lost, which the sender is told.
func (o *outbox) connect() error {
	if o.conn != nil {
		return nil
	}
	// One that is heard has just started, and is told at once what it lacks.
	if !o.heard.Swap(false) && time.Since(o.failedAt) < redialAfter {
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
	addr, ok := o.net.address(o.to)
	if !ok {
		return nil, errNoAddress
	}
	conn, err := dialAnew(o.net.ctx, o.net.opt.dialer, addr)
	if err != nil {
		return nil, fmt.Errorf("peer: dial %s: %w", o.to, err)
	}
	if err := giveUpSilent(conn); err != nil {
		o.net.opt.log.Warn("peer_not_bounded", "peer", o.to, "error", err)
	}
	if c := o.net.opt.tls; c != nil {
		conn = tls.Client(conn, clientConfig(c, o.to))
	}
	if err := writeHello(conn, o.net.currentHello()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// watch tells when the other side closes the connection.
func (o *outbox) watch(conn net.Conn) {
	var one [1]byte
	_, _ = conn.Read(one[:])
	select {
	case o.ended <- conn:
	case <-o.net.ctx.Done():
	}
}

// reconnect replaces a connection that the other side closed. If nobody
// listens there any more, that is known now and not at the next message.
func (o *outbox) reconnect(conn net.Conn) {
	if conn != o.conn {
		_ = conn.Close()
		return
	}
	o.drop()
	o.lose(0, o.connect())
}

func (o *outbox) drop() {
	if o.conn != nil {
		_ = o.conn.Close()
		o.conn = nil
	}
}
