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

	"github.com/yarrowmast/yarrowmast/internal/clock"
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

	clock *clock.Clock

	mu sync.Mutex
	// open is the number of open connections, including those that are being refused, multiplexed the
	// number of those that carry several requests at a time.
	open, multiplexed int
	// fresh lists the connections from which nothing has been read, begun those from which a part of a
	// header has been, in the order in which they came to that. idle lists those that wait for another
	// request, least recently active first. The others have a request in progress.
	fresh, begun, idle list.List
	// stopped says that new connections are closed.
	stopped bool
	// lastRefused is when a new connection was last refused.
	lastRefused time.Time
}

// settle adds a connection to a list.
func (cs *connections) settle(c *conn, list *list.List, now time.Time) {
	c.elem, c.settledAt = list.PushBack(c), now
	c.quiet.Store(list != &cs.begun)
}

// unsettle removes a connection from its list.
func (cs *connections) unsettle(c *conn) {
	if c.elem == nil {
		return
	}
	// A list ignores the elements of others.
	for _, l := range []*list.List{&cs.fresh, &cs.begun, &cs.idle} {
		l.Remove(c.elem)
	}
	c.elem = nil
	c.quiet.Store(false)
}

// remove counts a connection as closed.
func (cs *connections) remove(c *conn) {
	c.closed = true
	cs.open--
	if c.multiplexed {
		cs.multiplexed--
	}
	cs.unsettle(c)
	// Reads ask beginRequest, which refuses what arrives from now on.
	c.quiet.Store(true)
}

// markMultiplexed records that a connection carries several requests at a time.
func (cs *connections) markMultiplexed(c *conn) {
	if !c.multiplexed && !c.closed {
		c.multiplexed = true
		cs.multiplexed++
	}
}

// beginRequest records that a request has begun to arrive. It returns false if the connection has been
// closed.
func (cs *connections) beginRequest(c *conn, isMultiplexed bool) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.closed {
		return false
	}
	cs.unsettle(c)
	if isMultiplexed {
		cs.markMultiplexed(c)
	} else {
		cs.settle(c, &cs.begun, cs.clock.Now())
	}
	return true
}

// markActive records that the header of a request has arrived.
func (cs *connections) markActive(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.unsettle(c)
}

const (
	// freshTimeout is how long a planned stop waits for the first request on a connection. Callers connect
	// to send one at once, but they or this router may be slow.
	freshTimeout = time.Second
	// headerTimeoutAtStop is how long it waits for the rest of a header.
	headerTimeoutAtStop = 2 * time.Second
)

// closeQuiet closes the connections from which no request is to be expected, and new ones from then on. It
// reports whether only multiplexed ones are left.
func (cs *connections) closeQuiet(now time.Time) bool {
	cs.mu.Lock()
	cs.stopped = true
	quiet := append(removable(&cs.idle, now, 0), removable(&cs.fresh, now, freshTimeout)...)
	stalled := removable(&cs.begun, now, headerTimeoutAtStop)
	for _, c := range append(quiet, stalled...) {
		cs.remove(c)
	}
	done := cs.open == cs.multiplexed
	cs.mu.Unlock()
	for _, c := range stalled {
		c.onStalled()
	}
	for _, c := range append(quiet, stalled...) {
		_ = c.Close()
	}
	return done
}

// removable returns the connections that have been in a list for a time, and from which nothing waits to be
// read.
func removable(l *list.List, now time.Time, after time.Duration) []*conn {
	var conns []*conn
	for elem := l.Front(); elem != nil; elem = elem.Next() {
		if c := elem.Value.(*conn); now.Sub(c.settledAt) >= after && !hasUnread(c.Conn) {
			conns = append(conns, c)
		}
	}
	return conns
}

// evictable returns an idle connection that may be closed in favor of a new one, nil if there is none. The
// caller holds cs.mu.
func (cs *connections) evictable() *conn {
	elem := cs.idle.Front()
	for range maxEvictionTries {
		if elem == nil {
			return nil
		}
		if c := elem.Value.(*conn); !hasUnread(c.Conn) {
			return c
		}
		elem = elem.Next()
	}
	return nil
}

// maxEvictionTries is how many connections are looked at for one that has no request waiting.
const maxEvictionTries = 4

// add registers a new connection. A limit of 0 means no limit. It returns nil if there is no
// capacity even for a refusal.
func (cs *connections) add(nc net.Conn, limit int, now time.Time) *conn {
	c := &conn{Conn: nc, conns: cs, onUnanswered: func(int64) {}, onStalled: func() {}}
	var oldest *conn
	cs.mu.Lock()
	if cs.stopped {
		cs.mu.Unlock()
		return nil
	}
	full := limit > 0 && cs.open >= limit
	if full {
		if oldest = cs.evictable(); oldest != nil {
			cs.remove(oldest)
		} else {
			c.refuse = true
			cs.lastRefused = now
		}
	}
	overflow := c.refuse && cs.open >= limit+extraConnections(limit)
	if !overflow {
		cs.open++
		cs.settle(c, &cs.fresh, now)
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
	case state == http.StateNew || c.closed:
	case isHTTP2(nc):
		cs.markMultiplexed(c)
		cs.unsettle(c)
	case state != http.StateIdle:
		cs.unsettle(c)
	case c.elem == nil && !c.multiplexed:
		cs.settle(c, &cs.idle, cs.clock.Now())
	}
}

// isHTTP2 reports whether a TLS connection has negotiated HTTP/2.
func isHTTP2(nc net.Conn) bool {
	t, ok := nc.(*tls.Conn)
	return ok && t.ConnectionState().NegotiatedProtocol == "h2"
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
