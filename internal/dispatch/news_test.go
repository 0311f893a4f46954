package dispatch

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestAllIsCollectedOnce has many routers that know nothing ask for all at once, as they
// do at a start of the fleet: they are told the same message, until something is
// published or some time has passed.
func TestAllIsCollectedOnce(t *testing.T) {
	n := &sentNet{}
	s := newState(New(Identity{Name: "a", Address: "10.0.1.1:7", Zone: "x", Incarnation: 1}, noSource{}, n))
	s.now = time.Hour
	publish := func(asOf uint64, news catalog.Update) {
		news.AsOf = asOf
		heard{Update: news}.apply(s)
	}
	ask := func(after uint64) *wire.PlatformUpdate {
		n.sent = nil
		inbound{peer.Inbound{From: "10.0.1.2:7", Name: "b", Zone: "x", Incarnation: 1, Msg: &wire.PlatformUpdateRequest{After: after}}}.apply(s)
		for _, msg := range n.sent {
			if m, ok := msg.(*wire.PlatformUpdate); ok {
				return m
			}
		}
		t.Fatal("no news")
		return nil
	}
	publish(5, catalog.Update{Table: &table.Table{Revision: 1}})
	first := ask(0)
	if second := ask(0); second != first {
		t.Error("collected anew for the next one")
	}
	if m := ask(4); m != first {
		t.Errorf("who may know of what went before this one knew anything is told a part: %+v", m)
	}
	publish(6, catalog.Update{After: 5, Zones: []catalog.Zone{{Revision: 6, Name: "y", Closed: true}}})
	later := ask(0)
	if later == first || later.AsOf != 6 || len(later.Zones) != 1 {
		t.Errorf("after a change it tells %+v", later)
	}
	if m := ask(5); m == later || m.After != 5 {
		t.Errorf("who lacks the last change is told all: %+v", m)
	}
	s.now += allNewsFor
	if m := ask(0); m == later {
		t.Error("told as it was long ago")
	}
}
