package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// heldSource is a platform whose first read waits.
type heldSource struct{ open chan struct{} }

func (h *heldSource) Read(ctx context.Context) (catalog.News, error) {
	select {
	case <-h.open:
		return catalog.News{AsOf: 7, Table: &table.Table{Revision: 3}}, nil
	case <-ctx.Done():
		return catalog.News{}, ctx.Err()
	}
}

func (h *heldSource) Watch(ctx context.Context, _ uint64, _ time.Duration) (catalog.News, error) {
	<-ctx.Done()
	return catalog.News{}, ctx.Err()
}

func (h *heldSource) Revision(context.Context) (uint64, error) { return 7, nil }

// recordedNet remembers what was sent.
type recordedNet struct {
	in   chan peer.Inbound
	lost chan peer.Lost
	mu   sync.Mutex
	sent []any
}

func (n *recordedNet) Send(_ string, msg any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = append(n.sent, msg)
}
func (n *recordedNet) Inbox() <-chan peer.Inbound { return n.in }
func (n *recordedNet) Losses() <-chan peer.Lost   { return n.lost }

// until waits until a message of a kind was sent.
func (n *recordedNet) until(t *testing.T, is func(msg any) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n.mu.Lock()
		for _, msg := range n.sent {
			if is(msg) {
				n.mu.Unlock()
				return
			}
		}
		n.mu.Unlock()
	}
	t.Fatal("the message is never sent")
}

// TestStartTellsNobodyEverything looks that a router which has just read the
// whole platform does not send it to all others: in a fleet that starts
// together each would get it from each. Those that are behind ask.
func TestStartTellsNobodyEverything(t *testing.T) {
	source := &heldSource{open: make(chan struct{})}
	n := &recordedNet{in: make(chan peer.Inbound, 1), lost: make(chan peer.Lost)}
	d := New(Identity{Name: "a-0", Address: "10.0.0.1:1", Zone: "a", Inc: 1}, source, n, WithLogger(slog.New(slog.DiscardHandler)))
	d.Start()
	defer d.Close()
	n.in <- peer.Inbound{From: "10.0.0.2:1", Name: "a-1", Zone: "a", Inc: 1, Msg: &wire.State{AsOf: 0, Age: -1}}
	n.until(t, func(msg any) bool { _, ok := msg.(*wire.Roster); return ok })
	close(source.open)
	n.until(t, func(msg any) bool { s, ok := msg.(*wire.State); return ok && s.AsOf == 7 })
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, msg := range n.sent {
		if news, ok := msg.(*wire.News); ok {
			t.Errorf("news after %d were sent unasked", news.After)
		}
	}
}
