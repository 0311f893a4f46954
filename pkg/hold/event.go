package hold

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Event is an input of Holder.Step.
type Event interface{ apply(h *Holder) }

// Arrive is an admitted request of a caller.
type Arrive struct {
	// ID is unique among the requests of this router.
	ID      uint64
	Account string
	Model   string
	// Priority is from 0 to 9. Within an account, higher values go first.
	Priority int
	// Deadline is when a waiting request is refused, on the Step clock.
	Deadline time.Duration
	// Waited is how long the request waited before earlier attempts.
	Waited time.Duration
	// Prefix is a hash of the prompt's prefix, 0 if there is none.
	Prefix uint32
}

// Cancel removes a waiting request whose caller disconnected.
type Cancel struct{ ID uint64 }

// Finished ends a started request and releases its lease.
type Finished struct {
	ID uint64
	// Tokens is the number of tokens that the backend server served.
	Tokens int64
	// Sent is whether any byte may have reached the backend server.
	Sent bool
	// Unreachable is whether connecting to the backend server failed.
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

// Recalled asks for the return of standing leases or for a report.
type Recalled struct {
	From string
	Msg  *wire.Recall
}

// Tick advances the time. Tokens are the tokens served so far, by running
// request.
type Tick struct{ Tokens map[uint64]int64 }

// PoolOwner is a pool and the router that owns it.
type PoolOwner struct {
	Pool wire.Pool
	// Owner is the router's name, "" if unknown.
	Owner string
	// Incarnation is the owner's incarnation, 0 if unknown.
	Incarnation uint64
}

// ModelOwners replaces the owners that receive this router's demand, by model.
// Models not listed are not served.
type ModelOwners struct{ Of map[string]PoolOwner }

// PoolOwners replaces the current owner of each pool. Zone is the router's own
// availability zone.
type PoolOwners struct {
	Zone string
	Of   map[wire.Pool]PoolOwner
}

// OwnerMoved reports that the router From does not own the pool and To does.
type OwnerMoved struct {
	Pool wire.Pool
	From string
	To   string
}

// BackendsClosed replaces the set of backend servers that get no new requests.
type BackendsClosed struct{ Backends map[string]bool }

// LimitedAccounts replaces the set of accounts with fleet-wide limits. Their
// requests do not use standing leases, so that the owner can count each one.
type LimitedAccounts struct{ Accounts map[string]bool }

// MessagesLost reports that messages to or from a router may have been lost.
type MessagesLost struct{ Peer string }

// Action is an output of Holder.Step that the caller executes.
type Action interface{ action() }

// Start starts a request on a lease. The caller checks Expires once more just
// before it sends the first byte.
type Start struct {
	ID      uint64
	Lease   wire.Lease
	Expires time.Duration
	// Waited is the total waiting time of the request.
	Waited time.Duration
}

// Refuse refuses a request that has not run.
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
