package backend_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// endlessBytes is what a server writes at most in place of bytes without end.
	endlessBytes = 256 << 20
	// maxEndlessBytes is what a client may let a server write, most of it in buffers of the system.
	maxEndlessBytes = 32 << 20
	// headNoProof begins a response that lacks the proof of its origin.
	headNoProof = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// respondEndlessly returns a handler that writes text and then repeats until the client closes the connection. The number of
// bytes written is sent to written.
func respondEndlessly(text, repeats string, written chan<- int) func(*server, net.Conn) {
	return func(s *server, conn net.Conn) {
		if !s.readRequest(conn) {
			return
		}
		block := strings.Repeat(repeats, 1+(64<<10)/len(repeats))
		n, err := io.WriteString(conn, text)
		for err == nil && n < endlessBytes {
			var m int
			m, err = io.WriteString(conn, block)
			n += m
		}
		written <- n
	}
}

// TestResponseWithoutEnd guards against reading bytes without end, which no caller gets: they fill the router's memory, or keep
// it busy until the request's deadline.
func TestResponseWithoutEnd(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\n"
	chunk := "400\r\n" + strings.Repeat("x", 1024) + "\r\n"
	tests := map[string]struct {
		head, repeats string
		change        func(*backend.Call)
		want          callOutcome
	}{
		"status line":                   {"HTTP/1.1 200 ", "OK", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"no response at all":            {"", "\x00", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"header line":                   {"HTTP/1.1 200 OK\r\nX-Proof: ", "p", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"header lines":                  {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"interim responses":             {"", "HTTP/1.1 100 Continue\r\n\r\n", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"body of a refusal, in chunks":  {refusal + "Transfer-Encoding: chunked\r\n\r\n", chunk, nil, callOutcome{Verdict: verdict.NotRun, Code: "backend-refused", Sent: true}},
		"body of a refusal, to its end": {refusal + "Connection: close\r\n\r\n", "x", nil, callOutcome{Verdict: verdict.NotRun, Code: "backend-refused", Sent: true}},
		"body without a proof":          {headNoProof, chunk, nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true}},
		"body of a withheld failure": {"HTTP/1.1 500 Oops\r\nX-Id: req-1\r\nX-Proof: p\r\n\r\n", "x", func(c *backend.Call) { c.WithholdServerErrors = true },
			callOutcome{Verdict: verdict.Ran, Code: "backend-failed", Sent: true}},
		"event":   {streamHead + "\r\ndata: ", "x", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true}},
		"trailer": {streamHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n", nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true}},
		"extension of a chunk": {streamHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x", nil,
			callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true}},
		"body of another request's response": {strings.Replace(headNoProof, "req-1", "req-0", 1), chunk, nil, callOutcome{Verdict: verdict.MayHaveRun, Code: "crossed-answer", Sent: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			s := serve(t, respondEndlessly(tc.head, tc.repeats, written))
			call := routedCall(s.ln.Addr().String())
			if tc.change != nil {
				tc.change(&call)
			}
			sink := &recorder{}
			r := doRouted(call, sink)
			if diff := cmp.Diff(tc.want, outcomeOf(r, 0)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if n := <-written; n > maxEndlessBytes || sink.body.Len() > 0 {
				t.Errorf("the server wrote %d bytes, the caller got %d", n, sink.body.Len())
			}
		})
	}
}

// TestLateResponseWithoutEnd guards against reading a late response to an earlier request without end, where the response to the
// next one is due.
func TestLateResponseWithoutEnd(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok"
	late := strings.Replace(headNoProof, "req-1", "req-0", 1)
	written := make(chan int, 1)
	s := serve(t, func(s *server, conn net.Conn) {
		if s.readRequest(conn) {
			_, _ = io.WriteString(conn, first)
			respondEndlessly(late, "400\r\n"+strings.Repeat("x", 1024)+"\r\n", written)(s, conn)
		}
	})
	c := backend.New(backend.WithHeaders(testHeaders()))
	defer c.Close()
	call := routedCall(s.ln.Addr().String())
	call.MayStream = false
	if r := c.Do(context.Background(), call, &recorder{}); r.Err != nil {
		t.Fatal(r.Err)
	}
	r := c.Do(context.Background(), call, &recorder{})
	if diff := cmp.Diff(callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}, outcomeOf(r, 0)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if n := <-written; n > maxEndlessBytes {
		t.Errorf("the server wrote %d bytes", n)
	}
}
