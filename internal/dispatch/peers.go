package dispatch

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// tellEvery is the interval at which a router tells what it has under way.
	tellEvery = 100 * time.Millisecond
	// gossipEvery is the interval at which it tells one other whom it knows.
	gossipEvery = 2 * time.Second
	// askNewsEvery bounds how often news are asked for.
	askNewsEvery = 100 * time.Millisecond
	// readerKey is hashed to order the routers that read the platform.
	readerKey = "reader"
)

// link is what is remembered of the talk with another router.
type link struct {
	// stamp is the last one received from it.
	stamp wire.Stamp
	inc   uint64
}

// inbound is a message of another router.
type inbound struct{ peer.Inbound }

func (e inbound) apply(s *state) {
	member := roster.Member{Address: e.From, Name: e.Name, Zone: e.Zone, Inc: e.Inc}
	if s.roster.Heard(s.now, member) {
		s.d.opt.log.Info("member_heard", "peer", e.Name, "address", e.From, "zone", e.Zone, "incarnation", e.Inc)
		s.d.net.Send(e.From, s.tellRoster(true))
		s.membersChanged()
	}
	switch m := e.Msg.(type) {
	case *wire.State:
		s.hear(e.From, e.Inc, m)
	case *wire.Ask, *wire.Reply, *wire.Note, *wire.Sync:
		s.step(admit.Message{From: e.From, Msg: m})
	case *wire.Roster:
		s.learn(e.From, m)
	case *wire.NewsAsk:
		s.d.net.Send(e.From, &wire.News{News: s.catalog.Since(m.After)})
	case *wire.News:
		if m.Table != nil {
			m.Table.Index()
		}
		heard{News: m.News, from: e.Name}.apply(s)
	}
}

func (s *state) link(from string, inc uint64) *link {
	l, ok := s.peers[from]
	if !ok || l.inc < inc {
		l = &link{inc: inc}
		s.peers[from] = l
	}
	return l
}

// hear takes in what another router has under way and how much it knows.
func (s *state) hear(from string, inc uint64, m *wire.State) {
	s.link(from, inc).stamp = m.Stamp
	if m.Leaving {
		s.roster.Leaving(from)
	}
	s.step(admit.Message{From: from, Msg: m})
	asOf := s.catalog.AsOf()
	if m.AsOf > asOf {
		s.askNews(from, asOf)
		return
	}
	if m.AsOf == asOf && m.Age >= 0 && m.Echo > 0 {
		s.d.verifiedAt(m.Echo.At() - time.Duration(m.Age)*time.Millisecond)
	}
}

func (s *state) askNews(from string, after uint64) {
	if s.now-s.askedNews < askNewsEvery {
		return
	}
	s.askedNews = s.now
	s.d.net.Send(from, &wire.NewsAsk{After: after})
}

// spread tells all routers at once what was read after a revision.
func (s *state) spread(after uint64) {
	news := s.catalog.Since(after)
	if news.Empty() {
		return
	}
	for _, to := range s.roster.Live(s.now) {
		s.d.net.Send(to, &wire.News{News: news})
	}
}

// lost is a router to which messages could not be delivered.
type lost struct{ peer.Lost }

func (e lost) apply(s *state) {
	if !e.Refused {
		return
	}
	s.roster.Gone(e.Peer)
	s.step(admit.PeerGone{From: e.Peer})
	s.membersChanged()
}

// talk tells other routers what is due to be told.
func (s *state) talk() {
	if s.now-s.told < tellEvery {
		return
	}
	s.told = s.now
	s.membersChanged()
	accounts, copies := s.core.Tell(s.now)
	live := s.roster.Live(s.now)
	for _, to := range live {
		s.d.net.Send(to, s.stateFor(to, accounts, copies))
	}
	for _, to := range s.roster.Tries(s.now) {
		s.d.net.Send(to, s.tellRoster(true))
	}
	s.roster.Forget(s.now)
	s.gossip(live)
}

func (s *state) stateFor(to string, accounts []wire.AccountFlow, copies []wire.Copy) *wire.State {
	m := &wire.State{
		Stamp: wire.StampOf(s.now), AsOf: s.catalog.AsOf(), Age: -1, Leaving: s.d.Draining(),
		Accounts: accounts, Copies: copies,
	}
	if l, ok := s.peers[to]; ok {
		m.Echo = l.stamp
	}
	if verified := time.Duration(s.d.shared.verified.Load()); verified > 0 {
		m.Age = (s.now - verified).Milliseconds() + 1
	}
	return m
}

// gossip tells one router in turn whom this one knows.
func (s *state) gossip(live []string) {
	if s.now-s.gossiped < gossipEvery || len(live) == 0 {
		return
	}
	s.gossiped = s.now
	to := live[int(s.now/gossipEvery)%len(live)]
	s.d.net.Send(to, s.tellRoster(false))
}

func (s *state) tellRoster(answer bool) *wire.Roster {
	m := &wire.Roster{Answer: answer}
	for _, k := range s.roster.All(s.now) {
		m.Entries = append(m.Entries, wire.RosterEntry{
			Address: k.Address, Name: k.Name, Zone: k.Zone, Inc: k.Inc, Heard: k.Ago.Milliseconds(),
		})
	}
	return m
}

func (s *state) learn(from string, m *wire.Roster) {
	for _, e := range m.Entries {
		member := roster.Member{Address: e.Address, Name: e.Name, Zone: e.Zone, Inc: e.Inc}
		s.roster.Learn(s.now, member, s.now-time.Duration(e.Heard)*time.Millisecond)
	}
	if m.Answer {
		s.d.net.Send(from, s.tellRoster(false))
	}
}

// membersChanged tells those who decide by the routers that are heard, if
// these changed.
func (s *state) membersChanged() {
	s.takeTurn()
	var routers []admit.Router
	for _, address := range s.roster.Staying(s.now) {
		if m, ok := s.roster.Get(address); ok {
			routers = append(routers, admit.Router{Address: address, Zone: m.Zone})
		}
	}
	leaving := s.d.Draining()
	if slices.Equal(routers, s.routers) && leaving == s.left {
		return
	}
	s.routers, s.left = routers, leaving
	s.d.opt.log.Info("members", "live", len(routers)+1, "leaving", leaving)
	s.step(admit.Routers{List: routers, Leaving: leaving})
}

// takeTurn finds this router's place among those that read the platform.
func (s *state) takeTurn() {
	turn := 0
	if s.d.Draining() {
		turn = len(s.peers) + watchers
	}
	own := rendezvous.Weight(readerKey, s.d.id.Address)
	for _, address := range s.roster.Staying(s.now) {
		if rendezvous.Weight(readerKey, address) > own {
			turn++
		}
	}
	if old := s.d.shared.turn.Swap(int64(turn)); old != int64(turn) {
		s.d.opt.log.Debug("reader_turn", "turn", turn, "before", old)
	}
}

// statusEvery is the interval at which the status for operators is renewed.
const statusEvery = 250 * time.Millisecond

// Status is one router's state, for operators.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Table is the revision in force, 0 before there is one.
	Table uint64 `json:"table"`
	// AsOf is the platform's revision up to which all is known, and
	// VerifiedMillisAgo how long ago that was known to be the newest.
	AsOf              uint64 `json:"as_of"`
	VerifiedMillisAgo int64  `json:"verified_ms_ago"`
	// Turn is the place among the readers of the platform.
	Turn     int64    `json:"reader_turn"`
	Draining bool     `json:"draining"`
	Live     []string `json:"live"`
	// Waiting is how many requests wait.
	Waiting int `json:"waiting"`
}

func (s *state) publish() {
	if s.now-s.status < statusEvery {
		return
	}
	s.status = s.now
	st := &Status{
		Name: s.d.id.Name, Zone: s.d.id.Zone, Incarnation: s.d.id.Inc, AsOf: s.catalog.AsOf(), Turn: s.d.shared.turn.Load(),
		VerifiedMillisAgo: (s.now - time.Duration(s.d.shared.verified.Load())).Milliseconds(),
		Live:              slices.Clone(s.roster.Live(s.now)), Waiting: s.core.Waiting(),
	}
	if v := s.catalog.View(); v != nil {
		st.Table = v.Revision
	}
	s.d.shared.status.Store(st)
}

// State is the router's state for operators.
func (d *Dispatcher) State() any {
	st := Status{Name: d.id.Name, Zone: d.id.Zone, Incarnation: d.id.Inc}
	if p := d.shared.status.Load(); p != nil {
		st = *p
	}
	st.Draining = d.Draining()
	return st
}
