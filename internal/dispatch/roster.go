package dispatch

import (
	"cmp"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// rosterRequestInterval bounds the rate of requests for the full roster of one router.
const rosterRequestInterval = 200 * time.Millisecond

// rosterChange is the digest of a router's entry and the roster version that set it.
type rosterChange struct{ digest, version uint64 }

// updateRosterVersion assigns a new roster version to the entries that changed, so that other
// routers can be sent only what is new to them.
func (s *state) updateRosterVersion() {
	digest := s.roster.Digest(s.now)
	if digest == s.rosterDigest {
		return
	}
	list := s.roster.Members(s.now)
	s.rosterDigest = digest
	s.rosterVersion++
	previous := s.rosterChanges
	s.rosterChanges = make(map[string]rosterChange, len(list))
	for _, k := range list {
		c, ok := previous[k.Address]
		if d := k.Digest(); !ok || c.digest != d {
			c = rosterChange{digest: d, version: s.rosterVersion}
		}
		s.rosterChanges[k.Address] = c
	}
}

// sendFullRoster sends the whole roster to another router. If wantReply is set, it also requests
// that router's roster.
func (s *state) sendFullRoster(to string, wantReply bool) {
	l := s.link(to)
	l.rosterDigest, l.rosterVersion = s.rosterDigest, s.rosterVersion
	if !wantReply && len(s.rosterChanges) >= minEncodedRoster {
		s.sendEncodedRoster(to)
		return
	}
	s.sendRosterEntries(to, &wire.Roster{WantReply: wantReply, Digest: s.rosterDigest}, func(string) bool { return true })
}

const (
	// minEncodedRoster is the number of routers from which a full roster is encoded once for all who
	// ask. When a large fleet starts, all its routers ask the seeds.
	minEncodedRoster = 100
	// encodedRosterTTL is how long it may be reused.
	encodedRosterTTL = 200 * time.Millisecond
)

// encodedRoster is a full roster that was sent lately.
type encodedRoster struct {
	msg    *wire.Encoded
	digest uint64
	at     time.Duration
}

// sendEncodedRoster sends the whole roster in a message that others were sent lately, if it still holds.
func (s *state) sendEncodedRoster(to string) {
	r := &s.encodedRoster
	if r.msg == nil || r.digest != s.rosterDigest || s.now-r.at >= encodedRosterTTL {
		m := &wire.Roster{Digest: s.rosterDigest}
		for _, k := range s.roster.Members(s.now) {
			m.Entries = append(m.Entries, rosterEntry(k))
		}
		encoded, err := wire.Encode(m)
		if err != nil {
			s.d.opt.log.Error("roster_not_encoded", "routers", len(m.Entries), "error", err)
			return
		}
		*r = encodedRoster{msg: encoded, digest: s.rosterDigest, at: s.now}
	}
	s.d.transport.Send(to, r.msg)
}

// sendRosterChanges sends another router what changed in the roster since it was last sent.
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

// sendRosterEntries adds the entries for which include returns true to a message and sends it.
func (s *state) sendRosterEntries(to string, m *wire.Roster, include func(address string) bool) {
	for _, k := range s.roster.Members(s.now) {
		if include(k.Address) {
			m.Entries = append(m.Entries, rosterEntry(k))
		}
	}
	s.d.transport.Send(to, m)
}

// probe asks a silent router for a sign of life. In a full mesh both rosters are exchanged; otherwise
// a router to which this one is new replies with its roster, and any other needs not.
func (s *state) probe(to string) {
	switch {
	case s.roster.HearsFew(s.peerPlan):
		// It needs the other's roster, and its own says little.
		s.d.transport.Send(to, &wire.Roster{WantReply: true})
		return
	case s.peerPlan.Mesh:
		s.sendFullRoster(to, true)
		return
	}
	s.d.transport.Send(to, &wire.Roster{WantReply: true, Base: anyRoster})
}

// anyRoster as the Base of a request without a digest says that the sender has a roster, whichever it
// is.
const anyRoster = 1

// introducesRouters reports whether this router tells new ones about all others. Relays and seeds do,
// and all routers of a full mesh. If every router did, a fleet that starts would exchange its roster
// as many times as there are pairs of routers that request slots from each other.
func (s *state) introducesRouters() bool {
	return s.peerPlan.Mesh || s.peerPlan.Relay || s.d.isSeed()
}

// replyToProbe sends the roster to a router that asked for it, or only a confirmation of the roster
// that was sent before if the sender is known and has a roster.
func (s *state) replyToProbe(from string, m *wire.Roster, isNew bool) {
	if m.Base != anyRoster || m.Digest != 0 || isNew || s.peerPlan.Mesh {
		s.sendFullRoster(from, false)
		return
	}
	// A router that takes this one for its relay and does not know that roster requests it.
	digest := cmp.Or(s.link(from).rosterDigest, s.rosterDigest, anyRoster)
	own := roster.MemberInfo{Member: s.roster.Self(), Alive: true, Direct: true}
	s.d.transport.Send(from, &wire.Roster{Digest: digest, Base: digest, Entries: []wire.RosterEntry{rosterEntry(own)}})
}

// requestRoster asks a relay for its full roster after changes of it were lost.
func (s *state) requestRoster(to string) {
	l := s.link(to)
	if s.now-l.rosterRequestedAt < rosterRequestInterval {
		return
	}
	l.rosterRequestedAt = s.now
	s.d.opt.log.Debug("roster_asked", "peer", to)
	s.d.transport.Send(to, &wire.Roster{WantReply: true})
}

func rosterEntry(k roster.MemberInfo) wire.RosterEntry {
	return wire.RosterEntry{
		Address: k.Address, Name: k.Name, Zone: k.Zone, Incarnation: k.Incarnation, Capacity: float32(k.Capacity),
		LastSeenMillis: k.LastSeenAgo.Milliseconds(), Alive: k.Alive, Direct: k.Direct, Leaving: k.Leaving,
	}
}

// mergeRoster merges the roster of another router, which may be new.
func (s *state) mergeRoster(from string, m *wire.Roster, isNew bool) {
	list := make([]roster.MemberInfo, 0, len(m.Entries))
	for _, e := range m.Entries {
		list = append(list, roster.MemberInfo{
			Member:      roster.Member{Address: e.Address, Name: e.Name, Zone: e.Zone, Incarnation: e.Incarnation, Capacity: float64(e.Capacity)},
			LastSeenAgo: time.Duration(e.LastSeenMillis) * time.Millisecond, Alive: e.Alive, Direct: e.Direct, Leaving: e.Leaving,
		})
	}
	if len(m.Entries) > 0 && !s.roster.ApplyReport(s.now, from, roster.Report{Digest: m.Digest, Base: m.Base, Members: list}) {
		s.requestRoster(from)
	}
	s.raiseIncarnation()
	if m.WantReply {
		s.replyToProbe(from, m, isNew)
	}
	s.scheduleMembersUpdate()
}

// raiseIncarnation adopts a higher incarnation if other routers know this one by the same or a
// later incarnation and would ignore its messages.
func (s *state) raiseIncarnation() {
	if inc := s.roster.RaiseIncarnation(); inc > 0 {
		s.d.opt.log.Warn("incarnation_raised", "incarnation", inc)
		s.d.transport.SetIncarnation(inc)
	}
}
