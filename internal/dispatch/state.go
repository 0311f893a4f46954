package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/allowance"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/roster"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// state is the state that the event loop owns.
type state struct {
	d         *Dispatcher
	now       time.Duration
	startedAt time.Duration
	// stampOffset is added to the stamps that this process sends.
	stampOffset wire.Stamp
	lastEventAt time.Duration
	// suspended is the total time that the machine had been suspended by lastEventAt.
	suspended   time.Duration
	core        *admit.Core
	catalog     *catalog.Catalog
	roster      *roster.Roster
	retryBudget *allowance.Budget
	retryConfig allowance.Config
	peerLinks   map[string]*link
	estimator   *admit.CapacityEstimator
	nextID      uint64
	waiting     map[uint64]*attempt
	// Times of the last reports to other routers, roster gossip, update request, status,
	// admission plan, log line of shares, and overload.
	reportedAt, gossipedAt, updateRequestedAt, statusAt, admissionAt, sharesLoggedAt, overloadedAt time.Duration
	// returnsLogged are the counts of promised retries that have been logged, as of returnsLoggedAt.
	returnsLogged   returns.Counts
	returnsLoggedAt time.Duration
	// isShort says that the fleet is short of capacity, as it was last logged, shortChangedAt since when.
	isShort        bool
	shortChangedAt time.Duration
	// saturatedAt is when the router last lacked processor time for a request, 0 if never.
	saturatedAt time.Duration
	// peerPlan lists the routers to exchange reports with. rosterDigest is the digest of
	// the own roster.
	peerPlan     roster.Plan
	rosterDigest uint64
	// rosterVersion counts changes of the roster. rosterChanges holds the version at which
	// each router last changed.
	rosterVersion uint64
	rosterChanges map[string]rosterChange
	encodedRoster encodedRoster
	keys          *idempotencyKeys
	origins       *streamOrigins
	versions      versionMemory
	verifications verifications
	// tokenCounts counts the tokens of running requests by id, if accounts are scheduled
	// by weight.
	tokenCounts map[uint64]*atomic.Int64
	// loadReaders holds the function that stops each load reader, by backend server.
	loadReaders    map[string]context.CancelFunc
	ownedCheckedAt time.Duration
	// endingRequest is the id of the request whose end is being processed, for logs.
	endingRequest string
	// clearedCrashes counts crashes that are no longer tracked, by reason.
	clearedCrashes map[suspect.Reason]int64
	// suspectsSentAt is when all suspects were last sent, suspectsSent how many times.
	suspectsSentAt time.Duration
	suspectsSent   int
	// ejected holds the ejected backend servers that were last logged.
	ejected map[string]admit.Ejection
	// plainLogged holds the last log line of each plain server owned here.
	plainLogged map[string]loggedPlain
	// pauseLogged holds the last log line of each engine owned here that is limited by its pauses.
	pauseLogged map[string]loggedPauseLimit
	// routers and knownByZone are the routers, and the number of known routers by zone,
	// that were last passed to the core.
	routers     []admit.Router
	knownByZone map[string]int
	// missesSeeds says that there may be routers that this one does not know.
	missesSeeds bool
	leaving     bool
	// staying are the other routers to which connections may be forwarded, in order.
	staying []string
	// membersDirty is true if membership must be recomputed at a later tick.
	membersUpdatedAt time.Duration
	membersDirty     bool
	// membersVersion is the version of the roster from which membership was last computed.
	membersVersion uint64
	fullUpdates    fullUpdates
	referral       referral
	// closedZones are the closed availability zones of the last table.
	closedZones     []string
	unusableLimiter logLimiter
	// tableLimiter limits the lines on changed backend servers, tablesNotLogged counts those left out.
	tableLimiter    logLimiter
	tablesNotLogged int
	// forwardPeers is the number of routers that connections may be forwarded to.
	forwardPeers int
	// forwardLive are the routers that were live when the forwarder was last updated, silentSince is
	// since when others have been silent.
	forwardLive map[string]bool
	silentSince map[string]time.Duration
	// refusedTable is the newest table that this router read and could not use. tableVersion is the
	// version of the table in force, tableSince since when it is.
	refusedTable refusedTable
	tableVersion table.Version
	tableSince   time.Duration
	// routerHostSet caches the hosts of the live routers, nil after a change.
	routerHostSet map[string]bool
}

func newState(d *Dispatcher) *state {
	self := roster.Member{Address: d.id.Address, Name: d.id.Name, Zone: d.id.Zone, Incarnation: d.id.Incarnation, Capacity: d.id.Capacity}
	now := d.now()
	s := &state{
		d: d, now: now, startedAt: now, stampOffset: stampOffset(d.id.Incarnation), lastEventAt: now, suspended: d.opt.clock.Suspended(),
		core:           admit.New(admit.Router{Address: d.id.Address, Zone: d.id.Zone, Capacity: d.id.Capacity}, append(d.opt.coreOptions, admit.WithSeed(d.id.Incarnation))...),
		roster:         roster.New(self, d.opt.seeds),
		retryBudget:    allowance.New(d.opt.retryConfig, now),
		retryConfig:    d.opt.retryConfig,
		peerLinks:      map[string]*link{},
		origins:        newStreamOrigins(),
		verifications:  verifications{requests: map[string]verifyRequest{}},
		tokenCounts:    map[uint64]*atomic.Int64{},
		loadReaders:    map[string]context.CancelFunc{},
		clearedCrashes: map[suspect.Reason]int64{},
		estimator:      admit.NewCapacityEstimator(d.id.Capacity),
		waiting:        map[uint64]*attempt{},
		silentSince:    map[string]time.Duration{},
	}
	s.keys = newIdempotencyKeys(d.id.Address, now, d.opt.wallClock(), s.sendOrHandle)
	removal, unlisted := gracePeriods(d.opt.applyWithin)
	s.catalog = catalog.New(catalog.WithRemovalGrace(removal), catalog.WithUnlistedGrace(unlisted), catalog.WithOwnAddress(s.isRouterAddress))
	return s
}

// pauseThreshold is the gap between two events that counts as a pause of the process.
const pauseThreshold = 300 * time.Millisecond

func (s *state) apply(ev event) {
	s.now = s.d.now()
	s.detectPause()
	ev.apply(s)
	if s.core.HasSuspectUpdates() {
		s.sendSuspectUpdates()
	}
}

// detectPause detects that the process was paused, and logs by how much each clock advanced.
func (s *state) detectPause() {
	gap, suspended := s.now-s.lastEventAt, s.d.opt.clock.Suspended()
	if gap >= pauseThreshold {
		s.recordPause(s.lastEventAt)
		suspendedInGap := suspended - s.suspended
		s.d.opt.log.Warn("router_was_paused", "gap_ms", gap.Milliseconds(), "suspended_ms", suspendedInGap.Milliseconds(), "steady_ms", (gap - suspendedInGap).Milliseconds())
	}
	s.lastEventAt, s.suspended = s.now, suspended
}

// recordPause adjusts the state after a pause that began at from.
func (s *state) recordPause(from time.Duration) {
	s.roster.RecordPause(from, s.now)
	if s.now-from >= maxVouchPause {
		s.keys.store.RecordPause(s.now + s.keys.wallOffset)
	}
}

// step passes an event to the core and executes the resulting actions.
func (s *state) step(ev admit.Event) {
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case admit.Start:
			s.reply(a.ID, decision{start: a, waited: a.Waited, tokens: s.newTokenCounter(a.ID)})
		case admit.Refuse:
			s.logBlocked(a)
			s.logPlainRefusal(a)
			s.reply(a.ID, decision{err: a.Err, waited: a.Waited})
		case admit.Send:
			s.d.transport.Send(a.To, a.Msg)
		case admit.SuspectAdded:
			s.logCrash(a)
		case admit.SuspectCleared:
			s.recordCleared(a)
		case admit.PartChanged:
			s.logPart(a)
		case admit.SpeedClassChanged:
			s.logSpeedClass(a)
		case admit.EngineEjected:
			s.logEngineEjected(a)
		case admit.EngineReadmitted:
			s.d.opt.log.Info("backend_readmitted", "backend", a.Backend, "ejected_ms", a.After.Milliseconds())
		case admit.SoftwareChanged:
			s.d.opt.log.Info("service_version", "service", a.Service, "version", a.Software.String(), "backends", a.Servers, "versions", a.Versions, "as_of", s.catalog.AsOf().Number)
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
	s.reportRefusals()
	s.step(admit.Tick{})
	s.expireClaims()
	s.updateVersionMemory()
	s.useVerification()
	s.replicateOrigins()
	s.updateLoadReaders()
	if s.membersDirty {
		s.scheduleMembersUpdate()
	}
	s.repeatReferral()
	s.checkSilentStreams()
	s.updateAdmission()
	s.logReturns()
	s.sendReports()
	s.sendSuspectUpdates()
	s.publishStatus()
}
