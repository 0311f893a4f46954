// Package wire defines the messages between routers. Each message is one
// msgpack array [kind, body]; docs/PROTOCOL.md describes the framing.
package wire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Pool identifies a set of backend servers with one owner: those of one model in
// one availability zone, or a shard of them.
type Pool struct {
	// Model is the model that the pool's backend servers serve.
	Model string `msgpack:",intern"`
	// Zone is their availability zone.
	Zone string `msgpack:",intern"`
	// Shard counts from 0.
	Shard int
}

// NewPool returns the pool of a model, a zone and a shard.
func NewPool(model, zone string, shard int) Pool {
	return Pool{Model: model, Zone: zone, Shard: shard}
}

// String returns the key that is hashed to find the owner.
func (p Pool) String() string {
	return p.Model + "/" + p.Zone + "/" + strconv.Itoa(p.Shard)
}

// SortedPools returns the keys of a map, sorted by their String.
func SortedPools[V any](m map[Pool]V) []Pool {
	pools := make([]Pool, 0, len(m))
	for p := range m {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.String(), b.String()) })
	return pools
}

// ParsePool parses the result of Pool.String.
func ParsePool(s string) (Pool, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 {
		return Pool{}, fmt.Errorf("pool %q: want model/zone/shard", s)
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return Pool{}, fmt.Errorf("pool %q: shard: %w", s, err)
	}
	return NewPool(parts[0], parts[1], n), nil
}

// Stamp is a time by one router's clock, in milliseconds. Only that router may
// compare it with other times; others echo it unchanged. The clock starts at the
// wall time of the router's start and then runs monotonically, so a stamp from
// before a restart lies in the past.
type Stamp int64

// StampOf returns the stamp of a time by the router's clock.
func StampOf(now time.Duration) Stamp { return Stamp(now.Milliseconds()) }

// At returns the time of the stamp by the router's clock.
func (s Stamp) At() time.Duration { return time.Duration(s) * time.Millisecond }

// Lease is the right to run one request at a time on one slot.
type Lease struct {
	// ID is unique among the leases of its Grant's Source.
	ID uint64
	// Backend is the name of the backend server.
	Backend string `msgpack:",intern"`
	// Account is the account whose requests may run; "" means any (a standing lease).
	Account string `msgpack:",intern"`
	// Swapped reports that an owner that relayed the lease gave it to another
	// account than the one it was lent for. Its LeaseUse then names the account.
	Swapped bool
}

// Source identifies the owner that granted a lease and to which it is returned.
type Source struct {
	// Owner is the router.
	Owner string `msgpack:",intern"`
	// Pool is the pool that the slot belongs to.
	Pool Pool
	// Epoch is the time, by its own clock, at which the router became the pool's
	// owner. A router that becomes the owner again reuses lease IDs, so an ID is
	// unique only together with the epoch.
	Epoch uint64
}

// Waiting is the number of waiting requests of an account.
type Waiting struct {
	// Account is the client account.
	Account string `msgpack:",intern"`
	// Count is never negative; 0 withdraws the demand.
	Count int
	// Priority is that of the next request.
	Priority int
}

// Demand reports to an owner which requests wait at a router. It replaces those
// with a lower Seq for the accounts it lists, or for all accounts if it is Full.
type Demand struct {
	Pool Pool
	// Seq grows by one with each Demand for the pool.
	Seq uint64
	// Stamp is the sender's clock at sending. Grants echo it.
	Stamp Stamp
	// Seen is the Seq of the last Grant that Waiting accounts for.
	Seen uint64
	// Full means that accounts not listed have no waiting requests.
	Full bool
	// Waiting lists the accounts whose count changed.
	Waiting []Waiting
}

// Grant gives leases to a router. Seq grows by one for each receiver.
type Grant struct {
	// For is the pool whose demand is met.
	For Pool
	// Lent reports that the receiver is the owner of For, which relays the leases,
	// and not a router with waiting requests.
	Lent bool
	Seq  uint64
	// Stamp is the last one that the sender got from the receiver. The lifetime of
	// the leases starts at it, by the receiver's clock.
	Stamp Stamp
	// TTLMillis is how long after Stamp a request may start.
	TTLMillis int
	// Source is where the leases are returned.
	Source Source
	Leases []Lease
}

// LeaseUse is the use of a lease.
type LeaseUse struct {
	// ID is the lease's number.
	ID uint64
	// Tokens is the number of tokens served to the running request so far.
	Tokens int64
	// Account is the account of the request on a standing lease; "" if there is
	// no request or the lease is for one account.
	Account string `msgpack:",intern"`
	// Backend is set only if the receiver did not grant the lease itself.
	Backend string `msgpack:",intern"`
	// Failed reports that the backend server could not be reached.
	Failed bool
}

// Return gives leases back.
type Return struct {
	Pool  Pool
	Epoch uint64
	// Ended lists requests that ended earlier on standing leases.
	Ended []LeaseUse
	// Done lists leases on which a request ended last.
	Done []LeaseUse
	// Unused lists leases on which no request ran.
	Unused []LeaseUse
}

// Report lists every lease of one Source that a router holds, in use or
// idle. The owner keeps these leases reserved.
type Report struct {
	Pool  Pool
	Epoch uint64
	// Stamp is the sender's clock at sending; Renew echoes it.
	Stamp Stamp
	// Held lists the standing and swapped leases, or all leases if Adopt is set.
	Held []LeaseUse
	// Running lists the other leases in pairs: the difference of the ID to the
	// one before, and the tokens. See AddRunning and EachRunning.
	Running []int64
	// Ended lists requests that ended on standing leases since the last
	// Report. The router keeps these leases.
	Ended []LeaseUse
	// Adopt reports that the leases were granted by a former owner.
	Adopt bool
}

// AddRunning adds a running lease. Callers add leases by rising ID; last is the
// ID added before, 0 at first.
func (r *Report) AddRunning(last, id uint64, tokens int64) {
	r.Running = append(r.Running, int64(id-last), tokens)
}

// EachRunning calls f for every running lease.
func (r *Report) EachRunning(f func(id uint64, tokens int64)) {
	id := uint64(0)
	for i := 0; i+1 < len(r.Running); i += 2 {
		id += uint64(r.Running[i])
		f(id, r.Running[i+1])
	}
}

// Renew extends the standing leases that the Report with Stamp listed.
type Renew struct {
	Pool  Pool
	Stamp Stamp
}

// Recall asks a router to return all standing leases of a pool.
type Recall struct {
	Pool Pool
	// WantReport asks for a Report with Adopt of all held leases instead.
	WantReport bool
}

// Served is the service that an owner has charged to an account.
type Served struct {
	Account string `msgpack:",intern"`
	// Tokens includes the estimates of requests that still run.
	Tokens float64
	// VirtualTime is the account's virtual time at the sender without estimates,
	// relative to the sender's lowest one, which fits a float32.
	VirtualTime float32
}

// Limited is what an owner granted to an account that has limits.
type Limited struct {
	Account string `msgpack:",intern"`
	// Requests is the number of all requests granted, Running of those that run now.
	Requests int64
	Running  int
}

// Share is exchanged between the owners of pools of one model.
type Share struct {
	// From and To are pools of one model.
	From Pool
	To   Pool
	// Epoch is the time at which the sender became the owner; Seq orders its shares.
	Epoch uint64
	Seq   uint64
	// Stamp is the sender's clock at sending. Grants echo it.
	Stamp Stamp
	// Seen is the Seq of the last Grant from To that Waiting accounts for.
	Seen uint64
	// Served lists the accounts that were charged recently or have waiting or running requests.
	Served []Served
	// Limited lists the accounts that have limits and were used.
	Limited []Limited
	// Waiting lists all demand that From asks To to meet.
	Waiting []Waiting
	// Free is the number of idle slots of From.
	Free int
	// Slots is the number of slots of From.
	Slots int
	// Table is the revision of the table in force at the sender.
	Table uint64
}

// NotOwner answers a message for a pool that the receiver does not own.
type NotOwner struct {
	Pool Pool
	// Owner is the pool's owner as the sender knows it; "" if there is none.
	Owner string `msgpack:",intern"`
}

// MemberState is the state of a router as another one sees it.
type MemberState uint8

// The states of a member. Of two rumours about the same incarnation and
// refutation count, the greater state wins.
const (
	Alive MemberState = iota
	Suspect
	Dead
	Left
)

// String returns the state's name in logs and status.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[s&3]
}

// Rumour is gossip about a member of the zone.
type Rumour struct {
	Name string `msgpack:",intern"`
	// Incarnation identifies the member's process. Refutations counts how often it has
	// refuted rumours of its death.
	Incarnation uint64
	Refutations uint64
	State       MemberState
}

// Probe asks a member for an Ack.
type Probe struct {
	Seq uint64
	// Incarnation and Refutations are the sender's.
	Incarnation uint64
	Refutations uint64
	// Table is the revision in force at the sender.
	Table uint64
	// Rumours are the latest changes that the sender knows.
	Rumours []Rumour
}

// Ack answers a Probe.
type Ack struct {
	Seq         uint64
	Incarnation uint64
	Refutations uint64
	Table       uint64
	Rumours     []Rumour
}

// TableRequest asks a peer for its table.
type TableRequest struct {
	// Have is the sender's revision, 0 if it has none.
	Have uint64
}

// FullTable is a complete table; Revision is 0 if the sender has none.
type FullTable struct {
	Revision uint64
	Accounts []table.Account
	Backends []table.Backend
}

// TableDelta is the difference between two revisions of the table.
type TableDelta struct {
	Delta table.Delta
}

// ClaimState is the reply of a router that stores idempotency keys (a home of the key) to a claim.
type ClaimState uint8

// The replies to a claim.
const (
	// ClaimGranted means that the key was not used before, and the use is recorded.
	ClaimGranted ClaimState = iota
	// ClaimTaken means that another request used the key.
	ClaimTaken
	// ClaimUnknown means that the use is recorded, but the home has not run long
	// enough to know of earlier uses.
	ClaimUnknown
	// ClaimFull means that the home stores too many keys.
	ClaimFull
	// ClaimNotHome means that the receiver is not a home of the key.
	ClaimNotHome
	// ClaimUnreachable means that too few homes replied. It is never sent.
	ClaimUnreachable
)

// Claim asks a home of an idempotency key to record its use.
type Claim struct {
	// Seq is echoed in the reply.
	Seq uint64
	// Key is the account's name, a zero byte, and the caller's key.
	Key string
	// Request is the claiming request's id.
	Request string
	// At is the time at which the caller first used the key, in Unix milliseconds;
	// 0 if unknown.
	At int64
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	Seq   uint64
	State ClaimState
}

// ClaimRelease withdraws a claim whose request did not run.
type ClaimRelease struct {
	Key     string
	Request string
}
