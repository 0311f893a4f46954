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

// generous bounds waits for things that must happen; none proves anything by passing.
const generous = 10 * time.Second

// network carries messages between forwarders in order, each pair's by a task of its own.
type network struct {
	mu    sync.Mutex
	at    map[string]*forward.Forwarder
	links map[string]chan peer.Inbound
	// drop says which messages are lost.
	drop func(to string, msg any) bool
	done chan struct{}
	wait sync.WaitGroup
}

// sender is one router's end of the network.
type sender struct {
	n    *network
	from string
}

func (s sender) Send(to string, msg any) {
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	if s.n.drop != nil && s.n.drop(to, msg) {
		return
	}
	key := s.from + " " + to
	link, ok := s.n.links[key]
	if !ok {
		link = make(chan peer.Inbound, 4096)
		s.n.links[key] = link
		target := s.n.at[to]
		s.n.wait.Add(1)
		go func() {
			defer s.n.wait.Done()
			for {
				select {
				case in := <-link:
					if target != nil {
						target.Handle(in)
					}
				case <-s.n.done:
					return
				}
			}
		}()
	}
	link <- peer.Inbound{From: s.from, Incarnation: 1, Msg: msg}
}

// server is the front of a router that takes connections.
type server struct {
	http  *http.Server
	conns chan net.Conn
	takes bool
	once  sync.Once
	mu    sync.Mutex
	ran   []string
}

func (s *server) AcceptsForwarded(table.Version) bool { return s.takes }
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

func (s *server) runs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}

// world is three routers, of which the first hands on.
type world struct {
	t       *testing.T
	net     *network
	first   *forward.Forwarder
	servers map[string]*server
}

func newWorld(t *testing.T, handler http.HandlerFunc) *world {
	t.Helper()
	w := &world{t: t, servers: map[string]*server{}}
	w.net = &network{at: map[string]*forward.Forwarder{}, links: map[string]chan peer.Inbound{}, done: make(chan struct{})}
	for _, name := range []string{"a", "b", "c"} {
		f := forward.New()
		srv := &server{conns: make(chan net.Conn), takes: true}
		srv.http = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
			srv.mu.Lock()
			srv.ran = append(srv.ran, r.URL.Path)
			srv.mu.Unlock()
			out.Header().Set("Connection", "close")
			handler(out, r)
		}), ReadHeaderTimeout: generous}
		go func() { _ = srv.http.Serve(srv) }()
		f.Bind(sender{w.net, name}, srv)
		w.net.at[name], w.servers[name] = f, srv
		if name == "a" {
			w.first = f
		}
	}
	w.first.SetPeers([]forward.Peer{{Address: "b", Capacity: 1}, {Address: "c", Capacity: 1}})
	t.Cleanup(func() {
		for _, f := range w.net.at {
			f.Close()
		}
		for _, s := range w.servers {
			_ = s.http.Close()
		}
		close(w.net.done)
		w.net.wait.Wait()
	})
	return w
}

// call has a caller send a request by the first router, its body in pieces, and returns
// what became of it and the connection's other end.
func (w *world) call(first string, until time.Duration) (caller net.Conn, became chan forward.Result) {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	caller, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = caller.Close() })
	c, err := ln.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	became = make(chan forward.Result, 1)
	go func() {
		did := w.first.Forward(c, []byte(first), table.Version{Revision: 1}, time.Now().Add(until))
		if did.Outcome != forward.Ended {
			_ = c.Close()
		}
		became <- did
	}()
	_ = caller.SetDeadline(time.Now().Add(generous))
	return caller, became
}

func (w *world) became(ch chan forward.Result) forward.Result {
	w.t.Helper()
	select {
	case did := <-ch:
		return did
	case <-time.After(generous):
		w.t.Fatal("the stream does not end")
		return forward.Result{}
	}
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

func echo(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write(body)
}

// runs counts the requests that the others ran.
func (w *world) runs() int { return len(w.servers["b"].runs()) + len(w.servers["c"].runs()) }

func TestForward(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]func(t *testing.T){
		"a whole request": func(t *testing.T) {
			w := newWorld(t, echo)
			caller, became := w.call(post("/x", 4)+"body", generous)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != "body" || w.became(became).Outcome != forward.Ended || w.runs() != 1 {
				t.Errorf("%q, %v, run %d times", body, err, w.runs())
			}
		},
		"a body in many pieces": func(t *testing.T) {
			w := newWorld(t, echo)
			want := bytes.Repeat([]byte("0123456789"), 20_000)
			caller, became := w.call(post("/x", len(want)), generous)
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
			if err != nil || !bytes.Equal(body, want) || w.became(became).Outcome != forward.Ended {
				t.Errorf("%d of %d bytes, %v", len(body), len(want), err)
			}
		},
		"an answer in many pieces": func(t *testing.T) {
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) {
				for i := range 200 {
					_, _ = fmt.Fprintf(out, "event %d\n", i)
					_ = http.NewResponseController(out).Flush()
				}
			})
			caller, became := w.call(post("/x", 0), generous)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || strings.Count(string(body), "event") != 200 || w.became(became).Outcome != forward.Ended {
				t.Errorf("%q, %v", body, err)
			}
		},
		"a caller that reads slowly": func(t *testing.T) {
			piece := bytes.Repeat([]byte("x"), 64<<10)
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) {
				for range 300 {
					_, _ = out.Write(piece)
				}
			})
			caller, became := w.call(post("/x", 0), generous)
			time.Sleep(300 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || len(body) != 300*len(piece) || w.became(became).Outcome != forward.Ended {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		},
		"the first has no time": func(t *testing.T) {
			w := newWorld(t, echo)
			w.servers["b"].takes = false
			caller, became := w.call(post("/x", 4)+"body", generous)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil || resp.StatusCode != 200 || w.became(became).To != "c" {
				t.Errorf("%+v, %v", resp, err)
			}
		},
		"nobody has time": func(t *testing.T) {
			w := newWorld(t, echo)
			w.servers["b"].takes, w.servers["c"].takes = false, false
			caller, became := w.call(post("/x", 8)+"body", generous)
			_, _ = caller.Write([]byte("more"))
			did := w.became(became)
			if did.Outcome != forward.NotTaken || !strings.HasPrefix(string(did.Read), post("/x", 8)+"body") || w.runs() != 0 {
				t.Errorf("%+v, run %d times", did, w.runs())
			}
			if _, became := w.call(post("/x", 0), generous); w.became(became).To != "" {
				t.Error("a router that has no time is asked again at once")
			}
		},
		"nobody is there": func(t *testing.T) {
			w := newWorld(t, echo)
			w.first.SetPeers(nil)
			_, became := w.call(post("/x", 0), generous)
			if did := w.became(became); did.Outcome != forward.NotTaken || did.To != "" {
				t.Errorf("%+v", did)
			}
		},
		"it is lost before it answers": func(t *testing.T) {
			started := make(chan struct{})
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done() })
			_, became := w.call(post("/x", 0), generous)
			<-started
			w.first.EndStreams("b")
			w.first.EndStreams("c")
			if did := w.became(became); did.Outcome != forward.Unknown || w.runs() != 1 {
				t.Errorf("%+v, run %d times", did, w.runs())
			}
		},
		"it is lost amid its answer": func(t *testing.T) {
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) {
				_, _ = fmt.Fprint(out, "event")
				_ = http.NewResponseController(out).Flush()
				<-r.Context().Done()
			})
			caller, became := w.call(post("/x", 0), generous)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			w.first.EndStreamsExcept(map[string]bool{})
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("an answer that was cut off looks whole")
			}
			if did := w.became(became); did.Outcome != forward.Ended {
				t.Errorf("%+v", did)
			}
		},
		"a piece of the answer is lost": func(t *testing.T) {
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) {
				for range 5 {
					_, _ = fmt.Fprint(out, "event")
					_ = http.NewResponseController(out).Flush()
				}
			})
			w.net.drop = func(_ string, msg any) bool {
				m, ok := msg.(*wire.ForwardData)
				return ok && m.Response && m.Seq == 3
			}
			caller, became := w.call(post("/x", 0), generous)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("an answer that lacks a piece looks whole")
			}
			w.became(became)
		},
		"the caller leaves": func(t *testing.T) {
			left := make(chan struct{})
			started := make(chan struct{})
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done(); close(left) })
			caller, became := w.call(post("/x", 0), generous)
			<-started
			_ = caller.Close()
			select {
			case <-left:
			case <-time.After(generous):
				t.Error("the router that works on the request does not hear of it")
			}
			if did := w.became(became); did.Outcome != forward.Ended {
				t.Errorf("%+v", did)
			}
		},
		"the time is up": func(t *testing.T) {
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			_, became := w.call(post("/x", 0), 50*time.Millisecond)
			if did := w.became(became); did.Outcome != forward.Unknown {
				t.Errorf("%+v", did)
			}
		},
		"the router that took the connection is lost": func(t *testing.T) {
			left, started := make(chan struct{}), make(chan struct{})
			w := newWorld(t, func(out http.ResponseWriter, r *http.Request) { close(started); <-r.Context().Done(); close(left) })
			_, became := w.call(post("/x", 0), time.Second)
			<-started
			w.net.at["b"].EndStreams("a")
			w.net.at["c"].EndStreams("a")
			select {
			case <-left:
			case <-time.After(generous):
				t.Error("its request goes on")
			}
			w.became(became)
		},
	}
	for name, test := range tests {
		t.Run(name, test)
	}
}

// TestManyStreams hands on many connections at once, each of which gets its own answer.
func TestManyStreams(t *testing.T) {
	w := newWorld(t, echo)
	const streams = 200
	var all sync.WaitGroup
	for i := range streams {
		body := fmt.Sprint("body ", i)
		caller, _ := w.call(post("/x", len(body))+body, generous)
		all.Add(1)
		go func() {
			defer all.Done()
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
	all.Wait()
	if w.runs() != streams {
		t.Errorf("%d requests were run", w.runs())
	}
}
