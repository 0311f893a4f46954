// Package admit decides, in one router, which request goes to which backend
// server and when, and which is refused. It is a pure state machine: events
// and the time go in, actions come out. What other routers have under way is
// told to it every now and then; between two tellings, and when nothing is
// heard, it decides by what it knows.
package admit

import (
	"math/rand/v2"
	"time"

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
	// Why says in a word how the backend server was chosen.
	Why string
	// Ahead is the tokens to be read there before the first event, Expected
	// when that is expected.
	Ahead    int64
	Expected time.Duration
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
}

func (Start) action()  {}
func (Refuse) action() {}

// Core is one router's decisions.
type Core struct {
	opt      options
	now      time.Duration
	rng      *rand.Rand
	servers  map[string]*server
	services map[string]*service
	requests map[uint64]*request
	accounts *accounts
	peers    map[string]*peer
	// copies are those made since the others were told.
	copies []wire.Copy
	out    []Action
}

type options struct {
	zone string
	seed uint64
}

// Option changes a new Core.
type Option func(*options)

// WithZone names the router's availability zone.
func WithZone(zone string) Option { return func(o *options) { o.zone = zone } }

// WithSeed sets the seed of the choices among equals.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// New returns a core that knows nothing.
func New(opts ...Option) *Core {
	c := &Core{
		servers:  map[string]*server{},
		services: map[string]*service{},
		requests: map[uint64]*request{},
		accounts: newAccounts(),
		peers:    map[string]*peer{},
	}
	for _, f := range opts {
		f(&c.opt)
	}
	c.rng = rand.New(rand.NewPCG(c.opt.seed, 0))
	return c
}

// Step takes one event at the time now. The returned slice is valid until the
// next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.out = c.out[:0]
	ev.apply(c)
	return c.out
}

func (c *Core) act(a Action) { c.out = append(c.out, a) }

// Tick lets time pass. It is due every few milliseconds while requests wait.
type Tick struct{}

func (Tick) apply(c *Core) {
	c.dropSilentPeers()
	for _, s := range c.services {
		c.serveWaiting(s)
	}
}

// Waiting returns how many requests wait.
func (c *Core) Waiting() int {
	n := 0
	for _, s := range c.services {
		n += len(s.queue)
	}
	return n
}
