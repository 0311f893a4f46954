package backend_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// TestOddResponseHeads guards against a response whose head states odd figures: it must neither end the process, nor hold
// the call up, nor pass for a whole response.
func TestOddResponseHeads(t *testing.T) {
	const maxDuration = 30 * time.Second
	digits := strings.Repeat("9", 4000)
	const head = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\n"
	odd := map[string]string{
		"length of 2^63":             head + "Content-Length: 9223372036854775808\r\n\r\nok",
		"length of 2^64":             head + "Content-Length: 18446744073709551616\r\n\r\nok",
		"length of 4,000 digits":     head + "Content-Length: " + digits + "\r\n\r\nok",
		"length below 0":             head + "Content-Length: -1\r\n\r\nok",
		"length a fraction":          head + "Content-Length: 2.0\r\n\r\nok",
		"two lengths":                head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"length above the body":      head + "Content-Length: 9223372036854775807\r\n\r\nok",
		"chunk of 2^64":              head + "Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\nok",
		"chunk of 2^63":              head + "Transfer-Encoding: chunked\r\n\r\n8000000000000000\r\nok",
		"chunk of 2^63-1":            head + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nok",
		"chunk below 0":              head + "Transfer-Encoding: chunked\r\n\r\n-2\r\nok",
		"chunk extension of 60 kB":   head + "Transfer-Encoding: chunked\r\n\r\n2;" + strings.Repeat("x", 60_000) + "\r\nok\r\n0\r\n\r\n",
		"status of 4,000 digits":     "HTTP/1.1 " + digits + " OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok",
		"status below 0":             "HTTP/1.1 -20 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok",
		"version of 4,000 digits":    "HTTP/1." + digits + " 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok",
		"another encoding than both": head + "Transfer-Encoding: " + strings.Repeat("chunked, ", 1000) + "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
	for name, response := range odd {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *server, conn net.Conn) {
				respond(response)(s, conn)
				_ = conn.Close()
			})
			start := time.Now()
			call := routedCall(s.ln.Addr().String())
			call.MayStream = false
			if r := doRouted(call, &recorder{}); r.Err == nil {
				t.Errorf("the response passes for a whole one: %+v", r)
			}
			if took := time.Since(start); took > maxDuration {
				t.Errorf("the call took %v", took)
			}
		})
	}
}

// TestOddNotices checks that odd figures in headers that servers state about themselves say little, or nothing, and that
// the response still counts.
func TestOddNotices(t *testing.T) {
	values := []string{"1e400", "-1e400", "9223372036854775807", "9223372036854775808", "18446744073709551616", "-1", "0.5", "Inf", "-Inf", "NaN", "0x1p1000", strings.Repeat("9", 4000), strings.Repeat("[", 4000), "\xff"}
	for _, value := range values {
		t.Run(value[:min(len(value), 20)], func(t *testing.T) {
			for _, header := range []string{"Retry-After", "X-Leaves", "Keep-Alive", "X-Cold-Ms"} {
				stated := header + ": " + value + "\r\n"
				s := serve(t, respond("HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n"+stated+"\r\nok"))
				sink := &recorder{}
				call := routedCall(s.ln.Addr().String())
				call.MayStream = false
				if r := doRouted(call, sink); r.Err != nil || sink.body.String() != "ok" || r.Notice.Leaving || len(r.Notice.Invalid) > 40 {
					t.Errorf("%s: %v, %q, %+v", header, r.Err, sink.body.String(), r.Notice)
				}
				s = serve(t, respond("HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n"+stated+"\r\n"))
				r := doRouted(routedCall(s.ln.Addr().String()), &recorder{})
				if r.Err == nil || r.Err.Code != "backend-refused" || r.Notice.RetryAfter < 0 || r.Notice.RetryAfter > backend.MaxRetryAfter || len(r.Notice.Invalid) > 40 {
					t.Errorf("%s: %v, %+v", header, r.Err, r.Notice)
				}
			}
		})
	}
}
