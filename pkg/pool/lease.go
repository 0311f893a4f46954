package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// find returns the lease that the use speaks of.
func (o *Owner) find(epoch uint64, u wire.LeaseUse) *lease {
	id := u.ID
	if epoch != o.epoch {
		id = adoptedID(epoch, u.ID)
	}
	return o.leases[id]
}

// adoptedBit keeps the numbers of adopted leases apart from own ones.
const adoptedBit = 1 << 63

// adoptedID numbers a lease of a former owner. Epochs are nanoseconds and a
// factor spreads them, so that numbers of two former owners do not meet.
func adoptedID(epoch, id uint64) uint64 {
	const spread = 0x9E3779B97F4A7C15
	return adoptedBit | (epoch*spread ^ id)
}

// adopt takes over a lease that a former owner granted.
func (o *Owner) adopt(holder string, epoch uint64, u wire.LeaseUse) *lease {
	s, ok := o.servers[u.Backend]
	if !ok {
		return nil
	}
	id := adoptedID(epoch, u.ID)
	l := &lease{id: id, number: u.ID, epoch: epoch, server: s, name: s.Name, holder: holder, account: u.Account, heard: o.now}
	o.leases[l.id] = l
	s.used++
	s.peak = max(s.peak, s.used)
	if l.account != "" {
		o.account(l.account).running++
	}
	return l
}

// reclaimSilent takes back the leases that nobody spoke of for too long. Their
// requests may still run, so the slots count as taken by strangers until the
// backend server's own report says otherwise.
func (o *Owner) reclaimSilent() {
	for _, l := range o.leases {
		silence := o.opt.reclaim
		if l.server.Reports {
			silence = o.opt.reclaimReported
		}
		if o.now-l.heard >= silence && o.now >= l.until {
			o.abandon(l)
		}
	}
}

// HandOver returns what the next owner must know: every lease that is out, by
// the epoch that granted it. A router of another zone would not tell in time.
func (o *Owner) HandOver() []*wire.Report {
	byEpoch := map[uint64]*wire.Report{}
	for _, id := range slices.Sorted(maps.Keys(o.leases)) {
		l := o.leases[id]
		if l.standing && l.account == "" {
			// Its holder hands an idle one back by itself.
			continue
		}
		r, ok := byEpoch[l.epoch]
		if !ok {
			r = &wire.Report{Pool: o.pool, Epoch: l.epoch, Stamp: wire.StampOf(o.now), Adopt: true}
			byEpoch[l.epoch] = r
		}
		r.Held = append(r.Held, wire.LeaseUse{ID: l.number, Tokens: l.tokens, Account: l.account, Backend: l.name})
	}
	var all []*wire.Report
	for _, epoch := range slices.Sorted(maps.Keys(byEpoch)) {
		all = append(all, byEpoch[epoch])
	}
	return all
}

// dropVanished frees leases whose requests no longer run, as the server's own
// report shows, though nobody gave them back: their holders are cut off. Only
// silent ones that can start nothing more may be among them.
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
		return cmp.Or(cmp.Compare(a.heard, b.heard), cmp.Compare(a.id, b.id))
	})
	for _, l := range silent[:min(len(silent), max(0, old-inFlight))] {
		o.stats.Reclaimed++
		o.free(l)
	}
}

// vanishedAfter is how long after its grant a lease's request surely counts
// in a report, if it runs.
const vanishedAfter = LoadLag + 200*time.Millisecond

func (o *Owner) silent(l *lease) bool {
	return o.now-l.heard >= staleHolder && o.now >= l.until
}

// Doubtful reports whether a lease on a server that reports its load is
// silent, so that a reading of the load would tell more.
func (o *Owner) Doubtful() bool {
	for _, l := range o.leases {
		if l.server.Reports && !l.standing && o.silent(l) {
			return true
		}
	}
	return false
}

// abandon gives a lease up whose request may still run: its slot counts as
// taken by a stranger until the next report of the load.
func (o *Owner) abandon(l *lease) {
	o.stats.Reclaimed++
	o.free(l)
	s := l.server
	s.foreign++
	s.abandoned = o.now
	s.peak = max(0, s.peak-1)
	s.lastPeak = max(0, s.lastPeak-1)
}
