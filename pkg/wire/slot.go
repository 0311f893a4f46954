package wire

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// NameHash identifies a backend server or an account in frequent messages. It is shorter than
// the name.
type NameHash uint32

// HashName returns the hash of a name.
func HashName(name string) NameHash { return NameHash(xxhash.Sum64String(name)) }

// SlotRequest asks the owner of a backend server for a slot for one request.
type SlotRequest struct {
	// ID is unique at the sender.
	ID      uint64
	Server  NameHash
	Account NameHash
	// AccountRank and Rank order waiting requests: lower goes first.
	AccountRank, Rank int
	// Prefix is a hash of the prompt's shared prefix, 0 if it has none.
	Prefix uint64
	// PromptTokens and SharedTokens are the lengths of the prompt and of its shared prefix.
	PromptTokens, SharedTokens int64
	// TargetMillis is the time left until the first event is due, WaitMillis how
	// long the sender waits for a slot.
	TargetMillis, WaitMillis int64
	// CopyPrefix reports that the backend server can copy the shared prefix from
	// another one if it has not cached it, so that it need not process it.
	CopyPrefix bool
	// Spill reports that the backend server is not the preferred one for the prefix. The
	// owner grants a slot only if there are plenty, and does not queue the request.
	Spill bool
	// MayHaveRun reports that the request was sent to a backend server before and may
	// have run there. It goes before all others.
	MayHaveRun bool
	// Exclusive reports that backend servers crashed while they ran the request. The owner
	// grants no further slots of the server until the request begins to respond.
	Exclusive bool
}

// SlotState is the owner's decision on a SlotRequest.
type SlotState uint8

// The decisions on a SlotRequest.
const (
	// SlotGranted means that the request may be sent now.
	SlotGranted SlotState = iota
	// SlotQueued means that the request waits; another reply may follow.
	SlotQueued
	// SlotDenied means that the request gets no slot and does not wait.
	SlotDenied
)

// SlotReply answers a SlotRequest.
type SlotReply struct {
	ID     uint64
	Server NameHash
	State  SlotState
	// Running is the number of requests that the backend server runs, PrefillTokens the
	// number of prompt tokens that it still has to process.
	Running       int
	PrefillTokens int64
	// CopyPrefix reports that the backend server has probably not cached the shared
	// prefix and should copy it. Only with SlotGranted.
	CopyPrefix bool
	// OwnPrefillTokens is the number of tokens of the request's prompt that the server has
	// to process, TokensAhead the number of all tokens to process before its first event, and
	// ExpectedMillis the expected time until then. Only with SlotGranted, but for ExpectedMillis of
	// plain services: it is the expected time to the complete response, or would be for a denied
	// request; 0 if unknown.
	OwnPrefillTokens int64
	TokensAhead      int64
	ExpectedMillis   int64
}

// RequestUpdateKind is the kind of a RequestUpdate.
type RequestUpdateKind uint8

// The kinds of a RequestUpdate.
const (
	// RequestStarted means that the sender sent the request without a granted slot.
	RequestStarted RequestUpdateKind = iota
	// RequestFirstEvent means that the first event arrived.
	RequestFirstEvent
	// RequestEnded means that the request ended, or that its slot was not used.
	RequestEnded
	// RequestCanceled means that the sender no longer waits for a slot.
	RequestCanceled
)

// RequestUpdate tells the owner of a backend server about the progress of a request.
type RequestUpdate struct {
	ID     uint64
	Server NameHash
	Kind   RequestUpdateKind
	// FirstEventMillis is the time to the first event, for RequestFirstEvent.
	FirstEventMillis int64
	// PrefillTokens is the number of prompt tokens to process, for RequestStarted.
	PrefillTokens int64
	// Result is how the request ended, for RequestEnded.
	Result uint8
}

// ServerRequests lists the requests that a router has running at one backend server: for each
// its ID and the number of prompt tokens still to process.
type ServerRequests struct {
	Server        NameHash
	IDs           []uint64
	PrefillTokens []int64
}

// RequestSync reports to an owner all requests that the sender has running at its backend
// servers. It replaces all former reports.
type RequestSync struct{ Servers []ServerRequests }

// Leaving lists backend servers that have announced themselves that they stop, possibly before
// the platform publishes it. The router that receives the announcement sends it to the owner,
// and the owner to each router that requests a slot there.
type Leaving struct{ Servers []NameHash }

// AccountFlow is the demand of an account at a router and the part of it that was started, in
// tokens per second.
type AccountFlow struct {
	Account         NameHash
	Demand, Started uint32
}

// PrefixCopy reports that a backend server now has a prompt prefix in its cache, since it
// processed or copied it.
type PrefixCopy struct {
	Prefix uint64
	Server NameHash
}

// Scope is the set of routers whose flows a RouterState reports.
type Scope uint8

// The scopes of a RouterState.
const (
	// ScopeOwn is the sender alone.
	ScopeOwn Scope = iota
	// ScopeZone is the sender's availability zone.
	ScopeZone
	// ScopeRest is the fleet without the receiver.
	ScopeRest
	// ScopeNone is no router; another sender reports the flows.
	ScopeNone
)

// RouterState is the report that routers send each other at short intervals.
type RouterState struct {
	// Stamp is the sender's clock at sending.
	Stamp Stamp
	// Echo is the last Stamp that the sender received from the receiver, 0 if
	// none.
	Echo Stamp
	// EchoAgeMillis is the time since the sender received Echo. By the receiver's
	// clock, this message was sent at Echo plus EchoAgeMillis at the earliest.
	EchoAgeMillis int64
	// Epoch and AsOf are the platform's epoch and revision up to which the sender is complete.
	Epoch, AsOf uint64
	// VerifiedAgeMillis is the time since the sender last verified that the platform
	// had nothing newer than AsOf; -1 if it never did.
	VerifiedAgeMillis int64
	// Leaving reports that the sender is about to stop.
	Leaving bool
	// RosterDigest is the digest of the roster that a relay confirms, 0 from other routers.
	RosterDigest uint64
	Scope        Scope
	// Accounts lists the flows that are not zero. If there are many, it lists the largest,
	// and the flow of account 0 is the sum of the others.
	Accounts []AccountFlow
	// Copies lists the prefixes cached since the last RouterState.
	Copies []PrefixCopy
}

// RosterEntry is what a router knows about another one.
type RosterEntry struct {
	// Address is where it listens for peers.
	Address string
	// Name and Zone are as in its settings.
	Name string
	Zone string
	// Incarnation identifies its process.
	Incarnation uint64
	// Capacity is its share of processors, 0 if unknown.
	Capacity float32
	// LastSeenMillis is the time since the last sign of life.
	LastSeenMillis int64
	// Alive reports that the sender considers the router alive, Direct that it receives
	// messages from it directly, Leaving that the router is about to stop.
	Alive, Direct, Leaving bool
}

// Roster lists the routers that the sender knows.
type Roster struct {
	Entries []RosterEntry
	// Digest is a hash of the routers that the sender considers alive.
	Digest uint64
	// Base is the Digest of the former Roster if Entries lists only the
	// changes to it; 0 if Entries is complete.
	Base uint64
	// WantReply asks the receiver for its roster.
	WantReply bool
}

// PlatformUpdateRequest asks for what the platform published after a revision. The reply holds
// everything if After is 0 or the platform's epoch is no longer Epoch.
type PlatformUpdateRequest struct{ Epoch, After uint64 }

// PlatformUpdate is what the platform published.
type PlatformUpdate struct{ catalog.Update }
