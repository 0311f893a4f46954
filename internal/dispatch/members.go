package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// readerKey is hashed to order the routers that read the platform.
const readerKey = "reader"

// membersEach bounds how often is worked out who lives, relays and owns: not sooner after
// the last time than so long for each known router. It takes 1 us and more for each, and
// where all start at once each hears of all others, several times.
const membersEach = 200 * time.Microsecond

// heardOfMembers takes in that another router lives or does not, or what another one
// believes of that, at once or with what else is heard in a moment.
func (s *state) heardOfMembers() {
	s.membersDue = s.now-s.membersAt < membersEach*time.Duration(s.d.shared.routers.Load())
	if !s.membersDue {
		s.membersChanged()
	}
}

// membersChanged tells those who decide by the routers that live, if these
// changed.
func (s *state) membersChanged() {
	s.membersAt, s.membersDue = s.now, false
	s.talk = s.roster.Plan(s.now)
	s.noteRoster()
	s.takeTurn()
	var routers []admit.Router
	for _, address := range s.roster.Active(s.now) {
		if m, ok := s.roster.Get(address); ok {
			routers = append(routers, admit.Router{Address: address, Zone: m.Zone, Capacity: m.Capacity})
		}
	}
	leaving, known := s.d.Draining(), s.roster.KnownByZone()
	if slices.Equal(routers, s.routers) && leaving == s.left && maps.Equal(known, s.known) {
		return
	}
	s.routers, s.left, s.known, s.hosts = routers, leaving, known, nil
	all := 0
	for _, n := range known {
		all += n
	}
	s.d.shared.routers.Store(int64(all))
	s.d.opt.log.Info("members", "live", len(routers)+1, "relay", s.talk.Relay, "mesh", s.talk.Mesh, "leaving", leaving)
	s.step(admit.Routers{List: routers, Leaving: leaving, KnownByZone: known})
	s.tellForwarder()
}

// tellForwarder tells to which routers of the zone connections may be handed, and which
// routers live.
func (s *state) tellForwarder() {
	f := s.d.opt.forwarder
	if f == nil {
		return
	}
	var list []forward.Peer
	for _, r := range s.routers {
		if r.Zone == s.d.id.Zone {
			list = append(list, forward.Peer{Address: r.Address, Capacity: r.Weight()})
		}
	}
	s.neighbours = len(list)
	f.SetPeers(list)
	live := map[string]bool{}
	for _, address := range s.roster.Live(s.now) {
		live[address] = true
	}
	f.EndStreamsExcept(live)
}

// takeTurn finds this router's place among those that read the platform.
func (s *state) takeTurn() {
	staying := s.roster.Active(s.now)
	turn := 0
	if s.d.Draining() {
		turn = len(staying) + watchers
	}
	own := rendezvous.Weight(readerKey, s.d.id.Address)
	for _, address := range staying {
		if rendezvous.Weight(readerKey, address) > own {
			turn++
		}
	}
	if old := s.d.shared.turn.Swap(int64(turn)); old != int64(turn) {
		s.d.opt.log.Debug("reader_turn", "turn", turn, "before", old)
	}
}
