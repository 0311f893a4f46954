package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// recorder is a Sink that records the response.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	trailer http.Header
	// disconnected makes writes fail.
	disconnected bool
}

func (r *recorder) Begin(status int, h http.Header) { r.status, r.header = status, h }
func (r *recorder) Flush() error                    { return nil }
func (r *recorder) Trailer(h http.Header)           { r.trailer = h }
func (r *recorder) Write(p []byte) (int, error) {
	if r.disconnected {
		return 0, errors.New("caller disconnected")
	}
	return r.body.Write(p)
}

// server handles each connection with a function.
type server struct {
	ln net.Listener
	// ran counts the requests that were read completely.
	ran atomic.Int64
}

func serve(t *testing.T, handle func(s *server, conn net.Conn)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(s, conn)
			}()
		}
	}()
	return s
}

// readRequest reads a complete request, counts it and reports whether it succeeded.
func (s *server) readRequest(conn net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return false
	}
	s.ran.Add(1)
	return true
}

const completionHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: req-1\r\nConnection: close\r\n\r\n"

func event(id string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"text\":\"a\"}]}\n\n", id)
}

// respond returns a handler that reads a request and writes raw bytes.
func respond(text string) func(*server, net.Conn) {
	return func(s *server, conn net.Conn) {
		if s.readRequest(conn) {
			_, _ = io.WriteString(conn, text)
		}
	}
}

// readBytes returns a handler that closes the connection after n bytes.
func readBytes(n int) func(*server, net.Conn) {
	return func(_ *server, conn net.Conn) { _, _ = io.ReadFull(conn, make([]byte, n)) }
}

type callOutcome struct {
	Verdict verdict.Verdict
	Code    string
	Sent    bool
	Began   bool
	Tokens  int64
}

// TestVerdictAtEachPhase guards against a verdict that claims too much about a request that
// failed at some point of the exchange.
func TestVerdictAtEachPhase(t *testing.T) {
	whole := completionHead + event("x") + event("x") + "data: [DONE]\n\n"
	tests := map[string]struct {
		handle func(*server, net.Conn)
		want   callOutcome
	}{
		"complete stream":             {respond(whole), callOutcome{Verdict: verdict.Ran, Sent: true, Began: true, Tokens: 2}},
		"header partly read":          {readBytes(20), callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"body partly read":            {readBytes(5000), callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"no response":                 {respond(""), callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"response header cut":         {respond("HTTP/1.1 200 OK\r\nConte"), callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"cut before any event":        {respond(completionHead), callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true}},
		"cut between events":          {respond(completionHead + event("x")), callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 1}},
		"cut within an event":         {respond(completionHead + "data: {\"id\":\"x\""), callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true}},
		"cut before the end marker":   {respond(completionHead + event("x") + event("x")), callOutcome{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 2}},
		"malformed event":             {respond(completionHead + event("x") + "\x00\x01\x02\n\n"), callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true, Began: true, Tokens: 1}},
		"chunk of another response":   {respond(completionHead + event("x") + event("y")), callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true, Began: true, Tokens: 1}},
		"response to another request": {respond(strings.Replace(whole, "req-1", "req-2", 1)), callOutcome{Verdict: verdict.MayHaveRun, Code: "crossed-answer", Sent: true}},
		"data after the end marker":   {respond(whole + event("z")), callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true, Began: true, Tokens: 2}},
		"declares that it did not run": {respond("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"),
			callOutcome{Verdict: verdict.NotRun, Code: "backend-refused", Sent: true}},
		"server error": {respond("HTTP/1.1 500 Oops\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"),
			callOutcome{Verdict: verdict.Ran, Sent: true, Began: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, tc.handle)
			call := newCall(s.ln.Addr().String())
			got, served := do(call, &recorder{})
			if diff := cmp.Diff(tc.want, outcomeOf(got, served)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if got.Err != nil && got.Err.Verdict == verdict.NotRun && tc.want.Code != "backend-refused" && s.ran.Load() > 0 {
				t.Error("verdict is not-run for a request that ran")
			}
		})
	}
}

func newCall(address string) backend.Call {
	return backend.Call{
		Address: address, Method: http.MethodPost, Path: "/v1/completions", Body: bytes.Repeat([]byte("x"), 1<<20),
		RequestID: "req-1", NotRepeatable: true, MayStream: true, MayStart: func() bool { return true }, Served: &atomic.Int64{},
	}
}

func do(call backend.Call, sink backend.Sink) (backend.Result, int64) {
	c := backend.New()
	defer c.Close()
	r := c.Do(context.Background(), call, sink)
	return r, call.Served.Load()
}

func outcomeOf(r backend.Result, tokens int64) callOutcome {
	o := callOutcome{Verdict: verdict.Ran, Sent: r.Sent, Began: r.Began, Tokens: tokens}
	if r.Err != nil {
		o.Verdict, o.Code = r.Err.Verdict, r.Err.Code
	}
	return o
}

func TestExpiredLeaseSendsNothing(t *testing.T) {
	s := serve(t, respond(completionHead))
	call := newCall(s.ln.Addr().String())
	call.MayStart = func() bool { return false }
	got, tokens := do(call, &recorder{})
	if diff := cmp.Diff(callOutcome{Verdict: verdict.NotRun, Code: "lease-expired"}, outcomeOf(got, tokens)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if s.ran.Load() != 0 {
		t.Error("the request was sent")
	}
}

func TestUnreachableServerMeansNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	got, tokens := do(newCall(address), &recorder{})
	if diff := cmp.Diff(callOutcome{Verdict: verdict.NotRun, Code: "backend-unreachable"}, outcomeOf(got, tokens)); diff != "" || !got.Unreachable {
		t.Errorf("outcome (-want +got), unreachable %v:\n%s", got.Unreachable, diff)
	}
}

// TestResponseIsForwardedUnchanged checks the header, the body and the trailer.
func TestResponseIsForwardedUnchanged(t *testing.T) {
	text := completionHead[:len(completionHead)-4] + "\r\nX-Extra: kept\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n"
	body := ": comment\n\nevent: note\nid: 7\n" + event("x") + "data: [DONE]\n\n"
	text += fmt.Sprintf("%x\r\n%s\r\n0\r\nX-End: yes\r\n\r\n", len(body), body)
	s := serve(t, respond(text))
	sink := &recorder{}
	if r, _ := do(newCall(s.ln.Addr().String()), sink); r.Err != nil {
		t.Fatal(r.Err)
	}
	if diff := cmp.Diff(body, sink.body.String()); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
	if sink.header.Get("X-Extra") != "kept" || sink.trailer.Get("X-End") != "yes" {
		t.Errorf("header %v, trailer %v", sink.header, sink.trailer)
	}
}

func TestClientDisconnectEndsCall(t *testing.T) {
	s := serve(t, respond(completionHead+event("x")+event("x")+"data: [DONE]\n\n"))
	got, _ := do(newCall(s.ln.Addr().String()), &recorder{disconnected: true})
	if got.Err == nil || got.Err.Code != "caller-gone" {
		t.Errorf("call ended with %v", got.Err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(event("x") + "data: [DONE]\n\n"))
	f.Add([]byte(": c\n\nevent: e\ndata: {}\n\n"))
	f.Add([]byte("data: {\"id\":\"a\"}\n\ndata: {\"id\":\"b\"}\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		reader := backend.NewCompletionReader(bytes.NewReader(in))
		var out []byte
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			out = append(out, event...)
		}
		if !bytes.HasPrefix(in, out) && !bytes.Contains(in, bytes.TrimLeft(out, "\r\n")) {
			t.Errorf("events of %q read as %q", in, out)
		}
	})
}
