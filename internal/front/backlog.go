package front

import (
	"net"
	"time"
)

const (
	// backlogPause is how long no connection may arrive before a stopping server closes its listener. It
	// is longer than opening a connection takes.
	backlogPause = 20 * time.Millisecond
	// backlogRecheck is the time for a last look at the backlog, since a wait that times out takes none.
	backlogRecheck = time.Millisecond
	// maxBacklogTime bounds the time in which a stopping server accepts connections.
	maxBacklogTime = 300 * time.Millisecond
)

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// stopAccepting makes Serve accept the connections that callers have already opened, and close the listener.
// Closing it at once would reset them.
func (s *Server) stopAccepting() {
	s.stopped.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	ln, ok := s.ln.(deadlineListener)
	if !ok || ln.SetDeadline(time.Now()) != nil {
		s.closeListener()
	}
}

// closeListener closes the listener. The caller holds s.mu.
func (s *Server) closeListener() {
	if s.ln != nil {
		_ = s.ln.Close()
	}
}

// serveBacklog serves the connections that callers have opened, and closes the listener.
func (s *Server) serveBacklog(ln net.Listener) {
	defer func() { _ = ln.Close() }()
	limited, ok := ln.(deadlineListener)
	if !ok {
		return
	}
	for start := s.clock().Now(); s.clock().Since(start) < maxBacklogTime; {
		c, ok := acceptWithin(limited, backlogPause)
		if !ok {
			c, ok = acceptWithin(limited, backlogRecheck)
		}
		if !ok {
			return
		}
		s.handleAccepted(c, ln.Addr())
	}
}

// acceptWithin accepts a connection. It returns false if none arrives in time, or the listener is closed.
func acceptWithin(ln deadlineListener, timeout time.Duration) (net.Conn, bool) {
	if ln.SetDeadline(time.Now().Add(timeout)) != nil {
		return nil, false
	}
	c, err := ln.Accept()
	return c, err == nil
}
