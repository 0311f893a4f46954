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

// TestBytesThatCannotBeTold holds which bytes of a faulty server look like its own, since what a proof holds is not known: a
// change that tells them apart belongs into docs/INVARIANTS.md.
func TestBytesThatCannotBeTold(t *testing.T) {
	tests := map[string]struct{ text, body string }{
		"within the length":                   {plainHead + "Content-Length: 8\r\n\r\nbodyoops", "bodyoops"},
		"a chunk of its own":                  {plainHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\noops\r\n0\r\n\r\n", "bodyoops"},
		"behind one that ends with its end":   {plainHead + "\r\nbodyoops", "bodyoops"},
		"early end of one without a length":   {plainHead + "\r\nbo", "bo"},
		"chunks of a version that knows none": {strings.Replace(plainHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "4\r\nbody\r\n"},
		"last chunk between two events":       {chunked(streamHead, numbered(1, 2), true) + "f\r\n" + numbered(3, 3) + "\r\n0\r\n\r\n", numbered(1, 2)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respond(tc.text))
			call := routedCall(s.ln.Addr().String())
			call.MayStream = strings.Contains(name, "events")
			sink := &recorder{}
			if r := doRouted(call, sink); r.Err != nil || sink.body.String() != tc.body {
				t.Errorf("%v, the caller received %q", r.Err, sink.body.String())
			}
		})
	}
}
