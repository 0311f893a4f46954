package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// readBufferSize is the read buffer of a connection. There is one for each peer, and most messages are
// shorter.
const readBufferSize = 512

// accept accepts connections of peers and reads each in a goroutine of its own.
func (t *Transport) accept() {
	defer t.tasks.Done()
	slots := make(chan struct{}, maxInbound)
	for {
		conn, err := t.ln.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.opt.log.Warn("peer_accept_failed", "error", err)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		t.tasks.Add(1)
		go func() {
			defer t.tasks.Done()
			defer func() { <-slots }()
			t.read(conn)
		}()
	}
}

// read delivers every message of a connection until it ends.
func (t *Transport) read(conn net.Conn) {
	stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	hello, err := t.handshake(conn)
	if err != nil {
		if t.ctx.Err() == nil {
			t.opt.log.Warn("peer_refused", "address", conn.RemoteAddr().String(), "error", err)
		}
		return
	}
	t.markConnected(hello)
	id := t.lastConn.Add(1)
	defer t.reportDisconnected(hello, id)
	r := bufio.NewReaderSize(conn, readBufferSize)
	dec := wire.NewDecoder()
	for {
		payload, err := ReadFrame(r)
		if err != nil {
			return
		}
		start := time.Now()
		msgs, err := dec.Decode(payload)
		t.count.CodecNanos.Add(int64(time.Since(start)))
		if err != nil {
			t.opt.log.Warn("peer_frame_refused", "peer", hello.Name, "error", err)
			return
		}
		t.count.BytesIn.Add(int64(len(payload) + headerSize))
		t.count.MessagesIn.Add(int64(len(msgs)))
		if !t.deliver(hello, id, msgs) {
			return
		}
	}
}

func (t *Transport) handshake(conn net.Conn) (*wire.Hello, error) {
	hello, err := readHello(conn)
	if err != nil {
		return nil, err
	}
	return hello, verifyPeerName(conn, hello.Name)
}

// peerID returns the identity of a peer: its address if the Hello has one, else its name.
func peerID(hello *wire.Hello) string {
	if hello.Address != "" {
		return hello.Address
	}
	return hello.Name
}

// markConnected records that a peer has connected to this router, so that its outbox dials again
// without a pause.
func (t *Transport) markConnected(hello *wire.Hello) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.out[peerID(hello)]; ok {
		o.peerConnected.Store(true)
	}
}

// reportDisconnected tells the interceptor that a connection has ended.
func (t *Transport) reportDisconnected(hello *wire.Hello, id uint64) {
	if t.opt.intercept != nil {
		t.opt.intercept(newInbound(hello, id, Disconnected{}))
	}
}

func newInbound(hello *wire.Hello, conn uint64, msg any) Inbound {
	return Inbound{From: peerID(hello), Name: hello.Name, Zone: hello.Zone, Incarnation: hello.Incarnation, Conn: conn, Msg: msg}
}

// deliver passes messages of a connection to the interceptor or the inbox. It reports false if the
// transport was closed.
func (t *Transport) deliver(hello *wire.Hello, id uint64, msgs []any) bool {
	for _, msg := range msgs {
		if update, isHello := msg.(*wire.Hello); isHello {
			hello.Incarnation = update.Incarnation
			continue
		}
		in := newInbound(hello, id, msg)
		if t.opt.intercept != nil && t.opt.intercept(in) {
			continue
		}
		select {
		case t.inbox <- in:
		case <-t.ctx.Done():
			return false
		}
	}
	return true
}
