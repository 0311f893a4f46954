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
	d           *Dispatcher
	now         time.Duration
	lastEventAt time.Duration
	// suspended is for how long the machine had been suspended by lastRun.
	suspended time.Duration
	core      *admit.Core
	catalog   *catalog.Catalog
	roster    *roster.Roster
	allowance *allowance.Allowance
	retryRule allowance.Rule
	peerLinks map[string]*link
	estimator *admit.CapacityEstimator
	nextID    uint64
	waiting   map[uint64]*attempt
	// When others were told last, one was told whom this one knows, news were asked for,
	// the statusAt was renewed, the screen was, the shares were logged, and this router could
	// not keep up.
	reportedAt, gossipedAt, updateRequestedAt, statusAt, admissionAt, sharesLoggedAt, overloadedAt time.Duration
	// limitedAt is when there was no time for all last, 0 if never.
	saturatedAt time.Duration
	// talk is whom this router tells what, digest that of its roster.
	peerPlan     roster.Plan
	rosterDigest uint64
	// rosterVersion counts the rosterVersion of the roster, changed is with which of them
	// each router in it came to be told as it is.
	rosterVersion uint64
	rosterChanges map[string]rosterChange
	// keys is this router's part in the use of idempotency keys.
	keys *idempotencyKeys
	// tokenCounts counts the tokens of requests that run, by their ids, where accounts are tokenCounts
	// by their weights.
	tokenCounts map[uint64]*atomic.Int64
	// loadReaders ends the readers of loadReaders by the names of backend servers; ownedAt is when was
	// last looked which are owned.
	loadReaders    map[string]context.CancelFunc
	ownedCheckedAt time.Duration
	// ending is the caller's id of the request whose attempt's end is taken in now.
	endingRequest string
	// cleared counts ends of requests that are not remembered any more, by the reason.
	clearedCrashes map[suspect.Reason]int64
	// suspectsAt is when a router was last told of all suspects, suspectsTo how many
	// were.
	suspectsSentAt time.Duration
	suspectsSent   int
	// untrusted are the backend servers that were last logged as such.
	untrusted map[string]admit.Ejection
	// routers are those that the core was last told of, known how many it was told
	// are known in each zone.
	routers     []admit.Router
	knownByZone map[string]int
	leaving     bool
	// membersAt is when they were last worked out, membersDue that they are to be anew.
	membersUpdatedAt time.Duration
	membersDirty     bool
	// fullUpdate is what was last told to who knew nothing.
	fullUpdate cachedUpdate
	// closedZones are the availability zones that were closedZones by the last table.
	closedZones []string
	unusable    logLimiter
	// neighbours is how many routers connections may be handed to.
	forwardPeers int
	// routerHostSet are those of the routers, nil until they are looked up after a change.
	routerHostSet map[string]bool
}

// keepPart of the time within which changes are to be in force is for how long
// backend servers are kept whose entries vanish together.
const removalGraceFraction = 0.6

// missingPart is the same for those that a platform which came back from a copy does not list:
// a backend server enters itself again with its next heartbeat, and one that was removed is
// out in time.
const unlistedGraceFraction = 0.75

func newState(d *Dispatcher) *state {
	self := roster.Member{Address: d.id.Address, Name: d.id.Name, Zone: d.id.Zone, Inc: d.id.Incarnation, Capacity: d.id.Capacity}
	now := d.now()
	s := &state{
		d: d, now: now, lastEventAt: now, suspended: d.opt.clock.Suspended(),
		core:           admit.New(admit.Router{Address: d.id.Address, Zone: d.id.Zone, Capacity: d.id.Capacity}, append(d.opt.coreOptions, admit.WithSeed(d.id.Incarnation))...),
		roster:         roster.New(self, d.opt.seeds),
		allowance:      allowance.New(d.opt.retryRule, now),
		retryRule:      d.opt.retryRule,
		peerLinks:      map[string]*link{},
		keys:           newIdempotencyKeys(d.id.Address, now, d.opt.wallClock()),
		tokenCounts:    map[uint64]*atomic.Int64{},
		loadReaders:    map[string]context.CancelFunc{},
		clearedCrashes: map[suspect.Reason]int64{},
		estimator:      admit.NewCapacityEstimator(d.id.Capacity),
		waiting:        map[uint64]*attempt{},
	}
	part := func(p float64) time.Duration { return time.Duration(p * float64(d.opt.applyWithin)) }
	s.catalog = catalog.New(catalog.WithRemovalGrace(part(removalGraceFraction)), catalog.WithUnlistedGrace(part(unlistedGraceFraction)), catalog.WithOwnAddress(s.isRouterAddress))
	return s
}

// pausedAfter is a gap between two steps that means the process was paused.
const pauseThreshold = 300 * time.Millisecond

func (s *state) apply(ev event) {
	s.now = s.d.now()
	s.detectPause()
	ev.apply(s)
	if s.core.HasSuspectUpdates() {
		s.sendSuspectUpdates()
	}
}

// notePause takes in that this router stood still, and logs by how much each clock moved.
func (s *state) detectPause() {
	gap, suspended := s.now-s.lastEventAt, s.d.opt.clock.Suspended()
	if gap >= pauseThreshold {
		s.recordPause(s.lastEventAt)
		missing := suspended - s.suspended
		s.d.opt.log.Warn("router_was_paused", "gap_ms", gap.Milliseconds(), "suspended_ms", missing.Milliseconds(), "steady_ms", (gap - missing).Milliseconds())
	}
	s.lastEventAt, s.suspended = s.now, suspended
}

// stoodStill takes in that this router did nothing since a moment.
func (s *state) recordPause(from time.Duration) {
	s.roster.RecordPause(from, s.now)
	if s.now-from >= maxVouchPause {
		s.keys.homes.Woke(s.now + s.keys.wallOffset)
	}
}

// step lets the core take an event and does what it says.
func (s *state) step(ev admit.Event) {
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case admit.Start:
			s.reply(a.ID, decision{start: a, waited: a.Waited, tokens: s.newTokenCounter(a.ID)})
		case admit.Refuse:
			s.logBlocked(a)
			s.reply(a.ID, decision{err: a.Err, waited: a.Waited})
		case admit.Send:
			s.d.net.Send(a.To, a.Msg)
		case admit.SuspectAdded:
			s.logCrash(a)
		case admit.SuspectCleared:
			s.recordCleared(a)
		case admit.NoticeReceived:
			s.d.opt.log.Warn("backend_word", "backend", a.Backend, "leaving", a.Leaving, "rest_ms", a.Backoff.Milliseconds(), "from", a.From)
		}
	}
}

type tickEvent struct{}

func (tickEvent) apply(s *state) {
	s.catalog.MarkVerified(time.Duration(s.d.shared.lastVerified.Load()))
	if s.catalog.Refresh(s.now) {
		s.applyTable("")
	}
	s.reportProgress()
	s.step(admit.Tick{})
	s.expireClaims()
	s.updateLoadReaders()
	if s.membersDirty {
		s.scheduleMembersUpdate()
	}
	s.updateAdmission()
	s.sendReports()
	s.sendSuspectUpdates()
	s.publish()
}
