package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// gossipEvery is the interval at which a router tells one other whom it
	// knows, where nobody vouches for anyone.
	gossipEvery = 2 * time.Second
	// askNewsEvery bounds how often news are asked for, askAllEvery how often all that
	// the platform published is: at 3,000 backend servers that takes 0.3 MB, which a
	// router that starts would else get from each that it hears.
	askNewsEvery = 100 * time.Millisecond
	askAllEvery  = 300 * time.Millisecond
	// silentTellings is how many tellings may be missed before what was told
	// counts no more.
	silentTellings = 4
)

// link is what is remembered of the talk with another router.
type link struct {
	inc uint64
	// stamp is the last one received from it, stampAt when that was.
	stamp   wire.Stamp
	stampAt time.Duration
	// digest is that of the roster that it was last told, changes how many
	// changes of the roster had been by then.
	digest, changes uint64
	// askedWhole is when it was last asked for its whole roster.
	askedWhole time.Duration
}

// inbound is a message of another router.
type inbound struct{ peer.Inbound }

func (e inbound) apply(s *state) {
	member := roster.Member{Address: e.From, Name: e.Name, Zone: e.Zone, Inc: e.Incarnation}
	if s.roster.Observe(s.now, member) {
		s.d.opt.log.Info("member_heard", "peer", e.Name, "address", e.From, "zone", e.Zone, "incarnation", e.Incarnation)
		if _, told := e.Msg.(*wire.Roster); !told {
			s.tellRoster(e.From, true)
		}
		if s.catalog.AsOf().IsZero() {
			s.askNews(e.From)
		}
		if m := s.retainedNews(); m != nil {
			s.d.net.Send(e.From, m)
		}
		s.tellAllSuspects(e.From)
		s.heardOfMembers()
	}
	switch m := e.Msg.(type) {
	case *wire.RouterState:
		s.hear(e.Inbound, m)
	case *wire.SlotRequest, *wire.SlotReply, *wire.RequestUpdate, *wire.RequestSync, *wire.Leaving, *wire.SuspectUpdate:
		s.step(admit.Message{From: e.From, Msg: m})
	case *wire.Usage:
		s.hearUses(e.Inbound, m)
	case *wire.Claim, *wire.ClaimRelease, *wire.ClaimReply:
		s.receiveClaim(e.From, m)
	case *wire.Roster:
		s.learnRoster(e.From, m)
	case *wire.PlatformUpdateRequest:
		s.d.net.Send(e.From, s.newsFor(m))
	case *wire.PlatformUpdate:
		indexTables(&m.Update)
		heard{Update: m.Checked(), from: e.Name, sender: e.From}.apply(s)
	}
}

// indexTables makes the tables of received news ready to be searched.
func indexTables(n *catalog.Update) {
	if n.Table != nil {
		n.Table.Index()
	}
	if n.Retained != nil && n.Retained.Table != nil {
		n.Retained.Table.Index()
	}
}

func (s *state) link(to string) *link {
	l, ok := s.links[to]
	if !ok {
		l = &link{}
		s.links[to] = l
	}
	return l
}

// hear takes in what another router has under way and how much it knows.
func (s *state) hear(from peer.Inbound, m *wire.RouterState) {
	l := s.link(from.From)
	if l.inc < from.Incarnation {
		*l = link{inc: from.Incarnation}
	}
	l.stamp, l.stampAt = m.Stamp, s.now
	if m.Leaving {
		s.roster.MarkLeaving(from.From)
	}
	if m.RosterDigest != 0 && !s.roster.ConfirmReport(s.now, from.From, m.RosterDigest) {
		s.askRoster(from.From)
	}
	if s.accepts(from, m.Scope) {
		s.step(admit.PeerState{From: from.From, Zone: from.Zone, Msg: m, TTL: silentTellings * s.talk.Interval})
	}
	asOf, theirs := s.catalog.AsOf(), catalog.Revision{Epoch: m.Epoch, Number: m.AsOf}
	if asOf.Before(theirs) {
		s.askNews(from.From)
		return
	}
	if theirs == asOf && m.VerifiedAgeMillis >= 0 && m.Echo > 0 {
		s.hearVerified(from, m)
	}
}

// accepts reports whether flows of a scope are counted here: all flows must be
// counted, and none twice.
func (s *state) accepts(from peer.Inbound, scope wire.Scope) bool {
	switch scope {
	case wire.ScopeOwn:
		return s.talk.Mesh || s.talk.Relay
	case wire.ScopeZone:
		return s.talk.Relay && from.From == s.roster.PrimaryRelay(s.now, from.Zone)
	case wire.ScopeRest:
		return !s.talk.Mesh && !s.talk.Relay && from.From == s.roster.PrimaryRelay(s.now, s.d.id.Zone)
	default:
		return true
	}
}

// allNewsFor is for how long all that the platform published is told as it was collected
// once, while nothing is published.
const allNewsFor = 200 * time.Millisecond

// allNews is all that the platform published, as collected for somebody who asked.
type allNews struct {
	msg  *wire.PlatformUpdate
	asOf catalog.Revision
	at   time.Duration
}

// newsFor returns what the platform published after a revision. All of it is collected
// once for all who ask at a start of the fleet, or of an epoch: what waits to be sent to 100
// routers would else hold 60 MB at 3,000 backend servers. The message is not changed any more.
func (s *state) newsFor(ask *wire.PlatformUpdateRequest) *wire.PlatformUpdate {
	asOf := s.catalog.AsOf()
	if ask.Epoch == asOf.Epoch && s.catalog.HasHistorySince(ask.After) {
		return &wire.PlatformUpdate{Update: s.catalog.Since(ask.After)}
	}
	if s.all.msg == nil || s.all.asOf != asOf || s.now-s.all.at >= allNewsFor {
		s.all = allNews{msg: &wire.PlatformUpdate{Update: s.catalog.Since(0)}, asOf: asOf, at: s.now}
	}
	return s.all.msg
}

// askNews asks another router for what it knows beyond what is known here.
func (s *state) askNews(from string) {
	after := s.catalog.AsOf()
	every := askNewsEvery
	if after.IsZero() {
		every = askAllEvery
	}
	if s.now-s.askedNews < every {
		return
	}
	s.askedNews = s.now
	s.d.net.Send(from, &wire.PlatformUpdateRequest{Epoch: after.Epoch, After: after.Number})
}

// spread tells others at once what came after a revision: what this router has
// read itself to all it talks with, and a relay passes on what it was told.
func (s *state) spread(after uint64, sender string) {
	if after == 0 {
		// All at once would be sent to everybody by everybody at a start of the fleet:
		// whoever lacks it asks for it.
		s.tellKnown()
		return
	}
	if sender != "" && !s.talk.Relay {
		return
	}
	news := s.catalog.Since(after)
	if news.Empty() {
		return
	}
	s.sendToAll(&wire.PlatformUpdate{Update: news}, sender)
}

// sendToAll sends a message, which is not changed any more, to all that this router talks
// with but one, "" for none.
func (s *state) sendToAll(msg any, but string) {
	for _, list := range [][]string{s.talk.Peers, s.talk.Served, s.talk.RemoteRelays} {
		for _, to := range list {
			if to != but {
				s.d.net.Send(to, msg)
			}
		}
	}
}

// lost is a router to which messages could not be delivered.
type lost struct{ peer.Loss }

func (e lost) apply(s *state) {
	s.link(e.Peer).digest = 0
	if f := s.d.opt.forwarder; f != nil {
		f.EndStreams(e.Peer)
	}
	if !e.Refused {
		return
	}
	s.roster.MarkDown(e.Peer)
	s.step(admit.PeerGone{From: e.Peer})
	s.heardOfMembers()
}

// tellOthers tells other routers what is due to be told.
func (s *state) tellOthers() {
	if s.now-s.toldAt < s.talk.Interval {
		return
	}
	s.toldAt = s.now
	s.membersChanged()
	t := s.core.Snapshot(s.now)
	for _, to := range s.talk.Peers {
		s.tell(to, t, wire.ScopeOwn, t.Copies())
	}
	// Both relays of a zone hear all that its routers tell, so one passes it on.
	served, servedCopies := wire.ScopeNone, t.Copies()
	others, zoneCopies := wire.ScopeNone, t.Copies()
	if s.talk.Primary {
		served, servedCopies = wire.ScopeRest, t.AllCopies()
		others, zoneCopies = wire.ScopeZone, t.ZoneCopies()
	}
	for _, to := range s.talk.Served {
		s.tell(to, t, served, servedCopies)
	}
	for _, to := range s.talk.RemoteRelays {
		s.tell(to, t, others, zoneCopies)
	}
	for _, to := range s.roster.NextProbes(s.now, s.talk) {
		s.try(to)
	}
	s.roster.Forget(s.now)
	s.gossip()
}

// tell sends one router what it is to know.
func (s *state) tell(to string, t *admit.Snapshot, scope wire.Scope, copies []wire.PrefixCopy) {
	m := s.stateFor(to)
	m.Scope, m.Copies = scope, copies
	if !s.d.opt.weights {
		m.Accounts = t.Flows(scope, to)
	}
	if s.talk.Relay {
		m.RosterDigest = s.digest
		s.tellRosterChanges(to, s.link(to))
	}
	s.d.net.Send(to, m)
	s.tellUses(to, t, scope)
}

// gossip tells one router in turn whom this one knows, where there are no relays
// to do so.
func (s *state) gossip() {
	all := s.talk.Peers
	if !s.talk.Mesh || s.now-s.gossiped < gossipEvery || len(all) == 0 {
		return
	}
	s.gossiped = s.now
	s.tellRoster(all[int(s.now/gossipEvery)%len(all)], false)
}
