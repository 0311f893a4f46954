// Package suspect detects requests that crash backend servers. It records which requests were
// in flight at each backend server that crashed and blocks those that were present at too many
// crashes.
//
// The crashes of a request form a set. Merging sets is commutative and idempotent, so routers
// that exchange crashes converge whatever the order and number of messages. A crash is removed
// when the backend server turns out to be alive. All crashes of a request are removed when the
// request completes.
//
// The package does no I/O and reads no clock: the caller passes the time, which must not go
// backwards.
package suspect

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// MaxCrashes is how many backend servers may crash under a request before it is blocked. A
	// lower limit would block harmless requests when servers crash for other reasons: 1 to 6 of 2,500
	// requests were in flight at two such crashes.
	MaxCrashes = 3
	// minRetention is the minimum time for which crashes are kept. Callers may resend a
	// request long after its last crash.
	minRetention = 20 * time.Minute
	// earlyBlock is how long a request is blocked after its second crash if isEarlySuspect
	// holds. Two crashes may be a coincidence, so one more attempt follows.
	earlyBlock = 30 * time.Second
	// baseBlock is how long a request is blocked after MaxCrashes crashes. The attempt after
	// the block may crash another server, so each further crash multiplies the block by
	// blockGrowth, up to maxBlock. Blocks do expire, since a new engine version may handle the
	// request.
	baseBlock   = 10 * time.Minute
	blockGrowth = 4
	maxBlock    = 24 * time.Hour
	// retentionPerBlock is the ratio of retention to block time. The crashes must still be
	// known when a request is tried again after its block.
	retentionPerBlock = 2
	// maxRequests bounds the number of requests kept: 4,096 of 150 bytes take 0.6 MB. A backend server
	// that crashes has up to 64 requests in flight.
	maxRequests = 4096
	// An eviction drops maxRequests/evictDivisor requests.
	evictDivisor = 8
	// completedFor is the minimum time for which completions are counted, and maxCompleted
	// bounds the requests in each of the two generations of counts; both take 0.3 MB.
	completedFor = 30 * time.Second
	maxCompleted = 4096
	// maxCrashesKept bounds the crashes kept per request.
	maxCrashesKept = 8
	// maxCleared bounds the Cleared records that wait for DrainCleared.
	maxCleared = 1024
)

// MaxRetention is the maximum time for which crashes are kept.
const MaxRetention = retentionPerBlock * maxBlock

// Server identifies one incarnation of a backend server.
type Server uint32

// Crash records that a backend server crashed while a request was in flight there.
type Crash struct {
	Digest Digest
	Server Server
	At     time.Duration
	// Sent is when the attempt was sent, at or before At.
	Sent time.Duration
	// Unanswered says that the server had not begun to answer the attempt.
	Unanswered bool
	// Extra is how many crashes beyond MaxCrashes the reporting router allows for the request.
	Extra int
}

// Status is what the recorded crashes say about a request.
type Status struct {
	Crashes   int
	LastCrash time.Duration
	// BlockedUntil is when the block ends, 0 if the request is not blocked.
	BlockedUntil time.Duration
}

// Blocked reports whether the request must not be sent now.
func (s Status) Blocked(now time.Duration) bool { return now < s.BlockedUntil }

// request holds the crashes of one request.
type request struct {
	// crashes has one element per server and is sorted by time.
	crashes []Crash
	// extra is how many crashes beyond MaxCrashes are allowed. See extraTrials.
	extra int
}

func (r *request) lastCrash() time.Duration { return r.crashes[len(r.crashes)-1].At }

// blockFor returns how long a request with at least MaxCrashes+extra crashes is blocked after
// the last one.
func (r *request) blockFor() time.Duration {
	d := baseBlock
	for range len(r.crashes) - MaxCrashes - r.extra {
		d = min(maxBlock, blockGrowth*d)
	}
	return d
}

// retention returns how long the request is kept after its last crash.
func (r *request) retention() time.Duration {
	if len(r.crashes) < MaxCrashes+r.extra {
		return minRetention
	}
	return max(minRetention, retentionPerBlock*r.blockFor())
}

// Reason says why crashes of a request were removed.
type Reason string

const (
	// ReasonCompleted: the request completed.
	ReasonCompleted Reason = "ran"
	// ReasonAlive: the backend server turned out to be alive.
	ReasonAlive Reason = "lives"
	// ReasonExpired: the crashes passed their retention time.
	ReasonExpired Reason = "old"
	// ReasonEvicted: the tracker was full and other requests had more crashes.
	ReasonEvicted Reason = "room"
)

// Cleared describes crashes of a request that were removed.
type Cleared struct {
	Digest Digest
	// Crashes is the number removed, above 0.
	Crashes int
	Reason  Reason
}

// Tracker holds the crashes known to one router.
type Tracker struct {
	requests map[Digest]*request
	// cleared waits for DrainCleared.
	cleared []Cleared
	// crashCounts counts the recorded crashes of each server.
	crashCounts map[Server]int
	// completed counts completions of requests since completedSince, completedBefore those of
	// the generation before.
	completed, completedBefore map[Digest]int
	completedSince             time.Duration
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{requests: map[Digest]*request{}, crashCounts: map[Server]int{}, completed: map[Digest]int{}}
}

// Len returns the number of requests kept.
func (t *Tracker) Len() int { return len(t.requests) }

// Record adds a crash and reports whether it changes what is known.
func (t *Tracker) Record(now time.Duration, c Crash) bool {
	if c.Digest == 0 || now-c.At >= MaxRetention {
		return false
	}
	c.At = min(c.At, now)
	c.Sent = min(c.Sent, c.At)
	r, ok := t.requests[c.Digest]
	if !ok {
		t.evict(now)
		r = &request{}
		t.requests[c.Digest] = r
	}
	r.extra = min(maxCrashesKept-MaxCrashes, max(r.extra, c.Extra, t.extraTrials(c.Digest)))
	c.Extra = 0
	if i := slices.IndexFunc(r.crashes, func(x Crash) bool { return x.Server == c.Server }); i >= 0 {
		return r.merge(i, c)
	}
	if len(r.crashes) == maxCrashesKept {
		t.uncount(r.crashes[0])
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	pos, _ := slices.BinarySearchFunc(r.crashes, c, compareTimes)
	r.crashes = slices.Insert(r.crashes, pos, c)
	t.crashCounts[c.Server]++
	return true
}

// merge updates the known crash at index i, since several attempts may have been in flight at
// that server. It reports whether c shows something new: the first attempt sent after the
// first crash, or the first one that had begun to be answered.
func (r *request) merge(i int, c Crash) bool {
	before, known := r.crashedOnRetry(), &r.crashes[i]
	answered := known.Unanswered && !c.Unanswered
	known.Sent = max(known.Sent, c.Sent)
	known.Unanswered = known.Unanswered && c.Unanswered
	return answered || !before && r.crashedOnRetry()
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
	for d, r := range t.requests {
		t.removeCrashes(d, r, ReasonAlive, func(c Crash) bool { return c.Server == server && from <= c.At && c.At < to })
	}
}

// MarkCompleted counts a completion of a request and removes its crashes. It reports whether
// the request had any.
func (t *Tracker) MarkCompleted(now time.Duration, d Digest) bool {
	if d == 0 {
		return false
	}
	if len(t.completed) >= maxCompleted || now-t.completedSince >= completedFor {
		t.completed, t.completedBefore, t.completedSince = make(map[Digest]int, len(t.completed)), t.completed, now
	}
	t.completed[d]++
	r, ok := t.requests[d]
	if ok {
		t.removeCrashes(d, r, ReasonCompleted, allCrashes)
	}
	return ok
}

// Status returns the status of a request, the zero Status if no crashes of it are known.
func (t *Tracker) Status(now time.Duration, d Digest) Status {
	r, ok := t.requests[d]
	if !ok || now-r.lastCrash() >= r.retention() {
		return Status{}
	}
	s := Status{Crashes: len(r.crashes), LastCrash: r.lastCrash()}
	if s.Crashes < MaxCrashes {
		if r.extra == 0 && t.isEarlySuspect(r) {
			s.BlockedUntil = s.LastCrash + earlyBlock
		}
		return s
	}
	if (r.crashedOnRetry() || r.lastCrash()-r.crashes[0].At > incidentWindow) && s.Crashes >= MaxCrashes+r.extra {
		s.BlockedUntil = r.lastCrash() + r.blockFor()
	}
	return s
}

// isEarlySuspect reports whether a request with MaxCrashes-1 crashes is their likely cause: its
// last attempt was sent after the first crash, ran for at least minAttempt and was unanswered
// when the server crashed, and no other request's crashes explain the last one.
func (t *Tracker) isEarlySuspect(r *request) bool {
	if len(r.crashes) < MaxCrashes-1 {
		return false
	}
	first, last := r.crashes[0], r.crashes[len(r.crashes)-1]
	if !last.Unanswered || last.Sent <= first.At || last.At-last.Sent < minAttempt {
		return false
	}
	for _, other := range t.requests {
		if other != r && other.mayExplain(first, last) {
			return false
		}
	}
	return true
}

// minAttempt is how long an attempt must have been at a server to count for isEarlySuspect. An
// attempt that fails sooner may have been sent on a connection that was already dead.
const minAttempt = 20 * time.Millisecond

// mayExplain reports whether r accounts for the last crash of another request. Either r was in
// flight at that server too and has an earlier crash elsewhere, or r shows that a further
// server crashed at about the same time.
func (r *request) mayExplain(first, last Crash) bool {
	for _, c := range r.crashes {
		switch {
		case c.Server == last.Server:
			if r.crashes[0].Server != last.Server {
				return true
			}
		case c.Server != first.Server && (c.At-last.At).Abs() < incidentWindow:
			return true
		}
	}
	return false
}

// incidentWindow is the maximum time between crashes that count as one incident, such as the
// loss of a rack. Several attempts of one request may be in flight when it happens. A request that
// crashed four servers itself did so 60 to 250 ms apart.
const incidentWindow = 150 * time.Millisecond

// extraTrials returns how many crashes beyond MaxCrashes a request may have because it
// completed recently: one for the first completion and one more for each doubling. A request
// that callers repeat often is in flight at most crashes, whatever their cause.
func (t *Tracker) extraTrials(d Digest) int {
	return min(maxCrashesKept-MaxCrashes, bits.Len(uint(t.completed[d]+t.completedBefore[d])))
}

// crashedOnRetry reports whether any crash hit an attempt that was sent after the first crash.
func (r *request) crashedOnRetry() bool {
	first := r.crashes[0].At
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Sent > first })
}

// Expire removes requests past their retention time.
func (t *Tracker) Expire(now time.Duration) {
	for d, r := range t.requests {
		if now-r.lastCrash() >= r.retention() {
			t.removeCrashes(d, r, ReasonExpired, allCrashes)
		}
	}
}

// TopCrashes returns the crashes of the requests that have the most, at most limit of them. It
// includes all crashes of a request or none.
func (t *Tracker) TopCrashes(limit int) []Crash {
	var list []Crash
	for _, r := range t.byCrashCount() {
		if len(list)+len(r.crashes) > limit {
			break
		}
		for _, c := range r.crashes {
			c.Extra = r.extra
			list = append(list, c)
		}
	}
	return list
}

// ExtraAllowed returns how many crashes beyond MaxCrashes a request may have.
func (t *Tracker) ExtraAllowed(d Digest) int {
	if r, ok := t.requests[d]; ok {
		return r.extra
	}
	return 0
}

// byCrashCount returns the requests with the most crashes first, the most recent first among
// equals.
func (t *Tracker) byCrashCount() []*request {
	list := make([]*request, 0, len(t.requests))
	for _, r := range t.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.lastCrash(), a.lastCrash()), cmp.Compare(a.crashes[0].Digest, b.crashes[0].Digest))
	})
	return list
}

// evict makes room in a full tracker. It drops the requests with the fewest crashes, oldest
// first, so that many new requests do not displace the likeliest culprits.
func (t *Tracker) evict(now time.Duration) {
	if len(t.requests) < maxRequests {
		return
	}
	t.Expire(now)
	if len(t.requests) < maxRequests {
		return
	}
	list := t.byCrashCount()
	for _, r := range list[len(list)-maxRequests/evictDivisor:] {
		t.removeCrashes(r.crashes[0].Digest, r, ReasonEvicted, allCrashes)
	}
}

// allCrashes matches every crash.
func allCrashes(Crash) bool { return true }

// DrainCleared returns and forgets the removals since the last call, at most maxCleared.
func (t *Tracker) DrainCleared() []Cleared {
	list := t.cleared
	t.cleared = nil
	return list
}

// removeCrashes removes the matching crashes of a request, and the request once it has none.
func (t *Tracker) removeCrashes(d Digest, r *request, reason Reason, match func(Crash) bool) {
	before := len(r.crashes)
	defer func() {
		if n := before - len(r.crashes); n > 0 && len(t.cleared) < maxCleared {
			t.cleared = append(t.cleared, Cleared{Digest: d, Crashes: n, Reason: reason})
		}
	}()
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool {
		if !match(c) {
			return false
		}
		t.uncount(c)
		return true
	})
	if len(r.crashes) == 0 {
		delete(t.requests, d)
	}
}

func (t *Tracker) uncount(c Crash) {
	if t.crashCounts[c.Server]--; t.crashCounts[c.Server] <= 0 {
		delete(t.crashCounts, c.Server)
	}
}
