package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// askWholeEvery bounds how often one router is asked for its whole roster.
const askWholeEvery = 200 * time.Millisecond

// rosterChange is what others were last told of a router, and with which of this
// router's changes of its roster it came to be so.
type rosterChange struct{ digest, number uint64 }

// noteRoster numbers what has changed in the roster, so that each router that it
// is told to gets what is new to it only: at 300 routers a whole one takes 17 kB.
func (s *state) noteRoster() {
	list := s.roster.Members(s.now)
	digest := roster.DigestOf(list)
	if digest == s.digest {
		return
	}
	s.digest = digest
	s.changes++
	before := s.changed
	s.changed = make(map[string]rosterChange, len(list))
	for _, k := range list {
		c, ok := before[k.Address]
		if d := k.Digest(); !ok || c.digest != d {
			c = rosterChange{digest: d, number: s.changes}
		}
		s.changed[k.Address] = c
	}
}

// tellRoster tells another router all whom this one knows, and asks it for the
// same if it is to answer.
func (s *state) tellRoster(to string, answer bool) {
	l := s.link(to)
	l.digest, l.changes = s.digest, s.changes
	s.sendRoster(to, &wire.Roster{WantReply: answer, Digest: s.digest}, func(string) bool { return true })
}

// tellRosterChanges tells another router what it has not been told of the roster
// that this relay stands by.
func (s *state) tellRosterChanges(to string, l *link) {
	switch l.digest {
	case s.digest:
	case 0:
		s.tellRoster(to, false)
	default:
		base, after := l.digest, l.changes
		l.digest, l.changes = s.digest, s.changes
		s.sendRoster(to, &wire.Roster{Digest: s.digest, Base: base}, func(address string) bool {
			return s.changed[address].number > after
		})
	}
}

// sendRoster sends the entries of the roster that are to be in it.
func (s *state) sendRoster(to string, m *wire.Roster, in func(address string) bool) {
	for _, k := range s.roster.Members(s.now) {
		if in(k.Address) {
			m.Entries = append(m.Entries, entryOf(k))
		}
	}
	s.d.net.Send(to, m)
}

// try sends a sign of life to a router that is not heard, and asks whom it
// knows. Where all talk with all it is told the same; elsewhere relays tell it.
func (s *state) try(to string) {
	if s.talk.Mesh {
		s.tellRoster(to, true)
		return
	}
	s.d.net.Send(to, &wire.Roster{WantReply: true})
}

// askRoster asks a relay for all whom it knows, since changes of it were lost.
func (s *state) askRoster(of string) {
	l := s.link(of)
	if s.now-l.askedWhole < askWholeEvery {
		return
	}
	l.askedWhole = s.now
	s.d.opt.log.Debug("roster_asked", "peer", of)
	s.d.net.Send(of, &wire.Roster{WantReply: true})
}

func entryOf(k roster.MemberInfo) wire.RosterEntry {
	return wire.RosterEntry{
		Address: k.Address, Name: k.Name, Zone: k.Zone, Incarnation: k.Inc, Capacity: float32(k.Capacity),
		LastSeenMillis: k.LastSeenAgo.Milliseconds(), Alive: k.Alive, Direct: k.Direct, Leaving: k.Leaving,
	}
}

// learnRoster takes in whom another router knows.
func (s *state) learnRoster(from string, m *wire.Roster) {
	list := make([]roster.MemberInfo, 0, len(m.Entries))
	for _, e := range m.Entries {
		list = append(list, roster.MemberInfo{
			Member:      roster.Member{Address: e.Address, Name: e.Name, Zone: e.Zone, Inc: e.Incarnation, Capacity: float64(e.Capacity)},
			LastSeenAgo: time.Duration(e.LastSeenMillis) * time.Millisecond, Alive: e.Alive, Direct: e.Direct, Leaving: e.Leaving,
		})
	}
	if len(m.Entries) > 0 && !s.roster.ApplyReport(s.now, from, roster.Report{Digest: m.Digest, Base: m.Base, Members: list}) {
		s.askRoster(from)
	}
	s.succeed()
	if m.WantReply {
		s.tellRoster(from, false)
	}
	s.heardOfMembers()
}

// succeed takes a later incarnation if others know this router by one that is not before its
// own, and so would not hear it.
func (s *state) succeed() {
	if inc := s.roster.RaiseIncarnation(); inc > 0 {
		s.d.opt.log.Warn("incarnation_raised", "incarnation", inc)
		s.d.net.SetIncarnation(inc)
	}
}
