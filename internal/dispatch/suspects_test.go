package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// singleServerSource is a platform with one backend server of one slot.
type singleServerSource struct{}

func (singleServerSource) Read(context.Context) (catalog.Update, error) {
	t := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: "reader", Engine: true}}}
	t.Index()
	return catalog.Update{AsOf: 5, Table: t, Servers: []catalog.Server{
		{Revision: 2, Backend: table.Backend{Name: "i-0", Zone: "a", Address: "10.0.0.1:80", Models: []string{"reader"}, Slots: 1, Mark: table.Serving}},
	}}, nil
}

func (singleServerSource) Watch(ctx context.Context, _ catalog.Revision, _ time.Duration) (catalog.Update, error) {
	<-ctx.Done()
	return catalog.Update{}, ctx.Err()
}

func (singleServerSource) Revision(context.Context) (catalog.Revision, error) {
	return catalog.Revision{Number: 5}, nil
}

// testTransport delivers the messages of a test to the dispatcher.
type testTransport struct{ in chan peer.Inbound }

func (testTransport) Send(string, any)             {}
func (testTransport) SetIncarnation(uint64)        {}
func (w testTransport) Inbox() <-chan peer.Inbound { return w.in }
func (testTransport) Losses() <-chan peer.Loss     { return nil }
func (w testTransport) receive(from string, msg any) {
	w.in <- peer.Inbound{From: from, Name: from, Zone: "b", Incarnation: 1, Msg: msg}
}

// testTimeout bounds waits for events that must happen.
const testTimeout = 15 * time.Second

// startDispatcher starts a dispatcher with one backend server of one slot.
func startDispatcher(t *testing.T, opts ...Option) (*Dispatcher, testTransport) {
	t.Helper()
	net := testTransport{make(chan peer.Inbound)}
	d := New(Identity{Name: "r-0", Address: "r-0", Zone: "a", Incarnation: 1}, singleServerSource{}, net, append(opts, WithLogger(slog.New(slog.DiscardHandler)))...)
	d.Start()
	t.Cleanup(d.Close)
	waitFor(t, "a table", func() bool { return d.Table() != nil })
	return d, net
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not before the timeout: %s", what)
		}
	}
}

// TestWaitingRequestIsBlockedAfterCrashes guards against starting a waiting request after
// backend servers crashed under other attempts of it, or under others with a part of its prompt.
func TestWaitingRequestIsBlockedAfterCrashes(t *testing.T) {
	const digest, part = 7, 8
	var crashes []wire.SuspectCrash
	for i := range 3 {
		crashes = append(crashes, wire.SuspectCrash{Digest: digest, Server: wire.NameHash(100 + i), AgoMillis: int64(1000 * i)})
	}
	partCrashes := slices.Clone(crashes)
	for i := range partCrashes {
		partCrashes[i].Digest = part
	}
	tests := map[string]struct {
		msg  any
		code string
	}{
		"of the request":        {&wire.SuspectUpdate{Crashes: crashes}, "ends-backends"},
		"of a part of a prompt": {&wire.PartCrashes{Crashes: partCrashes}, "part-ends-backends"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, net := startDispatcher(t)
			request := func(digest uint64, parts ...front.Part) front.Request {
				return front.Request{Model: "reader", Deadline: time.Now().Add(testTimeout), Digest: func() uint64 { return digest }, Parts: parts}
			}
			first, err := d.Acquire(t.Context(), request(1))
			if err != nil {
				t.Fatal(err)
			}
			blocked := make(chan error, 1)
			go func() {
				_, err := d.Acquire(t.Context(), request(digest, front.Part{ID: "x", Digest: part}))
				blocked <- err
			}()
			for d.Status().Waiting == 0 {
				time.Sleep(time.Millisecond)
			}
			net.receive("r-1", tc.msg)
			d.Release(first, front.Usage{Sent: true, Status: 200})
			select {
			case err := <-blocked:
				var e *verdict.Error
				if !errors.As(err, &e) || e.Code != tc.code {
					t.Errorf("Acquire returned %v, want code %s", err, tc.code)
				}
			case <-time.After(testTimeout):
				t.Error("the request still waits")
			}
		})
	}
}
