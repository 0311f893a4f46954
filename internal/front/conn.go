package front

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	conns *connections
	// refuse says to refuse the request on this connection.
	refuse bool
	// buffered holds bytes that were read before the HTTP server took over. admissionChecked
	// says that the first request has already passed the early admission check.
	buffered         []byte
	admissionChecked bool
	// forwarded says that another router forwarded the connection.
	forwarded bool
	// quiet is true while nothing has been read of the next request. It changes under conns.mu.
	quiet atomic.Bool
	// elem is the element in a list of conns since settledAt, nil while a request is in progress.
	// multiplexed says that the connection carries several requests at a time. They and closed are guarded
	// by conns.mu.
	elem        *list.Element
	settledAt   time.Time
	multiplexed bool
	closed      bool
	// unanswered is the number of bytes read since the connection was idle, 0 once a response has begun or
	// the caller has closed the connection. onUnanswered is called if it is above 0 at Close.
	unanswered   atomic.Int64
	responded    atomic.Bool
	onUnanswered func(bytes int64)
	// onStalled is called before a planned stop closes the connection since the rest of a header is late.
	onStalled func()
}

// http2Preface is the beginning of an HTTP/2 connection without TLS.
var http2Preface = []byte("PRI * HTTP/2")

// Read implements net.Conn. What arrives as a quiet connection is being closed is dropped, and counted.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.quiet.Load() && !c.conns.beginRequest(c, bytes.HasPrefix(p[:n], http2Preface)) {
		c.conns.unanswered.Add(1)
		c.onUnanswered(int64(n))
		return 0, net.ErrClosed
	}
	if err == nil {
		c.countRead(n)
	} else if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.unanswered.Store(0)
	}
	return n, err
}

// countRead counts bytes of a request.
func (c *conn) countRead(n int) {
	if !c.responded.Load() {
		c.unanswered.Add(int64(n))
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.responded.Store(true)
	c.unanswered.Store(0)
	return c.Conn.Write(p)
}

// awaitRequest records that the last response is complete.
func (c *conn) awaitRequest() {
	c.unanswered.Store(0)
	c.responded.Store(false)
}

// consumeAdmissionCheck reports whether the current request has already passed the early
// admission check, and clears the mark for later requests.
func (c *conn) consumeAdmissionCheck() bool {
	checked := c != nil && c.admissionChecked
	if checked {
		c.admissionChecked = false
	}
	return checked
}

// wasForwarded reports whether another router forwarded the connection.
func (c *conn) wasForwarded() bool { return c != nil && c.forwarded }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	if !c.closed {
		c.conns.remove(c)
	}
	c.conns.mu.Unlock()
	if bytes := c.unanswered.Swap(0); bytes > 0 {
		c.conns.unanswered.Add(1)
		c.onUnanswered(bytes)
	}
	return c.Conn.Close()
}
