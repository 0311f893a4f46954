package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestGapIsSeenBeforeReplies: a version that came and went while a router stood still must not be overlooked when the last reply
// of other routers comes between the verification and the next tick.
func TestGapIsSeenBeforeReplies(t *testing.T) {
	f := newOneVersionFleet(3, 3)
	r := f.inZone(0, 0)
	f.standsStill = func(x *emulatedRouter) bool { return x == r }
	b := f.store.servers[f.store.names()[0]].Backend
	b.Name, b.Version, b.Mark = addedServer, otherVersion, table.Serving
	f.store.put(f.now, b)
	f.run(f.now+time.Second, func() {})
	f.store.remove(f.now, addedServer)
	f.run(f.now+2*time.Second, func() {})
	f.standsStill = nil

	result := r.takeUp("moka", "id-1")
	asOf := r.catalog.AsOf()
	r.apply(updateEvent{Update: f.store.since(asOf.Number), readAt: f.now})
	for seq, q := range r.origins.queries {
		for _, from := range slices.Sorted(maps.Keys(q.waiting)) {
			x := f.routers[from]
			reply := &wire.OriginReply{Seq: seq}
			r.apply(messageEvent{peer.Inbound{From: from, Name: x.d.id.Name, Zone: x.d.id.Zone, Incarnation: x.incarnation, Msg: reply}})
		}
	}
	if got := outcomeOf(result); got == beganAt {
		t.Errorf("the stream goes on at %q", got)
	}
}
