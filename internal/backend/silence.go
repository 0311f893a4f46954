package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// Failover says when a request may be taken away from a backend server that is
// silent, to be sent to another one.
type Failover struct {
	// FirstByteTimeout is for how long nothing may come from the backend server, on any
	// connection, before the answer's first event or byte; 0 means any time.
	FirstByteTimeout time.Duration
	// EventTimeout is the same between events. An answer that is silent for twice
	// as long is taken away though others there go on.
	EventTimeout time.Duration
	// AcquireRetry is asked before: it takes one repeat out of the allowance.
	AcquireRetry func() bool
}

// hungTimes is how many times Patience.Between one answer may be silent while
// others there go on.
const hungTimes = 2

// checksEach is how often silence is looked at within the shortest time that
// matters.
const checksEach = 4

// hearing is when anything last came from a backend server.
type hearing struct {
	// since is when it began, at when something last came, in nanoseconds after that.
	since time.Time
	at    atomic.Int64
	// users counts the exchanges with it.
	users int
}

// hearings keeps what was heard of the backend servers with which there are
// exchanges.
type hearings struct {
	clock *clock.Clock
	mu    sync.Mutex
	by    map[string]*hearing
}

func (hs *hearings) use(key string) *hearing {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	h, ok := hs.by[key]
	if !ok {
		h = &hearing{since: hs.clock.Now()}
		hs.by[key] = h
	}
	h.users++
	return h
}

func (hs *hearings) leave(key string, h *hearing) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	h.users--
	if h.users == 0 {
		delete(hs.by, key)
	}
}

// silence closes a connection on which nothing comes for too long.
type silence struct {
	clock    *clock.Clock
	conn     net.Conn
	hearing  *hearing
	patience Failover
	// most is the longest silence that is borne in any case.
	most    time.Duration
	started time.Time
	// last is when something last came, in nanoseconds since started.
	last atomic.Int64
	// began says that the answer's first event or byte came.
	began atomic.Bool
	// fired says that the connection was closed, left that it was because
	// another backend server is to be tried.
	fired, left atomic.Bool
	mu          sync.Mutex
	timer       *time.Timer
	stopped     bool
}

func watchSilence(c *clock.Clock, conn net.Conn, h *hearing, most time.Duration, p Failover) *silence {
	s := &silence{clock: c, conn: conn, hearing: h, patience: p, most: most, started: c.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.step(), s.check)
	return s
}

// step is the time between two looks.
func (s *silence) step() time.Duration {
	step := s.most
	for _, d := range []time.Duration{s.patience.FirstByteTimeout, s.patience.EventTimeout} {
		if d > 0 && s.patience.AcquireRetry != nil {
			step = min(step, d/checksEach)
		}
	}
	return step
}

// heard notes that something came.
func (s *silence) heard() {
	now := s.clock.Now()
	s.last.Store(int64(now.Sub(s.started)))
	s.hearing.at.Store(int64(now.Sub(s.hearing.since)))
}

// check looks whether the silence has lasted too long.
func (s *silence) check() {
	now := s.clock.Now()
	own := now.Sub(s.started) - time.Duration(s.last.Load())
	switch {
	case own >= s.most:
		s.fired.Store(true)
	case s.mayLeave(own, now) && s.patience.AcquireRetry():
		s.left.Store(true)
		s.fired.Store(true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped:
		// The connection may carry another request by now.
	case s.fired.Load():
		_ = s.conn.Close()
	default:
		s.timer.Reset(min(s.step(), s.most-own))
	}
}

// mayLeave reports whether the request may be taken away, by how long its own
// connection and all of the backend server's have been silent.
func (s *silence) mayLeave(own time.Duration, now time.Time) bool {
	if s.patience.AcquireRetry == nil {
		return false
	}
	all := min(own, now.Sub(s.hearing.since)-time.Duration(s.hearing.at.Load()))
	if !s.began.Load() {
		return s.patience.FirstByteTimeout > 0 && all >= s.patience.FirstByteTimeout
	}
	between := s.patience.EventTimeout
	return between > 0 && (all >= between || own >= hungTimes*between)
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
