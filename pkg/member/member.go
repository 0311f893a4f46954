// Package member keeps the live routers of one availability zone: each router
// probes a few others, suspicion spreads on the same messages, and who is
// suspected wrongly refutes it. It is a pure state machine.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The defaults; docs/MEMBERSHIP.md gives the detection time they lead to.
const (
	// DefaultProbeInterval is the interval between two probes of a router.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultAckTimeout is how long a probe may stay unanswered.
	DefaultAckTimeout = 300 * time.Millisecond
	// DefaultSuspectTimeout is how long a suspect may take to refute.
	DefaultSuspectTimeout = 700 * time.Millisecond
	// DefaultRetention is when a dead member is forgotten for good.
	DefaultRetention = 10 * time.Minute
	// rumourSends is how often a change is passed on by each router, and
	// rumoursEach how many go with one message.
	rumourSends = 8
	rumoursEach = 6
)

// Peer is a router as the platform's list gives it.
type Peer struct {
	// Name is unique in the fleet.
	Name string
	// Leaving says that the platform is about to take the router away.
	Leaving bool
}

// Send is a message that the caller of Step delivers.
type Send struct {
	To  string
	Msg any
}

// Members is the state of one router's view of its zone.
type Members struct {
	self    string
	inc     uint64
	ref     uint64
	leaving bool
	now     time.Duration
	rng     *rand.Rand

	peers   map[string]*peer
	order   []string
	next    int
	seq     uint64
	probes  map[uint64]probe
	lastRun time.Duration
	table   uint64
	changed bool
	out     []Send
}

type peer struct {
	name  string
	inc   uint64
	ref   uint64
	state wire.MemberState
	since time.Duration
	// heard is when a message of it last came.
	heard time.Duration
	// sends is how often the state is still to be passed on.
	sends  int
	listed bool
}

type probe struct {
	to string
	at time.Duration
	// second says that an earlier one was not answered either.
	second bool
}

// New returns the view of a router that knows nobody yet. The incarnation
// must be greater than at any earlier start of the same name.
func New(self string, inc uint64, seed uint64) *Members {
	return &Members{
		self: self, inc: inc,
		rng:    rand.New(rand.NewPCG(seed, inc)),
		peers:  map[string]*peer{},
		probes: map[uint64]probe{},
	}
}

// Event is what Members takes in one Step.
type Event interface{ apply(m *Members) }

// PlatformList is the platform's list for the zone. It may lag: who is on it may be
// dead, and who is not may live.
type PlatformList struct{ Peers []Peer }

// Tick lets time pass. It is due at least every DefaultProbeEvery.
type Tick struct{}

// Probe is a probe that came from a router.
type Probe struct {
	From string
	Msg  *wire.Probe
}

// Ack is an answer that came from a router.
type Ack struct {
	From string
	Msg  *wire.Ack
}

// ConnectionRefused says that the router's address refused a connection, so that no
// process listens there.
type ConnectionRefused struct{ Peer string }

// TableRevision says which revision is in force here, to be told with probes.
type TableRevision struct{ Revision uint64 }

// Join says that this router is ready to take its part.
type Join struct{}

// Leave says that this router is about to stop.
type Leave struct{}

// Resumed says that this router was paused: its silence and everyone else's
// prove nothing, so all waiting probes are void.
type Resumed struct{}

// Step takes one event at the time now. The returned slice is valid until
// the next Step.
func (m *Members) Step(now time.Duration, ev Event) []Send {
	m.now = max(m.now, now)
	m.out = m.out[:0]
	ev.apply(m)
	return m.out
}

// TakeChanged reports whether the live members changed since it was last
// asked.
func (m *Members) TakeChanged() bool {
	c := m.changed
	m.changed = false
	return c
}

// Live returns the names of the members that may own pools, with this
// router, sorted. Suspects still count: suspicion alone moves nothing.
func (m *Members) Live() []string {
	names := make([]string, 0, len(m.peers)+1)
	if !m.leaving {
		names = append(names, m.self)
	}
	for name, p := range m.peers {
		if p.state <= wire.Suspect && p.inc > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Expected returns the names of all routers that may live, with this one:
// also those on the platform's list that have not been heard of.
func (m *Members) Expected() []string {
	names := []string{m.self}
	for name, p := range m.peers {
		if p.state <= wire.Suspect {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Incarnation returns the incarnation of a member, 0 if it is not known.
func (m *Members) Incarnation(name string) uint64 {
	if name == m.self {
		return m.inc
	}
	if p, ok := m.peers[name]; ok {
		return p.inc
	}
	return 0
}

// Status is one member as this router sees it.
type Status struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// LastSeenMillisAgo is the time since its last message.
	LastSeenMillisAgo int64 `json:"heard_ms_ago"`
}

// Statuses returns every member known, sorted by name.
func (m *Members) Statuses() []Status {
	all := make([]Status, 0, len(m.peers))
	for _, p := range m.peers {
		all = append(all, Status{
			Name: p.name, State: p.state.String(), Incarnation: p.inc,
			LastSeenMillisAgo: (m.now - p.heard).Milliseconds(),
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (m *Members) send(to string, msg any) {
	m.out = append(m.out, Send{To: to, Msg: msg})
}

func (m *Members) peer(name string) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{name: name, state: wire.Alive, since: m.now, heard: m.now}
		m.peers[name] = p
		m.order = nil
	}
	return p
}

// set moves a peer to a state and starts to pass the news on.
func (m *Members) set(p *peer, state wire.MemberState) {
	if p.state == state {
		return
	}
	wasLive := p.state <= wire.Suspect
	p.state = state
	p.since = m.now
	p.sends = rumourSends
	if wasLive != (state <= wire.Suspect) {
		m.changed = true
		m.order = nil
	}
}
