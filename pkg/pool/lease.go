package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// find returns the lease that the use refers to, or nil.
func (o *Owner) find(epoch uint64, u wire.LeaseUse) *lease {
	id := u.ID
	if epoch != o.epoch {
		id = adoptedID(epoch, u.ID)
	}
	return o.leases[id]
}

// adoptedBit separates the IDs of adopted leases from the owner's own.
const adoptedBit = 1 << 63

// adoptedID returns the ID of a lease that a former owner granted. Epochs are
// times in nanoseconds; the multiplication spreads them so that the IDs of two
// former owners do not collide.
func adoptedID(epoch, id uint64) uint64 {
	const spread = 0x9E3779B97F4A7C15
	return adoptedBit | (epoch*spread ^ id)
}

// adopt adds a lease that a former owner granted.
func (o *Owner) adopt(holder string, epoch uint64, u wire.LeaseUse) *lease {
	s, ok := o.servers[u.Backend]
	if !ok {
		return nil
	}
	id := adoptedID(epoch, u.ID)
	l := &lease{id: id, grantedID: u.ID, epoch: epoch, server: s, backend: s.Name, holder: holder, account: u.Account, lastReport: o.now}
	o.leases[l.id] = l
	s.used++
	s.peak = max(s.peak, s.used)
	if l.account != "" {
		o.account(l.account).running++
	}
	return l
}

// reclaimSilent abandons leases that no report has mentioned for the reclaim
// timeout.
func (o *Owner) reclaimSilent() {
	for _, l := range o.leases {
		silence := o.opt.reclaimTimeout
		if l.server.ReportsLoad {
			silence = o.opt.shortReclaimTimeout
		}
		if o.now-l.lastReport >= silence && o.now >= l.expires {
			o.abandon(l)
		}
	}
}

// HandOver returns all granted leases for the next owner, one report per
// granting epoch. Routers of other zones would not report them in time.
func (o *Owner) HandOver() []*wire.Report {
	byEpoch := map[uint64]*wire.Report{}
	for _, id := range slices.Sorted(maps.Keys(o.leases)) {
		l := o.leases[id]
		if l.standing && l.account == "" {
			// The holder returns idle standing leases itself.
			continue
		}
		r, ok := byEpoch[l.epoch]
		if !ok {
			r = &wire.Report{Pool: o.pool, Epoch: l.epoch, Stamp: wire.StampOf(o.now), Adopt: true}
			byEpoch[l.epoch] = r
		}
		r.Held = append(r.Held, wire.LeaseUse{ID: l.grantedID, Tokens: l.tokens, Account: l.account, Backend: l.backend})
	}
	var all []*wire.Report
	for _, epoch := range slices.Sorted(maps.Keys(byEpoch)) {
		all = append(all, byEpoch[epoch])
	}
	return all
}

// dropVanished frees leases of unresponsive holders if the server runs fewer
// requests than there are leases. Only leases that can no longer start a
// request are freed, the longest silent first.
func (o *Owner) dropVanished(s *server, inFlight int) {
	old := 0
	var silent []*lease
	for _, l := range o.leases {
		if l.server != s || l.standing || o.now-l.granted < vanishedAfter {
			continue
		}
		old++
		if o.silent(l) {
			silent = append(silent, l)
		}
	}
	slices.SortFunc(silent, func(a, b *lease) int {
		return cmp.Or(cmp.Compare(a.lastReport, b.lastReport), cmp.Compare(a.id, b.id))
	})
	for _, l := range silent[:min(len(silent), max(0, old-inFlight))] {
		o.stats.Reclaimed++
		o.free(l)
	}
}

// vanishedAfter is the time after a grant at which a load report surely
// includes the lease's request.
const vanishedAfter = LoadLag + 200*time.Millisecond

func (o *Owner) silent(l *lease) bool {
	return o.now-l.lastReport >= holderTimeout && o.now >= l.expires
}

// HasStaleLeases reports whether a lease on a server with load reports is
// silent. Reading the server's load would then help to free it.
func (o *Owner) HasStaleLeases() bool {
	for _, l := range o.leases {
		if l.server.ReportsLoad && !l.standing && o.silent(l) {
			return true
		}
	}
	return false
}

// abandon frees a lease whose request may still run. Its slot counts as used
// until the next load report.
func (o *Owner) abandon(l *lease) {
	o.stats.Reclaimed++
	o.free(l)
	s := l.server
	s.unleased++
	s.lastAbandoned = o.now
	s.peak = max(0, s.peak-1)
	s.lastPeak = max(0, s.lastPeak-1)
}
