package backend_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/backend"
)

// bounded is a backend server that takes so many connections from all routers and
// resets the rest. It answers the requests of a group together, so that each of them
// needs a connection of its own.
type bounded struct {
	ln   net.Listener
	most int

	mu           sync.Mutex
	open, resets int
	waiting      []net.Conn
	group        int
}

func serveBounded(t *testing.T, most, group int) *bounded {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &bounded{ln: ln, most: most, group: group}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *bounded) serve(conn net.Conn) {
	b.mu.Lock()
	b.open++
	full := b.open > b.most
	if full {
		b.resets++
	}
	b.mu.Unlock()
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
	}()
	if full {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		b.mu.Lock()
		b.waiting = append(b.waiting, conn)
		if len(b.waiting) == b.group {
			for _, c := range b.waiting {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok"))
			}
			b.waiting = nil
		}
		b.mu.Unlock()
	}
}

// TestRoutersShareConnections has 62 routers send requests in turn to a backend server
// that takes 100 connections from all of them, five requests at once each: those that
// rest make room within each router's part, so that none is reset. With a bound of 32
// resting connections a router and no part, they are reset from the 21st router on.
func TestRoutersShareConnections(t *testing.T) {
	const routers, atOnce, rounds = 62, 5, 3
	b := serveBounded(t, 100, atOnce)
	clients := make([]*backend.Client, routers)
	for i := range clients {
		clients[i] = backend.New(backend.WithHeaders(testDialect()))
		defer clients[i].Close()
	}
	for range rounds {
		for _, c := range clients {
			var all sync.WaitGroup
			for range atOnce {
				all.Go(func() {
					call := routedCall(b.ln.Addr().String())
					call.MayStream, call.Body, call.MaxConnections = false, nil, 1
					if r := c.Do(context.Background(), call, &recorder{}); r.Err != nil {
						t.Errorf("request failed: %v", r.Err)
					}
				})
			}
			all.Wait()
			if t.Failed() {
				t.Fatalf("%d connections were reset", b.resets)
			}
		}
	}
}
