package backend_test

import (
	"context"
	"io"
	"net"
	"os"
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

// pendingContext is a context whose deadline has passed but whose timer has not fired yet.
type pendingContext struct {
	context.Context
	deadline time.Time
}

func (c pendingContext) Deadline() (time.Time, bool) { return c.deadline, true }

// timeoutDialer fails as a dialer does whose own timer fired.
type timeoutDialer struct{}

func (timeoutDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// TestDialTimeout checks that a dial that ends at the call's deadline is not blamed on the backend
// server, even if the context has not ended yet, and that a dial that ends before it is.
func TestDialTimeout(t *testing.T) {
	for name, tc := range map[string]struct {
		left time.Duration
		code string
	}{
		"at the deadline":     {left: 0, code: "deadline"},
		"before the deadline": {left: time.Hour, code: "backend-unreachable"},
	} {
		t.Run(name, func(t *testing.T) {
			c := backend.New(backend.WithHeaders(testHeaders()), backend.WithDialer(timeoutDialer{}))
			defer c.Close()
			ctx := pendingContext{t.Context(), time.Now().Add(tc.left)}
			got := c.Do(ctx, routedCall("192.0.2.1:1"), &recorder{})
			if got.Err == nil || got.Err.Code != tc.code {
				t.Errorf("call ended with %v, want %s", got.Err, tc.code)
			}
		})
	}
}
