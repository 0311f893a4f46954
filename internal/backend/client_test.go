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

// recorder is a caller that remembers what it got.
type recorder struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	trailer http.Header
	gone    bool
}

func (r *recorder) Begin(status int, h http.Header) { r.status, r.header = status, h }
func (r *recorder) Flush() error                    { return nil }
func (r *recorder) Trailer(h http.Header)           { r.trailer = h }
func (r *recorder) Write(p []byte) (int, error) {
	if r.gone {
		return 0, errors.New("caller gone")
	}
	return r.body.Write(p)
}

// server answers each connection with a function that may fail at any phase;
// ran counts the requests whose body arrived whole.
type server struct {
	ln  net.Listener
	ran atomic.Int64
}

func serve(t *testing.T, answer func(s *server, conn net.Conn)) *server {
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
				answer(s, conn)
			}()
		}
	}()
	return s
}

// readRequest reads a request whole and counts it as run.
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

const eventHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: req-1\r\nConnection: close\r\n\r\n"

func event(id string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"text\":\"a\"}]}\n\n", id)
}

// write answers a whole request with raw text.
func write(text string) func(*server, net.Conn) {
	return func(s *server, conn net.Conn) {
		if s.readRequest(conn) {
			_, _ = io.WriteString(conn, text)
		}
	}
}

func readBytes(n int) func(*server, net.Conn) {
	return func(_ *server, conn net.Conn) { _, _ = io.ReadFull(conn, make([]byte, n)) }
}

type want struct {
	Verdict verdict.Verdict
	Code    string
	Sent    bool
	Began   bool
	Tokens  int64
}

func TestVerdictAtEachPhase(t *testing.T) {
	whole := eventHeader + event("x") + event("x") + "data: [DONE]\n\n"
	tests := map[string]struct {
		answer func(*server, net.Conn)
		want   want
	}{
		"whole answer":            {write(whole), want{Verdict: verdict.Ran, Sent: true, Began: true, Tokens: 2}},
		"header half read":        {readBytes(20), want{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"body half read":          {readBytes(5000), want{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"no response":             {write(""), want{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"response header cut":     {write("HTTP/1.1 200 OK\r\nConte"), want{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}},
		"cut before any event":    {write(eventHeader), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true}},
		"cut mid-stream":          {write(eventHeader + event("x")), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 1}},
		"cut inside an event":     {write(eventHeader + "data: {\"id\":\"x\""), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true}},
		"cut before the end mark": {write(eventHeader + event("x") + event("x")), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 2}},
		"garbage":                 {write(eventHeader + event("x") + "\x00\x01\x02\n\n"), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 1}},
		"another's chunk":         {write(eventHeader + event("x") + event("y")), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 1}},
		"another's answer":        {write(strings.Replace(whole, "req-1", "req-2", 1)), want{Verdict: verdict.MayHaveRun, Code: "crossed-answer", Sent: true}},
		"two answers":             {write(whole + event("z")), want{Verdict: verdict.MayHaveRun, Code: "answer-cut", Sent: true, Began: true, Tokens: 2}},
		"says it did not run": {write("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"),
			want{Verdict: verdict.NotRun, Code: "backend-refused", Sent: true}},
		"fails by itself": {write("HTTP/1.1 500 Oops\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"),
			want{Verdict: verdict.Ran, Sent: true, Began: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, tc.answer)
			call := newCall(s.ln.Addr().String())
			got, served := do(call, &recorder{})
			if diff := cmp.Diff(tc.want, summary(got, served)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if got.Err != nil && got.Err.Verdict == verdict.NotRun && tc.want.Code != "backend-refused" && s.ran.Load() > 0 {
				t.Error("the request ran and is said not to have run")
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

func summary(r backend.Result, tokens int64) want {
	w := want{Verdict: verdict.Ran, Sent: r.Sent, Began: r.Began, Tokens: tokens}
	if r.Err != nil {
		w.Verdict, w.Code = r.Err.Verdict, r.Err.Code
	}
	return w
}

func TestNothingIsSentWithoutALease(t *testing.T) {
	s := serve(t, write(eventHeader))
	call := newCall(s.ln.Addr().String())
	call.MayStart = func() bool { return false }
	got, tokens := do(call, &recorder{})
	if diff := cmp.Diff(want{Verdict: verdict.NotRun, Code: "lease-expired"}, summary(got, tokens)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if s.ran.Load() != 0 {
		t.Error("the request was sent")
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	got, tokens := do(newCall(address), &recorder{})
	if diff := cmp.Diff(want{Verdict: verdict.NotRun, Code: "backend-unreachable"}, summary(got, tokens)); diff != "" || !got.Unreachable {
		t.Errorf("outcome (-want +got), failed %v:\n%s", got.Unreachable, diff)
	}
}

func TestAnswerPassesFaithfully(t *testing.T) {
	text := eventHeader[:len(eventHeader)-4] + "\r\nX-Extra: kept\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n"
	body := ": comment\n\nevent: note\nid: 7\n" + event("x") + "data: [DONE]\n\n"
	text += fmt.Sprintf("%x\r\n%s\r\n0\r\nX-End: yes\r\n\r\n", len(body), body)
	s := serve(t, write(text))
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

func TestCallerGoneEndsTheCall(t *testing.T) {
	s := serve(t, write(eventHeader+event("x")+event("x")+"data: [DONE]\n\n"))
	got, _ := do(newCall(s.ln.Addr().String()), &recorder{gone: true})
	if got.Err == nil || got.Err.Code != "caller-gone" {
		t.Errorf("result %v", got.Err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(event("x") + "data: [DONE]\n\n"))
	f.Add([]byte(": c\n\nevent: e\ndata: {}\n\n"))
	f.Add([]byte("data: {\"id\":\"a\"}\n\ndata: {\"id\":\"b\"}\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		e := backend.NewCompletionReader(bytes.NewReader(in))
		var out []byte
		for {
			ev, err := e.Next()
			if err != nil {
				break
			}
			out = append(out, ev...)
		}
		if !bytes.HasPrefix(in, out) && !bytes.Contains(in, bytes.TrimLeft(out, "\r\n")) {
			t.Errorf("bytes were changed: %q became %q", in, out)
		}
	})
}
