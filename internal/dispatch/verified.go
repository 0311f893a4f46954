package dispatch

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// minVerifiedGain is the advance of the verification time from which a relay passes it on at
// once.
const minVerifiedGain = 200 * time.Millisecond

// stampOffset returns what a process adds to its stamps. Routers echo them to its address, where another process may run by
// then, whose clock starts again.
func stampOffset(incarnation uint64) wire.Stamp {
	const mix, bits = 0x9e3779b97f4a7c15, 31
	return wire.Stamp(incarnation * mix >> (64 - bits))
}

// stamp returns a time stamp of this process, to be echoed by another router.
func (s *state) stamp() wire.Stamp { return s.stampOffset + wire.StampOf(s.now) }

// timeOf returns the time of an echoed stamp. It reports false if it is not one of this process.
func (s *state) timeOf(echo wire.Stamp) (at time.Duration, isOwn bool) {
	own := echo - s.stampOffset
	return own.At(), own >= wire.StampOf(s.startedAt) && own <= wire.StampOf(s.now)
}

// handleVerified records that another router verified the revision known here. A relay passes
// that on to the relays of other zones.
func (s *state) handleVerified(from peer.Inbound, m *wire.RouterState) {
	before := time.Duration(s.d.shared.lastVerified.Load())
	sentAt, isOwn := s.timeOf(m.Echo)
	if !isOwn {
		return
	}
	at := min(s.now, sentAt+time.Duration(m.EchoAgeMillis-m.VerifiedAgeMillis)*time.Millisecond)
	s.d.recordVerified(at)
	s.useVerification()
	if at-before < minVerifiedGain || !s.peerPlan.Relay {
		return
	}
	if from.Zone == s.d.id.Zone && !slices.Contains(s.peerPlan.Peers, from.From) {
		s.sendVerified(s.peerPlan.RemoteRelays)
	}
	if s.othersReadSoon(before) {
		s.sendVerified(s.peerPlan.Served)
	}
}

// othersReadSoon reports whether the routers that this relay serves would read the platform
// themselves before its next report reaches them, given the time of the last verification.
func (s *state) othersReadSoon(verified time.Duration) bool {
	due := verified + time.Duration(baseVerifyFraction*float64(s.d.shared.applyWithin.Load()))
	return s.now+s.peerPlan.Interval >= due
}

// verifiedEvent reports that this router verified its revision.
type verifiedEvent struct{}

func (verifiedEvent) apply(s *state) {
	if s.peerPlan.Mesh {
		return
	}
	s.sendVerified(s.peerPlan.Peers)
	s.sendVerified(s.peerPlan.RemoteRelays)
}

// sendVerified sends routers the time of the last verification without waiting for the next
// report. Otherwise they would read the platform themselves before the reports reach them.
func (s *state) sendVerified(list []string) {
	for _, to := range list {
		m := s.stateMessage(to)
		m.Scope = wire.ScopeNone
		s.d.transport.Send(to, m)
	}
}

// broadcastVerified sends the revision and its verification time to all peers.
func (s *state) broadcastVerified() {
	for _, list := range [][]string{s.peerPlan.Peers, s.peerPlan.Served, s.peerPlan.RemoteRelays} {
		s.sendVerified(list)
	}
}

// stateMessage returns a report without flows and prefix copies.
func (s *state) stateMessage(to string) *wire.RouterState {
	l := s.link(to)
	asOf := s.catalog.AsOf()
	m := &wire.RouterState{Stamp: s.stamp(), Epoch: asOf.Epoch, AsOf: asOf.Number, VerifiedAgeMillis: -1, Leaving: s.d.shared.leaving.Load()}
	if l.stamp > 0 {
		m.Echo, m.EchoAgeMillis = l.stamp, (s.now - l.stampReceivedAt).Milliseconds()
	}
	if verified := time.Duration(s.d.shared.lastVerified.Load()); verified > 0 {
		m.VerifiedAgeMillis = (s.now - verified).Milliseconds() + 1
	}
	return m
}
