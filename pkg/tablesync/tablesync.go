// Package tablesync decides which revision of the table a router has in force.
// The revision never decreases. At its start the router asks its peers before
// it accepts the platform's table, which may be older. The package is a pure
// state machine.
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
	// DefaultStartupTimeout is how long a starting router waits for its peers'
	// tables.
	DefaultStartupTimeout = 500 * time.Millisecond
	// DefaultRequestInterval is the minimum time between two requests for the
	// same revision.
	DefaultRequestInterval = 300 * time.Millisecond
	// DefaultReaders is the number of routers per zone that watch the platform.
	DefaultReaders = 2
	// maxDeltas limits the deltas kept for peers with an older table.
	maxDeltas = 64
	// readerKey is hashed to choose the readers.
	readerKey = "table-reader"
)

// Event is an input of Sync.Step.
type Event interface{ apply(s *Sync) }

// Start lists the peers to ask for their table at the router's start.
type Start struct{ Peers []string }

// LiveRouters replaces the live routers of the zone.
type LiveRouters struct{ Names []string }

// Tick advances the time.
type Tick struct{}

// PlatformValue is a table that this router read from the platform.
type PlatformValue struct {
	Revision uint64
	// Table is nil if the value is invalid; Err is then the reason.
	Table *table.Table
	Err   error
}

// Revision is the revision in force at a peer.
type Revision struct {
	From     string
	Revision uint64
}

// TableRequested is a peer's request for the table.
type TableRequested struct {
	From string
	Msg  *wire.TableRequest
}

// Unreachable reports that a peer's address refused a connection, so the peer
// will not reply.
type Unreachable struct{ Peer string }

// FullTable is a peer's complete table.
type FullTable struct {
	From string
	Msg  *wire.FullTable
}

// Delta is a table delta from a peer.
type Delta struct {
	From string
	Msg  *wire.TableDelta
}

// Action is an output of Sync.Step that the caller executes.
type Action interface{ action() }

// Send is a message to another router.
type Send struct {
	To  string
	Msg any
}

// Activate puts a table in force.
type Activate struct{ Table *table.Table }

// Rejected reports an invalid revision that is not put in force.
type Rejected struct {
	Revision uint64
	Err      error
}

func (Send) action()     {}
func (Activate) action() {}
func (Rejected) action() {}

// Sync is the table state of one router.
type Sync struct {
	self  string
	now   time.Duration
	state chart.State
	// current is in force; newestSeen is the newest received during startup.
	current    *table.Table
	newestSeen *table.Table
	// startedAt is the time of the startup requests; unanswered contains the
	// peers that have not replied.
	startedAt  time.Duration
	unanswered map[string]bool
	live       []string
	// assignedReader is whether this router is one of the zone's readers.
	assignedReader    bool
	deltas            []table.Delta
	requestedAt       time.Duration
	requestedRevision uint64
	rejected          *Rejected
	out               []Action
}

// New returns the state of a router without a table.
func New(self string) *Sync {
	return &Sync{self: self, state: chart.Table.Initial, unanswered: map[string]bool{}, live: []string{self}, assignedReader: true}
}

// Step applies one event at the time now and returns the actions to execute.
// The returned slice is valid until the next Step.
func (s *Sync) Step(now time.Duration, ev Event) []Action {
	s.now = max(s.now, now)
	s.out = s.out[:0]
	ev.apply(s)
	return s.out
}

// Revision returns the revision in force, 0 if there is none.
func (s *Sync) Revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// LastRejected returns the newest rejected revision, nil if none.
func (s *Sync) LastRejected() *Rejected { return s.rejected }

// Reader reports whether this router watches the platform: it is one of the
// zone's readers, or it has received no table from its peers.
func (s *Sync) Reader() bool {
	if s.state == chart.Asking && s.newestSeen == nil && s.now-s.startedAt >= DefaultStartupTimeout/2 {
		return true
	}
	return s.assignedReader
}

func (s *Sync) emit(a Action) { s.out = append(s.out, a) }

func (s *Sync) transition(on chart.Event) bool {
	next, err := chart.Table.Next(s.state, on)
	if err != nil {
		return false
	}
	s.state = next
	return true
}

func (e Start) apply(s *Sync) {
	s.startedAt = s.now
	for _, p := range e.Peers {
		if p != s.self {
			s.unanswered[p] = true
			s.emit(Send{To: p, Msg: &wire.TableRequest{}})
		}
	}
}

func (e Unreachable) apply(s *Sync) {
	delete(s.unanswered, e.Peer)
	s.finishStartup()
}

func (e LiveRouters) apply(s *Sync) {
	s.live = e.Names
	s.assignedReader = slices.Contains(rendezvous.Owners(readerKey, s.live, DefaultReaders), s.self)
}

func (Tick) apply(s *Sync) { s.finishStartup() }

// finishStartup puts the newest table received in force once all peers have
// replied or the startup timeout has passed.
func (s *Sync) finishStartup() {
	if s.state != chart.Asking || s.newestSeen == nil {
		return
	}
	if len(s.unanswered) > 0 && s.now-s.startedAt < DefaultStartupTimeout {
		return
	}
	if s.transition(chart.Settle) {
		s.activate(s.newestSeen)
		s.newestSeen = nil
	}
}

func (s *Sync) activate(t *table.Table) {
	old := s.current
	s.current = t
	s.emit(Activate{Table: t})
	if old == nil {
		return
	}
	s.deltas = append(s.deltas, table.Diff(old, t))
	if len(s.deltas) > maxDeltas {
		s.deltas = s.deltas[1:]
	}
}

// offer puts a table in force if it is newer than the current one, and reports
// whether it did. During startup it only keeps the newest table.
func (s *Sync) offer(t *table.Table) bool {
	if s.state == chart.Asking {
		if s.newestSeen == nil || t.Revision > s.newestSeen.Revision {
			s.newestSeen = t
		}
		s.finishStartup()
		return false
	}
	if t.Revision <= s.Revision() {
		s.transition(chart.Older)
		return false
	}
	if !s.transition(chart.Newer) {
		return false
	}
	s.activate(t)
	return true
}

func (e PlatformValue) apply(s *Sync) {
	if e.Table == nil {
		if e.Revision > s.Revision() && s.transition(chart.Bad) {
			s.rejected = &Rejected{Revision: e.Revision, Err: e.Err}
			s.emit(*s.rejected)
		}
		return
	}
	e.Table.Revision = e.Revision
	if s.offer(e.Table) {
		s.pushDelta()
	}
}

// pushDelta sends the latest change to all live routers of the zone.
func (s *Sync) pushDelta() {
	if len(s.deltas) == 0 {
		return
	}
	d := s.deltas[len(s.deltas)-1]
	for _, name := range s.live {
		if name != s.self {
			s.emit(Send{To: name, Msg: &wire.TableDelta{Delta: d}})
		}
	}
}

func (e Revision) apply(s *Sync) {
	if e.Revision <= s.Revision() || s.state == chart.Asking && s.unanswered[e.From] {
		return
	}
	if e.Revision <= s.requestedRevision && s.now-s.requestedAt < DefaultRequestInterval {
		return
	}
	s.requestedRevision = e.Revision
	s.requestedAt = s.now
	s.emit(Send{To: e.From, Msg: &wire.TableRequest{Have: s.Revision()}})
}

func (e TableRequested) apply(s *Sync) {
	if s.current == nil {
		s.emit(Send{To: e.From, Msg: &wire.FullTable{}})
		return
	}
	if e.Msg.Have >= s.current.Revision {
		return
	}
	for i, d := range s.deltas {
		if d.From == e.Msg.Have {
			for _, step := range s.deltas[i:] {
				s.emit(Send{To: e.From, Msg: &wire.TableDelta{Delta: step}})
			}
			return
		}
	}
	s.emit(Send{To: e.From, Msg: &wire.FullTable{
		Revision: s.current.Revision, Accounts: s.current.Accounts, Backends: s.current.Backends,
	}})
}

func (e FullTable) apply(s *Sync) {
	delete(s.unanswered, e.From)
	if e.Msg.Revision == 0 {
		s.finishStartup()
		return
	}
	t := &table.Table{Revision: e.Msg.Revision, Accounts: e.Msg.Accounts, Backends: e.Msg.Backends}
	t.Index()
	s.offer(t)
}

func (e Delta) apply(s *Sync) {
	d := e.Msg.Delta
	if s.current == nil || d.To <= s.current.Revision {
		return
	}
	next, err := s.current.Apply(d)
	if err != nil {
		Revision{From: e.From, Revision: d.To}.apply(s)
		return
	}
	s.offer(next)
}
