package front_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestReadRequestsAreAnsweredDuringShutdown guards against connections that close without a response although
// their request, or the beginning of it, had been read when a planned stop began to close connections.
func TestReadRequestsAreAnsweredDuringShutdown(t *testing.T) {
	const head, rest = "GET /services/scores/x HTTP/1.1\r\nHost: x\r\n", "Authorization: Bearer secret\r\n\r\n"
	tests := map[string]struct {
		// before is sent before the stop, after once it has begun.
		before, after string
		// kept says that the connection has had a request before.
		kept bool
	}{
		"a new connection, nothing sent":   {after: head + rest},
		"a new connection, half a header":  {before: head, after: rest},
		"a kept connection, half a header": {before: head, after: rest, kept: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{table: newTable(t), results: []backend.Result{{}, {}}}
			url, srv := startServer(t, f)
			conn := dial(t, url)
			_ = conn.SetDeadline(time.Now().Add(responseTimeout))
			reader := conn.reader
			if tc.kept {
				if _, err := io.WriteString(conn, head+rest); err != nil {
					t.Fatal(err)
				}
				readWhole(t, reader)
			}
			if _, err := io.WriteString(conn, tc.before); err != nil {
				t.Fatal(err)
			}
			waitOpen(t, srv, 1)
			done := make(chan error, 1)
			go func() { done <- srv.Shutdown(t.Context()) }()
			time.Sleep(readTime)
			if _, err := io.WriteString(conn, tc.after); err != nil {
				t.Fatal(err)
			}
			if resp := readWhole(t, reader); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("status %d, connection kept: %v; want a refusal that closes", resp.StatusCode, !resp.Close)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
