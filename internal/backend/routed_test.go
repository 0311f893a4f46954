package backend_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// testHeaders configures every header except the priority.
func testHeaders() backend.HeaderConfig {
	return backend.HeaderConfig{
		RequestID: "X-Id", NotRun: "X-Unrun", Deadline: "X-Left", Instance: "X-Meant", Account: "X-Account", Proof: "X-Proof", LastEvent: "Last-Event-Id",
		CopyPrefixFrom: "X-Fetch", Leaving: "X-Leaves", EventField: "x-weights",
	}
}

// routedCall returns a call whose events are not parsed.
func routedCall(address string) backend.Call {
	call := newCall(address)
	call.Opaque = true
	call.Body = []byte("body")
	call.BufferLimit = 1 << 10
	call.NotRepeatable = false
	return call
}

func doRouted(call backend.Call, sink backend.Sink) backend.Result {
	c := backend.New(backend.WithHeaders(testHeaders()))
	defer c.Close()
	return c.Do(context.Background(), call, sink)
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Type: text/event-stream\r\n"
	// unframedHead starts a response that ends with the connection.
	unframedHead = streamHead + "\r\n"
)

// numbered returns events with the numbers from..to.
func numbered(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// chunked returns a response with chunked encoding; end adds the final chunk.
func chunked(head, body string, end bool) string {
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if end {
		text += "0\r\n\r\n"
	}
	return text
}

// routedOutcome is the outcome of a call with the forwarded body.
type routedOutcome struct {
	Code    string
	Verdict verdict.Verdict
	Began   bool
	Last    uint64
	Body    string
}

// TestRoutedResponses guards against forwarding a response that is incomplete, out of order or
// not meant for the request.
func TestRoutedResponses(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\n"
	tests := map[string]struct {
		response string
		change   func(*backend.Call)
		want     routedOutcome
	}{
		"complete stream":                   {chunked(streamHead, numbered(1, 3), true), nil, routedOutcome{Verdict: verdict.Ran, Began: true, Last: 3, Body: numbered(1, 3)}},
		"stream without a length":           {unframedHead + numbered(1, 2), nil, routedOutcome{Verdict: verdict.Ran, Began: true, Last: 2, Body: numbered(1, 2)}},
		"empty stream without a length":     {unframedHead, nil, routedOutcome{Code: "answer-cut"}},
		"resumed without a length, empty":   {unframedHead, resume, routedOutcome{Code: "answer-cut", Last: 2}},
		"stream without a length, cut":      {unframedHead + numbered(1, 2) + "id: 3\nda", nil, routedOutcome{Code: "answer-cut", Began: true, Last: 2, Body: numbered(1, 2)}},
		"stream cut between events":         {chunked(streamHead, numbered(1, 2), false), nil, routedOutcome{Code: "answer-cut", Began: true, Last: 2, Body: numbered(1, 2)}},
		"stream cut within an event":        {chunked(streamHead, numbered(1, 2)+"id: 3\nda", true), nil, routedOutcome{Code: "answer-cut", Began: true, Last: 2, Body: numbered(1, 2)}},
		"missing event":                     {chunked(streamHead, numbered(1, 1)+numbered(3, 3), true), nil, routedOutcome{Code: "bad-answer", Began: true, Last: 1, Body: numbered(1, 1)}},
		"repeated event":                    {chunked(streamHead, numbered(1, 2)+numbered(2, 3), true), nil, routedOutcome{Code: "bad-answer", Began: true, Last: 2, Body: numbered(1, 2)}},
		"stream cut before the first event": {chunked(streamHead, "", false), nil, routedOutcome{Code: "answer-cut"}},
		"no proof":                          {chunked(strings.Replace(streamHead, "X-Proof: p\r\n", "", 1), numbered(1, 1), true), nil, routedOutcome{Code: "bad-answer"}},
		"content encoding":                  {chunked(streamHead+"Content-Encoding: gzip\r\n", numbered(1, 1), true), nil, routedOutcome{Code: "bad-answer"}},
		"response to another request":       {chunked(strings.Replace(streamHead, "req-1", "req-2", 1), numbered(1, 1), true), nil, routedOutcome{Code: "crossed-answer"}},
		"not an HTTP response":              {"garbage\r\n\r\n", nil, routedOutcome{Code: "backend-broke"}},
		"not run":                           {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n", nil, routedOutcome{Code: "backend-refused", Verdict: verdict.NotRun}},
		"replaced by another instance":      {"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", nil, routedOutcome{Code: "backend-replaced", Verdict: verdict.NotRun}},
		"busy, may have run":                {"HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", nil, routedOutcome{Verdict: verdict.Ran, Began: true, Body: "no"}},
		"withheld server error":             {"HTTP/1.1 500 Oops\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", func(c *backend.Call) { c.WithholdServerErrors = true }, routedOutcome{Code: "backend-failed", Verdict: verdict.Ran}},
		"plain":                             {plain + "Content-Length: 4\r\n\r\nbody", func(c *backend.Call) { c.MayStream = false }, routedOutcome{Verdict: verdict.Ran, Began: true, Body: "body"}},
		"plain, cut within the buffer":      {plain + "Content-Length: 40\r\n\r\nbody", func(c *backend.Call) { c.MayStream = false }, routedOutcome{Code: "answer-cut"}},
		"plain, cut beyond the buffer":      {plain + "Content-Length: 4000\r\n\r\n" + strings.Repeat("x", 2000), func(c *backend.Call) { c.MayStream = false }, routedOutcome{Code: "answer-cut", Began: true, Body: strings.Repeat("x", 2000)}},
		"resumed":                           {chunked(streamHead, numbered(3, 4), true), resume, routedOutcome{Verdict: verdict.Ran, Began: true, Last: 4, Body: numbered(3, 4)}},
		"resumed from the beginning":        {chunked(streamHead, numbered(1, 4), true), resume, routedOutcome{Code: "bad-answer", Last: 2}},
		"resumed with a server error":       {"HTTP/1.1 500 Oops\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nno", resume, routedOutcome{Code: "backend-failed", Verdict: verdict.Ran, Last: 2}},
		"resumed without a stream":          {plain + "Content-Length: 2\r\n\r\nno", resume, routedOutcome{Code: "backend-failed", Verdict: verdict.Ran, Last: 2}},
		"interim response":                  {"HTTP/1.1 100 Continue\r\n\r\n" + chunked(streamHead, numbered(1, 1), true), nil, routedOutcome{Verdict: verdict.Ran, Began: true, Last: 1, Body: numbered(1, 1)}},
		"empty stream":                      {chunked(streamHead, "", true), nil, routedOutcome{Verdict: verdict.Ran, Began: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respond(tc.response))
			call := routedCall(s.ln.Addr().String())
			if tc.change != nil {
				tc.change(&call)
			}
			sink := &recorder{}
			r := doRouted(call, sink)
			got := routedOutcome{Verdict: verdict.Ran, Began: r.Began, Last: r.LastEvent, Body: sink.body.String()}
			if r.Err != nil {
				got.Code, got.Verdict = r.Err.Code, r.Err.Verdict
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if call.Resume && sink.status != 0 {
				t.Error("response header sent twice")
			}
		})
	}
}

func resume(c *backend.Call) {
	c.Resume = true
	c.LastEvent = 2
}

// respondInOrder returns a handler that writes one response for each request on a connection.
func respondInOrder(responses ...string) func(*server, net.Conn) {
	return func(s *server, conn net.Conn) {
		for _, text := range responses {
			if !s.readRequest(conn) {
				return
			}
			_, _ = io.WriteString(conn, text)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// reuseCase is a case of TestConnectionReuse.
type reuseCase struct {
	responses []string
	// notRepeatable marks the second request as one that must not run twice. It is sent after idle.
	notRepeatable bool
	idle          time.Duration
	conns         int64
	// second is the version that the server's row states at the second request.
	second string
}

// TestConnectionReuse guards against reusing a connection that is closed or has unread data, or that
// was idle for longer than the request allows.
func TestConnectionReuse(t *testing.T) {
	response := func(id, extra string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Proof: p\r\n" + extra + "Content-Length: 2\r\n\r\nok"
	}
	both := []string{response("req-1", ""), response("req-1", "")}
	tests := map[string]reuseCase{
		"reused":                          {responses: both, conns: 1},
		"another version since":           {responses: both, conns: 2, second: "v2"},
		"Connection: close":               {responses: []string{response("req-1", "Connection: close\r\n")}, conns: 2},
		"short Keep-Alive timeout":        {responses: []string{response("req-1", "Keep-Alive: timeout=0\r\n")}, conns: 2},
		"Keep-Alive of 585 years":         {responses: []string{response("req-1", "Keep-Alive: timeout=18446744074\r\n"), response("req-1", "")}, conns: 1},
		"Keep-Alive below 0":              {responses: []string{response("req-1", "Keep-Alive: timeout=-1\r\n"), response("req-1", "")}, conns: 1},
		"data after the response":         {responses: []string{response("req-1", "") + "more"}, conns: 2},
		"late response discarded":         {responses: []string{response("req-1", ""), response("req-0", "") + response("req-1", "")}, conns: 1},
		"idle for 1 s":                    {responses: both, idle: time.Second, conns: 1},
		"idle for 5 s":                    {responses: both, idle: 5 * time.Second, conns: 2},
		"not repeatable":                  {responses: both, notRepeatable: true, conns: 2},
		"not repeatable, idle for 260 ms": {responses: both, notRepeatable: true, idle: 260 * time.Millisecond, conns: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			// A slow run adds to the idle time, and says nothing.
			const maxDuration = 200 * time.Millisecond
			got, took := tc.run(t, response("req-1", ""))
			for took > maxDuration {
				got, took = tc.run(t, response("req-1", ""))
			}
			if got != tc.conns {
				t.Errorf("%d connections, want %d", got, tc.conns)
			}
		})
	}
}

// run sends two requests. It returns the number of connections and the time that both took.
func (tc *reuseCase) run(t *testing.T, last string) (connections int64, took time.Duration) {
	var conns atomic.Int64
	s := serve(t, func(s *server, conn net.Conn) {
		if conns.Add(1) == 1 {
			respondInOrder(tc.responses...)(s, conn)
			return
		}
		respondInOrder(last)(s, conn)
	})
	start := time.Now()
	var idle atomic.Int64
	clk := clock.New(clock.WithBootClock(func() (time.Duration, error) { return time.Since(start) + time.Duration(idle.Load()), nil }))
	c := backend.New(backend.WithHeaders(testHeaders()), backend.WithClock(clk))
	defer c.Close()
	for i := range 2 {
		call := routedCall(s.ln.Addr().String())
		call.MayStream = false
		if i == 1 {
			call.Software.Version, call.NotRepeatable = tc.second, tc.notRepeatable
			idle.Store(int64(tc.idle))
			clk.CheckSuspension()
		}
		sink := &recorder{}
		if r := c.Do(context.Background(), call, sink); r.Err != nil || sink.body.String() != "ok" {
			t.Fatalf("request %d: %v, %q", i, r.Err, sink.body.String())
		}
	}
	return conns.Load(), time.Since(start)
}

// TestLateRefusalIsNotOfAnotherRequest guards against taking a late second response without an id, to an earlier request,
// for the refusal of one that must not run twice and that runs.
func TestLateRefusalIsNotOfAnotherRequest(t *testing.T) {
	const (
		served  = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok"
		refused = "HTTP/1.1 503 Service Unavailable\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n"
	)
	s := serve(t, respondInOrder(served, refused+served))
	c := backend.New(backend.WithHeaders(testHeaders()))
	defer c.Close()
	for i := range 2 {
		call := routedCall(s.ln.Addr().String())
		call.MayStream, call.NotRepeatable = false, true
		sink := &recorder{}
		if r := c.Do(context.Background(), call, sink); r.Err != nil || sink.body.String() != "ok" {
			t.Errorf("request %d: %v, %q", i, r.Err, sink.body.String())
		}
	}
}

// TestEarlyResponseClosesConnection checks that a connection is not reused while the body of
// an earlier request may still be in transit.
func TestEarlyResponseClosesConnection(t *testing.T) {
	requests := make(chan string, 4)
	s := serve(t, func(_ *server, conn net.Conn) {
		head := make([]byte, 4)
		if _, err := io.ReadFull(conn, head); err != nil {
			return
		}
		requests <- string(head)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	c := backend.New(backend.WithHeaders(testHeaders()))
	defer c.Close()
	for range 2 {
		call := routedCall(s.ln.Addr().String())
		call.Body = make([]byte, 64<<20)
		if r := c.Do(context.Background(), call, &recorder{}); r.Err == nil || r.Err.Verdict != verdict.NotRun {
			t.Fatalf("call ended with %v", r.Err)
		}
	}
	for range 2 {
		if got := <-requests; got != "POST" {
			t.Errorf("connection began with %q", got)
		}
	}
}

// TestForwardedRequest checks that hop-by-hop headers and forged protocol headers are removed.
func TestForwardedRequest(t *testing.T) {
	got := make(chan string, 1)
	s := serve(t, func(_ *server, conn net.Conn) {
		buf := make([]byte, 4096)
		n, _ := conn.Read(buf)
		got <- string(buf[:n])
		_, _ = io.WriteString(conn, streamHead+"Content-Length: 0\r\n\r\n")
	})
	call := routedCall(s.ln.Addr().String())
	call.Path, call.Host = "/a/../b?x=%20", "forms.example"
	call.Account, call.Instance, call.CopyPrefixFrom = "moka", "i-7", "10.0.0.9:80"
	call.Header = http.Header{
		"X-Account": {"forged"}, "X-Fetch": {"forged"}, "X-Kept": {"1", "2"}, "Connection": {"X-Dropped, close"}, "X-Dropped": {"1"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"999"}, "Te": {"x"},
	}
	if r := doRouted(call, &recorder{}); r.Err != nil {
		t.Fatal(r.Err)
	}
	want := "POST /a/../b?x=%20 HTTP/1.1\r\nHost: forms.example\r\n" +
		"X-Account: moka\r\nX-Fetch: 10.0.0.9:80\r\nX-Id: req-1\r\nX-Kept: 1\r\nX-Kept: 2\r\nX-Meant: i-7\r\nContent-Length: 4\r\n\r\nbody"
	if diff := cmp.Diff(want, <-got); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
}
