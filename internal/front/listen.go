package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// connLimits are the limits of a caller's connection.
type connLimits struct {
	headerBytes int
	// headerTimeout bounds the time to send a header, idleTimeout the time without a request.
	headerTimeout, idleTimeout time.Duration
}

// limitsFor returns the limits of the table, with the settings as defaults.
func (s *Server) limitsFor(t *table.Table) connLimits {
	l := connLimits{headerBytes: s.limits.Load().MaxHeader, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
	if t == nil {
		return l
	}
	if t.Bounds.HeaderBytes > 0 {
		l.headerBytes = t.Bounds.HeaderBytes
	}
	if t.Bounds.HeaderTime > 0 {
		l.headerTimeout = t.Bounds.HeaderTime
	}
	if t.Bounds.IdleTime > 0 {
		l.idleTimeout = t.Bounds.IdleTime
	}
	return l
}

// maxBody returns the current limit on the size of a body.
func (s *Server) maxBody() int64 {
	if t := s.scheduler.Table(); t != nil && t.Bounds.BodyBytes > 0 {
		return t.Bounds.BodyBytes
	}
	return s.limits.Load().MaxBody
}

// generation serves the connections that were accepted under the same limits. When the limits
// change, new connections go to a new generation, and connections of the old one close after
// their next response.
type generation struct {
	limits connLimits
	http   *http.Server
	conns  chan net.Conn
	addr   net.Addr
	closed chan struct{}
	once   sync.Once
	// superseded says that a newer generation exists.
	superseded atomic.Bool
}

func (s *Server) newGeneration(l connLimits, addr net.Addr) *generation {
	g := &generation{limits: l, conns: make(chan net.Conn), addr: addr, closed: make(chan struct{})}
	handler := s.handler()
	g.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.superseded.Load() || s.closesAfterResponse() || connOf(r).wasForwarded() {
				w.Header().Set("Connection", "close")
			}
			if !s.rejectConnection(w, r) {
				handler.ServeHTTP(w, r)
			}
		}),
		ConnState:         s.connections.onStateChange,
		ConnContext:       connContext,
		ReadHeaderTimeout: l.headerTimeout,
		IdleTimeout:       l.idleTimeout,
		MaxHeaderBytes:    l.headerBytes,
		TLSConfig:         s.opt.tls,
		Protocols:         protocols(),
		ErrorLog:          s.httpLogger(),
	}
	return g
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

// serveConn passes a connection to the generation's HTTP server.
func (g *generation) serveConn(c net.Conn) {
	select {
	case g.conns <- c:
	case <-g.closed:
		_ = c.Close()
	}
}

// Serve accepts and serves connections on ln until Shutdown or Close.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.accepting.Store(true)
	defer s.accepting.Store(false)
	for {
		c, err := ln.Accept()
		if err == nil {
			s.handleAccepted(c, ln.Addr())
			continue
		}
		if s.stopped.Load() {
			s.serveBacklog(ln)
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var temporary interface{ Temporary() bool }
		if errors.As(err, &temporary) && temporary.Temporary() {
			s.opt.log.Warn("accept_failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		return fmt.Errorf("front: accept connection: %w", err)
	}
}

// handleAccepted serves a new connection, or closes it if there are too many.
func (s *Server) handleAccepted(nc net.Conn, addr net.Addr) {
	c := s.trackConn(nc)
	s.logConnections()
	if c != nil {
		s.serveAccepted(c, addr)
	}
}

// trackConn registers a connection. It closes the connection and returns nil if there are too
// many.
func (s *Server) trackConn(nc net.Conn) *conn {
	now := s.clock().Now()
	c := s.connections.add(nc, s.limits.Load().MaxConnections, now)
	if c == nil {
		_ = nc.Close()
		return nil
	}
	c.onUnanswered = func(bytes int64) { s.logUnanswered(c, now, bytes) }
	c.onStalled = func() { s.refuseStalled(c) }
	return c
}

// closesAfterResponse reports whether every response closes its connection: the router is
// leaving, overloaded, or near its connection limit.
func (s *Server) closesAfterResponse() bool {
	return s.keepAlivesOff.Load() || s.draining.Load() || s.scheduler.Overloaded() || s.connections.nearLimit(s.limits.Load().MaxConnections)
}

// acceptRetryDelay is the delay after a temporary accept error, such as a lack of file
// descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// currentGeneration returns the generation for the current limits and starts it if needed.
func (s *Server) currentGeneration(addr net.Addr) *generation {
	l := s.limitsFor(s.scheduler.Table())
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.generations); n > 0 {
		last := s.generations[n-1]
		if last.limits == l {
			return last
		}
		last.superseded.Store(true)
		s.opt.log.Info("caller_limits", "header_bytes", l.headerBytes, "header_ms", l.headerTimeout.Milliseconds(), "idle_ms", l.idleTimeout.Milliseconds())
	}
	g := s.newGeneration(l, addr)
	s.generations = append(s.generations, g)
	go func() {
		if s.opt.tls != nil {
			_ = g.http.ServeTLS(g, "", "")
			return
		}
		_ = g.http.Serve(g)
	}()
	return g
}

// allGenerations returns a copy of the list of generations.
func (s *Server) allGenerations() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*generation(nil), s.generations...)
}

// stopListening closes the listener.
func (s *Server) stopListening() {
	s.stopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListener()
}
