package fabric

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// queued is how many pieces may be under way in one direction.
const queued = 4096

// piece is bytes with the moment at which they arrive.
type piece struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays both directions of a connection and holds them back while the
// link is blocked.
type conn struct {
	net.Conn
	link  *link
	delay time.Duration
	done  chan struct{}
	once  sync.Once
	out   chan piece
	in    chan piece
	rest  bytes.Buffer
	ended error
}

func newConn(c net.Conn, l *link, delay time.Duration) *conn {
	x := &conn{Conn: c, link: l, delay: delay, done: make(chan struct{}), out: make(chan piece, queued), in: make(chan piece, queued)}
	go x.writeLoop()
	go x.readLoop()
	return x
}

func (c *conn) wait(p piece) bool {
	if d := time.Until(p.due); d > 0 {
		time.Sleep(d)
	}
	return c.link.pass(c.done)
}

func (c *conn) writeLoop() {
	for {
		select {
		case p := <-c.out:
			if !c.wait(p) {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Conn.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *conn) readLoop() {
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Conn.Read(buf)
		p := piece{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(c.delay), err: err}
		select {
		case c.in <- p:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn: the bytes are under way when it returns.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case c.out <- piece{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for c.rest.Len() == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		select {
		case x := <-c.in:
			if !c.wait(x) {
				return 0, net.ErrClosed
			}
			c.rest.Write(x.data)
			c.ended = x.err
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n, err := c.rest.Read(p)
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// Close implements net.Conn. What is under way is sent first, unless the
// link is blocked, as a kernel would.
func (c *conn) Close() error {
	c.once.Do(func() {
		time.AfterFunc(2*c.delay, func() {
			close(c.done)
			_ = c.Conn.Close()
		})
	})
	return nil
}

// SetDeadline, SetReadDeadline and SetWriteDeadline are not needed: callers
// bound their waits by closing.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
