package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/allowance"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// state is what the task owns.
type state struct {
	d       *Dispatcher
	now     time.Duration
	lastRun time.Duration
	// suspended is for how long the machine had been suspended by lastRun.
	suspended time.Duration
	core      *admit.Core
	catalog   *catalog.Catalog
	roster    *roster.Roster
	allowance *allowance.Allowance
	rule      allowance.Rule
	links     map[string]*link
	pace      *admit.CapacityEstimator
	nextID    uint64
	waiting   map[uint64]*attempt
	// When others were told last, one was told whom this one knows, news were asked for,
	// the status was renewed, the screen was, the shares were logged, and this router could
	// not keep up.
	toldAt, gossiped, askedNews, status, screened, sharesAt, overloadedAt time.Duration
	// limitedAt is when there was no time for all last, 0 if never.
	limitedAt time.Duration
	// talk is whom this router tells what, digest that of its roster.
	talk   roster.Plan
	digest uint64
	// changes counts the changes of the roster, changed is with which of them
	// each router in it came to be told as it is.
	changes uint64
	changed map[string]rosterChange
	// keys is this router's part in the use of idempotency keys.
	keys *keys
	// served counts the tokens of requests that run, by their ids, where accounts are served
	// by their weights.
	served map[uint64]*atomic.Int64
	// loads ends the readers of loads by the names of backend servers; ownedAt is when was
	// last looked which are owned.
	loads   map[string]context.CancelFunc
	ownedAt time.Duration
	// ending is the caller's id of the request whose attempt's end is taken in now.
	ending string
	// cleared counts ends of requests that are not remembered any more, by the reason.
	cleared map[suspect.Reason]int64
	// suspectsAt is when a router was last told of all suspects, suspectsTo how many
	// were.
	suspectsAt time.Duration
	suspectsTo int
	// untrusted are the backend servers that were last logged as such.
	untrusted map[string]admit.Ejection
	// routers are those that the core was last told of, known how many it was told
	// are known in each zone.
	routers []admit.Router
	known   map[string]int
	left    bool
	// membersAt is when they were last worked out, membersDue that they are to be anew.
	membersAt  time.Duration
	membersDue bool
	// all is what was last told to who knew nothing.
	all allNews
	// closed are the availability zones that were closed by the last table.
	closed   []string
	unusable unusableLog
	// neighbours is how many routers connections may be handed to.
	neighbours int
	// hosts are those of the routers, nil until they are looked up after a change.
	hosts map[string]bool
}

// keepPart of the time within which changes are to be in force is for how long
// backend servers are kept whose entries vanish together.
const keepPart = 0.6

// missingPart is the same for those that a platform which came back from a copy does not list:
// a backend server enters itself again with its next heartbeat, and one that was removed is
// out in time.
const missingPart = 0.75

func newState(d *Dispatcher) *state {
	self := roster.Member{Address: d.id.Address, Name: d.id.Name, Zone: d.id.Zone, Inc: d.id.Incarnation, Capacity: d.id.Capacity}
	now := d.now()
	s := &state{
		d: d, now: now, lastRun: now, suspended: d.opt.clock.Suspended(),
		core:      admit.New(admit.Router{Address: d.id.Address, Zone: d.id.Zone, Capacity: d.id.Capacity}, append(d.opt.core, admit.WithSeed(d.id.Incarnation))...),
		roster:    roster.New(self, d.opt.seeds),
		allowance: allowance.New(d.opt.rule, now),
		rule:      d.opt.rule,
		links:     map[string]*link{},
		keys:      newKeys(d.id.Address, now, d.opt.wall()),
		served:    map[uint64]*atomic.Int64{},
		loads:     map[string]context.CancelFunc{},
		cleared:   map[suspect.Reason]int64{},
		pace:      admit.NewCapacityEstimator(d.id.Capacity),
		waiting:   map[uint64]*attempt{},
	}
	part := func(p float64) time.Duration { return time.Duration(p * float64(d.opt.applyWithin)) }
	s.catalog = catalog.New(catalog.WithRemovalGrace(part(keepPart)), catalog.WithUnlistedGrace(part(missingPart)), catalog.WithOwnAddress(s.isOwn))
	return s
}

// pausedAfter is a gap between two steps that means the process was paused.
const pausedAfter = 300 * time.Millisecond

func (s *state) apply(ev event) {
	s.now = s.d.now()
	s.notePause()
	ev.apply(s)
	if s.core.HasSuspectUpdates() {
		s.tellSuspects()
	}
}

// notePause takes in that this router stood still, and logs by how much each clock moved.
func (s *state) notePause() {
	gap, suspended := s.now-s.lastRun, s.d.opt.clock.Suspended()
	if gap >= pausedAfter {
		s.stoodStill(s.lastRun)
		missing := suspended - s.suspended
		s.d.opt.log.Warn("router_was_paused", "gap_ms", gap.Milliseconds(), "suspended_ms", missing.Milliseconds(), "steady_ms", (gap - missing).Milliseconds())
	}
	s.lastRun, s.suspended = s.now, suspended
}

// stoodStill takes in that this router did nothing since a moment.
func (s *state) stoodStill(from time.Duration) {
	s.roster.RecordPause(from, s.now)
	if s.now-from >= vouchesUpTo {
		s.keys.homes.Woke(s.now + s.keys.wall)
	}
}

// step lets the core take an event and does what it says.
func (s *state) step(ev admit.Event) {
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case admit.Start:
			s.reply(a.ID, decision{start: a, waited: a.Waited, served: s.countFor(a.ID)})
		case admit.Refuse:
			s.logHeldBack(a)
			s.reply(a.ID, decision{err: a.Err, waited: a.Waited})
		case admit.Send:
			s.d.net.Send(a.To, a.Msg)
		case admit.SuspectAdded:
			s.logSuspected(a)
		case admit.SuspectCleared:
			s.noteCleared(a)
		case admit.NoticeReceived:
			s.d.opt.log.Warn("backend_word", "backend", a.Backend, "leaving", a.Leaving, "rest_ms", a.Backoff.Milliseconds(), "from", a.From)
		}
	}
}

type ticked struct{}

func (ticked) apply(s *state) {
	s.catalog.MarkVerified(time.Duration(s.d.shared.verified.Load()))
	if s.catalog.Refresh(s.now) {
		s.inForce("")
	}
	s.noteProgress()
	s.step(admit.Tick{})
	s.tickKeys()
	s.followLoads()
	if s.membersDue {
		s.heardOfMembers()
	}
	s.screenIfDue()
	s.tellOthers()
	s.tellSuspects()
	s.publish()
}
