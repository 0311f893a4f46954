package dispatch

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// restoreWithout restores the store from a backup that lacks a backend server.
func (f *emulator) restoreWithout(name string) {
	f.store.epoch++
	delete(f.store.servers, name)
	f.store.changes, f.store.changedAt = nil, nil
	f.store.forgotten = f.store.revision
}

// TestRestoredPlatformLacksVersions: a version that was listed while a router was cut off, and that the backup of a restored
// platform lacks, must not be overlooked by that router, which reads the platform before it hears of others again.
func TestRestoredPlatformLacksVersions(t *testing.T) {
	f := newOneVersionFleet(9, 3)
	r := f.inZone(0, 0)
	isOut := func(x *emulatedRouter) bool { return x.index%f.zones == 0 }
	f.isStoreCut = isOut
	f.isLinkCut = func(a, b *emulatedRouter) bool { return isOut(a) != isOut(b) }
	b := f.store.servers[f.store.names()[0]].Backend
	b.Name, b.Version, b.Mark = addedServer, otherVersion, table.Serving
	f.store.put(f.now, b)
	f.run(f.now+500*time.Millisecond, func() {})
	f.restoreWithout(addedServer)
	f.isStoreCut = nil
	f.runUntil(settled, func() bool { return r.d.asOf().Epoch == f.store.epoch })
	result := r.takeUp("moka", "id-1")
	f.run(f.now+time.Second, func() {})
	if got := outcomeOf(result); got != errOriginUnknown.Code {
		t.Errorf("the stream goes on at %q", got)
	}
}

// TestStreamsGoOnAfterRestore: streams that nobody remembers must go on after the platform was restored, where all routers
// reply that there was one version only.
func TestStreamsGoOnAfterRestore(t *testing.T) {
	f := newOneVersionFleet(9, 3)
	r := f.inZone(0, 0)
	f.store.epoch++
	f.runUntil(settled, func() bool { return r.d.asOf().Epoch == f.store.epoch })
	result := r.takeUp("moka", "id-1")
	f.run(f.now+time.Second, func() {})
	if got := outcomeOf(result); got != beganAt {
		t.Errorf("the stream is refused or goes on at %q", got)
	}
}
