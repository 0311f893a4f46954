package peer_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// generous bounds waits for things that must happen; none proves anything by
// passing.
const generous = 10 * time.Second

func start(t *testing.T, name string) (*peer.Transport, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return peer.New(name, "z", 1, ln, peer.WithLogger(slog.New(slog.DiscardHandler))), ln.Addr().String()
}

func receive(t *testing.T, n *peer.Transport) peer.Inbound {
	t.Helper()
	select {
	case in := <-n.Inbox():
		return in
	case <-time.After(generous):
		t.Fatal("no message came")
		return peer.Inbound{}
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, _ := start(t, "a")
	b, address := start(t, "b")
	a.SetAddresses(map[string]string{"b": address})
	for i := range uint64(100) {
		a.Send("b", &wire.TableRequest{Have: i})
	}
	for i := range uint64(100) {
		in := receive(t, b)
		if ask, ok := in.Msg.(*wire.TableRequest); !ok || ask.Have != i || in.From != "a" {
			t.Fatalf("message %d is %+v", i, in)
		}
	}
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
}

func TestDeadPeerIsReportedWithoutASend(t *testing.T) {
	a, _ := start(t, "a")
	defer func() { _ = a.Close() }()
	b, address := start(t, "b")
	a.SetAddresses(map[string]string{"b": address})
	a.Send("b", &wire.TableRequest{})
	receive(t, b)
	_ = b.Close()
	select {
	case l := <-a.Losses():
		if l.Peer != "b" || !l.Refused {
			t.Errorf("loss %+v", l)
		}
	case <-time.After(generous):
		t.Error("the end of the peer was not noticed")
	}
}

func TestOversizedFrameIsRefused(t *testing.T) {
	if _, err := peer.ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff})); err == nil {
		t.Error("a frame of 4 GiB was taken")
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2})
	f.Add([]byte{0, 0x10, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := peer.ReadFrame(bytes.NewReader(data))
		if err == nil && !bytes.Equal(payload, data[4:4+len(payload)]) {
			t.Error("the payload is not what was sent")
		}
	})
}

// darkDialer dials a peer that has no power at first: the first tries have no
// answer, as when their opening packets are lost.
type darkDialer struct {
	dark  atomic.Int64
	tries atomic.Int64
}

func (d *darkDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.tries.Add(1)
	if d.dark.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// TestLostOpeningPacketDelaysLittle dials a peer whose first opening packets are
// lost: another connection is tried while the first one still has no answer.
func TestLostOpeningPacketDelaysLittle(t *testing.T) {
	d := &darkDialer{}
	d.dark.Store(2)
	b, address := start(t, "b")
	t.Cleanup(func() { _ = b.Close() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := peer.New("a", "x", 1, ln, peer.WithDialer(d))
	t.Cleanup(func() { _ = a.Close() })
	a.SetAddresses(map[string]string{"b": address})
	a.Send("b", &wire.PlatformUpdateRequest{After: 7})
	if got, ok := receive(t, b).Msg.(*wire.PlatformUpdateRequest); !ok || got.After != 7 {
		t.Errorf("got %+v", got)
	}
	if n := d.tries.Load(); n < 3 {
		t.Errorf("%d tries, want 3 at least", n)
	}
}

// TestHeardPeerIsDialledAtOnce: a router started again, and what all others told it when they
// heard it was lost, since a dial to it had failed a moment before: for a second and longer it
// did not know under which request backend servers had ended, and sent that to two more. Its own
// log had request_at_end with ends=1 while all others had ends=4.
func TestHeardPeerIsDialledAtOnce(t *testing.T) {
	a, addressA := start(t, "a")
	defer func() { _ = a.Close() }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	a.SetAddresses(map[string]string{"b": address})
	a.Send("b", &wire.TableRequest{Have: 1})
	select {
	case <-a.Losses():
	case <-time.After(generous):
		t.Fatal("the failed dial is not told")
	}
	if ln, err = net.Listen("tcp", address); err != nil {
		t.Fatalf("its port was taken meanwhile: %v", err)
	}
	b := peer.New("b", "z", 2, ln, peer.WithLogger(slog.New(slog.DiscardHandler)))
	defer func() { _ = b.Close() }()
	b.SetAddresses(map[string]string{"a": addressA})
	b.Send("a", &wire.TableRequest{Have: 2})
	receive(t, a)
	a.Send("b", &wire.TableRequest{Have: 3})
	in := receive(t, b)
	if ask, ok := in.Msg.(*wire.TableRequest); !ok || ask.Have != 3 {
		t.Errorf("it hears %+v", in)
	}
}
