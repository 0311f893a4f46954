package backend_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestCanceledCall checks that an error caused by the call's own cancellation is not blamed on
// the backend server.
func TestCanceledCall(t *testing.T) {
	const long = time.Minute
	responses := map[string]string{
		"before the response":    "",
		"before the first event": unframedHead,
		"between events":         unframedHead + numbered(1, 2),
		"within an event":        unframedHead + "id: 1\nda",
	}
	for name, text := range responses {
		for code, newContext := range map[string]func(context.Context) (context.Context, context.CancelFunc){
			"caller-gone": context.WithCancel,
			"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
				return context.WithTimeout(ctx, 50*time.Millisecond)
			},
		} {
			t.Run(name+", "+code, func(t *testing.T) {
				ctx, cancel := newContext(t.Context())
				defer cancel()
				responded := make(chan struct{})
				s := serve(t, func(s *server, conn net.Conn) {
					if s.readRequest(conn) {
						_, _ = io.WriteString(conn, text)
						close(responded)
						_, _ = io.Copy(io.Discard, conn)
					}
				})
				if code == "caller-gone" {
					go func() {
						<-responded
						cancel()
					}()
				}
				c := backend.New(backend.WithHeaders(testHeaders()), backend.WithIdleTimeout(long))
				defer c.Close()
				got := c.Do(ctx, routedCall(s.ln.Addr().String()), &recorder{})
				if got.Err == nil || got.Err.Code != code {
					t.Errorf("call ended with %v", got.Err)
				}
			})
		}
	}
}
