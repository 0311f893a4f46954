package front_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// lateListener accepts a connection only once it is released, like a router that lacks processor time.
type lateListener struct {
	net.Listener
	released chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	<-l.released
	return c, err
}

// TestRequestOfCallerThatLeftIsNotSent: a request that is read only after its caller has left must not reach a backend
// server, nor another router.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	const head = "POST /a/x HTTP/1.1\r\nHost: forms.example\r\n" + backend.HeaderRequestID + ": q-1\r\n" +
		front.HeaderDeadline + ": 8000\r\nAuthorization: Bearer secret\r\n"
	tests := map[string]struct {
		shedding, noCapacity, stays bool
		wantAttempts, wantForwarded int
	}{
		"read by the HTTP server":       {},
		"read by the early check":       {shedding: true},
		"no capacity here":              {shedding: true, noCapacity: true},
		"the caller stays":              {stays: true, wantAttempts: 1},
		"the caller stays, early check": {shedding: true, stays: true, wantAttempts: 1},
		"the caller stays, no capacity": {shedding: true, noCapacity: true, stays: true, wantForwarded: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f, _ := newRoutedServer(t, false)
			f.shedding.Store(tc.shedding)
			if tc.noCapacity {
				f.refusal = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, front.CodeOverloaded, "come back later")
				f.mayForward.Store(true)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			forwarder := &fakeForwarder{outcome: forward.Ended, heads: make(chan string, 1)}
			late := lateListener{ln, make(chan struct{})}
			srv := front.New("r", 1, f, f, front.WithForwarder(forwarder))
			go func() { _ = srv.Serve(late) }()
			t.Cleanup(func() { _ = srv.Close() })
			conn := dial(t, ln.Addr().String())
			if _, err := io.WriteString(conn, head+"Content-Length: 4\r\n\r\nbody"); err != nil {
				t.Fatal(err)
			}
			if !tc.stays {
				_ = conn.Close()
			}
			close(late.released)
			waitFor(t, "the request", func() bool { return srv.Requests() == 1 || len(forwarder.heads) == 1 })
			if tc.stays {
				conn.readResponse(t)
				_ = conn.Close()
			}
			waitOpen(t, srv, 0)
			if got := f.attempts.Load(); got != int64(tc.wantAttempts) {
				t.Errorf("%d attempts, want %d", got, tc.wantAttempts)
			}
			if got := len(forwarder.heads); got != tc.wantForwarded {
				t.Errorf("forwarded %d times, want %d", got, tc.wantForwarded)
			}
		})
	}
}
