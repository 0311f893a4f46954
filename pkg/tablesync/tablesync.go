// Package tablesync decides which version of the table is in force at a
// router: never a lower one than before, and at the start never the
// platform's word alone while a peer may know better. It is a pure state
// machine.
package tablesync

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The defaults.
const (
	// DefaultAskFor is how long a router that starts waits for its peers.
	DefaultAskFor = 500 * time.Millisecond
	// DefaultAskEvery is the least time between two asks of one version.
	DefaultAskEvery = 300 * time.Millisecond
	// DefaultReaders is how many routers of a zone watch the platform.
	DefaultReaders = 2
	// deltasKept bounds the deltas kept for peers that are a little behind.
	deltasKept = 64
	// readerKey is hashed to choose the readers.
	readerKey = "table-reader"
)

// Event is what Sync takes in one Step.
type Event interface{ apply(s *Sync) }

// Start says which peers can be asked, at the router's start.
type Start struct{ Peers []string }

// Live replaces the live routers of the zone.
type Live struct{ Names []string }

// Tick lets time pass.
type Tick struct{}

// Platform is a value that this router read from the platform.
type Platform struct {
	Revision uint64
	// Table is nil if the value was refused; Err then says why.
	Table *table.Table
	Err   error
}

// Revision is what a peer says it has in force.
type Revision struct {
	From     string
	Revision uint64
}

// Asked is a peer's TableRequest.
type Asked struct {
	From string
	Msg  *wire.TableRequest
}

// Unreachable says that no process listens at a peer's address, so that it
// will not answer.
type Unreachable struct{ Peer string }

// Whole is a peer's FullTable.
type Whole struct {
	From string
	Msg  *wire.FullTable
}

// Delta is a peer's TableDelta.
type Delta struct {
	From string
	Msg  *wire.TableDelta
}

// Action is what the caller of Step does.
type Action interface{ action() }

// Send is a message to another router.
type Send struct {
	To  string
	Msg any
}

// InForce puts a table in force.
type InForce struct{ Table *table.Table }

// Refused reports an edit that stays out of force.
type Refused struct {
	Revision uint64
	Err      error
}

func (Send) action()    {}
func (InForce) action() {}
func (Refused) action() {}

// Sync is the state of one router.
type Sync struct {
	self  string
	now   time.Duration
	state chart.State
	// cur is in force; best is the highest seen while asking.
	cur  *table.Table
	best *table.Table
	// started is when the asking began; unanswered are the peers asked.
	started    time.Duration
	unanswered map[string]bool
	live       []string
	// chosen says that this router is one of the zone's readers.
	chosen   bool
	deltas   []table.Delta
	askedAt  time.Duration
	askedRev uint64
	refused  *Refused
	out      []Action
}

// New returns the state of a router without memory.
func New(self string) *Sync {
	return &Sync{self: self, state: chart.Table.Initial, unanswered: map[string]bool{}, live: []string{self}, chosen: true}
}

// Step takes one event at the time now. The returned slice is valid until
// the next Step.
func (s *Sync) Step(now time.Duration, ev Event) []Action {
	s.now = max(s.now, now)
	s.out = s.out[:0]
	ev.apply(s)
	return s.out
}

// Revision returns the revision in force, 0 before there is one.
func (s *Sync) Revision() uint64 {
	if s.cur == nil {
		return 0
	}
	return s.cur.Revision
}

// LastRefused returns the newest refused edit, nil if none.
func (s *Sync) LastRefused() *Refused { return s.refused }

// Reader reports whether this router watches the platform: it is one of the
// zone's readers, or it has no table and nobody gave it one.
func (s *Sync) Reader() bool {
	if s.state == chart.Asking && s.best == nil && s.now-s.started >= DefaultAskFor/2 {
		return true
	}
	return s.chosen
}

func (s *Sync) act(a Action) { s.out = append(s.out, a) }

func (s *Sync) move(on chart.Event) bool {
	next, err := chart.Table.Next(s.state, on)
	if err != nil {
		return false
	}
	s.state = next
	return true
}

func (e Start) apply(s *Sync) {
	s.started = s.now
	for _, p := range e.Peers {
		if p != s.self {
			s.unanswered[p] = true
			s.act(Send{To: p, Msg: &wire.TableRequest{}})
		}
	}
}

func (e Unreachable) apply(s *Sync) {
	delete(s.unanswered, e.Peer)
	s.settle()
}

func (e Live) apply(s *Sync) {
	s.live = e.Names
	s.chosen = slices.Contains(rendezvous.Owners(readerKey, s.live, DefaultReaders), s.self)
}

func (Tick) apply(s *Sync) { s.settle() }

// settle ends the asking once all peers answered or had their time.
func (s *Sync) settle() {
	if s.state != chart.Asking || s.best == nil {
		return
	}
	if len(s.unanswered) > 0 && s.now-s.started < DefaultAskFor {
		return
	}
	if s.move(chart.Settle) {
		s.enforce(s.best)
		s.best = nil
	}
}

func (s *Sync) enforce(t *table.Table) {
	old := s.cur
	s.cur = t
	s.act(InForce{Table: t})
	if old == nil {
		return
	}
	s.deltas = append(s.deltas, table.Diff(old, t))
	if len(s.deltas) > deltasKept {
		s.deltas = s.deltas[1:]
	}
}

// consider takes a table from anywhere: in force if it is the newest.
func (s *Sync) consider(t *table.Table) bool {
	if s.state == chart.Asking {
		if s.best == nil || t.Revision > s.best.Revision {
			s.best = t
		}
		s.settle()
		return false
	}
	if t.Revision <= s.Revision() {
		s.move(chart.Older)
		return false
	}
	if !s.move(chart.Newer) {
		return false
	}
	s.enforce(t)
	return true
}

func (e Platform) apply(s *Sync) {
	if e.Table == nil {
		if e.Revision > s.Revision() && s.move(chart.Bad) {
			s.refused = &Refused{Revision: e.Revision, Err: e.Err}
			s.act(*s.refused)
		}
		return
	}
	e.Table.Revision = e.Revision
	if s.consider(e.Table) {
		s.push()
	}
}

// push sends the newest step to the zone, so that no peer waits to hear of
// it by chance.
func (s *Sync) push() {
	if len(s.deltas) == 0 {
		return
	}
	d := s.deltas[len(s.deltas)-1]
	for _, name := range s.live {
		if name != s.self {
			s.act(Send{To: name, Msg: &wire.TableDelta{Delta: d}})
		}
	}
}

func (e Revision) apply(s *Sync) {
	if e.Revision <= s.Revision() || s.state == chart.Asking && s.unanswered[e.From] {
		return
	}
	if e.Revision <= s.askedRev && s.now-s.askedAt < DefaultAskEvery {
		return
	}
	s.askedRev = e.Revision
	s.askedAt = s.now
	s.act(Send{To: e.From, Msg: &wire.TableRequest{Have: s.Revision()}})
}

func (e Asked) apply(s *Sync) {
	if s.cur == nil {
		s.act(Send{To: e.From, Msg: &wire.FullTable{}})
		return
	}
	if e.Msg.Have >= s.cur.Revision {
		return
	}
	for i, d := range s.deltas {
		if d.From == e.Msg.Have {
			for _, step := range s.deltas[i:] {
				s.act(Send{To: e.From, Msg: &wire.TableDelta{Delta: step}})
			}
			return
		}
	}
	s.act(Send{To: e.From, Msg: &wire.FullTable{
		Revision: s.cur.Revision, Accounts: s.cur.Accounts, Backends: s.cur.Backends,
	}})
}

func (e Whole) apply(s *Sync) {
	delete(s.unanswered, e.From)
	if e.Msg.Revision == 0 {
		s.settle()
		return
	}
	t := &table.Table{Revision: e.Msg.Revision, Accounts: e.Msg.Accounts, Backends: e.Msg.Backends}
	t.Index()
	s.consider(t)
}

func (e Delta) apply(s *Sync) {
	d := e.Msg.Delta
	if s.cur == nil || d.To <= s.cur.Revision {
		return
	}
	next, err := s.cur.Apply(d)
	if err != nil {
		Revision{From: e.From, Revision: d.To}.apply(s)
		return
	}
	s.consider(next)
}
