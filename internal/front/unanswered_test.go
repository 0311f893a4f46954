package front_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
)

// TestUnansweredConnectionsAreCounted checks which closed connections count as unanswered.
func TestUnansweredConnectionsAreCounted(t *testing.T) {
	const head = "GET /services/scores/x HTTP/1.1\r\nHost: x\r\n"
	const request = head + "Authorization: Bearer secret\r\n\r\n"
	tests := map[string]struct {
		sent string
		// responses is how many responses the caller reads before the connection ends.
		responses    int
		callerCloses bool
		want         int64
	}{
		"nothing was sent":                   {},
		"half a request was read":            {sent: head, want: 1},
		"the request was answered":           {sent: request, responses: 1},
		"half of the next request was read":  {sent: request + head, responses: 1, want: 1},
		"the caller left in a request":       {sent: head, callerCloses: true},
		"the caller left after the response": {sent: request, responses: 1, callerCloses: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{table: newTable(t), results: []backend.Result{{}}}
			url, srv := startServer(t, f)
			conn := dial(t, url)
			_ = conn.SetDeadline(time.Now().Add(responseTimeout))
			sent := tc.sent
			if tc.responses > 0 {
				sent = request
			}
			if _, err := io.WriteString(conn, sent); err != nil {
				t.Fatal(err)
			}
			for range tc.responses {
				readWhole(t, conn.reader)
			}
			if _, err := io.WriteString(conn, tc.sent[len(sent):]); err != nil {
				t.Fatal(err)
			}
			waitOpen(t, srv, 1)
			if tc.callerCloses {
				_ = conn.Close()
				waitOpen(t, srv, 0)
			}
			_ = srv.Close()
			waitOpen(t, srv, 0)
			if got := srv.Connections().Unanswered; got != tc.want {
				t.Errorf("%d unanswered connections, want %d", got, tc.want)
			}
		})
	}
}

// readTime is enough for the server to read what was sent on loopback.
const readTime = 50 * time.Millisecond

// readWhole reads a response with its body.
func readWhole(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("the connection ended without a response: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp
}

// waitOpen waits until the server counts a number of open connections, and has had time to read from them.
func waitOpen(t *testing.T, srv *front.Server, n int) {
	t.Helper()
	for deadline := time.Now().Add(responseTimeout); srv.Connections().Open != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d open connections, want %d", srv.Connections().Open, n)
		}
	}
	time.Sleep(readTime)
}
