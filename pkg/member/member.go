// Package member tracks the live routers of one availability zone by gossip,
// similar to SWIM: each router probes others in turn, probes and acks carry
// rumours of state changes, and a router refutes rumours that suspect it. It is
// a pure state machine.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The defaults; docs/MEMBERSHIP.md gives the resulting detection time.
const (
	// DefaultProbeInterval is the interval between two probes of a router.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultAckTimeout is how long a probe may stay unanswered.
	DefaultAckTimeout = 300 * time.Millisecond
	// DefaultSuspectTimeout is how long a suspect has to refute.
	DefaultSuspectTimeout = 700 * time.Millisecond
	// DefaultRetention is how long dead members that are not on the platform's
	// list are remembered.
	DefaultRetention = 10 * time.Minute
	// gossipSends is how many messages of each router carry a state change;
	// rumoursPerMessage is the maximum number of rumours in a message.
	gossipSends       = 8
	rumoursPerMessage = 6
)

// Peer is a router on the platform's list.
type Peer struct {
	// Name is unique in the fleet.
	Name string
	// Leaving is whether the platform is about to remove the router.
	Leaving bool
}

// Send is a message that the caller of Step delivers.
type Send struct {
	To  string
	Msg any
}

// Members is one router's view of its zone.
type Members struct {
	self        string
	incarnation uint64
	refutations uint64
	leaving     bool
	now         time.Duration
	rng         *rand.Rand

	peers         map[string]*peer
	order         []string
	nextIndex     int
	seq           uint64
	probes        map[uint64]probe
	lastProbe     time.Duration
	tableRevision uint64
	changed       bool
	out           []Send
}

type peer struct {
	name        string
	incarnation uint64
	refutations uint64
	state       wire.MemberState
	stateSince  time.Duration
	// lastSeen is the time of the last message from the peer.
	lastSeen time.Duration
	// gossipLeft is how many more messages carry the state.
	gossipLeft int
	listed     bool
}

type probe struct {
	to string
	at time.Duration
	// retry is whether the previous probe was not answered either.
	retry bool
}

// New returns a view without members. The incarnation must be greater than that
// of any earlier process with the same name.
func New(self string, inc uint64, seed uint64) *Members {
	return &Members{
		self: self, incarnation: inc,
		rng:    rand.New(rand.NewPCG(seed, inc)),
		peers:  map[string]*peer{},
		probes: map[uint64]probe{},
	}
}

// Event is an input of Members.Step.
type Event interface{ apply(m *Members) }

// PlatformList is the platform's list of the zone's routers. It may be out of
// date: listed routers may be dead and unlisted ones alive.
type PlatformList struct{ Peers []Peer }

// Tick advances the time. It is due at least every DefaultProbeInterval.
type Tick struct{}

// Probe is a probe received from a router.
type Probe struct {
	From string
	Msg  *wire.Probe
}

// Ack is the response to a probe.
type Ack struct {
	From string
	Msg  *wire.Ack
}

// ConnectionRefused reports that a router's address refused a connection, so no
// process listens there.
type ConnectionRefused struct{ Peer string }

// TableRevision sets the table revision to send with probes.
type TableRevision struct{ Revision uint64 }

// Join reports that this router is ready to serve.
type Join struct{}

// Leave reports that this router is about to stop.
type Leave struct{}

// Resumed reports that this router was paused. It may have missed messages, so
// outstanding probes are discarded.
type Resumed struct{}

// Step applies one event at the time now and returns the messages to send. The
// returned slice is valid until the next Step.
func (m *Members) Step(now time.Duration, ev Event) []Send {
	m.now = max(m.now, now)
	m.out = m.out[:0]
	ev.apply(m)
	return m.out
}

// TakeChanged reports whether the live members changed since the last call.
func (m *Members) TakeChanged() bool {
	c := m.changed
	m.changed = false
	return c
}

// Live returns the sorted names of the members that may own pools, including
// this router unless it leaves. Suspects are included, so that a suspicion
// alone moves no pool.
func (m *Members) Live() []string {
	names := make([]string, 0, len(m.peers)+1)
	if !m.leaving {
		names = append(names, m.self)
	}
	for name, p := range m.peers {
		if p.state <= wire.Suspect && p.incarnation > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Expected returns the sorted names of all routers that may be alive, including
// this router and listed routers that have not sent a message yet.
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

// Incarnation returns the incarnation of a member, 0 if unknown.
func (m *Members) Incarnation(name string) uint64 {
	if name == m.self {
		return m.incarnation
	}
	if p, ok := m.peers[name]; ok {
		return p.incarnation
	}
	return 0
}

// Status is the state of a member as this router sees it.
type Status struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// LastSeenMillisAgo is the time since the member's last message.
	LastSeenMillisAgo int64 `json:"heard_ms_ago"`
}

// Statuses returns the state of all known members, sorted by name.
func (m *Members) Statuses() []Status {
	all := make([]Status, 0, len(m.peers))
	for _, p := range m.peers {
		all = append(all, Status{
			Name: p.name, State: p.state.String(), Incarnation: p.incarnation,
			LastSeenMillisAgo: (m.now - p.lastSeen).Milliseconds(),
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
		p = &peer{name: name, state: wire.Alive, stateSince: m.now, lastSeen: m.now}
		m.peers[name] = p
		m.order = nil
	}
	return p
}

// setState changes a peer's state and starts to gossip the change.
func (m *Members) setState(p *peer, state wire.MemberState) {
	if p.state == state {
		return
	}
	wasLive := p.state <= wire.Suspect
	p.state = state
	p.stateSince = m.now
	p.gossipLeft = gossipSends
	if wasLive != (state <= wire.Suspect) {
		m.changed = true
		m.order = nil
	}
}
