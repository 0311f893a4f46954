package backend_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestBatchedEvents checks that events that arrive during the batch delay are sent to the
// caller together, and that none is lost.
func TestBatchedEvents(t *testing.T) {
	waiting, sent := make(chan struct{}), make(chan struct{})
	s := serve(t, func(s *server, conn net.Conn) {
		if !s.readRequest(conn) {
			return
		}
		_, _ = io.WriteString(conn, unframedHead+numbered(1, 1))
		<-waiting
		_, _ = io.WriteString(conn, numbered(2, 4))
		close(sent)
	})
	call := routedCall(s.ln.Addr().String())
	calls := 0
	call.BatchDelay = func() time.Duration {
		if calls++; calls == 1 {
			close(waiting)
			<-sent
		}
		return time.Millisecond
	}
	c := backend.New(backend.WithHeaders(testHeaders()))
	defer c.Close()
	sink := &recorder{}
	result := c.Do(context.Background(), call, sink)
	if result.Err != nil || result.LastEvent != 4 {
		t.Errorf("call ended with %v after event %d", result.Err, result.LastEvent)
	}
	if diff := cmp.Diff(numbered(1, 4), sink.body.String()); diff != "" {
		t.Errorf("forwarded (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(backend.Stats{Events: 4, Flushes: 2}, c.Stats()); diff != "" {
		t.Errorf("stats (-want +got):\n%s", diff)
	}
}
