package backend_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// pipeDialer connects to a server that sends the same bytes on each connection and closes it.
type pipeDialer struct{ response []byte }

// DialContext implements backend.Dialer.
func (d pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		go func() { _, _ = io.Copy(io.Discard, server) }()
		_, _ = server.Write(d.response)
		_ = server.Close()
	}()
	return client, nil
}

// FuzzResponse answers a call with arbitrary bytes. Bytes without the proof and the id must never pass for a response,
// and notices must be within bounds.
func FuzzResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\n"
	for _, seed := range []string{
		"", "garbage", head + "Content-Length: 2\r\n\r\nok", head + "Content-Length: 18446744073709551616\r\n\r\nok", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		head + "Keep-Alive: timeout=99999999999999\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Busy\r\nX-Id: req-1\r\nX-Unrun: 1\r\nRetry-After: 1e400\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
		streamHead + "Transfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n", streamHead + "\r\nid: 18446744073709551615\ndata: 1\n\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, stream bool) {
		c := backend.New(backend.WithHeaders(testHeaders()), backend.WithDialer(pipeDialer{data}))
		defer c.Close()
		call := routedCall("10.0.0.1:80")
		call.MayStream = stream
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		sink := &recorder{}
		r := c.Do(ctx, call, sink)
		if ctx.Err() != nil {
			t.Errorf("the call took 5 s")
		}
		if r.Notice.RetryAfter < 0 || r.Notice.RetryAfter > backend.MaxRetryAfter || len(r.Notice.Invalid) > 40 {
			t.Errorf("notice %+v", r.Notice)
		}
		if r.Err != nil && r.Err.Verdict == verdict.NotRun && len(data) == 0 {
			t.Errorf("no response counts as a refusal: %v", r.Err)
		}
	})
}
