// Package suspect remembers which requests were under way at backend servers that ended,
// so that one under which they end is told from those that only were there.
//
// What is known of a request is the set of starts of backend servers that ended under it.
// Sets are joined, so that routers which tell each other of ends come to the same whatever
// the order in which they hear, and however often. An end is taken back when the backend
// server turns out to live, all ends of a request when it has run to its end.
//
// The package is pure: the caller passes the time, which never runs backwards.
package suspect

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// MaxCrashes is how many backend servers may end under a request before it gets no
	// other: the operators' rule is three. Two would refuse harmless requests: of a fleet
	// that loses servers by other causes 1 to 6 in 2,500 were cut off twice.
	MaxCrashes = 3
	// endsKept is for how long ends are remembered at least. Each that is forgotten costs
	// another backend server when its request returns, which callers may do at any time; a
	// request that only was there is forgotten sooner, when it has run to its end.
	endsKept = 20 * time.Minute
	// firstBar is for how long after its second end a request gets nothing that stands out by
	// then: two ends may be chance, and the trial after it tells.
	firstBar = 30 * time.Second
	// barredFor is for how long after the last end a request under which MaxCrashes ended
	// gets nothing: a trial may end one more server, which takes it away for seconds with
	// all that runs there. Each further end makes that barredGrowth times as long, up to
	// longestBar: a new version of an engine may bear the request, but the longer it has
	// not, the less likely a trial is to find one.
	barredFor    = 10 * time.Minute
	barredGrowth = 4
	longestBar   = 24 * time.Hour
	// keptAfterBar is for how many times as long as a request is barred its ends are
	// remembered: the trial after a bar must find them.
	keptAfterBar = 2
	// mostRequests bounds the requests that are remembered: 4,096 of 150 bytes each are
	// 0.6 MB. A backend server that ends has up to 64 under way, so that these are the
	// ends of 64 and more.
	mostRequests = 4096
	// dropPart of them is dropped at once when there are more.
	dropPart = 8
	// ranFor is for how long at least is remembered that a request ran to its end, mostRan
	// how many such requests are, twice: 8,192 take 0.3 MB.
	ranFor  = 30 * time.Second
	mostRan = 4096
	// mostServers bounds the ends that are remembered of one request.
	mostServers = 8
	// mostCleared bounds what waits to be told of ends that were cleared.
	mostCleared = 1024
)

// MaxRetention is for how long ends are remembered at most.
const MaxRetention = keptAfterBar * longestBar

// Digest identifies a request by what its caller sends, whichever try it is.
type Digest uint64

// Server names a start of a backend server.
type Server uint32

// Crash says that a backend server ended while a request was under way there.
type Crash struct {
	Digest Digest
	Server Server
	At     time.Duration
	// Sent is when the try that was under way had been sent, at or before At.
	Sent time.Duration
	// Unanswered says that it had not begun to answer.
	Unanswered bool
	// Extra is how many more ends than MaxCrashes the request may have, by what the router that
	// tells of it knows.
	Extra int
}

// Status is what the ends of a request say of it.
type Status struct {
	// Crashes is how many backend servers ended under it.
	Crashes int
	// LastCrash is when the last of them did.
	LastCrash time.Duration
	// BlockedUntil is until when it gets nothing, 0 if it may be sent.
	BlockedUntil time.Duration
}

// Blocked reports whether the request gets nothing now.
func (s Status) Blocked(now time.Duration) bool { return now < s.BlockedUntil }

// request is what is remembered of one.
type request struct {
	// ends are of different servers, the oldest first.
	ends []Crash
	// more is how many more than MaxCrashes there may be, by how often it had run before.
	more int
}

func (r *request) last() time.Duration { return r.ends[len(r.ends)-1].At }

// bar returns for how long after the last end the request gets nothing if it is barred.
func (r *request) bar() time.Duration {
	d := barredFor
	for range len(r.ends) - MaxCrashes - r.more {
		d = min(longestBar, barredGrowth*d)
	}
	return d
}

// kept returns for how long after the last end it is remembered.
func (r *request) kept() time.Duration {
	if len(r.ends) < MaxCrashes+r.more {
		return endsKept
	}
	return max(endsKept, keptAfterBar*r.bar())
}

// Reason is why ends of a request are not remembered any more.
type Reason string

const (
	// ReasonCompleted: the request has run to its end.
	ReasonCompleted Reason = "ran"
	// ReasonAlive: the backend server turned out to live.
	ReasonAlive Reason = "lives"
	// ReasonExpired: they are as old as ends are remembered.
	ReasonExpired Reason = "old"
	// ReasonEvicted: there were too many requests, and others had more ends.
	ReasonEvicted Reason = "room"
)

// Cleared are ends of a request that are not remembered any more.
type Cleared struct {
	Digest Digest
	// Crashes is how many, above 0.
	Crashes int
	Reason  Reason
}

// Tracker is what one router remembers.
type Tracker struct {
	requests map[Digest]*request
	// cleared is what was forgotten or taken back and not fetched yet.
	cleared []Cleared
	// at counts the ends that are remembered of each server.
	at map[Server]int
	// ran counts how often requests ran to their end since ranSince, ranBefore in the time
	// before that.
	ran, ranBefore map[Digest]int
	ranSince       time.Duration
}

// New returns an empty table.
func New() *Tracker {
	return &Tracker{requests: map[Digest]*request{}, at: map[Server]int{}, ran: map[Digest]int{}}
}

// Len returns how many requests are remembered.
func (t *Tracker) Len() int { return len(t.requests) }

// Record takes in an end, and reports whether it is news.
func (t *Tracker) Record(now time.Duration, e Crash) bool {
	if e.Digest == 0 || now-e.At >= MaxRetention {
		return false
	}
	e.At = min(e.At, now)
	e.Sent = min(e.Sent, e.At)
	r, ok := t.requests[e.Digest]
	if !ok {
		t.makeRoom(now)
		r = &request{}
		t.requests[e.Digest] = r
	}
	r.more = min(mostServers-MaxCrashes, max(r.more, e.Extra, t.trialsMore(e.Digest)))
	e.Extra = 0
	if i := slices.IndexFunc(r.ends, func(x Crash) bool { return x.Server == e.Server }); i >= 0 {
		return r.join(i, e)
	}
	if len(r.ends) == mostServers {
		t.forgetEnd(r.ends[0])
		r.ends = slices.Delete(r.ends, 0, 1)
	}
	at, _ := slices.BinarySearchFunc(r.ends, e, byTime)
	r.ends = slices.Insert(r.ends, at, e)
	t.at[e.Server]++
	return true
}

// join takes in what another router tells of an end that is known: several tries may have
// been under way there. It reports whether that shows for the first time that a try was
// sent after the first end, or that one had begun to answer.
func (r *request) join(i int, e Crash) bool {
	before, x := r.repeated(), &r.ends[i]
	answered := x.Unanswered && !e.Unanswered
	x.Sent = max(x.Sent, e.Sent)
	x.Unanswered = x.Unanswered && e.Unanswered
	return answered || !before && r.repeated()
}

func byTime(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server))
}

// HasCrash reports whether any end at a server is remembered.
func (t *Tracker) HasCrash(server Server) bool { return t.at[server] > 0 }

// MarkAlive takes back the ends at a server in a time, from and up to two moments, during which
// it did not end.
func (t *Tracker) MarkAlive(server Server, from, to time.Duration) {
	if !t.HasCrash(server) {
		return
	}
	for d, r := range t.requests {
		t.take(d, r, ReasonAlive, func(e Crash) bool { return e.Server == server && from <= e.At && e.At < to })
	}
}

// MarkCompleted takes back the ends of a request that has run to its end, and reports whether there
// were any.
func (t *Tracker) MarkCompleted(now time.Duration, d Digest) bool {
	if d == 0 {
		return false
	}
	if len(t.ran) >= mostRan || now-t.ranSince >= ranFor {
		t.ran, t.ranBefore, t.ranSince = make(map[Digest]int, len(t.ran)), t.ran, now
	}
	t.ran[d]++
	r, ok := t.requests[d]
	if ok {
		t.take(d, r, ReasonCompleted, allEnds)
	}
	return ok
}

// Status returns what the ends of a request say of it.
func (t *Tracker) Status(now time.Duration, d Digest) Status {
	r, ok := t.requests[d]
	if !ok || now-r.last() >= r.kept() {
		return Status{}
	}
	s := Status{Crashes: len(r.ends), LastCrash: r.last()}
	if s.Crashes < MaxCrashes {
		if r.more == 0 && t.standsOut(r) {
			s.BlockedUntil = s.LastCrash + firstBar
		}
		return s
	}
	if (r.repeated() || r.last()-r.ends[0].At > oneMoment) && s.Crashes >= MaxCrashes+r.more {
		s.BlockedUntil = r.last() + r.bar()
	}
	return s
}

// standsOut reports whether two ends tell that a request ends its servers: its second try
// was sent after the first end and had not begun to answer when that server ended, nothing
// else was there that had been at an end before, and no other server ended in that moment.
// Such a try takes less than a second, in which a server hardly ends by another cause.
func (t *Tracker) standsOut(r *request) bool {
	if len(r.ends) < MaxCrashes-1 {
		return false
	}
	first, last := r.ends[0], r.ends[len(r.ends)-1]
	if !last.Unanswered || last.Sent <= first.At || last.At-last.Sent < leastRun {
		return false
	}
	for _, other := range t.requests {
		if other != r && other.explains(first, last) {
			return false
		}
	}
	return true
}

// leastRun is how long a try must have been at a server for its end to stand out: what breaks
// sooner may have been sent on a connection that was dead before.
const leastRun = 20 * time.Millisecond

// explains reports whether a request may be the cause of an end of another one, or shows
// that servers end by other causes at that moment.
func (r *request) explains(first, last Crash) bool {
	for _, e := range r.ends {
		switch {
		case e.Server == last.Server:
			if r.ends[0].Server != last.Server {
				return true
			}
		case e.Server != first.Server && (e.At-last.At).Abs() < oneMoment:
			return true
		}
	}
	return false
}

// oneMoment is how far apart the ends of servers are that are lost together, as with a rack.
// Callers who poll send the same request many times at once: several servers then end under
// it, and a trial tells whether it was at fault. Of a request that ended four servers within
// 0.5 s, all sent before the first end, the ends were 60 to 250 ms apart.
const oneMoment = 150 * time.Millisecond

// trialsMore returns how many more trials a request gets since it ran to its end lately: one
// for a run, and one more each time that there were twice as many. Callers poll with such a
// request, so that some of its tries are at each end of a server, whatever the cause. A run
// takes all ends back.
func (t *Tracker) trialsMore(d Digest) int {
	return min(mostServers-MaxCrashes, bits.Len(uint(t.ran[d]+t.ranBefore[d])))
}

// repeated reports whether any of the ends was under a try that was sent after the first
// end.
func (r *request) repeated() bool {
	first := r.ends[0].At
	return slices.ContainsFunc(r.ends, func(e Crash) bool { return e.Sent > first })
}

// Expire forgets what is old.
func (t *Tracker) Expire(now time.Duration) {
	for d, r := range t.requests {
		if now-r.last() >= r.kept() {
			t.take(d, r, ReasonExpired, allEnds)
		}
	}
}

// TopCrashes returns the ends of the requests under which most servers ended, as many as fit.
func (t *Tracker) TopCrashes(most int) []Crash {
	var list []Crash
	for _, r := range t.byEnds() {
		if len(list)+len(r.ends) > most {
			break
		}
		for _, e := range r.ends {
			e.Extra = r.more
			list = append(list, e)
		}
	}
	return list
}

// ExtraAllowed returns how many more ends than MaxCrashes a request may have.
func (t *Tracker) ExtraAllowed(d Digest) int {
	if r, ok := t.requests[d]; ok {
		return r.more
	}
	return 0
}

// byEnds returns the requests with the most ends first, of equals the latest.
func (t *Tracker) byEnds() []*request {
	list := make([]*request, 0, len(t.requests))
	for _, r := range t.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(b.last(), a.last()), cmp.Compare(a.ends[0].Digest, b.ends[0].Digest))
	})
	return list
}

// makeRoom drops a part of the requests where there are too many: those with the fewest
// ends, the oldest first, so that a flood of new ones does not make the worst forgotten.
func (t *Tracker) makeRoom(now time.Duration) {
	if len(t.requests) < mostRequests {
		return
	}
	t.Expire(now)
	if len(t.requests) < mostRequests {
		return
	}
	list := t.byEnds()
	for _, r := range list[len(list)-mostRequests/dropPart:] {
		t.take(r.ends[0].Digest, r, ReasonEvicted, allEnds)
	}
}

// allEnds says that an end is one of all.
func allEnds(Crash) bool { return true }

// DrainCleared returns what was forgotten or taken back since the last call. What exceeds
// mostCleared is not told.
func (t *Tracker) DrainCleared() []Cleared {
	list := t.cleared
	t.cleared = nil
	return list
}

// take takes some ends of a request back, and the request with its last.
func (t *Tracker) take(d Digest, r *request, why Reason, which func(Crash) bool) {
	before := len(r.ends)
	defer func() {
		if n := before - len(r.ends); n > 0 && len(t.cleared) < mostCleared {
			t.cleared = append(t.cleared, Cleared{Digest: d, Crashes: n, Reason: why})
		}
	}()
	r.ends = slices.DeleteFunc(r.ends, func(e Crash) bool {
		if !which(e) {
			return false
		}
		t.forgetEnd(e)
		return true
	})
	if len(r.ends) == 0 {
		delete(t.requests, d)
	}
}

func (t *Tracker) forgetEnd(e Crash) {
	if t.at[e.Server]--; t.at[e.Server] <= 0 {
		delete(t.at, e.Server)
	}
}
