// Package admit decides which request goes to which backend server and when,
// and which is refused.
//
// Each backend server has an owner: one of the routers of its availability
// zone, chosen by rendezvous hashing over those that are heard. The router that
// holds a request asks the owner of the backend server it prefers for a place;
// the owner knows all that is under way there, and gives places so that first
// events come in time, to the account first that had least. An owner that does
// not reply within 40 ms is passed over: the holder admits the request on its own
// estimate.
//
// The package is a pure state machine: events and the time go in, actions come
// out.
package admit

import (
	"math/rand/v2"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Event is what a Core takes in one Step.
type Event interface{ apply(c *Core) }

// Action is what the caller of Step does.
type Action interface{ action() }

// Start says that a request is to be sent to a backend server now.
type Start struct {
	ID      uint64
	Backend table.Backend
	// FetchFrom is the address of the backend server that keeps the prompt's
	// shared parts, from which they are to be copied; "" if none needs to be.
	FetchFrom string
	// Reason says in a word how the backend server was chosen.
	Reason string
	// TokensAhead is the tokens to be read there before the first event, Expected
	// when that is expected.
	TokensAhead   int64
	ExpectedDelay time.Duration
	// Running is how many requests are under way there.
	Running int
	// Waited is how long the request waited here.
	Waited time.Duration
}

// Refuse says that a request is not sent to any.
type Refuse struct {
	ID  uint64
	Err *verdict.Error
	// Waited is how long the request waited here.
	Waited time.Duration
	// Crashes is how many backend servers ended under the request, if it is refused for
	// that.
	Crashes int
}

// Send is a message for another router.
type Send struct {
	To  string
	Msg any
}

func (Start) action()  {}
func (Refuse) action() {}
func (Send) action()   {}

// Core is one router's decisions.
type Core struct {
	opt     options
	now     time.Duration
	rng     *rand.Rand
	routers []Router
	// known is how many routers are known in each zone, those that fell silent
	// lately with them; nil if nobody counts.
	known map[string]int
	// cutOff are the zones that cannot be reached from here.
	cutOff  map[string]bool
	servers map[wire.NameHash]*server
	// generation counts the tables.
	generation uint64
	// ordered are the servers by name, held those at which this router has acted as
	// the owner.
	ordered  []*server
	held     []*server
	services map[string]*service
	requests map[uint64]*request
	// suspects are the requests that were under way at backend servers that ended,
	// ownNews and heardNews what others are to be told of them.
	suspects           *suspect.Tracker
	ownNews, heardNews suspectNews
	// trials are the requests under which servers ended and of which a try runs that has
	// not begun to answer.
	trials map[suspect.Digest]trial
	// answers are the requests of which a try began to answer after an end, and when.
	answers map[suspect.Digest]time.Duration
	// words are what starts of backend servers say of themselves.
	words map[wire.NameHash]*word
	// waiting are the requests that have no place yet, by age.
	waiting  []*request
	accounts *accounts
	// weights is the service of accounts by their weights, nil where it is by what they ask.
	weights *weights
	// stated is how many tokens a second the table states that engines give.
	stated  float64
	reports map[reportSource]*usageReport
	// silentAfter is when what was told counts no more.
	silentAfter time.Duration
	// unresponsive are the owners that did not reply in time, since when.
	unresponsive map[string]time.Duration
	// copies are those made since the others were told.
	copies []wire.PrefixCopy
	// nearCopies are those that others of the zone told of since then, farCopies
	// those that others told of.
	nearCopies, farCopies []wire.PrefixCopy
	// within counts the requests of accounts that ask for no more than their
	// share at the backend servers owned here, waited those of them that found
	// no place at once, a second.
	within, waited rate
	// started is the time of the first step, joined when the first other router
	// was heard, 0 before.
	started, joined time.Duration
	// stood is the last time during which this router stood still.
	stood span
	// late is how late this router hears of what comes to it.
	late   time.Duration
	synced time.Duration
	swept  time.Duration
	// local is what this router sends to itself.
	local []any
	out   []Action
}

// Router is a router that may own backend servers.
type Router struct {
	Address string
	Zone    string
	// Capacity is its share of processors, above 0.
	Capacity float64
}

type options struct {
	self Router
	seed uint64
	// uniqueStarts says that each start of a backend server has a name of its own.
	uniqueStarts bool
	// weights says that accounts are served by their weights.
	weights bool
}

// Option changes a new Core.
type Option func(*options)

// WithSeed sets the seed of the choices among equals.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithUniqueIncarnations says that each start of a backend server has a name of its own unless the
// directory gives it a number, and refuses what is meant for another: an answer is the word of
// the start that it was asked of.
func WithUniqueIncarnations() Option { return func(o *options) { o.uniqueStarts = true } }

// New returns the core of a router that knows nothing.
func New(self Router, opts ...Option) *Core {
	c := &Core{
		opt:          options{self: self},
		routers:      []Router{self},
		servers:      map[wire.NameHash]*server{},
		services:     map[string]*service{},
		requests:     map[uint64]*request{},
		words:        map[wire.NameHash]*word{},
		suspects:     suspect.New(),
		trials:       map[suspect.Digest]trial{},
		answers:      map[suspect.Digest]time.Duration{},
		accounts:     newAccounts(),
		reports:      map[reportSource]*usageReport{},
		unresponsive: map[string]time.Duration{},
	}
	for _, f := range opts {
		f(&c.opt)
	}
	if c.opt.weights {
		c.weights = newWeights()
	}
	c.silentAfter = DefaultReportTTL
	c.rng = rand.New(rand.NewPCG(c.opt.seed, 0))
	return c
}

// Step takes one event at the time now. The returned slice is valid until the
// next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.notePause(now)
	c.now = max(c.now, now)
	if c.started == 0 {
		c.started = c.now
	}
	c.out = c.out[:0]
	ev.apply(c)
	for len(c.local) > 0 {
		msg := c.local[0]
		c.local = c.local[1:]
		c.receive(c.opt.self.Address, msg)
	}
	c.tellCleared()
	return c.out
}

func (c *Core) act(a Action) { c.out = append(c.out, a) }

// send sends a message to a router, which may be this one.
func (c *Core) send(to string, msg any) {
	if to == c.opt.self.Address {
		c.local = append(c.local, msg)
		return
	}
	c.act(Send{To: to, Msg: msg})
}

// Message is a message of another router.
type Message struct {
	From string
	Msg  any
}

func (e Message) apply(c *Core) {
	delete(c.unresponsive, e.From)
	c.receive(e.From, e.Msg)
}

func (c *Core) receive(from string, msg any) {
	switch m := msg.(type) {
	case *wire.SlotRequest:
		c.asked(from, m)
	case *wire.SlotReply:
		c.replied(from, m)
	case *wire.RequestUpdate:
		c.handleRequestUpdate(from, m)
	case *wire.RequestSync:
		c.reconcileInFlight(from, m)
	case *wire.Leaving:
		c.toldLeaving(from, m)
	case *wire.SuspectUpdate:
		c.toldSuspects(from, m)
	}
}

// Tick lets time pass. It is due every few milliseconds while requests wait.
type Tick struct{}

func (Tick) apply(c *Core) {
	c.dropSilent()
	c.serveOwned()
	c.advanceWaiting()
	c.syncIfDue()
}

// ProcessingDelay says how late this router hears of what comes to its sockets, since it has
// little time.
type ProcessingDelay struct{ Delay time.Duration }

func (e ProcessingDelay) apply(c *Core) { c.late = max(0, e.Delay) }

// NeedsTicks reports whether something waits, so that ticks are due soon.
func (c *Core) NeedsTicks() bool {
	if len(c.waiting) > 0 {
		return true
	}
	for _, s := range c.held {
		if len(s.owned.queue) > 0 {
			return true
		}
	}
	return false
}

// Waiting returns how many requests wait for a place.
func (c *Core) Waiting() int { return len(c.waiting) }

// Owned returns the names of the backend servers that this router owns.
func (c *Core) Owned() []string {
	var names []string
	for _, s := range c.ordered {
		if s.owner == c.opt.self.Address {
			names = append(names, s.Name)
		}
	}
	return names
}

// OwnedBackends returns the rows of the backend servers that this router owns.
func (c *Core) OwnedBackends() []table.Backend {
	var rows []table.Backend
	for _, s := range c.ordered {
		if s.owner == c.opt.self.Address {
			rows = append(rows, s.Backend)
		}
	}
	return rows
}

// RunningByBackend returns how many requests this router counts at each backend server
// that it owns or has owned, by name; of one that has started again, at its last start.
func (c *Core) RunningByBackend() map[string]int {
	counted := map[string]int{}
	for _, s := range c.held {
		if s.owned != nil && s.generation == c.generation {
			counted[s.Name] = s.owned.running
		}
	}
	return counted
}
