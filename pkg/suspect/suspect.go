// Package suspect detects what crashes backend servers: a request that callers send repeatedly, or a part
// of a prompt that many requests share.
//
// It is a form of group testing. Requests and prompt parts are the items. A crash is a positive test of
// all items that were in flight at the backend server; a completed request is a negative test of its own
// items, since an item is assumed to crash each server that begins to respond to it. An item is blocked
// after several crashes without a completion, unless other items explain them better (culprits.go).
//
// The crashes of an item form a set. Merging sets is commutative and idempotent, so routers
// that exchange crashes converge whatever the order and number of messages. A crash is removed
// when the backend server turns out to be alive. All crashes of an item are removed when a request with
// it completes.
//
// The package does no I/O and reads no clock: the caller passes the time, which must not go
// backwards.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxCrashes is how many backend servers may crash under an item before it is blocked. A
	// lower limit would block harmless requests when servers crash for other reasons: 1 to 6 of 2,500
	// requests were in flight at two such crashes.
	MaxCrashes = 3
	// minRetention is the minimum time for which crashes are kept. Callers may resend a
	// request long after its last crash.
	minRetention = 20 * time.Minute
	// retentionPerBlock is the ratio of retention to block time. The crashes must still be
	// known when a request is tried again after its block.
	retentionPerBlock = 2
	// maxCrashesKept bounds the crashes kept per item. In the time in which requests that were sent before
	// are still in flight, one part crashed up to 29 servers.
	maxCrashesKept = 32
	// maxCleared bounds the Cleared records that wait for DrainCleared.
	maxCleared = 1024
)

// MaxRetention is the maximum time for which crashes are kept.
const MaxRetention = retentionPerBlock * maxBlock

// Server identifies one incarnation of a backend server.
type Server uint32

// Crash records that a backend server crashed while an item was in flight there.
type Crash struct {
	Digest Digest
	Server Server
	At     time.Duration
	// Sent is when the attempt was sent, at or before At.
	Sent time.Duration
	// Unanswered says that the server had not begun to answer the attempt.
	Unanswered bool
	// Extra is how many crashes beyond MaxCrashes the reporting router allows for the item.
	Extra int
	// Part says that the item is a part of a prompt.
	Part bool
}

// item holds the crashes of a request, or of a part of prompts.
type item struct {
	digest Digest
	part   bool
	// crashes has one element per server and is sorted by time.
	crashes []Crash
	// extra is how many crashes beyond MaxCrashes are allowed. See extraTrials.
	extra int
}

func (x *item) lastCrash() time.Duration { return x.crashes[len(x.crashes)-1].At }

// limit is the number of crashes from which on the item may be blocked.
func (x *item) limit() int { return MaxCrashes + x.extra }

// crashedAt reports whether a server crashed while the item was in flight there.
func (x *item) crashedAt(server Server) bool {
	return slices.ContainsFunc(x.crashes, func(c Crash) bool { return c.Server == server })
}

// retention returns how long the item is kept after its last crash.
func (x *item) retention() time.Duration {
	if len(x.crashes) < x.limit() {
		return minRetention
	}
	return max(minRetention, retentionPerBlock*x.blockFor(len(x.crashes)))
}

// Reason says why crashes of an item were removed.
type Reason string

const (
	// ReasonCompleted: a request with the item completed.
	ReasonCompleted Reason = "ran"
	// ReasonAlive: the backend server turned out to be alive.
	ReasonAlive Reason = "lives"
	// ReasonExpired: the crashes passed their retention time.
	ReasonExpired Reason = "old"
	// ReasonEvicted: the tracker was full and other items had more crashes.
	ReasonEvicted Reason = "room"
)

// Cleared describes crashes of an item that were removed.
type Cleared struct {
	Digest Digest
	// Crashes is the number removed, above 0.
	Crashes int
	Reason  Reason
	// Part says that the item is a part of a prompt.
	Part bool
}

// Tracker holds the crashes known to one router.
type Tracker struct {
	items map[Digest]*item
	// cleared waits for DrainCleared.
	cleared []Cleared
	// crashCounts counts the recorded crashes of each server.
	crashCounts map[Server]int
	completions completions
	// findings is what follows from the crashes, nil after a change.
	findings *findings
	// reported are the parts that Changes has reported as blocked.
	reported map[Digest]bool
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{items: map[Digest]*item{}, crashCounts: map[Server]int{}, completions: newCompletions(), reported: map[Digest]bool{}}
}

// Len returns the number of items kept.
func (t *Tracker) Len() int { return len(t.items) }

// Record adds a crash and reports whether it changes what is known. A crash before the last completion
// of the item is not recorded.
func (t *Tracker) Record(now time.Duration, c Crash) bool {
	if c.Digest == 0 || now-c.At >= MaxRetention {
		return false
	}
	c.At = min(c.At, now)
	c.Sent = min(c.Sent, c.At)
	if at, ok := t.completions.last(c.Digest); ok && c.At < at {
		return false
	}
	x, ok := t.items[c.Digest]
	if !ok {
		t.evict(now)
		x = &item{digest: c.Digest}
		t.items[c.Digest] = x
	}
	t.findings = nil
	x.part = x.part || c.Part
	x.extra = min(maxExtra, max(x.extra, c.Extra, t.completions.extraTrials(c.Digest)))
	c.Extra, c.Part = 0, false
	if i := slices.IndexFunc(x.crashes, func(k Crash) bool { return k.Server == c.Server }); i >= 0 {
		return x.merge(i, c)
	}
	if len(x.crashes) == maxCrashesKept {
		t.uncount(x.crashes[0])
		x.crashes = slices.Delete(x.crashes, 0, 1)
	}
	pos, _ := slices.BinarySearchFunc(x.crashes, c, compareTimes)
	x.crashes = slices.Insert(x.crashes, pos, c)
	t.crashCounts[c.Server]++
	return true
}

// merge updates the known crash at index i, since several attempts may have been in flight at
// that server. It reports whether c shows something new: the first attempt sent after the
// first crash, or the first one that had begun to be answered.
func (x *item) merge(i int, c Crash) bool {
	before, known := crashedOnRetry(x.crashes), &x.crashes[i]
	answered := known.Unanswered && !c.Unanswered
	known.Sent = max(known.Sent, c.Sent)
	known.Unanswered = known.Unanswered && c.Unanswered
	return answered || !before && crashedOnRetry(x.crashes)
}

func compareTimes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server))
}

// HasCrash reports whether any crash of the server is recorded.
func (t *Tracker) HasCrash(server Server) bool { return t.crashCounts[server] > 0 }

// MarkAlive removes the crashes recorded for a server at times in [from, to), during which it
// was alive.
func (t *Tracker) MarkAlive(server Server, from, to time.Duration) {
	if !t.HasCrash(server) {
		return
	}
	for _, x := range t.items {
		t.removeCrashes(x, ReasonAlive, func(c Crash) bool { return c.Server == server && from <= c.At && c.At < to })
	}
}

// MarkCompleted counts a completion of an item and removes its crashes. It reports whether
// the item had any.
func (t *Tracker) MarkCompleted(now time.Duration, d Digest) bool {
	if d == 0 {
		return false
	}
	t.completions.add(now, d)
	x, ok := t.items[d]
	if ok {
		t.removeCrashes(x, ReasonCompleted, allCrashes)
	}
	return ok
}

// Expire removes items past their retention time.
func (t *Tracker) Expire(now time.Duration) {
	for _, x := range t.items {
		if now-x.lastCrash() >= x.retention() {
			t.removeCrashes(x, ReasonExpired, allCrashes)
		}
	}
}

// Crashes returns the number of crashes recorded for an item.
func (t *Tracker) Crashes(d Digest) int {
	if x, ok := t.items[d]; ok {
		return len(x.crashes)
	}
	return 0
}

// ExtraAllowed returns how many crashes beyond MaxCrashes an item may have.
func (t *Tracker) ExtraAllowed(d Digest) int {
	if x, ok := t.items[d]; ok {
		return x.extra
	}
	return 0
}

// allCrashes matches every crash.
func allCrashes(Crash) bool { return true }

// DrainCleared returns and forgets the removals since the last call, at most maxCleared.
func (t *Tracker) DrainCleared() []Cleared {
	list := t.cleared
	t.cleared = nil
	return list
}

// removeCrashes removes the matching crashes of an item, and the item once it has none.
func (t *Tracker) removeCrashes(x *item, reason Reason, match func(Crash) bool) {
	before := len(x.crashes)
	x.crashes = slices.DeleteFunc(x.crashes, func(c Crash) bool {
		if !match(c) {
			return false
		}
		t.uncount(c)
		return true
	})
	removed := before - len(x.crashes)
	if removed == 0 {
		return
	}
	t.findings = nil
	if len(x.crashes) == 0 {
		delete(t.items, x.digest)
	}
	if len(t.cleared) < maxCleared {
		t.cleared = append(t.cleared, Cleared{Digest: x.digest, Crashes: removed, Reason: reason, Part: x.part})
	}
}

func (t *Tracker) uncount(c Crash) {
	if t.crashCounts[c.Server]--; t.crashCounts[c.Server] <= 0 {
		delete(t.crashCounts, c.Server)
	}
}
