package dispatch

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
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
	request := func(after uint64) *wire.PlatformUpdate {
		n.sent = nil
		messageEvent{peer.Inbound{From: "10.0.1.2:7", Name: "b", Zone: "x", Incarnation: 1, Msg: &wire.PlatformUpdateRequest{After: after}}}.apply(s)
		for _, msg := range n.sent {
			if m, ok := msg.(*wire.PlatformUpdate); ok {
				return m
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
	if later == first || later.AsOf != 6 || len(later.Zones) != 1 {
		t.Errorf("update after a change: %+v", later)
	}
	if m := request(5); m == later || m.After != 5 {
		t.Errorf("full update for a router that lacks one change: %+v", m)
	}
	s.now += fullUpdateTTL
	if m := request(0); m == later {
		t.Error("expired update was reused")
	}
}
