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

// TestGatheredEventsArePassedOnTogether has a backend server send three more events
// while the router gathers: the first goes on by itself, the others as one, and none
// is lost.
func TestGatheredEventsArePassedOnTogether(t *testing.T) {
	gathering, sent := make(chan struct{}), make(chan struct{})
	s := serve(t, func(s *server, conn net.Conn) {
		if !s.readRequest(conn) {
			return
		}
		_, _ = io.WriteString(conn, unframed+numbered(1, 1))
		<-gathering
		_, _ = io.WriteString(conn, numbered(2, 4))
		close(sent)
	})
	call := routedCall(s.ln.Addr().String())
	calls := 0
	call.BatchDelay = func() time.Duration {
		if calls++; calls == 1 {
			close(gathering)
			<-sent
		}
		return time.Millisecond
	}
	c := backend.New(backend.WithHeaders(testDialect()))
	defer c.Close()
	sink := &recorder{}
	result := c.Do(context.Background(), call, sink)
	if result.Err != nil || result.LastEvent != 4 {
		t.Errorf("ended with %v after event %d", result.Err, result.LastEvent)
	}
	if diff := cmp.Diff(numbered(1, 4), sink.body.String()); diff != "" {
		t.Errorf("passed on (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(backend.Stats{Events: 4, Flushes: 2}, c.Stats()); diff != "" {
		t.Errorf("counted (-want +got):\n%s", diff)
	}
}
