package backend_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// plainHead starts a response that is no stream.
const plainHead = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\n"

// doPlain calls a server that responds with text, and returns the outcome and what the caller received.
func doPlain(t *testing.T, text string, change func(*backend.Call)) (callOutcome, *recorder) {
	t.Helper()
	s := serve(t, respond(text))
	call := routedCall(s.ln.Addr().String())
	call.MayStream, call.NotRepeatable = false, true
	if change != nil {
		change(&call)
	}
	sink := &recorder{}
	return outcomeOf(doRouted(call, sink), 0), sink
}

// TestStatusWithoutProof guards against passing on a status that promises that nothing ran, or that it is of no use to try
// again, which nothing shows to be the backend server's own.
func TestStatusWithoutProof(t *testing.T) {
	refused := callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true}
	passed := callOutcome{Verdict: verdict.Ran, Sent: true, Began: true}
	tests := map[string]struct {
		head string
		want callOutcome
	}{
		"busy":                                {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\n", refused},
		"busy, with a time":                   {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nRetry-After: 1\r\n", refused},
		"too many requests":                   {"HTTP/1.1 429 Many\r\nX-Id: req-1\r\n", refused},
		"timeout":                             {"HTTP/1.1 408 Late\r\nX-Id: req-1\r\n", refused},
		"not found":                           {"HTTP/1.1 404 None\r\nX-Id: req-1\r\n", refused},
		"unauthorized":                        {"HTTP/1.1 401 Who\r\nX-Id: req-1\r\n", refused},
		"redirect":                            {"HTTP/1.1 302 There\r\nX-Id: req-1\r\nLocation: http://other.example/\r\n", refused},
		"busy, says that it did not run":      {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\n", callOutcome{Verdict: verdict.NotRun, Code: "backend-refused", Sent: true}},
		"busy, with a proof":                  {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Proof: p\r\n", passed},
		"not found, with a proof":             {"HTTP/1.1 404 None\r\nX-Id: req-1\r\nX-Proof: p\r\n", passed},
		"server error, which says nothing":    {"HTTP/1.1 500 Oops\r\nX-Id: req-1\r\n", passed},
		"timeout of the server, says nothing": {"HTTP/1.1 504 Late\r\nX-Id: req-1\r\n", passed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, sink := doPlain(t, tc.head+"Content-Length: 2\r\n\r\nno", nil)
			if diff := cmp.Diff(tc.want, got); diff != "" || got.Began != (sink.status != 0) {
				t.Errorf("status %d, outcome (-want +got):\n%s", sink.status, diff)
			}
		})
	}
}
