package front_test

import (
	"bufio"
	"fmt"
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

// handsOn is a forwarder with one outcome.
type handsOn struct {
	outcome forward.Outcome
	asked   chan string
}

func (h *handsOn) Forward(c net.Conn, first []byte, by table.Version, until time.Time) forward.Result {
	h.asked <- string(first)
	did := forward.Result{Outcome: h.outcome, To: "b", Read: first}
	switch h.outcome {
	case forward.Ended:
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		_ = c.Close()
	case forward.NotTaken:
		// The rest of the body came meanwhile.
		did.Read = append(did.Read, "dy"...)
	}
	return did
}

// TestRequestsThatAreHandedOn has a router hand on what it has no time for.
func TestRequestsThatAreHandedOn(t *testing.T) {
	tests := map[string]struct {
		code    string
		may     bool
		outcome forward.Outcome
		status  int
		verdict string
		asked   bool
	}{
		"answered by another":            {front.CodeOverloaded, true, forward.Ended, 200, "", true},
		"nobody takes it":                {front.CodeOverloaded, true, forward.NotTaken, 503, "not-run", true},
		"the other is lost":              {front.CodeOverloaded, true, forward.Unknown, 502, "may-have-run", true},
		"more than may be handed on now": {front.CodeOverloaded, false, forward.Ended, 503, "not-run", false},
		"beyond its account's share":     {"over-share", true, forward.Ended, 503, "not-run", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f, _ := screenedServer(t, true)
			f.screened = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, tc.code, "come back as told").WithRetryAfter(time.Second)
			f.hurried.Store(true)
			f.mayForward.Store(tc.may)
			other := &handsOn{tc.outcome, make(chan string, 1)}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := front.New("r", 1, f, f, front.WithForwarder(other))
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
			if !tc.asked || tc.outcome == forward.Unknown {
				_, _ = conn.Write([]byte("dy"))
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.status || resp.Header.Get(verdict.Header) != tc.verdict {
				t.Errorf("status %d, %q", resp.StatusCode, resp.Header.Get(verdict.Header))
			}
			if back := resp.Header.Get("Retry-After"); (back != "") != (tc.status == http.StatusServiceUnavailable) {
				t.Errorf("come back after %q", back)
			}
			select {
			case first := <-other.asked:
				if !tc.asked || !strings.HasPrefix(first, "POST /a/x") {
					t.Errorf("handed on %q", first)
				}
			default:
				if tc.asked {
					t.Error("it was not handed on")
				}
			}
		})
	}
}

// slowly hands a connection on until it is told to end.
type slowly struct{ begun, end chan struct{} }

func (h *slowly) Forward(c net.Conn, _ []byte, _ table.Version, _ time.Time) forward.Result {
	close(h.begun)
	<-h.end
	_ = c.Close()
	return forward.Result{Outcome: forward.Ended}
}

// TestShutdownWaitsForWhatIsHandedOn stops a router whose caller is served by another one.
func TestShutdownWaitsForWhatIsHandedOn(t *testing.T) {
	f, _ := screenedServer(t, true)
	f.screened = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, front.CodeOverloaded, "come back as told").WithRetryAfter(time.Second)
	f.hurried.Store(true)
	f.mayForward.Store(true)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &slowly{make(chan struct{}), make(chan struct{})}
	srv := front.New("r", 1, f, f, front.WithForwarder(h))
	go func() { _ = srv.Serve(ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /a/x HTTP/1.1\r\nHost: forms.example\r\n%s: q-1\r\n%s: 8000\r\nAuthorization: Bearer secret\r\n\r\n", backend.HeaderRequestID, front.HeaderDeadline)
	<-h.begun
	ended := make(chan error, 1)
	go func() { ended <- srv.Shutdown(t.Context()) }()
	select {
	case err := <-ended:
		t.Fatalf("it stopped (%v) while its caller was served", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(h.end)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
