// Package returns keeps the retries that refused requests were promised at one backend server, and
// decides when the caller of a refused request should retry. It handles overload in which callers
// return early, as told, late or not at all. All times are passed in.
package returns

import (
	"slices"
	"time"
)

const (
	// DefaultLimit is the number of promises kept for one backend server.
	DefaultLimit = 1024
	// EarlyTolerance is how long before its due time a retry still counts as on time: Retry-After
	// is rounded to milliseconds, and the clocks of caller and router may drift.
	EarlyTolerance = 20 * time.Millisecond
	// keptAfterDue is how long after its due time a promise is kept. It allows for a router that
	// takes late what has arrived at it, and for callers that round Retry-After up to a second.
	keptAfterDue = 1500 * time.Millisecond
)

// Promise is a refused request whose caller was told when to return.
type Promise struct {
	// Key identifies the request across the attempts of its caller.
	Key     uint64
	Account uint64
	// Tokens is the number of tokens that the backend server must process for it.
	Tokens int64
	// FirstArrival is when the caller's first attempt arrived. Due is when the caller was told to
	// return, Deadline when the request expires.
	FirstArrival, Due, Deadline time.Duration
}

// expiresAt is when the promise is dropped if its caller has not returned.
func (p *Promise) expiresAt() time.Duration { return min(p.Deadline, p.Due+keptAfterDue) }

// IsEarly reports whether the caller returned before it was told to.
func (p *Promise) IsEarly(now time.Duration) bool { return now < p.Due-EarlyTolerance }

// entry is a promise and what has become of it.
type entry struct {
	Promise
	// claimed says that the request got a slot. The entry is kept until it expires, so that a
	// promise that arrives again is not taken for a new one.
	claimed bool
	// returnedEarly says that the caller has returned early.
	returnedEarly bool
}

// Counts counts what became of the promises of one or more lists.
type Counts struct {
	// Promised counts promises, Kept those whose requests got a slot after their due time, Early
	// those whose callers returned before it, Missed those that expired, and Dropped those that
	// were evicted.
	Promised int64 `json:"promised"`
	Kept     int64 `json:"kept"`
	Early    int64 `json:"early"`
	Missed   int64 `json:"missed"`
	Dropped  int64 `json:"dropped"`
}

// Since returns how much the counts have grown since an earlier time.
func (n Counts) Since(m Counts) Counts {
	return Counts{Promised: n.Promised - m.Promised, Kept: n.Kept - m.Kept, Early: n.Early - m.Early, Missed: n.Missed - m.Missed, Dropped: n.Dropped - m.Dropped}
}

// List is the bounded list of the promised retries of one backend server. It is not safe for
// concurrent use.
type List struct {
	limit int
	byKey map[uint64]*entry
	// byDue holds the entries in order of their due times.
	byDue []*entry
	// nextExpiry is not after the earliest expiry.
	nextExpiry time.Duration
	counts     *Counts
}

// New returns an empty list of at most limit promises, which adds to the given counts.
func New(limit int, counts *Counts) *List {
	return &List{limit: max(1, limit), byKey: map[uint64]*entry{}, counts: counts}
}

// Len returns the number of promises whose callers have not got a slot yet.
func (l *List) Len() int {
	n := 0
	for _, e := range l.byDue {
		if !e.claimed {
			n++
		}
	}
	return n
}

// Add adds a promise, in place of the one that expires earliest if the list is full. A promise for a
// request that already has one changes it only after its due time: before, the caller returned early
// or the promise arrived twice, and the caller was given the same time again. The first arrival is
// the earliest that is known.
func (l *List) Add(now time.Duration, p Promise) {
	l.Expire(now)
	if p.Key == 0 || now >= p.expiresAt() {
		return
	}
	if e, ok := l.byKey[p.Key]; ok {
		if e.claimed || now < e.Due-EarlyTolerance || p.Due <= e.Due {
			e.FirstArrival = min(e.FirstArrival, p.FirstArrival)
			return
		}
		p.FirstArrival, p.Deadline = min(p.FirstArrival, e.FirstArrival), min(p.Deadline, e.Deadline)
		l.remove(e)
	} else if len(l.byDue) >= l.limit {
		l.evict()
	}
	l.counts.Promised++
	l.insert(&entry{Promise: p})
}

func (l *List) insert(e *entry) {
	at, _ := slices.BinarySearchFunc(l.byDue, e.Due, compareDue)
	if len(l.byDue) == 0 || e.expiresAt() < l.nextExpiry {
		l.nextExpiry = e.expiresAt()
	}
	l.byDue = slices.Insert(l.byDue, at, e)
	l.byKey[e.Key] = e
}

func compareDue(e *entry, due time.Duration) int {
	switch {
	case e.Due < due:
		return -1
	case e.Due > due:
		return 1
	default:
		return 0
	}
}

func (l *List) remove(e *entry) {
	at, _ := slices.BinarySearchFunc(l.byDue, e.Due, compareDue)
	for l.byDue[at] != e {
		at++
	}
	l.byDue = slices.Delete(l.byDue, at, at+1)
	delete(l.byKey, e.Key)
}

// evict removes the entry that expires earliest.
func (l *List) evict() {
	first := slices.MinFunc(l.byDue, func(a, b *entry) int { return compareDue(&entry{Promise: Promise{Due: a.expiresAt()}}, b.expiresAt()) })
	if !first.claimed {
		l.counts.Dropped++
	}
	l.remove(first)
}

// Expire removes the promises that have expired.
func (l *List) Expire(now time.Duration) {
	if len(l.byDue) == 0 || now < l.nextExpiry {
		return
	}
	l.nextExpiry = 1<<63 - 1
	l.byDue = slices.DeleteFunc(l.byDue, func(e *entry) bool {
		if now < e.expiresAt() {
			l.nextExpiry = min(l.nextExpiry, e.expiresAt())
			return false
		}
		if !e.claimed {
			l.counts.Missed++
		}
		delete(l.byKey, e.Key)
		return true
	})
}

// Find returns the promise for a request that has returned. It leaves the promise in the list.
func (l *List) Find(now time.Duration, key uint64) (Promise, bool) {
	e, ok := l.byKey[key]
	if !ok || key == 0 || e.claimed || now >= e.expiresAt() {
		return Promise{}, false
	}
	if e.IsEarly(now) && !e.returnedEarly {
		e.returnedEarly = true
		l.counts.Early++
	}
	return e.Promise, true
}

// Claim records that a request got a slot, and reports whether it had a promise.
func (l *List) Claim(now time.Duration, key uint64) bool {
	p, ok := l.Find(now, key)
	if !ok {
		return false
	}
	if !p.IsEarly(now) {
		l.counts.Kept++
	}
	l.byKey[key].claimed = true
	return true
}

// Ready returns when the backend server will have processed a backlog and the promised requests that
// are due by then, if it processes one token in perToken. It also returns the number of these
// requests. The promise for the given request itself does not count.
func (l *List) Ready(now, backlog time.Duration, perToken float64, key uint64) (ready time.Duration, before int) {
	ready = now + backlog
	for _, e := range l.byDue {
		if e.Due > ready {
			break
		}
		if e.claimed || e.Key == key || now >= e.expiresAt() {
			continue
		}
		ready = max(ready, e.Due) + time.Duration(perToken*float64(e.Tokens)*float64(time.Second))
		before++
	}
	return ready, before
}

// Expected sums up the promised requests that are due from a time on.
type Expected struct {
	due    []*entry
	now    time.Duration
	key    uint64
	tokens int64
}

// Expected returns the promised requests that are due from now on. The promise for the given request itself
// does not count, nor those whose callers return early: they do not wait for the time that they were told.
func (l *List) Expected(now time.Duration, key uint64) Expected {
	first, _ := slices.BinarySearchFunc(l.byDue, now, compareDue)
	return Expected{due: l.byDue[first:], now: now, key: key}
}

// Until returns the tokens of the requests that are due until a time, which must not decrease from one
// call to the next.
func (x *Expected) Until(until time.Duration) (tokens int64) {
	for len(x.due) > 0 && x.due[0].Due <= until {
		if e := x.due[0]; !e.claimed && !e.returnedEarly && e.Key != x.key && x.now < e.expiresAt() {
			x.tokens += e.Tokens
		}
		x.due = x.due[1:]
	}
	return x.tokens
}
