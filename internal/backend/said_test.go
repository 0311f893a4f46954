package backend_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestSaid has a backend server say things of itself, sound and damaged.
func TestSaid(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 0\r\n"
	const refusal = "HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n"
	tests := map[string]struct {
		answer string
		want   backend.Notice
	}{
		"nothing":                        {ok, backend.Notice{}},
		"leaving":                        {ok + "X-Leaves: 1\r\n", backend.Notice{Leaving: true}},
		"leaving, in a refusal":          {refusal + "X-Leaves: 1\r\n", backend.Notice{Leaving: true}},
		"not leaving":                    {ok + "X-Leaves: 0\r\n", backend.Notice{}},
		"neither":                        {ok + "X-Leaves: soon\r\n", backend.Notice{Invalid: "soon"}},
		"rest":                           {refusal + "Retry-After: 3\r\n", backend.Notice{RetryAfter: 3 * time.Second}},
		"rest by a fraction":             {refusal + "Retry-After: 0.25\r\n", backend.Notice{RetryAfter: 250 * time.Millisecond}},
		"rest without a promise":         {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nRetry-After: 2\r\nContent-Length: 0\r\n", backend.Notice{RetryAfter: 2 * time.Second}},
		"rest until a date long ago":     {refusal + "Retry-After: Fri, 02 Jan 2026 15:04:05 GMT\r\n", backend.Notice{}},
		"rest until a date far off":      {refusal + "Retry-After: Fri, 02 Jan 2126 15:04:05 GMT\r\n", backend.Notice{RetryAfter: backend.MaxRetryAfter}},
		"rest without an end":            {refusal + "Retry-After: 1e300\r\n", backend.Notice{RetryAfter: backend.MaxRetryAfter}},
		"rest for less than no time":     {refusal + "Retry-After: -3\r\n", backend.Notice{Invalid: "-3"}},
		"rest for no number":             {refusal + "Retry-After: NaN\r\n", backend.Notice{Invalid: "NaN"}},
		"rest misspelt":                  {refusal + "Retry-After: 3s\r\n", backend.Notice{Invalid: "3s"}},
		"a time to come back, served":    {ok + "Retry-After: 3\r\n", backend.Notice{}},
		"another one has the address":    {"HTTP/1.1 421 Other\r\nX-Leaves: 1\r\nContent-Length: 0\r\n", backend.Notice{}},
		"an answer to another's request": {"HTTP/1.1 200 OK\r\nX-Id: req-2\r\nX-Leaves: 1\r\nContent-Length: 0\r\n", backend.Notice{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, write(tc.answer+"\r\n"))
			r := doRouted(routedCall(s.ln.Addr().String()), &recorder{})
			if diff := cmp.Diff(tc.want, r.Notice); diff != "" {
				t.Errorf("said (-want +got):\n%s", diff)
			}
		})
	}
}
