package fabric

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// maxChunks is how many chunks may be in flight in one direction.
const maxChunks = 4096

// chunk is data with its arrival time.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays both directions of a connection and blocks them while the link is blocked.
type conn struct {
	net.Conn
	link    *link
	delay   time.Duration
	done    chan struct{}
	once    sync.Once
	out     chan chunk
	in      chan chunk
	unread  bytes.Buffer
	readErr error
}

func newConn(c net.Conn, l *link, delay time.Duration) *conn {
	x := &conn{Conn: c, link: l, delay: delay, done: make(chan struct{}), out: make(chan chunk, maxChunks), in: make(chan chunk, maxChunks)}
	go x.writeLoop()
	go x.readLoop()
	return x
}

func (c *conn) wait(p chunk) bool {
	if d := time.Until(p.due); d > 0 {
		time.Sleep(d)
	}
	return c.link.awaitOpen(c.done)
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
		p := chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(c.delay), err: err}
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

// Write implements net.Conn. It returns before the bytes arrive.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case c.out <- chunk{data: append([]byte(nil), p...), due: time.Now().Add(c.delay)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for c.unread.Len() == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case x := <-c.in:
			if !c.wait(x) {
				return 0, net.ErrClosed
			}
			c.unread.Write(x.data)
			c.readErr = x.err
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n, err := c.unread.Read(p)
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// Close implements net.Conn. Data in flight is delivered first, unless the link is blocked.
func (c *conn) Close() error {
	c.once.Do(func() {
		time.AfterFunc(2*c.delay, func() {
			close(c.done)
			_ = c.Conn.Close()
		})
	})
	return nil
}

// SetDeadline implements net.Conn. It does nothing: users of the connection close it instead.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, as SetDeadline.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, as SetDeadline.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
