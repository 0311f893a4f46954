package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// readerKey is hashed with the routers' addresses to rank the platform readers.
const readerKey = "reader"

// membersIntervalPerRouter times the number of known routers is the shortest interval of
// recomputing membership. That takes 1 us or more for each router, and many changes arrive together
// when the fleet starts.
const membersIntervalPerRouter = 200 * time.Microsecond

// scheduleMembersUpdate recomputes membership now, or at a later tick if that was done
// recently.
func (s *state) scheduleMembersUpdate() {
	s.membersDirty = s.now-s.membersUpdatedAt < membersIntervalPerRouter*time.Duration(s.d.shared.routerCount.Load())
	if !s.membersDirty {
		s.updateMembers()
	}
}

// updateMembers recomputes membership if the roster may have changed, and informs the core and the
// forwarder if it did.
func (s *state) updateMembers() {
	s.membersDirty = false
	if s.d.shared.leaving.Load() {
		s.roster.Leave()
	}
	version := s.roster.Version(s.now)
	leaving := s.d.shared.leaving.Load() && !s.roster.StandsIn(s.now)
	missesSeeds := s.roster.MissesSeeds()
	if version == s.membersVersion && leaving == s.leaving && missesSeeds == s.missesSeeds {
		return
	}
	s.membersUpdatedAt, s.membersVersion = s.now, version
	before := s.peerPlan
	s.peerPlan = s.roster.Plan(s.now)
	if !s.peerPlan.Mesh && (before.Mesh || !slices.Equal(before.Peers, s.peerPlan.Peers)) {
		// The relays learn of this router by its reports.
		s.reportedAt = 0
	}
	s.updateRosterVersion()
	s.updateReaderRank()
	var routers []admit.Router
	for _, address := range s.roster.Active(s.now) {
		if m, ok := s.roster.Get(address); ok {
			routers = append(routers, admit.Router{Address: address, Zone: m.Zone, Capacity: m.Capacity})
		}
	}
	known, staying := s.roster.KnownByZone(), s.roster.Staying(s.now)
	if slices.Equal(routers, s.routers) && slices.Equal(staying, s.staying) && leaving == s.leaving && missesSeeds == s.missesSeeds && maps.Equal(known, s.knownByZone) {
		return
	}
	s.routers, s.staying, s.leaving, s.knownByZone, s.routerHostSet, s.missesSeeds = routers, staying, leaving, known, nil, missesSeeds
	s.origins.setRouters(routers)
	total := 0
	for _, n := range known {
		total += n
	}
	s.d.shared.routerCount.Store(int64(total))
	s.d.opt.log.Info("members", "live", len(routers)+1, "relay", s.peerPlan.Relay, "mesh", s.peerPlan.Mesh, "leaving", leaving, "misses_seeds", missesSeeds)
	s.step(admit.Routers{List: routers, Leaving: leaving, KnownByZone: known, MissesSeeds: missesSeeds})
	s.updateForwarder()
}

// leaveEvent reports to other routers that this one is leaving.
type leaveEvent struct{}

func (leaveEvent) apply(s *state) {
	s.reportedAt = 0
	s.sendReports()
}

// updateReaderRank computes this router's rank among the platform readers. A leaving router
// ranks last.
func (s *state) updateReaderRank() {
	active := s.roster.Active(s.now)
	rank := 0
	if s.d.shared.leaving.Load() {
		rank = len(active) + watcherCount
	}
	ownWeight := rendezvous.Weight(readerKey, s.d.id.Address)
	for _, address := range active {
		if rendezvous.Weight(readerKey, address) > ownWeight {
			rank++
		}
	}
	if old := s.d.shared.readerRank.Swap(int64(rank)); old != int64(rank) {
		s.d.opt.log.Debug("reader_turn", "turn", rank, "before", old)
	}
}
