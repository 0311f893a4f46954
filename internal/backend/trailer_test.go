package backend_test

import (
	"maps"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTrailerOfFaultyServer guards against passing on fields after the last chunk that the head does not
// announce, or that would change what the caller takes the response for.
func TestTrailerOfFaultyServer(t *testing.T) {
	const announced = "Trailer: X-End\r\n"
	tests := map[string]struct {
		head, trailer string
		want          http.Header
	}{
		"announced":                  {announced, "X-End: 1\r\n", http.Header{"X-End": {"1"}}},
		"not announced":              {"", "X-End: 1\r\n", http.Header{}},
		"another one than announced": {announced, "X-Other: 1\r\n", http.Header{}},
		"announced, missing":         {announced, "", http.Header{}},
		"id of another request":      {"Trailer: X-Id\r\n", "X-Id: req-9\r\n", http.Header{}},
		"another proof":              {"Trailer: X-Proof\r\n", "X-Proof: q\r\n", http.Header{}},
		"refusal":                    {"Trailer: X-Unrun, Retry-After\r\n", "X-Unrun: 1\r\nRetry-After: 9\r\n", http.Header{}},
		"encoding":                   {"Trailer: Content-Encoding\r\n", "Content-Encoding: gzip\r\n", http.Header{}},
		"length and framing":         {"", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\nConnection: X-End\r\n", http.Header{}},
		"cookie":                     {"Trailer: Set-Cookie\r\n", "Set-Cookie: a=b\r\n", http.Header{}},
	}
	for name, tc := range tests {
		for kind, mayStream := range map[string]bool{"stream": true, "plain": false} {
			t.Run(name+", "+kind, func(t *testing.T) {
				text := chunked(streamHead+tc.head, numbered(1, 2), true)
				s := serve(t, respond(text[:len(text)-2]+tc.trailer+"\r\n"))
				call := routedCall(s.ln.Addr().String())
				call.MayStream = mayStream
				sink := &recorder{}
				if r := doRouted(call, sink); r.Err != nil || sink.body.String() != numbered(1, 2) {
					t.Fatalf("%v, body %q", r.Err, sink.body.String())
				}
				maps.DeleteFunc(sink.trailer, func(_ string, values []string) bool { return len(values) == 0 })
				if diff := cmp.Diff(tc.want, sink.trailer); diff != "" {
					t.Errorf("trailer (-want +got):\n%s", diff)
				}
			})
		}
	}
}
