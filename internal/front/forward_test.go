package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// fakeForwarder is a Forwarder with a fixed outcome.
type fakeForwarder struct {
	outcome forward.Outcome
	heads   chan string
	// readsBody says that it reads the rest of the body from the caller.
	readsBody bool
}

func (f *fakeForwarder) Forward(c net.Conn, head []byte, version table.Version, deadline time.Time) forward.Result {
	f.heads <- string(head)
	result := forward.Result{Outcome: f.outcome, To: "b", Read: head}
	switch f.outcome {
	case forward.Ended:
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		_ = c.Close()
	case forward.NotTaken:
		// The rest of the body arrived meanwhile.
		result.Read = append(result.Read, "dy"...)
	case forward.Unknown:
		if f.readsBody {
			rest := make([]byte, 2)
			_, _ = io.ReadFull(c, rest)
			result.Read = append(result.Read, rest...)
		}
	}
	return result
}

// TestRefusedRequestsAreForwarded checks which refused requests are forwarded and what callers
// receive.
func TestRefusedRequestsAreForwarded(t *testing.T) {
	tests := map[string]struct {
		code       string
		mayForward bool
		outcome    forward.Outcome
		status     int
		verdict    string
		forwarded  bool
		readsBody  bool
	}{
		"answered by the peer":      {front.CodeOverloaded, true, forward.Ended, 200, "", true, false},
		"no peer accepts":           {front.CodeOverloaded, true, forward.NotTaken, 503, "not-run", true, false},
		"peer lost":                 {front.CodeOverloaded, true, forward.Unknown, 502, "may-have-run", true, false},
		"peer lost, after the body": {front.CodeOverloaded, true, forward.Unknown, 502, "may-have-run", true, true},
		"forwarding not allowed":    {front.CodeOverloaded, false, forward.Ended, 503, "not-run", false, false},
		"over the account's share":  {"over-share", true, forward.Ended, 503, "not-run", false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f, _ := newRoutedServer(t, true)
			f.refusal = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, tc.code, "retry later").WithRetryAfter(time.Second)
			f.shedding.Store(true)
			f.mayForward.Store(tc.mayForward)
			forwarder := &fakeForwarder{tc.outcome, make(chan string, 1), tc.readsBody}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := front.New("r", 1, f, f, front.WithForwarder(forwarder))
			go func() { _ = srv.Serve(ln) }()
			t.Cleanup(func() { _ = srv.Close() })
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: forms.example\r\n%s: q-1\r\n%s: 8000\r\nAuthorization: Bearer secret\r\nContent-Length: 4\r\n\r\nbo", backend.HeaderRequestID, front.HeaderDeadline)
			if err != nil {
				t.Fatal(err)
			}
			if !tc.forwarded || tc.outcome == forward.Unknown {
				_, _ = conn.Write([]byte("dy"))
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.status || resp.Header.Get(verdict.Header) != tc.verdict {
				t.Errorf("status %d, verdict %q", resp.StatusCode, resp.Header.Get(verdict.Header))
			}
			if retryAfter := resp.Header.Get("Retry-After"); (retryAfter != "") != (tc.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q", retryAfter)
			}
			select {
			case head := <-forwarder.heads:
				if !tc.forwarded || !strings.HasPrefix(head, "POST /a/x") {
					t.Errorf("forwarded %q", head)
				}
			default:
				if tc.forwarded {
					t.Error("the request was not forwarded")
				}
			}
		})
	}
}

// blockingForwarder forwards a connection until release is closed.
type blockingForwarder struct{ started, release chan struct{} }

func (f *blockingForwarder) Forward(c net.Conn, _ []byte, _ table.Version, _ time.Time) forward.Result {
	close(f.started)
	<-f.release
	_ = c.Close()
	return forward.Result{Outcome: forward.Ended}
}

// TestShutdownWaitsForForwardedConnections guards against a shutdown that cuts off connections
// that are being forwarded.
func TestShutdownWaitsForForwardedConnections(t *testing.T) {
	f, _ := newRoutedServer(t, true)
	f.refusal = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, front.CodeOverloaded, "retry later").WithRetryAfter(time.Second)
	f.shedding.Store(true)
	f.mayForward.Store(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	forwarder := &blockingForwarder{make(chan struct{}), make(chan struct{})}
	srv := front.New("r", 1, f, f, front.WithForwarder(forwarder))
	go func() { _ = srv.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /a/x HTTP/1.1\r\nHost: forms.example\r\n%s: q-1\r\n%s: 8000\r\nAuthorization: Bearer secret\r\n\r\n", backend.HeaderRequestID, front.HeaderDeadline)
	<-forwarder.started
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(t.Context()) }()
	select {
	case err := <-done:
		t.Fatalf("Shutdown returned (%v) while a connection was being forwarded", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(forwarder.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
