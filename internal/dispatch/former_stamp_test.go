package dispatch

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestStampOfFormerProcessVerifiesNothing guards against a verification at a wrong time, or to come, since another router echoes
// the stamp of a former process of this one, whose clock had run for another time.
func TestStampOfFormerProcessVerifiesNothing(t *testing.T) {
	f := newOneVersionFleet(3, 3)
	r, other := f.inZone(0, 0), f.inZone(1, 0)
	toFormer := other.stateMessage(r.address)
	r.kill()
	r.start()
	f.run(f.now+time.Second, func() {})
	asOf, sound := r.catalog.AsOf(), other.stateMessage(r.address)
	for name, m := range map[string]*wire.RouterState{
		"of the former process": toFormer,
		"to come":               {Stamp: toFormer.Stamp, Echo: r.stamp() + 3_600_000, EchoAgeMillis: 5},
		"before the start":      {Stamp: toFormer.Stamp, Echo: r.stamp() - 2000, EchoAgeMillis: 3000},
		"of a longer clock":     {Stamp: toFormer.Stamp, Echo: wire.StampOf(f.now + time.Hour), EchoAgeMillis: 5},
	} {
		t.Run(name, func(t *testing.T) {
			m.Epoch, m.AsOf, m.VerifiedAgeMillis = asOf.Epoch, asOf.Number, 0
			r.d.shared.lastVerified.Store(1)
			r.apply(messageEvent{peer.Inbound{From: other.address, Name: other.d.id.Name, Zone: other.d.id.Zone, Incarnation: other.incarnation, Msg: m}})
			if at := r.lastVerified(); at != 1 {
				t.Errorf("verified %v ago", f.now-at)
			}
		})
	}
	sound.VerifiedAgeMillis = 0
	r.apply(messageEvent{peer.Inbound{From: other.address, Name: other.d.id.Name, Zone: other.d.id.Zone, Incarnation: other.incarnation, Msg: sound}})
	if age := f.now - r.lastVerified(); age < 0 || age > time.Second {
		t.Errorf("verified %v ago by the stamp of this process", age)
	}
}
