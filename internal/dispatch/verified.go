package dispatch

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// freshBy is by how much later something must be known to be the newest for a relay to
// pass that on at once.
const minVerifiedGain = 200 * time.Millisecond

// hearVerified takes in that what is known here was known to be the newest at another
// router, so long ago. A relay passes that on at once to those of other zones.
func (s *state) handleVerified(from peer.Inbound, m *wire.State) {
	before := time.Duration(s.d.shared.lastVerified.Load())
	at := m.Echo.At() + time.Duration(m.Held-m.Age)*time.Millisecond
	s.d.recordVerified(at)
	if at-before >= minVerifiedGain && s.peerPlan.Relay && from.Zone == s.d.id.Zone && !slices.Contains(s.peerPlan.Peers, from.From) {
		s.sendVerified(s.peerPlan.RemoteRelays)
	}
}

// verifiedEvent says that this router has made sure that it knows the newest.
type verifiedEvent struct{}

func (verifiedEvent) apply(s *state) {
	if s.peerPlan.Mesh {
		return
	}
	s.sendVerified(s.peerPlan.Peers)
	s.sendVerified(s.peerPlan.RemoteRelays)
}

// tellVerified tells some routers at once how long ago this one knew what is newest.
// They, and those that they tell, would else read the platform themselves: at 100
// routers three tellings take longer than a router may go without knowing (31.8 calls a
// second of a quiet fleet, BenchmarkQuietFleet).
func (s *state) sendVerified(list []string) {
	for _, to := range list {
		m := s.stateMessage(to)
		m.Scope = wire.ScopeNone
		s.d.net.Send(to, m)
	}
}

// tellKnown tells all with whom this router talks how much it knows.
func (s *state) broadcastVerified() {
	for _, list := range [][]string{s.peerPlan.Peers, s.peerPlan.Served, s.peerPlan.RemoteRelays} {
		s.sendVerified(list)
	}
}

// stateFor returns what this router tells another one besides flows and copies.
func (s *state) stateMessage(to string) *wire.State {
	l := s.link(to)
	asOf := s.catalog.AsOf()
	m := &wire.State{Stamp: wire.StampOf(s.now), Epoch: asOf.Epoch, AsOf: asOf.Number, Age: -1, Leaving: s.d.Draining()}
	if l.stamp > 0 {
		m.Echo, m.Held = l.stamp, (s.now - l.stampReceivedAt).Milliseconds()
	}
	if verified := time.Duration(s.d.shared.lastVerified.Load()); verified > 0 {
		m.Age = (s.now - verified).Milliseconds() + 1
	}
	return m
}
