package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestFullUpdateIsCached guards against building a full update for each of many routers that
// start together. The same message is reused until something is published or it expires.
func TestFullUpdateIsCached(t *testing.T) {
	n := &recordingTransport{}
	s := newState(New(Identity{Name: "a", Address: "10.0.1.1:7", Zone: "x", Incarnation: 1}, emptySource{}, n))
	s.now = time.Hour
	publish := func(asOf uint64, update catalog.Update) {
		update.AsOf = asOf
		updateEvent{Update: update}.apply(s)
	}
	request := func(after uint64) any {
		n.sent = nil
		messageEvent{peer.Inbound{From: "10.0.1.2:7", Name: "b", Zone: "x", Incarnation: 1, Msg: &wire.PlatformUpdateRequest{After: after}}}.apply(s)
		for _, msg := range n.sent {
			switch msg.(type) {
			case *wire.PlatformUpdate, *wire.Encoded:
				return msg
			}
		}
		t.Fatal("no update sent")
		return nil
	}
	publish(5, catalog.Update{Table: &table.Table{Revision: 1}})
	first := request(0)
	if second := request(0); second != first {
		t.Error("the full update was built again")
	}
	if m := request(4); m != first {
		t.Errorf("partial update from before this router's first revision: %+v", m)
	}
	publish(6, catalog.Update{After: 5, Zones: []catalog.Zone{{Revision: 6, Name: "y", Closed: true}}})
	later := request(0)
	if m := updateIn(t, later); later == first || m.AsOf != 6 || len(m.Zones) != 1 {
		t.Errorf("update after a change: %+v", m)
	}
	if m := request(5); m == later || updateIn(t, m).After != 5 {
		t.Errorf("full update for a router that lacks one change: %+v", m)
	}
	s.now += fullUpdateTTL
	if m := request(0); m == later {
		t.Error("expired update was reused")
	}
}

// updateIn returns the update in a message.
func updateIn(t *testing.T, msg any) catalog.Update {
	t.Helper()
	if m, ok := msg.(*wire.Encoded); ok {
		decoded, err := m.Decode()
		if err != nil {
			t.Fatal(err)
		}
		msg = decoded
	}
	return msg.(*wire.PlatformUpdate).Update
}

// fullUpdatesAtStart starts a fleet and returns the number of full updates sent, the most that one
// router sent, and how many went to another zone.
func fullUpdatesAtStart(t *testing.T, routers int) (sent, most, across int) {
	t.Helper()
	f := newEmulator(routers, 5, 5*time.Second)
	byRouter := map[string]int{}
	f.onSend = func(from *emulatedRouter, to string, msg any) {
		if kindName(msg) == fullUpdateKind {
			byRouter[from.address]++
			if f.zone(f.routers[to].index) != f.zone(from.index) {
				across++
			}
		}
	}
	f.startAll()
	if took := f.runUntil(settled, f.allKnowAll); took >= settled {
		t.Fatalf("%d routers have not found each other after %v", routers, took)
	}
	for _, n := range byRouter {
		sent += n
		most = max(most, n)
	}
	return sent, most, across
}

// TestFullUpdatesSpreadAsTree: when a fleet starts, how often a router sends everything, and how often
// that goes to another zone, must not grow with the fleet.
func TestFullUpdatesSpreadAsTree(t *testing.T) {
	for _, routers := range []int{60, 120} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			sent, most, across := fullUpdatesAtStart(t, routers)
			t.Logf("%d sent, at most %d by one router, %d to another zone", sent, most, across)
			if most > 20 {
				t.Errorf("one router sent %d full updates", most)
			}
			if across > 20 {
				t.Errorf("%d full updates went to another zone", across)
			}
			if sent > 3*routers/2 {
				t.Errorf("%d full updates were sent to %d routers", sent, routers)
			}
		})
	}
}

// TestProbesOfSeedsAreCheap: all routers probe the seeds from time to time. What a seed replies to a
// router that it knows must not grow with the fleet.
func TestProbesOfSeedsAreCheap(t *testing.T) {
	perReply := func(routers int) int {
		f := newEmulator(routers, 5, 5*time.Second)
		f.startAll()
		f.runUntil(settled, f.allKnowAll)
		f.run(f.now+2*time.Second, func() {})
		f.resetCosts()
		f.run(f.now+roster.SeedProbeInterval+time.Second, func() {})
		messages, bytes := 0, 0
		for key, c := range f.costs {
			if key.kind == "Roster" {
				messages += c.messages
				bytes += c.bytes
			}
		}
		if messages < routers {
			t.Fatalf("%d rosters and requests of them were sent by %d routers", messages, routers)
		}
		return bytes / messages
	}
	if small, large := perReply(30), perReply(90); large > 2*small {
		t.Errorf("a message takes %d bytes with 90 routers, %d with 30", large, small)
	}
}
