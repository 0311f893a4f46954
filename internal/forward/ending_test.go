package forward_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
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
		"the router restarts":     func(f *forward.Forwarder) { f.EndStreams("b", forward.PeerRestarted) },
		"the router falls silent": func(f *forward.Forwarder) { f.EndStreamsExcept(map[string]bool{}) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			cut := 0
			for range rounds {
				sent := make(sentMessages, 64)
				f := forward.New()
				f.Bind(sent, nil)
				f.SetPeers([]forward.Peer{{Address: "b", Capacity: 1}})
				caller, accepted := connectedPair(t)
				results := make(chan forward.Result, 1)
				go func() {
					results <- f.Forward(accepted, []byte("GET / HTTP/1.1\r\n\r\n"), table.Version{}, time.Now().Add(waitTimeout))
				}()
				stream := (<-sent).(*wire.Forward).Stream
				var want bytes.Buffer
				for seq := range uint64(messages) {
					data := fmt.Appendf(nil, "event %d\n", seq)
					want.Write(data)
					f.Handle(peer.Inbound{From: "b", Msg: &wire.ForwardData{Stream: stream, Response: true, Seq: seq + 1, Data: data, Last: seq == messages-1}})
				}
				end(f)
				result := <-results
				if result.Outcome != forward.Ended {
					_ = accepted.Close()
				}
				got, err := io.ReadAll(caller)
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
