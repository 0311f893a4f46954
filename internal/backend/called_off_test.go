package backend_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestCallThatIsCalledOff: callers who gave their streams up after some seconds, because engines
// were slow or the way to them was cut, came back and were refused for half a minute, since
// backend servers had ended under their requests. None had: the log had attempt_end with
// code=backend-broke and events=0 at the very moment at which the callers' patience was over.
// What breaks because the call itself was called off says nothing of the backend server.
func TestCallThatIsCalledOff(t *testing.T) {
	const long = time.Minute
	answers := map[string]string{
		"before an answer":        "",
		"before the first event":  unframed,
		"in the middle":           unframed + numbered(1, 2),
		"in the middle of a part": unframed + "id: 1\nda",
	}
	for name, text := range answers {
		for code, end := range map[string]func(context.Context) (context.Context, context.CancelFunc){
			"caller-gone": context.WithCancel,
			"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
				return context.WithTimeout(ctx, 50*time.Millisecond)
			},
		} {
			t.Run(name+", "+code, func(t *testing.T) {
				ctx, cancel := end(t.Context())
				defer cancel()
				answered := make(chan struct{})
				s := serve(t, func(s *server, conn net.Conn) {
					if s.readRequest(conn) {
						_, _ = io.WriteString(conn, text)
						close(answered)
						_, _ = io.Copy(io.Discard, conn)
					}
				})
				if code == "caller-gone" {
					go func() {
						<-answered
						cancel()
					}()
				}
				c := backend.New(backend.WithHeaders(testDialect()), backend.WithIdleTimeout(long))
				defer c.Close()
				got := c.Do(ctx, routedCall(s.ln.Addr().String()), &recorder{})
				if got.Err == nil || got.Err.Code != code {
					t.Errorf("it ends with %v", got.Err)
				}
			})
		}
	}
}
