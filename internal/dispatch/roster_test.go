package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// recordingTransport records sent messages.
type recordingTransport struct{ sent []any }

func (n *recordingTransport) SetIncarnation(uint64)      {}
func (n *recordingTransport) Send(_ string, msg any)     { n.sent = append(n.sent, msg) }
func (n *recordingTransport) Inbox() <-chan peer.Inbound { return nil }
func (n *recordingTransport) Losses() <-chan peer.Loss   { return nil }
func (n *recordingTransport) takeRosters() (msgs []*wire.Roster) {
	for _, msg := range n.sent {
		if m, ok := msg.(*wire.Roster); ok {
			msgs = append(msgs, m)
		}
	}
	n.sent = nil
	return msgs
}

// emptySource is a platform that publishes nothing.
type emptySource struct{}

func (emptySource) Read(context.Context) (catalog.Update, error) { return catalog.Update{}, nil }
func (emptySource) Revision(context.Context) (catalog.Revision, error) {
	return catalog.Revision{}, nil
}
func (emptySource) Watch(context.Context, catalog.Revision, time.Duration) (catalog.Update, error) {
	return catalog.Update{}, nil
}

// TestRosterChangesAreSentIncrementally checks that a router gets the full roster once, then
// only changes, and the full roster again after a loss.
func TestRosterChangesAreSentIncrementally(t *testing.T) {
	const routers, to = 50, "10.0.0.7:7"
	n := &recordingTransport{}
	s := newState(New(Identity{Name: "a", Address: "10.0.1.1:7", Zone: "x", Incarnation: 1}, emptySource{}, n))
	s.now = time.Hour
	observe := func(inc uint64, number int) {
		s.roster.Observe(s.now, roster.Member{Address: fmt.Sprintf("10.0.0.%d:7", number), Zone: "x", Incarnation: inc})
	}
	send := func() *wire.Roster {
		t.Helper()
		s.updateRosterVersion()
		n.takeRosters()
		s.sendRosterChanges(to, s.link(to))
		switch msgs := n.takeRosters(); len(msgs) {
		case 0:
			return nil
		case 1:
			return msgs[0]
		default:
			t.Fatalf("%d rosters sent to one router", len(msgs))
			return nil
		}
	}
	for i := range routers {
		observe(1, i)
	}
	full := send()
	if full == nil || full.Base != 0 || len(full.Entries) != routers+1 {
		t.Fatalf("first message %+v, want the full roster", full)
	}
	if m := send(); m != nil {
		t.Errorf("%d entries sent without a change", len(m.Entries))
	}
	observe(2, 20)
	change := send()
	if change == nil || change.Base != full.Digest || len(change.Entries) != 1 || change.Entries[0].Incarnation != 2 {
		t.Errorf("message after a change %+v, want only the change", change)
	}
	lossEvent{peer.Loss{Peer: to}}.apply(s)
	if m := send(); m == nil || m.Base != 0 || len(m.Entries) != routers+1 {
		t.Errorf("message after a loss %+v, want the full roster", m)
	}
}

// TestRelaysHearOfNewRouterAtOnce: a router that learns of a large fleet must report to its relays with
// the next tick, since they tell all others of it.
func TestRelaysHearOfNewRouterAtOnce(t *testing.T) {
	n := &recordingTransport{}
	s := newState(New(Identity{Name: "a", Address: "10.0.1.1:7", Zone: "z0", Incarnation: 1}, emptySource{}, n))
	s.now = time.Hour
	tickEvent{}.apply(s)
	m := &wire.Roster{Digest: 1}
	for i := range 600 {
		m.Entries = append(m.Entries, wire.RosterEntry{Address: fmt.Sprintf("10.0.%d.%d:7", 2+i/200, i%200), Zone: fmt.Sprint("z", i%5), Incarnation: 1, Alive: true})
	}
	messageEvent{peer.Inbound{From: m.Entries[0].Address, Name: "b", Zone: "z0", Incarnation: 1, Msg: m}}.apply(s)
	for range 4 {
		s.now += tickInterval
		tickEvent{}.apply(s)
	}
	reports := 0
	for _, msg := range n.sent {
		if _, ok := msg.(*wire.RouterState); ok {
			reports++
		}
	}
	if s.peerPlan.Mesh || reports < len(s.peerPlan.Peers) || reports == 0 {
		t.Errorf("%d reports to the relays %v", reports, s.peerPlan.Peers)
	}
}
