package backend_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestCutHeadIsNoResponse guards against taking a head that ends early, at any byte, for a response with an empty body.
func TestCutHeadIsNoResponse(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\n"
	tests := map[string]struct {
		head   string
		change func(*backend.Call)
	}{
		"plain, with a length":     {plain + "Content-Length: 40\r\n\r\n", notStream},
		"plain, in chunks":         {plain + "Transfer-Encoding: chunked\r\n\r\n", notStream},
		"plain, to the end":        {plain + "Connection: close\r\n\r\n", notStream},
		"plain, lines without CR":  {"HTTP/1.1 200 OK\nX-Id: req-1\nX-Proof: p\n\n", notStream},
		"stream, in chunks":        {streamHead + "Transfer-Encoding: chunked\r\n\r\n", nil},
		"stream, to the end":       {streamHead + "Connection: close\r\n\r\n", nil},
		"resumed stream":           {streamHead + "Connection: close\r\n\r\n", resume},
		"after an interim head":    {"HTTP/1.1 100 Continue\r\n\r\n" + plain + "Content-Length: 0\r\n\r\n", notStream},
		"a refusal, with a length": {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n", notStream},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for n := range tc.head {
				s := serve(t, respond(tc.head[:n]))
				call := routedCall(s.ln.Addr().String())
				if tc.change != nil {
					tc.change(&call)
				}
				sink := &recorder{}
				got := outcomeOf(doRouted(call, sink), 0)
				want := callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}
				if diff := cmp.Diff(want, got); diff != "" || sink.status != 0 {
					t.Errorf("cut after %q: status %d, outcome (-want +got):\n%s", tc.head[:n], sink.status, diff)
				}
			}
		})
	}
}

func notStream(c *backend.Call) { c.MayStream = false }
