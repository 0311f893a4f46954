// Package wire defines the messages between routers. Each message is one
// msgpack array [kind, body]; docs/PROTOCOL.md gives the framing.
package wire

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Pool names a set of backend servers with one owner: those of one model in
// one availability zone, or a shard of them where they are many.
type Pool struct {
	// Model is the model that the pool's backend servers serve.
	Model string `msgpack:",intern"`
	// Zone is the availability zone they stand in.
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

// SortedPools returns the keys of a map by pool, in the order of String.
func SortedPools[V any](m map[Pool]V) []Pool {
	pools := make([]Pool, 0, len(m))
	for p := range m {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.String(), b.String()) })
	return pools
}

// ParsePool reads what String writes.
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

// Stamp is a moment on one router's own clock, in milliseconds. Only that
// router may compare it with anything; others hand it back as it is. Since a
// clock starts at the wall time of the router's start and then runs
// monotonically, a stamp of an earlier start lies in the past.
type Stamp int64

// StampOf returns the stamp of a moment on the router's clock.
func StampOf(now time.Duration) Stamp { return Stamp(now.Milliseconds()) }

// At returns the moment of the stamp on the router's clock.
func (s Stamp) At() time.Duration { return time.Duration(s) * time.Millisecond }

// Lease is the right to run one request at a time on one slot.
type Lease struct {
	// ID numbers the lease among those of its Grant's Source.
	ID uint64
	// Backend is the name of the backend server.
	Backend string `msgpack:",intern"`
	// Account is whose request may run; "" means any (a standing lease).
	Account string `msgpack:",intern"`
	// Swapped says that an owner that passed the lease on gave it to another
	// account than it was lent for; its uses name the account.
	Swapped bool
}

// Source is who granted a lease and gets it back.
type Source struct {
	// Owner is the router.
	Owner string `msgpack:",intern"`
	// Pool is the pool the slot belongs to.
	Pool Pool
	// Epoch is when the router became the pool's owner, on its own clock. A
	// router that is owner twice numbers its leases twice, so the number
	// alone would not do.
	Epoch uint64
}

// Waiting is how many requests of an account wait.
type Waiting struct {
	// Account is the client account.
	Account string `msgpack:",intern"`
	// Count is never negative; 0 withdraws the demand.
	Count int
	// Priority is that of the next request.
	Priority int
}

// Demand tells an owner what waits at a router. A later Seq replaces a
// former one; a Full one also replaces all accounts it does not name.
type Demand struct {
	Pool Pool
	// Seq grows by one with each Demand for the pool.
	Seq uint64
	// Stamp is the sender's clock when it sent this. Grants echo it.
	Stamp Stamp
	// Seen is the Seq of the last Grant that Waiting already counts.
	Seen uint64
	// Full says that accounts not named have nothing waiting.
	Full bool
	// Waiting lists the accounts whose count changed.
	Waiting []Waiting
}

// Grant gives leases to a router. Seq grows by one for each receiver.
type Grant struct {
	// For is the pool whose demand is met.
	For Pool
	// Lent says that the receiver is For's owner, who passes the leases on,
	// and not a router with waiting requests.
	Lent bool
	Seq  uint64
	// Stamp is the last one received from the receiver. Leases count their
	// time from it, on the receiver's own clock.
	Stamp Stamp
	// TTLMillis is for how long after Stamp a request may start.
	TTLMillis int
	// Source is where the leases go back to.
	Source Source
	Leases []Lease
}

// Use is what a lease has served.
type Use struct {
	// ID is the lease's number.
	ID uint64
	// Tokens is the count served so far to the running request.
	Tokens int64
	// Account is whose request ran or runs on a standing lease; "" if none
	// does, or if the lease is for one account.
	Account string `msgpack:",intern"`
	// Backend is given where the receiver did not grant the lease itself.
	Backend string `msgpack:",intern"`
	// Failed says that the backend server could not be reached.
	Failed bool
}

// Return gives leases back.
type Return struct {
	Pool  Pool
	Epoch uint64
	// Ended lists requests that ended earlier on standing leases.
	Ended []Use
	// Done lists leases on which a request ended last.
	Done []Use
	// Unused lists leases on which none ran.
	Unused []Use
}

// Report lists every lease of one Source that a router holds, in use or
// idle. It proves that the router still has them.
type Report struct {
	Pool  Pool
	Epoch uint64
	// Stamp is the sender's clock when it sent this; Renew echoes it.
	Stamp Stamp
	// Held lists the standing and swapped leases, and all of them with Adopt.
	Held []Use
	// Running lists the other leases, packed: for each, what its ID exceeds
	// the one before by, and its tokens. See AddRunning and EachRunning.
	Running []int64
	// Ended lists requests that ended on standing leases since the last
	// Report, which the router keeps.
	Ended []Use
	// Adopt says that the leases were granted by a former owner.
	Adopt bool
}

// AddRunning adds a running lease; IDs must rise from one to the next.
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

// Recall asks for all standing leases of a pool back.
type Recall struct {
	Pool Pool
	// Tell asks instead for a Report with Adopt of all that is held.
	Tell bool
}

// Served is the service an owner has charged to an account.
type Served struct {
	Account string `msgpack:",intern"`
	// Tokens includes the estimates of requests that still run.
	Tokens float64
	// Virtual is the account's virtual time at the sender, less its guesses,
	// and less the sender's least one so that few digits do.
	Virtual float32
}

// Limited is what an owner gave an account that has limits.
type Limited struct {
	Account string `msgpack:",intern"`
	// Requests counts what was granted in all; Running what runs now.
	Requests int64
	Running  int
}

// Share is what owners of the same model tell each other.
type Share struct {
	// From and To are pools of one model.
	From Pool
	To   Pool
	// Epoch is when the sender became the owner; Seq orders its shares.
	Epoch uint64
	Seq   uint64
	// Stamp is the sender's clock when it sent this. Grants echo it.
	Stamp Stamp
	// Seen is the Seq of the last Grant from To that Waiting counts.
	Seen uint64
	// Served lists the accounts that were charged lately or have work.
	Served []Served
	// Limited lists the accounts that have limits and were used.
	Limited []Limited
	// Waiting lists all demand that From asks To to meet.
	Waiting []Waiting
	// Free is how many slots of From are idle.
	Free int
	// Slots is how many slots From has.
	Slots int
	// Table is the revision of the table in force at the sender.
	Table uint64
}

// NotOwner answers a message for a pool the receiver does not own.
type NotOwner struct {
	Pool Pool
	// Owner is who owns the pool as the sender sees it; "" if nobody.
	Owner string `msgpack:",intern"`
}

// MemberState is what a router believes of another one.
type MemberState uint8

// The states of a member; of two rumours about one incarnation and
// refutation the greater state wins.
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

// Rumour is what is said of a member of the zone.
type Rumour struct {
	Name string `msgpack:",intern"`
	// Inc is the member's start, Ref its count of refutations since.
	Inc   uint64
	Ref   uint64
	State MemberState
}

// Probe asks a member whether it lives; the answer is an Ack.
type Probe struct {
	Seq uint64
	// Inc and Ref are the sender's.
	Inc uint64
	Ref uint64
	// Table is the revision in force at the sender.
	Table uint64
	// Rumours are the latest changes the sender knows of.
	Rumours []Rumour
}

// Ack answers a Probe.
type Ack struct {
	Seq     uint64
	Inc     uint64
	Ref     uint64
	Table   uint64
	Rumours []Rumour
}

// TableAsk asks a peer for its table.
type TableAsk struct {
	// Have is the asker's revision, 0 if it has none.
	Have uint64
}

// TableWhole is a whole table; Revision is 0 if the sender has none.
type TableWhole struct {
	Revision uint64
	Accounts []table.Account
	Backends []table.Backend
}

// TableDelta is a step from one table to the next.
type TableDelta struct {
	Delta table.Delta
}

// ClaimState is what a home of keys answers to a claim.
type ClaimState uint8

// The answers to a claim.
const (
	// ClaimGranted: nobody used the key before, and this use is recorded.
	ClaimGranted ClaimState = iota
	// ClaimTaken: another request used the key.
	ClaimTaken
	// ClaimUnknown: this use is recorded, but the home has not existed long
	// enough to know of an earlier one.
	ClaimUnknown
	// ClaimFull: the home holds too many keys.
	ClaimFull
	// ClaimElsewhere: the receiver is no home of the key.
	ClaimElsewhere
	// ClaimCutOff is never sent: too few homes answered.
	ClaimCutOff
)

// Claim asks a home of a key to record its use.
type Claim struct {
	// Seq is echoed in the answer.
	Seq uint64
	// Key is the account's name, a zero byte, and the caller's key.
	Key string
	// Request is the claiming request's id.
	Request string
	// At is when the caller first used the key, in wall milliseconds; 0 if
	// the caller did not say.
	At int64
}

// ClaimAnswer answers a Claim.
type ClaimAnswer struct {
	Seq   uint64
	State ClaimState
}

// ClaimVoid takes a claim back, because its request provably did not run.
type ClaimVoid struct {
	Key     string
	Request string
}
