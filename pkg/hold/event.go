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
	// Unreachable says that the backend server could not be reached.
	Unreachable bool
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

// PoolOwner names the owner to ask for a model.
type PoolOwner struct {
	Pool wire.Pool
	// Owner is a router; "" if nobody is known.
	Owner string
	// Incarnation is the owner's incarnation, 0 if not known.
	Incarnation uint64
}

// ModelOwners replaces the owner to ask, by model. A model that is not named is
// served nowhere.
type ModelOwners struct{ Of map[string]PoolOwner }

// PoolOwners names the present owner of every pool, by pool. Zone is the
// router's own availability zone.
type PoolOwners struct {
	Zone string
	Of   map[wire.Pool]PoolOwner
}

// OwnerMoved says that a router is not the owner of a pool, and who is.
type OwnerMoved struct {
	Pool wire.Pool
	From string
	To   string
}

// BackendsClosed replaces the set of backend servers that take no new work.
type BackendsClosed struct{ Backends map[string]bool }

// LimitedAccounts replaces the accounts that have limits over the whole fleet. Their
// requests go by way of the owner, who counts them, and not on standing leases.
type LimitedAccounts struct{ Accounts map[string]bool }

// MessagesLost says that messages to or from a router may have been lost.
type MessagesLost struct{ Peer string }

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
