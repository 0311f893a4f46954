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
	// MostEnds is how many backend servers may end under a request before it gets no
	// other: the operators' rule is three. Two would refuse harmless requests: of a fleet
	// that loses servers by other causes 1 to 6 in 2,500 were cut off twice.
	MostEnds = 3
	// endsKept is for how long ends are remembered at least. Each that is forgotten costs
	// another backend server when its request returns, which callers may do at any time; a
	// request that only was there is forgotten sooner, when it has run to its end.
	endsKept = 20 * time.Minute
	// firstBar is for how long after its second end a request gets nothing that stands out by
	// then: two ends may be chance, and the trial after it tells.
	firstBar = 30 * time.Second
	// barredFor is for how long after the last end a request under which MostEnds ended
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

// LongestKept is for how long ends are remembered at most.
const LongestKept = keptAfterBar * longestBar

// Digest identifies a request by what its caller sends, whichever try it is.
type Digest uint64

// Server names a start of a backend server.
type Server uint32

// End says that a backend server ended while a request was under way there.
type End struct {
	Digest Digest
	Server Server
	At     time.Duration
	// Sent is when the try that was under way had been sent, at or before At.
	Sent time.Duration
	// Unanswered says that it had not begun to answer.
	Unanswered bool
	// More is how many more ends than MostEnds the request may have, by what the router that
	// tells of it knows.
	More int
}

// Standing is what the ends of a request say of it.
type Standing struct {
	// Ends is how many backend servers ended under it.
	Ends int
	// Last is when the last of them did.
	Last time.Duration
	// Until is until when it gets nothing, 0 if it may be sent.
	Until time.Duration
}

// Barred reports whether the request gets nothing now.
func (s Standing) Barred(now time.Duration) bool { return now < s.Until }

// request is what is remembered of one.
type request struct {
	// ends are of different servers, the oldest first.
	ends []End
	// more is how many more than MostEnds there may be, by how often it had run before.
	more int
}

func (r *request) last() time.Duration { return r.ends[len(r.ends)-1].At }

// bar returns for how long after the last end the request gets nothing if it is barred.
func (r *request) bar() time.Duration {
	d := barredFor
	for range len(r.ends) - MostEnds - r.more {
		d = min(longestBar, barredGrowth*d)
	}
	return d
}

// kept returns for how long after the last end it is remembered.
func (r *request) kept() time.Duration {
	if len(r.ends) < MostEnds+r.more {
		return endsKept
	}
	return max(endsKept, keptAfterBar*r.bar())
}

// Why is why ends of a request are not remembered any more.
type Why string

const (
	// WhyRan: the request has run to its end.
	WhyRan Why = "ran"
	// WhyLives: the backend server turned out to live.
	WhyLives Why = "lives"
	// WhyOld: they are as old as ends are remembered.
	WhyOld Why = "old"
	// WhyRoom: there were too many requests, and others had more ends.
	WhyRoom Why = "room"
)

// Cleared are ends of a request that are not remembered any more.
type Cleared struct {
	Digest Digest
	// Ends is how many, above 0.
	Ends int
	Why  Why
}

// Table is what one router remembers.
type Table struct {
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
func New() *Table {
	return &Table{requests: map[Digest]*request{}, at: map[Server]int{}, ran: map[Digest]int{}}
}

// Len returns how many requests are remembered.
func (t *Table) Len() int { return len(t.requests) }

// Note takes in an end, and reports whether it is news.
func (t *Table) Note(now time.Duration, e End) bool {
	if e.Digest == 0 || now-e.At >= LongestKept {
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
	r.more = min(mostServers-MostEnds, max(r.more, e.More, t.trialsMore(e.Digest)))
	e.More = 0
	if i := slices.IndexFunc(r.ends, func(x End) bool { return x.Server == e.Server }); i >= 0 {
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
func (r *request) join(i int, e End) bool {
	before, x := r.repeated(), &r.ends[i]
	answered := x.Unanswered && !e.Unanswered
	x.Sent = max(x.Sent, e.Sent)
	x.Unanswered = x.Unanswered && e.Unanswered
	return answered || !before && r.repeated()
}

func byTime(a, b End) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server))
}

// Remembers reports whether any end at a server is remembered.
func (t *Table) Remembers(server Server) bool { return t.at[server] > 0 }

// Lives takes back the ends at a server in a time, from and up to two moments, during which
// it did not end.
func (t *Table) Lives(server Server, from, to time.Duration) {
	if !t.Remembers(server) {
		return
	}
	for d, r := range t.requests {
		t.take(d, r, WhyLives, func(e End) bool { return e.Server == server && from <= e.At && e.At < to })
	}
}

// Ran takes back the ends of a request that has run to its end, and reports whether there
// were any.
func (t *Table) Ran(now time.Duration, d Digest) bool {
	if d == 0 {
		return false
	}
	if len(t.ran) >= mostRan || now-t.ranSince >= ranFor {
		t.ran, t.ranBefore, t.ranSince = make(map[Digest]int, len(t.ran)), t.ran, now
	}
	t.ran[d]++
	r, ok := t.requests[d]
	if ok {
		t.take(d, r, WhyRan, allEnds)
	}
	return ok
}

// Standing returns what the ends of a request say of it.
func (t *Table) Standing(now time.Duration, d Digest) Standing {
	r, ok := t.requests[d]
	if !ok || now-r.last() >= r.kept() {
		return Standing{}
	}
	s := Standing{Ends: len(r.ends), Last: r.last()}
	if s.Ends < MostEnds {
		if r.more == 0 && t.standsOut(r) {
			s.Until = s.Last + firstBar
		}
		return s
	}
	if (r.repeated() || r.last()-r.ends[0].At > oneMoment) && s.Ends >= MostEnds+r.more {
		s.Until = r.last() + r.bar()
	}
	return s
}

// standsOut reports whether two ends tell that a request ends its servers: its second try
// was sent after the first end and had not begun to answer when that server ended, nothing
// else was there that had been at an end before, and no other server ended in that moment.
// Such a try takes less than a second, in which a server hardly ends by another cause.
func (t *Table) standsOut(r *request) bool {
	if len(r.ends) < MostEnds-1 {
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
func (r *request) explains(first, last End) bool {
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
func (t *Table) trialsMore(d Digest) int {
	return min(mostServers-MostEnds, bits.Len(uint(t.ran[d]+t.ranBefore[d])))
}

// repeated reports whether any of the ends was under a try that was sent after the first
// end.
func (r *request) repeated() bool {
	first := r.ends[0].At
	return slices.ContainsFunc(r.ends, func(e End) bool { return e.Sent > first })
}

// Expire forgets what is old.
func (t *Table) Expire(now time.Duration) {
	for d, r := range t.requests {
		if now-r.last() >= r.kept() {
			t.take(d, r, WhyOld, allEnds)
		}
	}
}

// Worst returns the ends of the requests under which most servers ended, as many as fit.
func (t *Table) Worst(most int) []End {
	var list []End
	for _, r := range t.byEnds() {
		if len(list)+len(r.ends) > most {
			break
		}
		for _, e := range r.ends {
			e.More = r.more
			list = append(list, e)
		}
	}
	return list
}

// MoreOf returns how many more ends than MostEnds a request may have.
func (t *Table) MoreOf(d Digest) int {
	if r, ok := t.requests[d]; ok {
		return r.more
	}
	return 0
}

// byEnds returns the requests with the most ends first, of equals the latest.
func (t *Table) byEnds() []*request {
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
func (t *Table) makeRoom(now time.Duration) {
	if len(t.requests) < mostRequests {
		return
	}
	t.Expire(now)
	if len(t.requests) < mostRequests {
		return
	}
	list := t.byEnds()
	for _, r := range list[len(list)-mostRequests/dropPart:] {
		t.take(r.ends[0].Digest, r, WhyRoom, allEnds)
	}
}

// allEnds says that an end is one of all.
func allEnds(End) bool { return true }

// Cleared returns what was forgotten or taken back since the last call. What exceeds
// mostCleared is not told.
func (t *Table) Cleared() []Cleared {
	list := t.cleared
	t.cleared = nil
	return list
}

// take takes some ends of a request back, and the request with its last.
func (t *Table) take(d Digest, r *request, why Why, which func(End) bool) {
	before := len(r.ends)
	defer func() {
		if n := before - len(r.ends); n > 0 && len(t.cleared) < mostCleared {
			t.cleared = append(t.cleared, Cleared{Digest: d, Ends: n, Why: why})
		}
	}()
	r.ends = slices.DeleteFunc(r.ends, func(e End) bool {
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

func (t *Table) forgetEnd(e End) {
	if t.at[e.Server]--; t.at[e.Server] <= 0 {
		delete(t.at, e.Server)
	}
}
