package front

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
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
	// open is the number of open connections, including those that are being refused, multiplexed the
	// number of those that carry several requests at a time.
	open, multiplexed int
	// fresh lists the connections from which nothing has been read, in the order of acceptance. idle lists
	// those that wait for another request, least recently active first.
	fresh, idle list.List
	// stopped says that new connections are closed.
	stopped bool
	// lastRefused is when a new connection was last refused.
	lastRefused time.Time
}

// settle adds a connection to the list of fresh or idle ones.
func (cs *connections) settle(c *conn, list *list.List) {
	c.quietElem = list.PushBack(c)
	c.quiet.Store(true)
}

// unsettle removes a connection from its list.
func (cs *connections) unsettle(c *conn) {
	if c.quietElem == nil {
		return
	}
	// A list ignores the elements of others.
	cs.fresh.Remove(c.quietElem)
	cs.idle.Remove(c.quietElem)
	c.quietElem = nil
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
	if isMultiplexed {
		cs.markMultiplexed(c)
	}
	cs.unsettle(c)
	return true
}

// freshTimeout is how long a planned stop waits for the first request on a connection. Callers connect to
// send one at once, but they or this router may be slow.
const freshTimeout = time.Second

// closeQuiet closes the connections without a request, and new ones from then on, if all others are closed
// or multiplexed. Otherwise it does nothing and returns false.
func (cs *connections) closeQuiet(now time.Time) bool {
	cs.mu.Lock()
	if cs.open-cs.multiplexed > cs.fresh.Len()+cs.idle.Len() || cs.expectsRequest(now) {
		cs.mu.Unlock()
		return false
	}
	cs.stopped = true
	quiet := cs.quietConns()
	for _, c := range quiet {
		cs.remove(c)
	}
	cs.mu.Unlock()
	for _, c := range quiet {
		_ = c.Conn.Close()
	}
	return true
}

// quietConns returns the fresh and idle connections.
func (cs *connections) quietConns() []*conn {
	quiet := make([]*conn, 0, cs.fresh.Len()+cs.idle.Len())
	for _, l := range []*list.List{&cs.fresh, &cs.idle} {
		for elem := l.Front(); elem != nil; elem = elem.Next() {
			quiet = append(quiet, elem.Value.(*conn))
		}
	}
	return quiet
}

// expectsRequest reports whether a connection was accepted within freshTimeout and has had no request, or
// whether a request waits to be read.
func (cs *connections) expectsRequest(now time.Time) bool {
	if last := cs.fresh.Back(); last != nil && now.Sub(last.Value.(*conn).acceptedAt) < freshTimeout {
		return true
	}
	return slices.ContainsFunc(cs.quietConns(), func(c *conn) bool { return hasUnread(c.Conn) })
}

// add registers a new connection. A limit of 0 means no limit. It returns nil if there is no
// capacity even for a refusal.
func (cs *connections) add(nc net.Conn, limit int, now time.Time) *conn {
	c := &conn{Conn: nc, conns: cs, acceptedAt: now, onUnanswered: func(int64) {}}
	var oldest *conn
	cs.mu.Lock()
	if cs.stopped {
		cs.mu.Unlock()
		return nil
	}
	full := limit > 0 && cs.open >= limit
	if full {
		if elem := cs.idle.Front(); elem != nil {
			oldest = elem.Value.(*conn)
			cs.remove(oldest)
		} else {
			c.refuse = true
			cs.lastRefused = now
		}
	}
	overflow := c.refuse && cs.open >= limit+extraConnections(limit)
	if !overflow {
		cs.open++
		cs.settle(c, &cs.fresh)
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
	case c.quietElem == nil && !c.multiplexed:
		cs.settle(c, &cs.idle)
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
