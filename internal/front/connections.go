package front

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keepAliveFraction is the fraction of the connection limit above which responses close
	// their connections. Otherwise idle connections could use up the limit.
	keepAliveFraction = 0.5
	// extraFraction is the fraction of the connection limit by which it may be exceeded to
	// answer new connections with a refusal; minExtra is the least number of such connections.
	extraFraction = 0.125
	minExtra      = 16
	// fullPeriod is how long a router reports not ready after it refused a connection. It must
	// span two health checks of the load balancer, one second apart.
	fullPeriod = 2 * time.Second
)

// connections tracks callers' connections and enforces their limit. At the limit, a new
// connection replaces the one that has been idle the longest. If none is idle, its request is
// refused.
type connections struct {
	// refused and evicted count the new connections refused and the idle connections closed in
	// favor of new ones. unanswered counts those closed without a response to a request, or to the
	// beginning of one, that had been read.
	refused, evicted, unanswered atomic.Int64

	mu sync.Mutex
	// open is the number of open connections, including those that are being refused.
	open int
	// idle lists the connections without a request, least recently active first.
	idle list.List
	// lastRefused is when a new connection was last refused.
	lastRefused time.Time
}

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
	// idleElem is the element in the idle list, nil while a request is in progress. idleElem
	// and closed are guarded by conns.mu.
	idleElem *list.Element
	closed   bool
	// unanswered is the number of bytes read since the connection was idle, 0 once a response has begun or
	// the caller has closed the connection. onUnanswered is called if it is above 0 at Close.
	unanswered   atomic.Int64
	responded    atomic.Bool
	onUnanswered func(bytes int64)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
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
		c.closed = true
		c.conns.open--
		c.conns.removeIdle(c)
	}
	c.conns.mu.Unlock()
	if bytes := c.unanswered.Swap(0); bytes > 0 {
		c.conns.unanswered.Add(1)
		c.onUnanswered(bytes)
	}
	return c.Conn.Close()
}

// removeIdle removes a connection from the idle list.
func (cs *connections) removeIdle(c *conn) {
	if c.idleElem != nil {
		cs.idle.Remove(c.idleElem)
		c.idleElem = nil
	}
}

// add registers a new connection. A limit of 0 means no limit. It returns nil if there is no
// capacity even for a refusal.
func (cs *connections) add(nc net.Conn, limit int, now time.Time) *conn {
	c := &conn{Conn: nc, conns: cs, onUnanswered: func(int64) {}}
	var oldest *conn
	cs.mu.Lock()
	full := limit > 0 && cs.open >= limit
	if full {
		if elem := cs.idle.Front(); elem != nil {
			oldest = elem.Value.(*conn)
			cs.removeIdle(oldest)
			oldest.closed = true
			cs.open--
		} else {
			c.refuse = true
			cs.lastRefused = now
		}
	}
	overflow := c.refuse && cs.open >= limit+extraConnections(limit)
	if !overflow {
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
	if overflow {
		return nil
	}
	return c
}

// extraConnections returns how many connections beyond the limit may be open to be refused.
func extraConnections(limit int) int { return max(minExtra, int(extraFraction*float64(limit))) }

// nearLimit reports whether responses should close their connections.
func (cs *connections) nearLimit(limit int) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return limit > 0 && float64(cs.open) >= keepAliveFraction*float64(limit)
}

// recentlyFull reports whether a connection was refused within fullPeriod.
func (cs *connections) recentlyFull(now time.Time) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return !cs.lastRefused.IsZero() && now.Sub(cs.lastRefused) < fullPeriod
}

// onStateChange implements http.Server.ConnState.
func (cs *connections) onStateChange(nc net.Conn, state http.ConnState) {
	c := callerConn(nc)
	if c == nil {
		return
	}
	if state == http.StateIdle {
		c.awaitRequest()
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch {
	case state != http.StateIdle:
		cs.removeIdle(c)
	case c.idleElem == nil && !c.closed:
		c.idleElem = cs.idle.PushBack(c)
	}
}

// isClosed reports whether a connection was closed, for example evicted while idle.
func (cs *connections) isClosed(c *conn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return c.closed
}

// ConnectionCounts holds statistics on callers' connections.
type ConnectionCounts struct {
	// Open is the number of open connections, Idle of those without a request.
	Open, Idle int
	// Refused and Evicted count, since the start, the new connections refused and the idle
	// connections closed in favor of new ones. Unanswered counts those closed by this router without a
	// response to what it had read of a request; with TLS, only those kept after an earlier response.
	Refused, Evicted, Unanswered int64
}

// Connections returns statistics on callers' connections.
func (s *Server) Connections() ConnectionCounts {
	cs := &s.connections
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return ConnectionCounts{Open: cs.open, Idle: cs.idle.Len(), Refused: cs.refused.Load(), Evicted: cs.evicted.Load(), Unanswered: cs.unanswered.Load()}
}

// ConnectionsFull reports whether a connection was refused recently because the limit was
// reached.
func (s *Server) ConnectionsFull() bool { return s.connections.recentlyFull(s.clock().Now()) }

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext implements http.Server.ConnContext.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, callerConn(nc))
}

// callerConn returns the connection, unwrapped from TLS, or nil if it is not a conn.
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

// rejectConnection reports whether the request must not be handled because its connection was
// evicted or is over the limit. It sends the refusal, except to evicted connections.
func (s *Server) rejectConnection(w http.ResponseWriter, r *http.Request) bool {
	c := connOf(r)
	switch {
	case c == nil:
		return false
	case s.connections.isClosed(c):
		panic(http.ErrAbortHandler)
	case c.refuse:
		timeout, _ := s.requestTimeout(r)
		s.refuseUnrouted(w, r, errConnectionsFull.WithRetryAfter(RetryDelay(timeout)))
		return true
	default:
		return false
	}
}

// logUnanswered logs that this router closes a connection without a response to what it has read of a
// request.
func (s *Server) logUnanswered(c *conn, accepted time.Time, bytes int64) {
	s.opt.log.Warn("connection_unanswered", "caller", c.RemoteAddr().String(), "bytes", bytes,
		"age_ms", s.clock().Since(accepted).Milliseconds(), "forwarded", c.forwarded, "stopping", s.draining.Load())
}

// logConnections logs refused and evicted connections, at most once per throttleInterval.
func (s *Server) logConnections() {
	counts := s.Connections()
	total := counts.Refused + counts.Evicted
	if added, due := s.connectionLog.due(s.clock().Now(), total); due && added > 0 {
		s.opt.log.Warn("callers_crowded", "open", counts.Open, "idle", counts.Idle,
			"refused", counts.Refused, "evicted", counts.Evicted, "since_last", added)
	}
}
