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

// limitedServer resets connections beyond a limit. It responds to the requests of a group
// together, so that each needs its own connection.
type limitedServer struct {
	ln             net.Listener
	maxConnections int

	mu           sync.Mutex
	open, resets int
	waiting      []net.Conn
	group        int
}

func startLimitedServer(t *testing.T, maxConnections, group int) *limitedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{ln: ln, maxConnections: maxConnections, group: group}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *limitedServer) serve(conn net.Conn) {
	s.mu.Lock()
	s.open++
	full := s.open > s.maxConnections
	if full {
		s.resets++
	}
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
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
		s.mu.Lock()
		s.waiting = append(s.waiting, conn)
		if len(s.waiting) == s.group {
			for _, c := range s.waiting {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok"))
			}
			s.waiting = nil
		}
		s.mu.Unlock()
	}
}

// TestRoutersShareConnections checks that idle connections do not use up the connection limit
// of a backend server that many routers use in turn.
func TestRoutersShareConnections(t *testing.T) {
	const routers, concurrent, rounds = 62, 5, 3
	s := startLimitedServer(t, 100, concurrent)
	clients := make([]*backend.Client, routers)
	for i := range clients {
		clients[i] = backend.New(backend.WithHeaders(testHeaders()))
		defer clients[i].Close()
	}
	for range rounds {
		for _, c := range clients {
			var wg sync.WaitGroup
			for range concurrent {
				wg.Go(func() {
					call := routedCall(s.ln.Addr().String())
					call.MayStream, call.Body, call.MaxConnections = false, nil, 1
					if r := c.Do(context.Background(), call, &recorder{}); r.Err != nil {
						t.Errorf("request failed: %v", r.Err)
					}
				})
			}
			wg.Wait()
			if t.Failed() {
				t.Fatalf("backend server reset %d connections", s.resets)
			}
		}
	}
}
