package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// oneServer is a platform with a backend server of one slot.
type oneServer struct{}

func (oneServer) Read(context.Context) (catalog.Update, error) {
	t := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: "reader", Engine: true}}}
	t.Index()
	return catalog.Update{AsOf: 5, Table: t, Servers: []catalog.Server{
		{Revision: 2, Backend: table.Backend{Name: "i-0", Zone: "a", Address: "10.0.0.1:80", Models: []string{"reader"}, Slots: 1, Mark: table.Serving}},
	}}, nil
}

func (oneServer) Watch(ctx context.Context, _ catalog.Revision, _ time.Duration) (catalog.Update, error) {
	<-ctx.Done()
	return catalog.Update{}, ctx.Err()
}

func (oneServer) Revision(context.Context) (catalog.Revision, error) {
	return catalog.Revision{Number: 5}, nil
}

// oneWire hands what a test puts in to the dispatcher.
type oneWire struct{ in chan peer.Inbound }

func (oneWire) Send(string, any)             {}
func (oneWire) SetIncarnation(uint64)        {}
func (w oneWire) Inbox() <-chan peer.Inbound { return w.in }
func (oneWire) Losses() <-chan peer.Loss     { return nil }
func (w oneWire) hear(from string, msg any) {
	w.in <- peer.Inbound{From: from, Name: from, Zone: "b", Incarnation: 1, Msg: msg}
}

// generous bounds waits for things that must happen.
const generous = 15 * time.Second

// startOne starts a dispatcher before a backend server of one slot.
func startOne(t *testing.T, opts ...Option) (*Dispatcher, oneWire) {
	t.Helper()
	net := oneWire{make(chan peer.Inbound)}
	d := New(Identity{Name: "r-0", Address: "r-0", Zone: "a", Incarnation: 1}, oneServer{}, net, append(opts, WithLogger(slog.New(slog.DiscardHandler)))...)
	d.Start()
	t.Cleanup(d.Close)
	for end := time.Now().Add(generous); d.Table() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("there is no table")
		}
	}
	return d, net
}

// TestWaitingRequestIsKnown: thirty tries of a request waited for a place when the first
// backend server ended under another try of it. What waited had no identity, so that it was
// placed like any other when a place was free, one after the other, and as many servers ended
// as found a place; only what came later was refused.
func TestWaitingRequestIsKnown(t *testing.T) {
	const digest = 7
	d, net := startOne(t)
	ask := func(digest uint64) front.Request {
		return front.Request{Model: "reader", Deadline: time.Now().Add(generous), Digest: func() uint64 { return digest }}
	}
	first, err := d.Acquire(t.Context(), ask(1))
	if err != nil {
		t.Fatal(err)
	}
	waited := make(chan error, 1)
	go func() {
		_, err := d.Acquire(t.Context(), ask(digest))
		waited <- err
	}()
	for d.Status().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	var ends []wire.SuspectCrash
	for i := range 3 {
		ends = append(ends, wire.SuspectCrash{Digest: digest, Server: wire.NameHash(100 + i), AgoMillis: int64(1000 * i)})
	}
	net.hear("r-1", &wire.SuspectUpdate{Crashes: ends})
	d.Release(first, front.Usage{Sent: true, Status: 200})
	select {
	case err := <-waited:
		var e *verdict.Error
		if !errors.As(err, &e) || e.Code != "ends-backends" {
			t.Errorf("it ends with %v, want a refusal for the ends of servers", err)
		}
	case <-time.After(generous):
		t.Error("it goes on waiting")
	}
}
