// Package admit decides, in one router, which request goes to which backend
// server and when, and which is refused. It is a pure state machine: events
// and the time go in, actions come out. What other routers have under way is
// told to it now and then; between two tellings, and when nothing is heard, it
// decides by what it knows.
package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Event is what a Core takes in one Step.
type Event interface{ apply(c *Core) }

// Action is what the caller of Step does.
type Action interface{ action() }

// Start says that a request is to be sent to a backend server now.
type Start struct {
	ID      uint64
	Backend table.Backend
}

// Refuse says that a request is not sent to any.
type Refuse struct {
	ID  uint64
	Err *verdict.Error
}

func (Start) action()  {}
func (Refuse) action() {}

// Core is one router's decisions.
type Core struct {
	now      time.Duration
	zone     string
	servers  map[string]*server
	services map[string][]*server
	requests map[uint64]*request
	out      []Action
}

// New returns a core of a router in an availability zone.
func New(zone string) *Core {
	return &Core{
		zone:     zone,
		servers:  map[string]*server{},
		services: map[string][]*server{},
		requests: map[uint64]*request{},
	}
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
