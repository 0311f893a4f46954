// Package admit decides which requests a router admits, when, and to which backend server it
// sends them.
//
// Each backend server has an owner: one of the live routers of its availability zone, chosen by
// rendezvous hashing. The router that holds a request (its holder) requests a slot
// from the owner of the preferred backend server. The owner knows all requests in flight there and
// grants slots so that responses start within their targets, serving the account with the least
// usage first. If the
// owner does not reply within replyTimeout, the holder admits the request on its own estimate.
//
// The package is a pure state machine: it takes events and the current time, and returns
// actions.
package admit

import (
	"math/rand/v2"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Event is the input of Core.Step.
type Event interface{ apply(c *Core) }

// Core is the admission state of one router.
type Core struct {
	opt     options
	now     time.Duration
	rng     *rand.Rand
	routers []Router
	// routersByZone counts the known routers of each zone, including those that fell silent
	// recently. It is nil if the counts are unknown.
	routersByZone map[string]int
	// missesSeeds says that there may be routers that this one does not know.
	missesSeeds bool
	// unreachableZones are the zones in which this router reaches no router.
	unreachableZones map[string]bool
	servers          map[wire.NameHash]*server
	// generation is incremented with each whole table.
	generation uint64
	// sortedServers is sorted by name. ownedServers are those for which this router keeps owner
	// state, also sorted by name.
	sortedServers []*server
	ownedServers  []*server
	services      map[string]*service
	requests      map[uint64]*request
	// work counts what updates have cost.
	work Work
	// table is the current table, nil before the first one.
	table *table.Table
	// suspects are the requests that were in flight at backend servers that crashed. ownUpdates
	// and relayUpdates are changes to send to other routers.
	suspects                 *suspect.Tracker
	ownUpdates, relayUpdates suspectUpdates
	// trials are the running attempts of suspect requests that have not begun to respond, and those with
	// suspect parts that have not ended.
	trials map[suspect.Digest]trial
	// answeredAt is when an attempt of a suspect request last began to respond.
	answeredAt map[suspect.Digest]time.Duration
	// notices is what backend servers announced about themselves, by incarnation.
	notices map[wire.NameHash]*notice
	// waiting are the requests without a slot, in order of arrival.
	waiting  []*request
	accounts *accounts
	// fleet is the capacity of the engines.
	fleet *fleetCapacity
	// weighted schedules accounts by weight. It is nil if they are scheduled by demand.
	weighted *weightedScheduler
	// statedCapacity is the engines' throughput in tokens per second, as the table states it.
	statedCapacity float64
	reports        map[reportSource]*usageReport
	// reportTTL is the age at which reports of other routers expire.
	reportTTL time.Duration
	// unresponsiveSince is when an owner last failed to reply in time.
	unresponsiveSince map[string]time.Duration
	// slotContexts holds the last SlotContext of each holder, until its SlotRequest arrives.
	slotContexts map[string]*wire.SlotContext
	// plainDenied counts the requests that this router denied as the owner of plain servers.
	plainDenied int64
	// returnCounts counts what became of the promised retries at the engines owned here.
	returnCounts returns.Counts
	// promises are the refusals of this router that are not reported yet, the oldest first.
	promises []promisedReturn
	// newCopies are the prefix copies made since the last snapshot.
	newCopies []wire.PrefixCopy
	// zoneCopies and remoteCopies are the copies reported since the last snapshot by routers of
	// this zone and of other zones.
	zoneCopies, remoteCopies []wire.PrefixCopy
	// speeds are the speed classes to report.
	speeds speedReports
	// withinShare is the rate of requests, at the backend servers owned here, of accounts whose
	// demand is within their fair share. withinShareDelayed is the rate of those that got no
	// slot at once.
	withinShare, withinShareDelayed rate
	// startedAt is the time of the first step, firstPeerAt the time when the first other router
	// appeared. Both are 0 before.
	startedAt, firstPeerAt time.Duration
	// pause is the last interval during which this process did not run.
	pause interval
	// lag is the current delay between receiving messages and processing them.
	lag      time.Duration
	syncedAt time.Duration
	// transfers is the mean time that messages to and from each holder take together.
	transfers map[string]time.Duration
	// pauseCounts counts the reports on pauses at the engines owned here.
	pauseCounts PauseCounts
	// predictions counts the first events at backend servers owned here.
	predictions Predictions
	// engineStatesAt is when the states of engines were last sent.
	engineStatesAt time.Duration
	sweptAt        time.Duration
	// localMsgs are messages from this router to itself.
	localMsgs []any
	actions   []Action
}

// Router is a router that may own backend servers.
type Router struct {
	Address string
	Zone    string
	// Capacity is the number of processors it may use.
	Capacity float64
}

// New returns a Core without a table and without other routers.
func New(self Router, opts ...Option) *Core {
	c := &Core{
		opt:               options{self: self},
		routers:           []Router{self},
		servers:           map[wire.NameHash]*server{},
		services:          map[string]*service{},
		requests:          map[uint64]*request{},
		notices:           map[wire.NameHash]*notice{},
		suspects:          suspect.New(),
		trials:            map[suspect.Digest]trial{},
		answeredAt:        map[suspect.Digest]time.Duration{},
		accounts:          newAccounts(),
		reports:           map[reportSource]*usageReport{},
		unresponsiveSince: map[string]time.Duration{},
		slotContexts:      map[string]*wire.SlotContext{},
		transfers:         map[string]time.Duration{},
	}
	for _, f := range opts {
		f(&c.opt)
	}
	if c.opt.weighted {
		c.weighted = newWeightedScheduler()
	}
	c.fleet = newFleetCapacity(c)
	c.accounts.fleet = c.fleet
	c.reportTTL = DefaultReportTTL
	c.rng = rand.New(rand.NewPCG(c.opt.seed, 0))
	return c
}

// Step applies an event at the given time. The returned slice is valid until the next call.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.detectPause(now)
	c.now = max(c.now, now)
	if c.startedAt == 0 {
		c.startedAt = c.now
	}
	c.actions = c.actions[:0]
	ev.apply(c)
	for len(c.localMsgs) > 0 {
		msg := c.localMsgs[0]
		c.localMsgs = c.localMsgs[1:]
		c.receive(c.opt.self.Address, msg)
	}
	c.emitSuspectChanges()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// send sends a message to a router, which may be this one.
func (c *Core) send(to string, msg any) {
	if to == c.opt.self.Address {
		c.localMsgs = append(c.localMsgs, msg)
		return
	}
	c.emit(Send{To: to, Msg: msg})
}

// Tick advances time. It is due every few milliseconds while NeedsTicks reports true.
type Tick struct{}

func (Tick) apply(c *Core) {
	c.sweep()
	c.serveQueues()
	c.advanceWaiting()
	c.sendPromises()
	c.syncIfDue()
	c.sendEngineStates()
}

// ProcessingLag reports how long received messages wait before this router processes them.
type ProcessingLag struct{ Lag time.Duration }

func (e ProcessingLag) apply(c *Core) { c.lag = max(0, e.Lag) }

// NeedsTicks reports whether requests wait, at this router or in the queues of its backend
// servers, or refusals are to be reported.
func (c *Core) NeedsTicks() bool {
	if len(c.waiting) > 0 || len(c.promises) > 0 {
		return true
	}
	for _, s := range c.ownedServers {
		if len(s.owned.queue) > 0 {
			return true
		}
	}
	return false
}

// Waiting returns the number of requests that wait for a slot.
func (c *Core) Waiting() int { return len(c.waiting) }

// Owned returns the names of the backend servers that this router owns.
func (c *Core) Owned() []string {
	var names []string
	for _, s := range c.sortedServers {
		if s.owner == c.opt.self.Address {
			names = append(names, s.Name)
		}
	}
	return names
}

// OwnedBackends returns the table rows of the backend servers that this router owns.
func (c *Core) OwnedBackends() []table.Backend {
	var rows []table.Backend
	for _, s := range c.sortedServers {
		if s.owner == c.opt.self.Address {
			rows = append(rows, s.Backend)
		}
	}
	return rows
}

// RunningByBackend returns the number of requests in flight at each backend server that this
// router owns or has owned, by name. It counts the latest incarnation only.
func (c *Core) RunningByBackend() map[string]int {
	running := map[string]int{}
	for _, s := range c.ownedServers {
		if s.owned != nil && s.isListed {
			running[s.Name] = s.owned.running
		}
	}
	return running
}
