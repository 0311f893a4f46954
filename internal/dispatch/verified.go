package dispatch

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// freshBy is by how much later something must be known to be the newest for a relay to
// pass that on at once.
const freshBy = 200 * time.Millisecond

// hearVerified takes in that what is known here was known to be the newest at another
// router, so long ago. A relay passes that on at once to those of other zones.
func (s *state) hearVerified(from peer.Inbound, m *wire.RouterState) {
	before := time.Duration(s.d.shared.verified.Load())
	at := m.Echo.At() + time.Duration(m.EchoAgeMillis-m.VerifiedAgeMillis)*time.Millisecond
	s.d.verifiedAt(at)
	if at-before >= freshBy && s.talk.Relay && from.Zone == s.d.id.Zone && !slices.Contains(s.talk.Peers, from.From) {
		s.tellVerified(s.talk.RemoteRelays)
	}
}

// verifiedHere says that this router has made sure that it knows the newest.
type verifiedHere struct{}

func (verifiedHere) apply(s *state) {
	if s.talk.Mesh {
		return
	}
	s.tellVerified(s.talk.Peers)
	s.tellVerified(s.talk.RemoteRelays)
}

// tellVerified tells some routers at once how long ago this one knew what is newest.
// They, and those that they tell, would else read the platform themselves: at 100
// routers three tellings take longer than a router may go without knowing (31.8 calls a
// second of a quiet fleet, BenchmarkQuietFleet).
func (s *state) tellVerified(list []string) {
	for _, to := range list {
		m := s.stateFor(to)
		m.Scope = wire.ScopeNone
		s.d.net.Send(to, m)
	}
}

// tellKnown tells all with whom this router talks how much it knows.
func (s *state) tellKnown() {
	for _, list := range [][]string{s.talk.Peers, s.talk.Served, s.talk.RemoteRelays} {
		s.tellVerified(list)
	}
}

// stateFor returns what this router tells another one besides flows and copies.
func (s *state) stateFor(to string) *wire.RouterState {
	l := s.link(to)
	asOf := s.catalog.AsOf()
	m := &wire.RouterState{Stamp: wire.StampOf(s.now), Epoch: asOf.Epoch, AsOf: asOf.Number, VerifiedAgeMillis: -1, Leaving: s.d.Draining()}
	if l.stamp > 0 {
		m.Echo, m.EchoAgeMillis = l.stamp, (s.now - l.stampAt).Milliseconds()
	}
	if verified := time.Duration(s.d.shared.verified.Load()); verified > 0 {
		m.VerifiedAgeMillis = (s.now - verified).Milliseconds() + 1
	}
	return m
}
