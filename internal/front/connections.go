package front

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// closingPart is the part of the bound on callers' connections from which
	// answers end their connections: callers that open a connection for each
	// request and leave it open would else fill the bound with idle ones.
	closingPart = 0.5
	// refusingPart is the part of the bound by which it may be exceeded by
	// connections that are only told to come back, leastRefusing their least
	// number: to read a request's head and answer takes some milliseconds.
	refusingPart  = 0.125
	leastRefusing = 16
	// fullFor is for how long a router that refused a connection tells the
	// balancer that it is not ready: twice the second between two questions.
	fullFor = 2 * time.Second
)

// connections keeps account of callers' connections. A newcomer beyond the
// bound takes the place of the connection that has been idle for longest; where
// none is idle, its request is refused. So nobody waits unread behind
// connections that rest.
type connections struct {
	// refused and evicted count since the start: newcomers that were refused,
	// and idle connections that were closed for a newcomer.
	refused, evicted atomic.Int64

	mu sync.Mutex
	// open is how many are open, those that are only refused among them.
	open int
	// idle are the connections without a request, the one that has been so for
	// longest first.
	idle list.List
	// lastRefused is when a newcomer was last refused.
	lastRefused time.Time
}

// conn is one caller's connection.
type conn struct {
	net.Conn
	all *connections
	// refuse says that its request is refused.
	refuse bool
	// unread is what was read of it before the HTTP server had it; screened says that
	// its first request has been screened then.
	unread   []byte
	screened bool
	// forwarded says that another router handed it on.
	forwarded bool
	// place is its element in the idle list, nil while it has a request; closed
	// says that it has been closed. Both are guarded by all.mu.
	place  *list.Element
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// wasScreened reports whether the request that is read now was screened before the HTTP
// server had its connection.
func (c *conn) wasScreened() bool {
	was := c != nil && c.screened
	if was {
		c.screened = false
	}
	return was
}

// wasForwarded reports whether another router handed the connection on.
func (c *conn) wasForwarded() bool { return c != nil && c.forwarded }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.all.mu.Lock()
	if !c.closed {
		c.closed = true
		c.all.open--
		c.all.unlist(c)
	}
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// unlist takes a connection out of the idle list.
func (cs *connections) unlist(c *conn) {
	if c.place != nil {
		cs.idle.Remove(c.place)
		c.place = nil
	}
}

// admit takes in a new connection while most may be open, 0 for any number. It
// returns nil if the connection cannot even be refused.
func (cs *connections) admit(nc net.Conn, most int, now time.Time) *conn {
	c := &conn{Conn: nc, all: cs}
	var oldest *conn
	cs.mu.Lock()
	full := most > 0 && cs.open >= most
	if full {
		if front := cs.idle.Front(); front != nil {
			oldest = front.Value.(*conn)
			cs.unlist(oldest)
			oldest.closed = true
			cs.open--
		} else {
			c.refuse = true
			cs.lastRefused = now
		}
	}
	beyond := c.refuse && cs.open >= most+refusing(most)
	if !beyond {
		cs.open++
	}
	cs.mu.Unlock()
	if oldest != nil {
		cs.evicted.Add(1)
		_ = oldest.Conn.Close()
	}
	if c.refuse {
		cs.refused.Add(1)
	}
	if beyond {
		return nil
	}
	return c
}

// refusing is how many connections beyond the bound are answered with a refusal.
func refusing(most int) int { return max(leastRefusing, int(refusingPart*float64(most))) }

// crowded reports whether so many connections are open that answers end theirs.
func (cs *connections) crowded(most int) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return most > 0 && float64(cs.open) >= closingPart*float64(most)
}

// full reports whether a newcomer was refused lately.
func (cs *connections) full(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return !cs.lastRefused.IsZero() && now.Sub(cs.lastRefused) < fullFor
}

// stateChanged implements http.Server.ConnState.
func (cs *connections) stateChanged(nc net.Conn, state http.ConnState) {
	c := callerConn(nc)
	if c == nil {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case state != http.StateIdle:
		cs.unlist(c)
	case c.place == nil && !c.closed:
		c.place = cs.idle.PushBack(c)
	}
}

// isClosed reports whether a connection was closed, as happens to one that is
// idle when a newcomer takes its place.
func (cs *connections) isClosed(c *conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.closed
}

// ConnectionCounts says how many connections callers have, and what became of
// those beyond the bound.
type ConnectionCounts struct {
	// Open are open now, Idle of these have no request.
	Open, Idle int
	// Refused newcomers were told to come back, and Evicted idle connections
	// were closed for a newcomer, since the start.
	Refused, Evicted int64
}

// Connections returns the counts of callers' connections.
func (s *Server) Connections() ConnectionCounts {
	cs := &s.connections
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return ConnectionCounts{Open: cs.open, Idle: cs.idle.Len(), Refused: cs.refused.Load(), Evicted: cs.evicted.Load()}
}

// ConnectionsFull reports whether callers were refused lately because as many connections
// were in use as there may be.
func (s *Server) ConnectionsFull() bool { return s.connections.full(s.clock().Now()) }

// connKey is the context's key of a request's connection.
type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, callerConn(nc))
}

// callerConn returns the connection below TLS, nil for one of another listener.
func callerConn(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// turnedAway reports whether a request is not to be handled because of its
// connection, and answers it unless its caller has seen the connection end.
func (s *Server) turnedAway(w http.ResponseWriter, r *http.Request) bool {
	c := connOf(r)
	switch {
	case c == nil:
		return false
	case s.connections.isClosed(c):
		panic(http.ErrAbortHandler)
	case c.refuse:
		left, _ := s.statedTime(r)
		s.refuseUnrouted(w, r, errFull.WithRetryAfter(RetryDelay(left)))
		return true
	default:
		return false
	}
}

// logCrowd logs what became of connections beyond the bound, once a second at
// most.
func (s *Server) logCrowd() {
	counts := s.Connections()
	total := counts.Refused + counts.Evicted
	if since, due := s.crowdLog.due(s.clock().Now(), total); due && since > 0 {
		s.opt.log.Warn("callers_crowded", "open", counts.Open, "idle", counts.Idle,
			"refused", counts.Refused, "evicted", counts.Evicted, "since_last", since)
	}
}
