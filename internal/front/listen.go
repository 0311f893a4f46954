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

// limits bound what a caller's connection may do.
type limits struct {
	header int
	// headerTime is how long a header may take, idleTime how long the
	// connection may rest.
	headerTime, idleTime time.Duration
}

// limitsOf returns the limits that a table states, and the settings' where it
// states none.
func (s *Server) limitsOf(t *table.Table) limits {
	l := limits{header: s.callers.Load().MaxHeader, headerTime: headerTimeout, idleTime: idleTimeout}
	if t == nil {
		return l
	}
	if t.Bounds.HeaderBytes > 0 {
		l.header = t.Bounds.HeaderBytes
	}
	if t.Bounds.HeaderTime > 0 {
		l.headerTime = t.Bounds.HeaderTime
	}
	if t.Bounds.IdleTime > 0 {
		l.idleTime = t.Bounds.IdleTime
	}
	return l
}

// maxBody is the largest body that is taken now.
func (s *Server) maxBody() int64 {
	if t := s.scheduler.Table(); t != nil && t.Bounds.BodyBytes > 0 {
		return t.Bounds.BodyBytes
	}
	return s.callers.Load().MaxBody
}

// generation serves the connections that came while the same limits held.
// When these change, new connections go to a new generation, and the old one's
// end with their next answer.
type generation struct {
	limits limits
	http   *http.Server
	conns  chan net.Conn
	addr   net.Addr
	closed chan struct{}
	once   sync.Once
	// old says that another generation has taken over.
	old atomic.Bool
}

func (s *Server) newGeneration(l limits, addr net.Addr) *generation {
	g := &generation{limits: l, conns: make(chan net.Conn), addr: addr, closed: make(chan struct{})}
	handler := s.handler()
	g.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.old.Load() || s.endsConnections() || connOf(r).wasForwarded() {
				w.Header().Set("Connection", "close")
			}
			if !s.turnedAway(w, r) {
				handler.ServeHTTP(w, r)
			}
		}),
		ConnState:         s.connections.stateChanged,
		ConnContext:       withConn,
		ReadHeaderTimeout: l.headerTime,
		IdleTimeout:       l.idleTime,
		MaxHeaderBytes:    l.header,
		TLSConfig:         s.opt.tls,
		Protocols:         protocols(),
		ErrorLog:          s.httpLog(),
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

// serveConn gives a connection to the generation's server.
func (g *generation) serveConn(c net.Conn) {
	select {
	case g.conns <- c:
	case <-g.closed:
		_ = c.Close()
	}
}

// Serve answers callers on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if s.ended.Load() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.opt.log.Warn("accept_failed", "error", err)
				time.Sleep(acceptPause)
				continue
			}
			return fmt.Errorf("front: accept caller: %w", err)
		}
		s.accepted(c, ln.Addr())
	}
}

// accepted serves a new connection, or closes it if it cannot even be refused.
func (s *Server) accepted(nc net.Conn, addr net.Addr) {
	c := s.admitted(nc)
	s.logCrowd()
	if c != nil {
		s.serveNew(c, addr)
	}
}

// admitted takes a connection in among the callers'. It returns nil for one that cannot
// even be refused, which it closes.
func (s *Server) admitted(nc net.Conn) *conn {
	c := s.connections.admit(nc, s.callers.Load().MaxConnections, s.clock().Now())
	if c == nil {
		_ = nc.Close()
	}
	return c
}

// endsConnections reports whether each answer ends its connection: this router
// stops, cannot keep up, or has many connections.
func (s *Server) endsConnections() bool {
	return s.leaving.Load() || s.scheduler.Overloaded() || s.connections.crowded(s.callers.Load().MaxConnections)
}

// acceptPause is the pause after a failure to accept, as when descriptors ran
// out.
const acceptPause = 5 * time.Millisecond

// current returns the generation for the limits that hold now.
func (s *Server) current(addr net.Addr) *generation {
	l := s.limitsOf(s.scheduler.Table())
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.generations); n > 0 {
		last := s.generations[n-1]
		if last.limits == l {
			return last
		}
		last.old.Store(true)
		s.opt.log.Info("caller_limits", "header_bytes", l.header, "header_ms", l.headerTime.Milliseconds(), "idle_ms", l.idleTime.Milliseconds())
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

// all returns every generation.
func (s *Server) all() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*generation(nil), s.generations...)
}

// stopListening closes the callers' listener.
func (s *Server) stopListening() {
	s.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		_ = s.ln.Close()
	}
}
