package backend

import (
	"net"
	"sync/atomic"
	"time"
)

// silence closes a connection on which nothing comes for too long.
type silence struct {
	timer *time.Timer
	after time.Duration
	done  atomic.Bool
}

func watchSilence(c net.Conn, after time.Duration) *silence {
	s := &silence{after: after}
	s.timer = time.AfterFunc(after, func() {
		s.done.Store(true)
		_ = c.Close()
	})
	return s
}

// heard starts the time anew.
func (s *silence) heard() { s.timer.Reset(s.after) }

func (s *silence) stop() { s.timer.Stop() }

// fired reports whether the connection was closed for its silence.
func (s *silence) fired() bool { return s.done.Load() }
