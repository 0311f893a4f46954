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

// testTimeout bounds waits for events that must happen.
const testTimeout = 10 * time.Second

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
	case <-time.After(testTimeout):
		t.Fatal("no message received")
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
		if req, ok := in.Msg.(*wire.TableRequest); !ok || req.Have != i || in.From != "a" {
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

// TestStoppedPeerIsReportedWithoutSend guards against detecting a stopped peer only when the next
// message is sent.
func TestStoppedPeerIsReportedWithoutSend(t *testing.T) {
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
	case <-time.After(testTimeout):
		t.Error("the stopped peer was not reported")
	}
}

// TestConnectionEndsAfterItsMessages guards against treating a connection as ended while messages that
// arrived on it are still to be handled.
func TestConnectionEndsAfterItsMessages(t *testing.T) {
	defer goleak.VerifyNone(t)
	const messages = 1000
	received := make(chan peer.Inbound, messages+1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := peer.New("b", "z", 1, ln, peer.WithLogger(slog.New(slog.DiscardHandler)), peer.WithInterceptor(func(in peer.Inbound) bool {
		received <- in
		return true
	}))
	a, _ := start(t, "a")
	a.SetAddresses(map[string]string{"b": ln.Addr().String()})
	for i := range uint64(messages) {
		a.Send("b", &wire.TableRequest{Have: i})
	}
	a.Flush(t.Context())
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	var conn uint64
	for i := range uint64(messages) {
		in := <-received
		if req, ok := in.Msg.(*wire.TableRequest); !ok || req.Have != i || in.Conn == 0 {
			t.Fatalf("message %d is %+v", i, in)
		}
		conn = in.Conn
	}
	if in := <-received; in.Msg != (peer.Disconnected{}) || in.Conn != conn || in.From != "a" {
		t.Errorf("the last message is %+v, want the end of connection %d", in, conn)
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
}

// TestUnsentMessagesAreReported guards against counting a message as possibly delivered that has not left the
// router, since nothing listens at its peer.
func TestUnsentMessagesAreReported(t *testing.T) {
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := gone.Addr().String()
	_ = gone.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unsent := make(chan uint64, 1)
	a := peer.New("a", "z", 1, ln, peer.WithLogger(slog.New(slog.DiscardHandler)), peer.WithUnsent(func(to string, msg any) {
		if m, ok := msg.(*wire.TableRequest); ok && to == "b" {
			unsent <- m.Have
		}
	}))
	defer func() { _ = a.Close() }()
	a.SetAddresses(map[string]string{"b": address})
	a.Send("b", &wire.TableRequest{Have: 7})
	select {
	case have := <-unsent:
		if have != 7 {
			t.Errorf("message %d was reported, want 7", have)
		}
	case <-time.After(testTimeout):
		t.Error("the message was not reported")
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	if _, err := peer.ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff})); err == nil {
		t.Error("a frame of 4 GiB was accepted")
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2})
	f.Add([]byte{0, 0x10, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := peer.ReadFrame(bytes.NewReader(data))
		if err == nil && !bytes.Equal(payload, data[4:4+len(payload)]) {
			t.Error("the payload differs from the sent bytes")
		}
	})
}

// stallingDialer gets no answer to its first dials, as when SYN packets are lost.
type stallingDialer struct {
	stalls   atomic.Int64
	attempts atomic.Int64
}

func (d *stallingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.attempts.Add(1)
	if d.stalls.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// TestStalledDialIsRetried guards against waiting for the kernel to retransmit a lost SYN: the
// Transport must start another attempt meanwhile.
func TestStalledDialIsRetried(t *testing.T) {
	d := &stallingDialer{}
	d.stalls.Store(2)
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
	if n := d.attempts.Load(); n < 3 {
		t.Errorf("%d attempts, want at least 3", n)
	}
}

// TestConnectedPeerIsDialedAtOnce guards against losing messages to a router that has just
// restarted: once it has connected, the pause after a failed dial must not apply.
func TestConnectedPeerIsDialedAtOnce(t *testing.T) {
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
	case <-time.After(testTimeout):
		t.Fatal("the failed dial was not reported")
	}
	if ln, err = net.Listen("tcp", address); err != nil {
		t.Fatalf("the port of b is in use: %v", err)
	}
	b := peer.New("b", "z", 2, ln, peer.WithLogger(slog.New(slog.DiscardHandler)))
	defer func() { _ = b.Close() }()
	b.SetAddresses(map[string]string{"a": addressA})
	b.Send("a", &wire.TableRequest{Have: 2})
	receive(t, a)
	a.Send("b", &wire.TableRequest{Have: 3})
	in := receive(t, b)
	if req, ok := in.Msg.(*wire.TableRequest); !ok || req.Have != 3 {
		t.Errorf("b received %+v", in)
	}
}
