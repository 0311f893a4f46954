package front

import (
	"net"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

// lateConn is a connection on which a request arrives while it is being closed.
type lateConn struct {
	net.Conn
	arrived, read chan struct{}
}

func (l *lateConn) Read(p []byte) (int, error) {
	<-l.arrived
	return copy(p, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil
}

func (l *lateConn) Close() error {
	close(l.arrived)
	<-l.read
	return nil
}

// TestRequestDroppedAtCloseIsCounted guards against a request that is read while its connection is being
// closed, and that nobody is told of.
func TestRequestDroppedAtCloseIsCounted(t *testing.T) {
	cs := &connections{clock: clock.System()}
	l := &lateConn{arrived: make(chan struct{}), read: make(chan struct{})}
	now := time.Now()
	c := cs.add(l, 0, now)
	var err error
	go func() {
		_, err = c.Read(make([]byte, 100))
		close(l.read)
	}()
	if !cs.closeQuiet(now.Add(2 * freshTimeout)) {
		t.Fatal("the connection is not closed")
	}
	if err == nil || cs.unanswered.Load() != 1 {
		t.Errorf("error %v, %d unanswered connections; want an error and 1", err, cs.unanswered.Load())
	}
}

// TestWaitingRequestIsNotEvicted guards against closing an idle connection whose next request has arrived and
// waits to be read, in favor of a new connection.
func TestWaitingRequestIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	open := func() (caller, served net.Conn) {
		caller, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if served, err = ln.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close(); _ = served.Close() })
		return caller, served
	}
	cs := &connections{clock: clock.System()}
	const limit = 2
	var callers []net.Conn
	var conns []*conn
	for range limit {
		caller, served := open()
		c := cs.add(served, limit, time.Now())
		cs.mu.Lock()
		cs.unsettle(c)
		cs.settle(c, &cs.idle, time.Now())
		cs.mu.Unlock()
		callers, conns = append(callers, caller), append(conns, c)
	}
	if _, err := callers[0].Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); !hasUnread(conns[0].Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the request did not arrive")
		}
	}
	_, served := open()
	cs.add(served, limit, time.Now())
	if conns[0].closed || !conns[1].closed {
		t.Errorf("closed the connection with a waiting request: %v, the other one: %v", conns[0].closed, conns[1].closed)
	}
}
