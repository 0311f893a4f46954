package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// Failover sets when a request moves from a stalled backend server to another.
type Failover struct {
	// FirstByteTimeout applies until the first event or byte of the response. It
	// runs while the backend server sends nothing on any connection; 0 disables it.
	FirstByteTimeout time.Duration
	// EventTimeout applies between events in the same way. A response that stalls
	// for maxStallFactor times as long also moves while other connections are active.
	EventTimeout time.Duration
	// AcquireRetry takes one retry from the retry budget and reports whether one was
	// left. The request stays where it is if it returns false; nil disables failover.
	AcquireRetry func() bool
}

// maxStallFactor multiplies Failover.EventTimeout for a response that stalls while the
// backend server sends on other connections.
const maxStallFactor = 2

// checksPerTimeout is the number of checks within the shortest timeout.
const checksPerTimeout = 4

// serverActivity records the last read from a backend server on any connection.
type serverActivity struct {
	// lastRead is in nanoseconds since start.
	start    time.Time
	lastRead atomic.Int64
	// users counts the calls in progress.
	users int
}

// activityTracker holds the activity of backend servers with calls in progress.
type activityTracker struct {
	clock    *clock.Clock
	mu       sync.Mutex
	byServer map[string]*serverActivity
}

func (t *activityTracker) acquire(key string) *serverActivity {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byServer[key]
	if !ok {
		a = &serverActivity{start: t.clock.Now()}
		t.byServer[key] = a
	}
	a.users++
	return a
}

func (t *activityTracker) release(key string, a *serverActivity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.users--
	if a.users == 0 {
		delete(t.byServer, key)
	}
}

// stallDetector closes a connection that delivers nothing for too long.
type stallDetector struct {
	clock    *clock.Clock
	conn     net.Conn
	activity *serverActivity
	failover Failover
	// maxSilence is the timeout that applies without failover.
	maxSilence time.Duration
	// lastRead is in nanoseconds since started.
	started  time.Time
	lastRead atomic.Int64
	// responding is set at the first event or byte of the response.
	responding atomic.Bool
	// failedOver is set along with timedOut if another backend server is to be tried.
	timedOut, failedOver atomic.Bool
	mu                   sync.Mutex
	timer                *time.Timer
	stopped              bool
}

func newStallDetector(c *clock.Clock, conn net.Conn, a *serverActivity, maxSilence time.Duration, f Failover) *stallDetector {
	s := &stallDetector{clock: c, conn: conn, activity: a, failover: f, maxSilence: maxSilence, started: c.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.checkInterval(), s.check)
	return s
}

func (s *stallDetector) checkInterval() time.Duration {
	interval := s.maxSilence
	for _, d := range []time.Duration{s.failover.FirstByteTimeout, s.failover.EventTimeout} {
		if d > 0 && s.failover.AcquireRetry != nil {
			interval = min(interval, d/checksPerTimeout)
		}
	}
	return interval
}

// recordRead records that data was received, and returns the time.
func (s *stallDetector) recordRead() time.Time {
	now := s.clock.Now()
	s.lastRead.Store(int64(now.Sub(s.started)))
	s.activity.lastRead.Store(int64(now.Sub(s.activity.start)))
	return now
}

// check closes the connection after a timeout and otherwise schedules the next check.
func (s *stallDetector) check() {
	now := s.clock.Now()
	connSilence := now.Sub(s.started) - time.Duration(s.lastRead.Load())
	switch {
	case connSilence >= s.maxSilence:
		s.timedOut.Store(true)
	case s.mayFailOver(connSilence, now) && s.failover.AcquireRetry():
		s.failedOver.Store(true)
		s.timedOut.Store(true)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped:
		// The connection may already carry another request.
	case s.timedOut.Load():
		_ = s.conn.Close()
	default:
		s.timer.Reset(min(s.checkInterval(), s.maxSilence-connSilence))
	}
}

// mayFailOver reports whether a failover timeout has passed. connSilence is the time
// since the last read on this connection.
func (s *stallDetector) mayFailOver(connSilence time.Duration, now time.Time) bool {
	if s.failover.AcquireRetry == nil {
		return false
	}
	serverSilence := min(connSilence, now.Sub(s.activity.start)-time.Duration(s.activity.lastRead.Load()))
	if !s.responding.Load() {
		return s.failover.FirstByteTimeout > 0 && serverSilence >= s.failover.FirstByteTimeout
	}
	timeout := s.failover.EventTimeout
	return timeout > 0 && (serverSilence >= timeout || connSilence >= maxStallFactor*timeout)
}

func (s *stallDetector) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
