package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// gossipInterval is the interval of sending the roster to one other router in a full
	// mesh, where no relays do so.
	gossipInterval = 2 * time.Second
	// updateRequestInterval bounds the rate of requests for updates,
	// fullUpdateRequestInterval that of requests for full updates, which take 0.3 MB at 3,000
	// backend servers and would otherwise come from each router that a new one hears.
	updateRequestInterval     = 100 * time.Millisecond
	fullUpdateRequestInterval = 300 * time.Millisecond
	// maxMissedReports is the number of missed reports after which the last one expires.
	maxMissedReports = 4
)

// link is the state of the exchange with another router.
type link struct {
	incarnation uint64
	// stamp is the last time stamp received, stampReceivedAt when it arrived.
	stamp           wire.Stamp
	stampReceivedAt time.Duration
	// rosterDigest and rosterVersion identify the roster that was last sent.
	rosterDigest, rosterVersion uint64
	// rosterRequestedAt is when the full roster was last requested.
	rosterRequestedAt time.Duration
	// versions are the software versions in the update that it sends next, nil if it sent none.
	versions *wire.SoftwareVersions
	// seniors are those of the listed versions that follow, nil if none came.
	seniors *wire.SeniorVersions
}

// messageEvent is a message from another router.
type messageEvent struct{ peer.Inbound }

func (e messageEvent) apply(s *state) {
	member := roster.Member{Address: e.From, Name: e.Name, Zone: e.Zone, Incarnation: e.Incarnation}
	isNew := s.roster.Observe(s.now, member)
	if isNew {
		s.endStreamsOfRestarted(&e.Inbound)
		s.origins.forgetRecipient(e.From)
		s.versions.RecordNewcomer(e.From, s.now)
		s.d.opt.log.Info("member_heard", "peer", e.Name, "address", e.From, "zone", e.Zone, "incarnation", e.Incarnation)
		if _, isRoster := e.Msg.(*wire.Roster); !isRoster && s.introducesRouters() {
			s.sendFullRoster(e.From, true)
		}
		if s.catalog.AsOf().IsZero() {
			s.requestUpdate(e.From)
		}
		s.sendEach(e.From, s.retainedUpdate())
		s.sendAllSuspects(e.From)
		s.sendAllSpeeds(e.Inbound)
		s.sendVersions(e.From)
		s.scheduleMembersUpdate()
	}
	switch m := e.Msg.(type) {
	case *wire.RouterState:
		s.handleState(e.Inbound, m)
	case *wire.SlotRequest, *wire.SlotContext, *wire.SlotReply, *wire.RequestUpdate, *wire.RequestSync, *wire.Leaving, *wire.SuspectUpdate, *wire.PartCrashes,
		*wire.SlotMargin, *wire.StreamPauses, *wire.EngineStates, *wire.ReturnOffer, *wire.ReturnPromise:
		s.step(admit.Message{From: e.From, Msg: m})
	case *wire.CapacityReport:
		s.handleCapacity(e.Inbound, m)
	case *wire.Usage:
		s.handleUsage(e.Inbound, m)
	case *wire.ServerSpeeds:
		s.step(admit.PeerSpeeds{From: e.From, Zone: e.Zone, Msg: m})
	case *wire.Claim, *wire.ClaimRelease, *wire.ClaimReply:
		s.handleClaimMessage(e.From, m)
	case *wire.Roster:
		s.mergeRoster(e.From, m, isNew)
	case *wire.PlatformUpdateRequest:
		s.sendUpdateSince(e.Inbound, m)
	case *wire.UpdateReferral:
		s.followReferral(e.From, m)
	case *wire.StreamOrigins:
		s.origins.addAll(s.now, m)
	case *wire.OriginQuery:
		s.answerOriginQuery(e.From, m)
	case *wire.OriginBasis:
		s.handleOriginBasis(e.From, m)
	case *wire.OriginReply:
		s.handleOriginReply(e.From, m)
	case *wire.VerifyRequest:
		s.handleVerifyRequest(e.Inbound, m)
	case *wire.ListedVersions:
		l := s.link(e.From)
		s.handleListedVersions(toldVersions{msg: m, seniors: l.seniors, from: e.From, at: s.now})
		l.seniors = nil
	case *wire.SeniorVersions:
		s.link(e.From).seniors = m
	case *wire.SoftwareVersions:
		s.link(e.From).versions = m
	case *wire.PlatformUpdate:
		s.mergeUpdate(e.Inbound, m.Update)
	case *wire.RestrictedUpdate:
		s.mergeUpdate(e.Inbound, m.Restore())
	}
}

// mergeUpdate merges an update of another router.
func (s *state) mergeUpdate(from peer.Inbound, u catalog.Update) {
	l := s.link(from.From)
	l.versions.Restore(&u)
	l.versions = nil
	indexTables(&u)
	updateEvent{Update: u.Checked(), senderName: from.Name, senderAddress: from.From}.apply(s)
}

// indexTables indexes the tables of a received update for lookups.
func indexTables(u *catalog.Update) {
	if u.Table != nil {
		u.Table.Index()
	}
	if u.Retained != nil && u.Retained.Table != nil {
		u.Retained.Table.Index()
	}
}

func (s *state) link(to string) *link {
	l, ok := s.peerLinks[to]
	if !ok {
		l = &link{}
		s.peerLinks[to] = l
	}
	return l
}

// recordStamp records a time stamp of another router, to be echoed to it.
func (s *state) recordStamp(from peer.Inbound, stamp wire.Stamp) {
	l := s.link(from.From)
	if l.incarnation < from.Incarnation {
		*l = link{incarnation: from.Incarnation}
	}
	l.stamp, l.stampReceivedAt = stamp, s.now
}

// handleState processes a report of another router.
func (s *state) handleState(from peer.Inbound, m *wire.RouterState) {
	s.recordStamp(from, m.Stamp)
	if m.Leaving {
		s.roster.MarkLeaving(from.From)
	}
	if m.RosterDigest != 0 && !s.roster.ConfirmReport(s.now, from.From, m.RosterDigest) {
		s.requestRoster(from.From)
	}
	if s.acceptsScope(from, m.Scope) {
		s.step(admit.PeerState{From: from.From, Zone: from.Zone, Msg: m, TTL: maxMissedReports * s.peerPlan.Interval})
	}
	asOf, peerAsOf := s.catalog.AsOf(), catalog.Revision{Epoch: m.Epoch, Number: m.AsOf}
	if asOf.Before(peerAsOf) {
		s.requestUpdate(from.From)
		return
	}
	if peerAsOf == asOf && m.VerifiedAgeMillis >= 0 && m.Echo > 0 {
		s.handleVerified(from, m)
	}
}

// acceptsScope reports whether this router counts flows of a scope from a sender, so that every
// flow is counted exactly once.
func (s *state) acceptsScope(from peer.Inbound, scope wire.Scope) bool {
	switch scope {
	case wire.ScopeOwn:
		return s.peerPlan.Mesh || s.peerPlan.Relay
	case wire.ScopeZone:
		return s.peerPlan.Relay && from.From == s.roster.PrimaryRelay(s.now, from.Zone)
	case wire.ScopeRest:
		return !s.peerPlan.Mesh && !s.peerPlan.Relay && from.From == s.roster.PrimaryRelay(s.now, s.d.id.Zone)
	default:
		return true
	}
}

// requestUpdate asks another router for what it knows beyond the local revision.
func (s *state) requestUpdate(from string) {
	after := s.catalog.AsOf()
	interval := updateRequestInterval
	if after.IsZero() {
		interval = fullUpdateRequestInterval
	}
	if s.now-s.updateRequestedAt < interval {
		return
	}
	s.updateRequestedAt = s.now
	s.d.transport.Send(from, &wire.PlatformUpdateRequest{Epoch: after.Epoch, After: after.Number})
}

// broadcastUpdate sends what was published after a revision. A router sends what it read itself
// to all its peers; a relay also passes on what it received.
func (s *state) broadcastUpdate(after uint64, sender string) {
	if after == 0 {
		// Sending everything would flood the network when the fleet starts. Routers
		// that lack it request it.
		s.broadcastVerified()
		return
	}
	if sender != "" && !s.peerPlan.Relay {
		return
	}
	update := s.catalog.Since(after)
	if update.Empty() {
		return
	}
	for _, msg := range updateMessages(update) {
		for _, list := range [][]string{s.peerPlan.Peers, s.servedShare(), s.peerPlan.RemoteRelays} {
			s.sendAll(list, msg, sender)
		}
	}
}

// updateMessages returns the messages that carry an update, in order. They must not be modified.
func updateMessages(u catalog.Update) []any {
	update := wire.NewPlatformUpdate(u)
	if versions := wire.NewSoftwareVersions(&u); versions != nil {
		return []any{versions, update}
	}
	return []any{update}
}

// sendEach sends messages to a router, in order.
func (s *state) sendEach(to string, msgs []any) {
	for _, msg := range msgs {
		s.d.transport.Send(to, msg)
	}
}

// servedShare returns the routers of its zone to which this relay sends updates at once: every other one
// if the zone has another relay, which sends them to the rest. If that one is lost, the reports of this
// one tell them that they are behind.
func (s *state) servedShare() []string {
	served := s.peerPlan.Served
	if len(s.peerPlan.Peers) == 0 {
		return served
	}
	offset := 1
	if s.peerPlan.Primary {
		offset = 0
	}
	var share []string
	for i := offset; i < len(served); i += relaysThatShare {
		share = append(share, served[i])
	}
	return share
}

// relaysThatShare is the number of relays among which the routers of a zone are divided.
const relaysThatShare = 2

// broadcast sends a message to all peers except one, "" for none. The message must not be
// modified.
func (s *state) broadcast(msg any, except string) {
	for _, list := range [][]string{s.peerPlan.Peers, s.peerPlan.Served, s.peerPlan.RemoteRelays} {
		s.sendAll(list, msg, except)
	}
}

func (s *state) sendAll(list []string, msg any, except string) {
	for _, to := range list {
		if to != except {
			s.d.transport.Send(to, msg)
		}
	}
}

// lossEvent reports that messages to a router could not be delivered.
type lossEvent struct{ peer.Loss }

func (e lossEvent) apply(s *state) {
	s.link(e.Peer).rosterDigest = 0
	s.origins.forgetRecipient(e.Peer)
	if f := s.d.opt.forwarder; f != nil {
		f.EndStreams(e.Peer, forward.ConnectionLost)
	}
	if !e.Refused {
		return
	}
	s.roster.MarkDown(e.Peer)
	s.step(admit.PeerGone{From: e.Peer})
	s.scheduleMembersUpdate()
}

// sendReports sends the periodic reports to other routers.
func (s *state) sendReports() {
	if s.now-s.reportedAt < s.peerPlan.Interval {
		return
	}
	s.reportedAt = s.now
	s.updateMembers()
	t := s.core.Snapshot(s.now)
	for _, to := range s.peerPlan.Peers {
		s.sendReport(to, t, wire.ScopeOwn, t.Copies())
		s.sendSpeeds(to, t.Speeds())
	}
	// Every relay of a zone receives the reports of its routers, so only the primary relay
	// sends their sums to others.
	served, servedCopies, servedSpeeds := wire.ScopeNone, t.Copies(), t.Speeds()
	remote, zoneCopies, zoneSpeeds := wire.ScopeNone, t.Copies(), t.Speeds()
	if s.peerPlan.Primary {
		served, servedCopies, servedSpeeds = wire.ScopeRest, t.AllCopies(), t.AllSpeeds()
		remote, zoneCopies, zoneSpeeds = wire.ScopeZone, t.ZoneCopies(), t.ZoneSpeeds()
	}
	for _, to := range s.peerPlan.Served {
		s.sendReport(to, t, served, servedCopies)
		s.sendSpeeds(to, servedSpeeds)
	}
	for _, to := range s.peerPlan.RemoteRelays {
		s.sendReport(to, t, remote, zoneCopies)
		s.sendSpeeds(to, zoneSpeeds)
	}
	for _, to := range s.roster.NextProbes(s.now, s.peerPlan) {
		s.probe(to)
	}
	s.roster.Forget(s.now)
	s.retryBudget.ObserveFleet(s.now, s.roster.CountRecent(s.now, s.retryConfig.Window))
	s.gossip()
}

// sendReport sends one router its report.
func (s *state) sendReport(to string, t *admit.Snapshot, scope wire.Scope, copies []wire.PrefixCopy) {
	m := s.stateMessage(to)
	m.Scope, m.Copies = scope, copies
	if !s.d.opt.weighted {
		m.Accounts = t.Flows(scope, to)
	}
	if s.peerPlan.Relay {
		m.RosterDigest = s.rosterDigest
		s.sendRosterChanges(to, s.link(to))
	}
	s.sendCapacity(to, t, scope)
	s.d.transport.Send(to, m)
	s.sendUsage(to, t, scope)
}

// gossip sends the roster to one other router in turn, if the fleet is a full mesh.
func (s *state) gossip() {
	all := s.peerPlan.Peers
	if !s.peerPlan.Mesh || s.now-s.gossipedAt < gossipInterval || len(all) == 0 {
		return
	}
	s.gossipedAt = s.now
	s.sendFullRoster(all[int(s.now/gossipInterval)%len(all)], false)
}
