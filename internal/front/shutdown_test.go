package front_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
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

// TestIdleHTTP2ConnectionsDoNotHoldUpShutdown guards against waiting for a next request on connections that
// carry several requests at a time.
func TestIdleHTTP2ConnectionsDoNotHoldUpShutdown(t *testing.T) {
	f := &fake{table: newTable(t), results: []backend.Result{{}}}
	url, srv := startServer(t, f)
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodGet, url+"/services/scores/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.ProtoMajor != 2 || resp.StatusCode != http.StatusOK {
		t.Fatalf("HTTP/%d, status %d, %v", resp.ProtoMajor, resp.StatusCode, err)
	}
	_ = resp.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// slowListener accepts nothing until its gate opens.
type slowListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// TestBacklogIsAnsweredDuringShutdown guards against resetting connections that callers have opened, and that
// the router has not accepted yet, when a planned stop closes the listener.
func TestBacklogIsAnsweredDuringShutdown(t *testing.T) {
	const connections = 5
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	slow := &slowListener{ln.(*net.TCPListener), make(chan struct{})}
	f := &fake{table: newTable(t)}
	srv := front.New("r", 1, f, f, front.WithLogger(slog.New(slog.DiscardHandler)))
	go func() { _ = srv.Serve(slow) }()
	t.Cleanup(func() { _ = srv.Close() })
	var callers []*caller
	for range connections {
		c := dial(t, ln.Addr().String())
		_ = c.SetDeadline(time.Now().Add(responseTimeout))
		c.send(t, true)
		callers = append(callers, c)
	}
	time.Sleep(readTime)
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(t.Context()) }()
	time.Sleep(readTime)
	close(slow.gate)
	for _, c := range callers {
		if resp := readWhole(t, c.reader); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d, want a refusal", resp.StatusCode)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestStopReleasesIdleConnections guards against keeping connections at rest open, only to refuse their next
// request, while a planned stop waits for another caller; and against one that never sends the rest of its
// header.
func TestStopReleasesIdleConnections(t *testing.T) {
	f := &fake{table: newTable(t), results: []backend.Result{{}}}
	url, srv := startServer(t, f)
	idle, stalled := dial(t, url), dial(t, url)
	for _, c := range []*caller{idle, stalled} {
		_ = c.SetDeadline(time.Now().Add(responseTimeout))
	}
	idle.send(t, true)
	readWhole(t, idle.reader)
	if _, err := io.WriteString(stalled, "POST /"); err != nil {
		t.Fatal(err)
	}
	waitOpen(t, srv, 2)
	ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(ctx) }()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v, want EOF", err)
	}
	select {
	case err := <-done:
		t.Fatalf("Shutdown returned (%v) without waiting for the rest of a header", err)
	default:
	}
	if resp := readWhole(t, stalled.reader); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d for half a header, want a refusal", resp.StatusCode)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
