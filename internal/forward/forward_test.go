package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// waitTimeout bounds waits for events that must happen.
const waitTimeout = 10 * time.Second

// network delivers messages between forwarders, in order for each pair.
type network struct {
	mu      sync.Mutex
	routers map[string]*forward.Forwarder
	links   map[string]chan peer.Inbound
	// drop selects messages to lose.
	drop func(to string, msg any) bool
	done chan struct{}
	wg   sync.WaitGroup
}

// sender sends one router's messages over the network.
type sender struct {
	network *network
	from    string
}

func (s sender) Send(to string, msg any) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if s.network.drop != nil && s.network.drop(to, msg) {
		return
	}
	key := s.from + " " + to
	link, ok := s.network.links[key]
	if !ok {
		link = make(chan peer.Inbound, 4096)
		s.network.links[key] = link
		target := s.network.routers[to]
		s.network.wg.Add(1)
		go func() {
			defer s.network.wg.Done()
			for {
				select {
				case in := <-link:
					if target != nil {
						target.Handle(in)
					}
				case <-s.network.done:
					return
				}
			}
		}()
	}
	link <- peer.Inbound{From: s.from, Incarnation: 1, Msg: msg}
}

// server is the Server of one router.
type server struct {
	http    *http.Server
	conns   chan net.Conn
	accepts bool
	once    sync.Once
	mu      sync.Mutex
	paths   []string
}

func (s *server) AcceptsForwarded(table.Version) bool { return s.accepts }
func (s *server) ServeForwarded(c net.Conn)           { s.conns <- c }
func (s *server) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (s *server) Close() error {
	s.once.Do(func() { close(s.conns) })
	return nil
}
func (s *server) Addr() net.Addr { return &net.TCPAddr{} }

func (s *server) requestPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.paths...)
}

// cluster consists of three routers. The first forwards to the other two.
type cluster struct {
	t       *testing.T
	network *network
	entry   *forward.Forwarder
	servers map[string]*server
}

func newCluster(t *testing.T, handler http.HandlerFunc) *cluster {
	t.Helper()
	cl := &cluster{t: t, servers: map[string]*server{}}
	cl.network = &network{routers: map[string]*forward.Forwarder{}, links: map[string]chan peer.Inbound{}, done: make(chan struct{})}
	for _, name := range []string{"a", "b", "c"} {
		f := forward.New()
		srv := &server{conns: make(chan net.Conn), accepts: true}
		srv.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			srv.mu.Lock()
			srv.paths = append(srv.paths, r.URL.Path)
			srv.mu.Unlock()
			w.Header().Set("Connection", "close")
			handler(w, r)
		}), ReadHeaderTimeout: waitTimeout}
		go func() { _ = srv.http.Serve(srv) }()
		f.Bind(sender{cl.network, name}, srv)
		cl.network.routers[name], cl.servers[name] = f, srv
		if name == "a" {
			cl.entry = f
		}
	}
	cl.entry.SetPeers([]forward.Peer{{Address: "b", Capacity: 1}, {Address: "c", Capacity: 1}})
	t.Cleanup(func() {
		for _, f := range cl.network.routers {
			f.Close()
		}
		for _, s := range cl.servers {
			_ = s.http.Close()
		}
		close(cl.network.done)
		cl.network.wg.Wait()
	})
	return cl
}

// forward opens a connection with the given bytes already read and forwards it from the entry
// router. It returns the caller's end and a channel for the result.
func (cl *cluster) forward(head string, timeout time.Duration) (caller net.Conn, results chan forward.Result) {
	cl.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cl.t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(func() { _ = caller.Close() })
	c, err := ln.Accept()
	if err != nil {
		cl.t.Fatal(err)
	}
	results = make(chan forward.Result, 1)
	go func() {
		result := cl.entry.Forward(c, []byte(head), table.Version{Revision: 1}, time.Now().Add(timeout))
		if result.Outcome != forward.Ended {
			_ = c.Close()
		}
		results <- result
	}()
	_ = caller.SetDeadline(time.Now().Add(waitTimeout))
	return caller, results
}

func (cl *cluster) waitResult(results chan forward.Result) forward.Result {
	cl.t.Helper()
	select {
	case result := <-results:
		return result
	case <-time.After(waitTimeout):
		cl.t.Fatal("the stream did not end")
		return forward.Result{}
	}
}

func postHead(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// requestCount returns the number of requests that reached the peers' handlers.
func (cl *cluster) requestCount() int {
	return len(cl.servers["b"].requestPaths()) + len(cl.servers["c"].requestPaths())
}

// TestForward checks the outcome of a forwarded connection, including failures of either side.
func TestForward(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]func(t *testing.T){
		"a whole request": func(t *testing.T) {
			cl := newCluster(t, echo)
			caller, results := cl.forward(postHead("/x", 4)+"body", waitTimeout)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != "body" || cl.waitResult(results).Outcome != forward.Ended || cl.requestCount() != 1 {
				t.Errorf("%q, %v, ran %d times", body, err, cl.requestCount())
			}
		},
		"a body in many writes": func(t *testing.T) {
			cl := newCluster(t, echo)
			want := bytes.Repeat([]byte("0123456789"), 20_000)
			caller, results := cl.forward(postHead("/x", len(want)), waitTimeout)
			go func() {
				for i := 0; i < len(want); i += 7001 {
					_, _ = caller.Write(want[i:min(i+7001, len(want))])
					time.Sleep(time.Millisecond)
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Equal(body, want) || cl.waitResult(results).Outcome != forward.Ended {
				t.Errorf("%d of %d bytes, %v", len(body), len(want), err)
			}
		},
		"a response in many writes": func(t *testing.T) {
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
				for i := range 200 {
					_, _ = fmt.Fprintf(w, "event %d\n", i)
					_ = http.NewResponseController(w).Flush()
				}
			})
			caller, results := cl.forward(postHead("/x", 0), waitTimeout)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || strings.Count(string(body), "event") != 200 || cl.waitResult(results).Outcome != forward.Ended {
				t.Errorf("%q, %v", body, err)
			}
		},
		"a caller that reads slowly": func(t *testing.T) {
			chunk := bytes.Repeat([]byte("x"), 64<<10)
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
				for range 300 {
					_, _ = w.Write(chunk)
				}
			})
			caller, results := cl.forward(postHead("/x", 0), waitTimeout)
			time.Sleep(300 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || len(body) != 300*len(chunk) || cl.waitResult(results).Outcome != forward.Ended {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		},
		"a peer refuses": func(t *testing.T) {
			cl := newCluster(t, echo)
			cl.servers["b"].accepts = false
			caller, results := cl.forward(postHead("/x", 4)+"body", waitTimeout)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil || resp.StatusCode != 200 || cl.waitResult(results).To != "c" {
				t.Errorf("%+v, %v", resp, err)
			}
		},
		"all peers refuse": func(t *testing.T) {
			cl := newCluster(t, echo)
			cl.servers["b"].accepts, cl.servers["c"].accepts = false, false
			caller, results := cl.forward(postHead("/x", 8)+"body", waitTimeout)
			_, _ = caller.Write([]byte("more"))
			result := cl.waitResult(results)
			if result.Outcome != forward.NotTaken || !strings.HasPrefix(string(result.Read), postHead("/x", 8)+"body") || cl.requestCount() != 0 {
				t.Errorf("%+v, ran %d times", result, cl.requestCount())
			}
			if _, results := cl.forward(postHead("/x", 0), waitTimeout); cl.waitResult(results).To != "" {
				t.Error("a peer that refused is tried again at once")
			}
		},
		"no peers": func(t *testing.T) {
			cl := newCluster(t, echo)
			cl.entry.SetPeers(nil)
			_, results := cl.forward(postHead("/x", 0), waitTimeout)
			if result := cl.waitResult(results); result.Outcome != forward.NotTaken || result.To != "" {
				t.Errorf("%+v", result)
			}
		},
		"peer lost before the response": func(t *testing.T) {
			started := make(chan struct{})
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done() })
			_, results := cl.forward(postHead("/x", 0), waitTimeout)
			<-started
			cl.entry.EndStreams("b", forward.ConnectionLost)
			cl.entry.EndStreams("c", forward.ConnectionLost)
			if result := cl.waitResult(results); result.Outcome != forward.Unknown || cl.requestCount() != 1 {
				t.Errorf("%+v, ran %d times", result, cl.requestCount())
			}
		},
		"peer lost during the response": func(t *testing.T) {
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = fmt.Fprint(w, "event")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			caller, results := cl.forward(postHead("/x", 0), waitTimeout)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			cl.entry.EndStreamsExcept(map[string]bool{})
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("a truncated response was read without an error")
			}
			if result := cl.waitResult(results); result.Outcome != forward.Ended {
				t.Errorf("%+v", result)
			}
		},
		"a response message is lost": func(t *testing.T) {
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
				for range 5 {
					_, _ = fmt.Fprint(w, "event")
					_ = http.NewResponseController(w).Flush()
				}
			})
			cl.network.drop = func(_ string, msg any) bool {
				m, ok := msg.(*wire.ForwardData)
				return ok && m.Response && m.Seq == 3
			}
			caller, results := cl.forward(postHead("/x", 0), waitTimeout)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("a response with a missing message was read without an error")
			}
			cl.waitResult(results)
		},
		"the caller disconnects": func(t *testing.T) {
			canceled := make(chan struct{})
			started := make(chan struct{})
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done(); close(canceled) })
			caller, results := cl.forward(postHead("/x", 0), waitTimeout)
			<-started
			_ = caller.Close()
			select {
			case <-canceled:
			case <-time.After(waitTimeout):
				t.Error("the peer's request was not canceled")
			}
			if result := cl.waitResult(results); result.Outcome != forward.Ended {
				t.Errorf("%+v", result)
			}
		},
		"the deadline passes": func(t *testing.T) {
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			_, results := cl.forward(postHead("/x", 0), 50*time.Millisecond)
			if result := cl.waitResult(results); result.Outcome != forward.Unknown {
				t.Errorf("%+v", result)
			}
		},
		"the forwarding router is lost": func(t *testing.T) {
			canceled, started := make(chan struct{}), make(chan struct{})
			cl := newCluster(t, func(w http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done(); close(canceled) })
			_, results := cl.forward(postHead("/x", 0), time.Second)
			<-started
			cl.network.routers["b"].EndStreams("a", forward.ConnectionLost)
			cl.network.routers["c"].EndStreams("a", forward.ConnectionLost)
			select {
			case <-canceled:
			case <-time.After(waitTimeout):
				t.Error("the peer's request was not canceled")
			}
			cl.waitResult(results)
		},
	}
	for name, test := range tests {
		t.Run(name, test)
	}
}

// TestManyStreams guards against mixing up streams: many forwarded connections must each get
// their own response.
func TestManyStreams(t *testing.T) {
	cl := newCluster(t, echo)
	const streams = 200
	var wg sync.WaitGroup
	for i := range streams {
		body := fmt.Sprint("body ", i)
		caller, _ := cl.forward(postHead("/x", len(body))+body, waitTimeout)
		wg.Add(1)
		go func() {
			defer wg.Done()
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Error(err)
				return
			}
			if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
				t.Errorf("%q, %v, want %q", got, err, body)
			}
		}()
	}
	wg.Wait()
	if cl.requestCount() != streams {
		t.Errorf("%d requests ran", cl.requestCount())
	}
}
