package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// accept takes connections of peers, each read by a task of its own.
func (n *Transport) accept() {
	defer n.tasks.Done()
	slots := make(chan struct{}, maxInbound)
	for {
		conn, err := n.ln.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			n.opt.log.Warn("peer_accept_failed", "error", err)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		n.tasks.Add(1)
		go func() {
			defer n.tasks.Done()
			defer func() { <-slots }()
			n.read(conn)
		}()
	}
}

// read hands every message of a connection to the inbox until it ends.
func (n *Transport) read(conn net.Conn) {
	stop := context.AfterFunc(n.ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	hello, err := n.greet(conn)
	if err != nil {
		if n.ctx.Err() == nil {
			n.opt.log.Warn("peer_refused", "address", conn.RemoteAddr().String(), "error", err)
		}
		return
	}
	n.noteHeard(hello)
	r := bufio.NewReader(conn)
	dec := wire.NewDecoder()
	for {
		payload, err := ReadFrame(r)
		if err != nil {
			return
		}
		begun := time.Now()
		msgs, err := dec.Decode(payload)
		n.count.CodecNanos.Add(int64(time.Since(begun)))
		if err != nil {
			n.opt.log.Warn("peer_frame_refused", "peer", hello.Name, "error", err)
			return
		}
		n.count.BytesIn.Add(int64(len(payload) + headerSize))
		n.count.MessagesIn.Add(int64(len(msgs)))
		if !n.deliver(hello, msgs) {
			return
		}
	}
}

func (n *Transport) greet(conn net.Conn) (*wire.Hello, error) {
	hello, err := readHello(conn)
	if err != nil {
		return nil, err
	}
	return hello, nameInCertificate(conn, hello.Name)
}

// identityOf returns what identifies a peer: its address if it says one, else its name.
func identityOf(hello *wire.Hello) string {
	if hello.Address != "" {
		return hello.Address
	}
	return hello.Name
}

// noteHeard notes that a peer has connected here.
func (n *Transport) noteHeard(hello *wire.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o, ok := n.out[identityOf(hello)]; ok {
		o.heard.Store(true)
	}
}

func (n *Transport) deliver(hello *wire.Hello, msgs []any) bool {
	for _, msg := range msgs {
		if again, isHello := msg.(*wire.Hello); isHello {
			hello.Incarnation = again.Incarnation
			continue
		}
		in := Inbound{From: identityOf(hello), Name: hello.Name, Zone: hello.Zone, Incarnation: hello.Incarnation, Msg: msg}
		if n.opt.taken != nil && n.opt.taken(in) {
			continue
		}
		select {
		case n.inbox <- in:
		case <-n.ctx.Done():
			return false
		}
	}
	return true
}
