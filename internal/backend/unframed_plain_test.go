package backend_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestPlainResponseThatIsReset guards against passing on as whole a response without a length whose connection is reset. One
// that ends early in the regular way cannot be told from a whole one.
func TestPlainResponseThatIsReset(t *testing.T) {
	whole := callOutcome{Verdict: verdict.Ran, Sent: true, Began: true}
	tests := map[string]struct {
		body  string
		reset bool
		want  callOutcome
	}{
		"whole, within the buffer": {"body", false, whole},
		"whole, beyond the buffer": {strings.Repeat("x", 4<<10), false, whole},
		"reset before a byte":      {"", true, callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true}},
		"reset within the buffer":  {"body", true, callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true}},
		"reset beyond the buffer":  {strings.Repeat("x", 4<<10), true, callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *server, conn net.Conn) {
				if !s.readRequest(conn) {
					return
				}
				_, _ = io.WriteString(conn, plainHead+"\r\n"+tc.body)
				if tc.reset {
					// What has arrived is read before the reset.
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			call := routedCall(s.ln.Addr().String())
			call.MayStream = false
			sink := &recorder{}
			r := doRouted(call, sink)
			if diff := cmp.Diff(tc.want, outcomeOf(r, 0)); diff != "" || r.Err == nil && sink.body.String() != tc.body {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
