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

// sentNet keeps what is sent.
type sentNet struct{ sent []any }

func (n *sentNet) SetIncarnation(uint64)      {}
func (n *sentNet) Send(_ string, msg any)     { n.sent = append(n.sent, msg) }
func (n *sentNet) Inbox() <-chan peer.Inbound { return nil }
func (n *sentNet) Losses() <-chan peer.Loss   { return nil }
func (n *sentNet) take() (msgs []*wire.Roster) {
	for _, msg := range n.sent {
		if m, ok := msg.(*wire.Roster); ok {
			msgs = append(msgs, m)
		}
	}
	n.sent = nil
	return msgs
}

// noSource is a platform that is never read.
type noSource struct{}

func (noSource) Read(context.Context) (catalog.Update, error)       { return catalog.Update{}, nil }
func (noSource) Revision(context.Context) (catalog.Revision, error) { return catalog.Revision{}, nil }
func (noSource) Watch(context.Context, catalog.Revision, time.Duration) (catalog.Update, error) {
	return catalog.Update{}, nil
}

// TestRosterIsToldOnceAndThenItsChanges has one of 50 routers start anew, and
// looks what a router is told that has been told all before, and what once its
// connection was lost.
func TestRosterIsToldOnceAndThenItsChanges(t *testing.T) {
	const routers, to = 50, "10.0.0.7:7"
	n := &sentNet{}
	s := newState(New(Identity{Name: "a", Address: "10.0.1.1:7", Zone: "x", Incarnation: 1}, noSource{}, n))
	s.now = time.Hour
	heard := func(inc uint64, number int) {
		s.roster.Observe(s.now, roster.Member{Address: fmt.Sprintf("10.0.0.%d:7", number), Zone: "x", Inc: inc})
	}
	tell := func() *wire.Roster {
		t.Helper()
		s.noteRoster()
		n.take()
		s.tellRosterChanges(to, s.link(to))
		switch msgs := n.take(); len(msgs) {
		case 0:
			return nil
		case 1:
			return msgs[0]
		default:
			t.Fatalf("%d rosters for one router", len(msgs))
			return nil
		}
	}
	for i := range routers {
		heard(1, i)
	}
	whole := tell()
	if whole == nil || whole.Base != 0 || len(whole.Entries) != routers+1 {
		t.Fatalf("at first it is told %+v", whole)
	}
	if m := tell(); m != nil {
		t.Errorf("without a change it is told %d entries", len(m.Entries))
	}
	heard(2, 20)
	change := tell()
	if change == nil || change.Base != whole.Digest || len(change.Entries) != 1 || change.Entries[0].Incarnation != 2 {
		t.Errorf("after a change it is told %+v", change)
	}
	lost{peer.Loss{Peer: to}}.apply(s)
	if m := tell(); m == nil || m.Base != 0 || len(m.Entries) != routers+1 {
		t.Errorf("after a loss it is told %+v", m)
	}
}
