package backend_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestNotice checks valid and invalid notices.
func TestNotice(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 0\r\n"
	const refusal = "HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n"
	tests := map[string]struct {
		response string
		want     backend.Notice
	}{
		"none":                          {ok, backend.Notice{}},
		"leaving":                       {ok + "X-Leaves: 1\r\n", backend.Notice{Leaving: true}},
		"leaving, with a refusal":       {refusal + "X-Leaves: 1\r\n", backend.Notice{Leaving: true}},
		"not leaving":                   {ok + "X-Leaves: 0\r\n", backend.Notice{}},
		"leaving, invalid":              {ok + "X-Leaves: soon\r\n", backend.Notice{Invalid: "soon"}},
		"retry after":                   {refusal + "Retry-After: 3\r\n", backend.Notice{RetryAfter: 3 * time.Second}},
		"retry after a fraction":        {refusal + "Retry-After: 0.25\r\n", backend.Notice{RetryAfter: 250 * time.Millisecond}},
		"retry after, may have run":     {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nRetry-After: 2\r\nContent-Length: 0\r\n", backend.Notice{RetryAfter: 2 * time.Second}},
		"retry after a past date":       {refusal + "Retry-After: Fri, 02 Jan 2026 15:04:05 GMT\r\n", backend.Notice{}},
		"retry after a distant date":    {refusal + "Retry-After: Fri, 02 Jan 2126 15:04:05 GMT\r\n", backend.Notice{RetryAfter: backend.MaxRetryAfter}},
		"retry after, too large":        {refusal + "Retry-After: 1e300\r\n", backend.Notice{RetryAfter: backend.MaxRetryAfter}},
		"retry after, negative":         {refusal + "Retry-After: -3\r\n", backend.Notice{Invalid: "-3"}},
		"retry after, not a number":     {refusal + "Retry-After: NaN\r\n", backend.Notice{Invalid: "NaN"}},
		"retry after, with a unit":      {refusal + "Retry-After: 3s\r\n", backend.Notice{Invalid: "3s"}},
		"retry after, with status 200":  {ok + "Retry-After: 3\r\n", backend.Notice{}},
		"other instance at the address": {"HTTP/1.1 421 Other\r\nX-Leaves: 1\r\nContent-Length: 0\r\n", backend.Notice{}},
		"response to another request":   {"HTTP/1.1 200 OK\r\nX-Id: req-2\r\nX-Leaves: 1\r\nContent-Length: 0\r\n", backend.Notice{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respond(tc.response+"\r\n"))
			r := doRouted(routedCall(s.ln.Addr().String()), &recorder{})
			if diff := cmp.Diff(tc.want, r.Notice); diff != "" {
				t.Errorf("notice (-want +got):\n%s", diff)
			}
		})
	}
}
