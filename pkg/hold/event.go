package hold

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Event is what a Holder takes in one Step.
type Event interface{ apply(h *Holder) }

// Arrive is a request that a caller sent and that was admitted.
type Arrive struct {
	// ID is unique in the router's life.
	ID      uint64
	Account string
	Model   string
	// Priority is from 0 to 9; the higher goes first within the account.
	Priority int
	// Deadline is when the request is given up, on the Step clock.
	Deadline time.Duration
	// Waited is how long the request waited before an earlier attempt.
	Waited time.Duration
	// Prefix is a hash of the prompt's beginning, 0 if there is none.
	Prefix uint32
}

// Cancel takes a waiting request out, because its caller went away.
type Cancel struct{ ID uint64 }

// Finished ends a started request and gives its slot back.
type Finished struct {
	ID uint64
	// Tokens is what the backend server served.
	Tokens int64
	// Sent says whether any byte may have reached the backend server.
	Sent bool
	// Failed says that the backend server could not be reached.
	Failed bool
}

// Granted is a grant of leases.
type Granted struct {
	From string
	Msg  *wire.Grant
}

// Renewed extends standing leases.
type Renewed struct {
	From string
	Msg  *wire.Renew
}

// Recalled asks standing leases back.
type Recalled struct {
	From string
	Msg  *wire.Recall
}

// Tick lets time pass. Tokens is what running requests were served so far.
type Tick struct{ Tokens map[uint64]int64 }

// Home names the owner to ask for a model.
type Home struct {
	Pool wire.Pool
	// Owner is a router; "" if nobody is known.
	Owner string
	// Inc is the owner's incarnation, 0 if not known.
	Inc uint64
}

// Homes replaces the owner to ask, by model. A model that is not named is
// served nowhere.
type Homes struct{ Of map[string]Home }

// Lenders names the present owner of every pool, by pool. Zone is the
// router's own availability zone.
type Lenders struct {
	Zone string
	Of   map[wire.Pool]Home
}

// Moved says that a router is not the owner of a pool, and who is.
type Moved struct {
	Pool wire.Pool
	From string
	To   string
}

// Closed replaces the set of backend servers that take no new work.
type Closed struct{ Backends map[string]bool }

// Limited replaces the accounts that have limits over the whole fleet. Their
// requests go by way of the owner, who counts them, and not on standing leases.
type Limited struct{ Accounts map[string]bool }

// Lost says that messages to or from a router may have been lost.
type Lost struct{ Peer string }

// Action is what the caller of Step does for the Holder.
type Action interface{ action() }

// Start runs a request on a lease. The caller checks Expires against the
// Step clock once more just before the first byte.
type Start struct {
	ID      uint64
	Lease   wire.Lease
	Expires time.Duration
	// Waited is how long the request waited in all.
	Waited time.Duration
}

// Refuse answers a request that did not run.
type Refuse struct {
	ID  uint64
	Err *verdict.Error
}

// Send is a message to another router.
type Send struct {
	To  string
	Msg any
}

func (Start) action()  {}
func (Refuse) action() {}
func (Send) action()   {}
