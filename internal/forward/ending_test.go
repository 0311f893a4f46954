package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// sentMessages is a Sender that passes on what is sent.
type sentMessages chan any

func (s sentMessages) Send(_ string, msg any) { s <- msg }

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if caller, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	_ = caller.SetDeadline(time.Now().Add(waitTimeout))
	return caller, accepted
}

// TestReceivedAnswerOutlivesItsConnection guards against answers that arrived whole and yet reach the
// caller cut, since the connection to the router that sent them ended.
func TestReceivedAnswerOutlivesItsConnection(t *testing.T) {
	const rounds, messages = 100, 8
	ends := map[string]func(f *forward.Forwarder){
		"the connection is lost":  func(f *forward.Forwarder) { f.EndStreams("b", forward.ConnectionLost) },
		"the router restarts":     func(f *forward.Forwarder) { f.EndStreamsBefore("b", 2) },
		"the router falls silent": func(f *forward.Forwarder) { f.EndStreamsExcept(map[string]bool{}) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			cut := 0
			for range rounds {
				e := newEntry(t)
				var want bytes.Buffer
				for seq := range uint64(messages) {
					data := fmt.Sprintf("event %d\n", seq)
					want.WriteString(data)
					e.respond(1, seq+1, data, seq == messages-1)
				}
				end(e.Forwarder)
				result := <-e.results
				got, err := io.ReadAll(e.caller)
				if err != nil || !bytes.Equal(got, want.Bytes()) || result.Reason != "" {
					cut++
				}
			}
			if cut > 0 {
				t.Errorf("%d of %d answers were cut", cut, rounds)
			}
		})
	}
}

// acceptingServer serves forwarded connections until they end, and counts those that have ended.
type acceptingServer struct{ ended chan struct{} }

func (acceptingServer) AcceptsForwarded(table.Version) bool { return true }

func (s acceptingServer) ServeForwarded(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	s.ended <- struct{}{}
}

// TestRestartKeepsStreamsOfTheNewProcess guards against ending, as those of a router's former process, the connections that
// its new process has forwarded before it was noticed.
func TestRestartKeepsStreamsOfTheNewProcess(t *testing.T) {
	const former, current = 1, 2
	tests := map[string]struct {
		incarnation uint64
		isEnded     bool
	}{
		"of the former process": {former, true},
		"of the new process":    {current, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := forward.New()
			s := acceptingServer{make(chan struct{}, 1)}
			f.Bind(make(sentMessages, 64), s)
			f.Handle(peer.Inbound{From: "b", Incarnation: tc.incarnation, Conn: 1, Msg: &wire.Forward{Stream: 1, Data: []byte(requestHead)}})
			f.EndStreamsBefore("b", current)
			if !tc.isEnded {
				select {
				case <-s.ended:
					t.Fatal("the connection was ended")
				case <-time.After(50 * time.Millisecond):
				}
				f.Close()
			}
			select {
			case <-s.ended:
			case <-time.After(waitTimeout):
				t.Error("the connection goes on")
			}
		})
	}
}

// entry is a Forwarder with one peer, "b", whose part the test plays, and a connection that it forwards.
type entry struct {
	*forward.Forwarder
	sent    sentMessages
	caller  net.Conn
	results chan forward.Result
	stream  uint64
}

// lossSettles is longer than a response may take to begin after a loss.
const lossSettles = 400 * time.Millisecond

const requestHead = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n"

func newEntry(t *testing.T) *entry {
	t.Helper()
	e := &entry{Forwarder: forward.New(), sent: make(sentMessages, 64), results: make(chan forward.Result, 1)}
	e.Bind(e.sent, nil)
	e.SetPeers([]forward.Peer{{Address: "b", Capacity: 1}})
	caller, accepted := connectedPair(t)
	e.caller = caller
	go func() {
		result := e.Forward(accepted, []byte(requestHead), table.Version{}, time.Now().Add(waitTimeout))
		if result.Outcome != forward.Ended {
			_ = accepted.Close()
		}
		e.results <- result
	}()
	e.stream = (<-e.sent).(*wire.Forward).Stream
	return e
}

// respond delivers a message of the response, which arrives on a connection.
func (e *entry) respond(conn, seq uint64, data string, last bool) {
	e.Handle(peer.Inbound{From: "b", Conn: conn, Msg: &wire.ForwardData{Stream: e.stream, Response: true, Seq: seq, Data: []byte(data), Last: last}})
}

// TestEndOfForwardedStream checks what ends a forwarded connection and what its caller receives.
func TestEndOfForwardedStream(t *testing.T) {
	disconnected := func(conn uint64) peer.Inbound {
		return peer.Inbound{From: "b", Conn: conn, Msg: peer.Disconnected{}}
	}
	tests := map[string]struct {
		play func(e *entry)
		// response is what the caller receives.
		response string
		want     forward.Outcome
		reason   forward.Reason
	}{
		"response after messages to the router were lost": {
			play: func(e *entry) {
				e.EndStreams("b", forward.ConnectionLost)
				e.respond(1, 1, "ev", false)
				e.respond(1, 2, "ent", true)
			},
			response: "event", want: forward.Ended,
		},
		"a pause after messages to the router were lost": {
			play: func(e *entry) {
				e.respond(1, 1, "ev", false)
				e.EndStreams("b", forward.ConnectionLost)
				time.Sleep(2 * lossSettles)
				e.respond(1, 2, "ent", true)
			},
			response: "event", want: forward.Ended,
		},
		"no response after messages to the router were lost": {
			play: func(e *entry) { e.EndStreams("b", forward.ConnectionLost) },
			want: forward.Unknown, reason: forward.ConnectionLost,
		},
		"its connection ends in the middle": {
			play:     func(e *entry) { e.respond(1, 1, "ev", false); e.Handle(disconnected(1)) },
			response: "ev", want: forward.Ended, reason: forward.ConnectionLost,
		},
		"its connection ends after its last message": {
			play:     func(e *entry) { e.respond(1, 1, "event", true); e.Handle(disconnected(1)) },
			response: "event", want: forward.Ended,
		},
		"another connection of the router ends": {
			play: func(e *entry) {
				e.respond(2, 1, "ev", false)
				e.Handle(disconnected(1))
				e.respond(2, 2, "ent", true)
			},
			response: "event", want: forward.Ended,
		},
		"the router ends it without a response": {
			play: func(e *entry) { e.respond(1, 1, "", true) },
			want: forward.Unknown, reason: forward.PeerAborted,
		},
		"the router gives it up": {
			play:     func(e *entry) { e.respond(1, 1, "ev", false); e.respond(1, 0, "", true) },
			response: "ev", want: forward.Ended, reason: forward.PeerAborted,
		},
		"it was never sent": {
			play: func(e *entry) { e.Unsent("b", &wire.Forward{Stream: e.stream}) },
			want: forward.NotTaken, reason: forward.PeerRefused,
		},
		"the router falls silent after its last message": {
			play:     func(e *entry) { e.respond(1, 1, "event", true); e.EndStreamsExcept(nil) },
			response: "event", want: forward.Ended,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t)
			if _, err := e.caller.Write([]byte("body")); err != nil {
				t.Fatal(err)
			}
			<-e.sent
			tc.play(e)
			result := <-e.results
			got, err := io.ReadAll(e.caller)
			if err != nil || string(got) != tc.response {
				t.Errorf("the caller received %q, %v; want %q", got, err, tc.response)
			}
			if result.Outcome != tc.want || result.Reason != tc.reason {
				t.Errorf("%v, %q; want %v, %q", result.Outcome, result.Reason, tc.want, tc.reason)
			}
			if tc.want != forward.Ended && string(result.Read) != requestHead+"body" {
				t.Errorf("%q was read from the caller", result.Read)
			}
		})
	}
}

// TestDrainSendsWholeAnswers guards against answers to another router's caller that lack their end, since the
// router that served them stops as soon as its handlers have returned.
func TestDrainSendsWholeAnswers(t *testing.T) {
	const rounds, body = 50, "event 1\nevent 2\nevent 3\n"
	for range rounds {
		handled := make(chan struct{})
		srv := &server{conns: make(chan net.Conn), accepts: true}
		srv.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(handled)
			w.Header().Set("Connection", "close")
			for line := range strings.Lines(body) {
				_, _ = io.WriteString(w, line)
				_ = http.NewResponseController(w).Flush()
			}
		}), ReadHeaderTimeout: waitTimeout}
		go func() { _ = srv.http.Serve(srv) }()
		sent := make(sentMessages, 64)
		f := forward.New(forward.WithBatchDelay(func() time.Duration { return time.Millisecond }))
		f.Bind(sent, srv)
		f.Handle(peer.Inbound{From: "a", Msg: &wire.Forward{Stream: 1, Data: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}})
		<-handled
		if err := srv.http.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.Drain(t.Context())
		f.Close()
		close(sent)
		var got bytes.Buffer
		last := false
		for msg := range sent {
			m := msg.(*wire.ForwardData)
			got.Write(m.Data)
			last = m.Last
		}
		resp, err := http.ReadResponse(bufio.NewReader(&got), nil)
		if err != nil {
			t.Fatal(err)
		}
		if read, err := io.ReadAll(resp.Body); err != nil || string(read) != body || !last {
			t.Fatalf("%q, %v, sent to its end: %v", read, err, last)
		}
	}
}
