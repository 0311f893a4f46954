package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// askWholeEvery bounds how often one router is asked for its whole roster.
const rosterRequestInterval = 200 * time.Millisecond

// rosterChange is what others were last told of a router, and with which of this
// router's changes of its roster it came to be so.
type rosterChange struct{ digest, version uint64 }

// noteRoster numbers what has changed in the roster, so that each router that it
// is told to gets what is new to it only: at 300 routers a whole one takes 17 kB.
func (s *state) updateRosterVersion() {
	list := s.roster.Members(s.now)
	digest := roster.DigestOf(list)
	if digest == s.rosterDigest {
		return
	}
	s.rosterDigest = digest
	s.rosterVersion++
	before := s.rosterChanges
	s.rosterChanges = make(map[string]rosterChange, len(list))
	for _, k := range list {
		c, ok := before[k.Address]
		if d := k.Digest(); !ok || c.digest != d {
			c = rosterChange{digest: d, version: s.rosterVersion}
		}
		s.rosterChanges[k.Address] = c
	}
}

// tellRoster tells another router all whom this one knows, and asks it for the
// same if it is to answer.
func (s *state) sendFullRoster(to string, answer bool) {
	l := s.link(to)
	l.rosterDigest, l.rosterVersion = s.rosterDigest, s.rosterVersion
	s.sendRosterEntries(to, &wire.Roster{Answer: answer, Digest: s.rosterDigest}, func(string) bool { return true })
}

// tellRosterChanges tells another router what it has not been told of the roster
// that this relay stands by.
func (s *state) sendRosterChanges(to string, l *link) {
	switch l.rosterDigest {
	case s.rosterDigest:
	case 0:
		s.sendFullRoster(to, false)
	default:
		base, after := l.rosterDigest, l.rosterVersion
		l.rosterDigest, l.rosterVersion = s.rosterDigest, s.rosterVersion
		s.sendRosterEntries(to, &wire.Roster{Digest: s.rosterDigest, Base: base}, func(address string) bool {
			return s.rosterChanges[address].version > after
		})
	}
}

// sendRoster sends the entries of the roster that are to be in it.
func (s *state) sendRosterEntries(to string, m *wire.Roster, in func(address string) bool) {
	for _, k := range s.roster.Members(s.now) {
		if in(k.Address) {
			m.Entries = append(m.Entries, rosterEntry(k))
		}
	}
	s.d.net.Send(to, m)
}

// probe sends a sign of life to a router that is not heard, and asks whom it
// knows. Where all talk with all it is told the same; elsewhere relays tell it.
func (s *state) probe(to string) {
	if s.peerPlan.Mesh {
		s.sendFullRoster(to, true)
		return
	}
	s.d.net.Send(to, &wire.Roster{Answer: true})
}

// askRoster asks a relay for all whom it knows, since changes of it were lost.
func (s *state) requestRoster(of string) {
	l := s.link(of)
	if s.now-l.rosterRequestedAt < rosterRequestInterval {
		return
	}
	l.rosterRequestedAt = s.now
	s.d.opt.log.Debug("roster_asked", "peer", of)
	s.d.net.Send(of, &wire.Roster{Answer: true})
}

func rosterEntry(k roster.MemberInfo) wire.RosterEntry {
	return wire.RosterEntry{
		Address: k.Address, Name: k.Name, Zone: k.Zone, Inc: k.Inc, Capacity: float32(k.Capacity),
		Heard: k.LastSeenAgo.Milliseconds(), Lives: k.Alive, Hears: k.Direct, Leaving: k.Leaving,
	}
}

// learnRoster takes in whom another router knows.
func (s *state) mergeRoster(from string, m *wire.Roster) {
	list := make([]roster.MemberInfo, 0, len(m.Entries))
	for _, e := range m.Entries {
		list = append(list, roster.MemberInfo{
			Member:      roster.Member{Address: e.Address, Name: e.Name, Zone: e.Zone, Inc: e.Inc, Capacity: float64(e.Capacity)},
			LastSeenAgo: time.Duration(e.Heard) * time.Millisecond, Alive: e.Lives, Direct: e.Hears, Leaving: e.Leaving,
		})
	}
	if len(m.Entries) > 0 && !s.roster.ApplyReport(s.now, from, roster.Report{Digest: m.Digest, Base: m.Base, Members: list}) {
		s.requestRoster(from)
	}
	s.raiseIncarnation()
	if m.Answer {
		s.sendFullRoster(from, false)
	}
	s.scheduleMembersUpdate()
}

// succeed takes a later incarnation if others know this router by one that is not before its
// own, and so would not hear it.
func (s *state) raiseIncarnation() {
	if inc := s.roster.RaiseIncarnation(); inc > 0 {
		s.d.opt.log.Warn("incarnation_raised", "incarnation", inc)
		s.d.net.SetIncarnation(inc)
	}
}
