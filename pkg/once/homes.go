// Package once lets a caller's idempotency key be used by one request only,
// whichever routers its repeats come through. Each key has three homes in one
// availability zone, all of them routers. A use counts when most homes
// recorded it and remember the key's whole past; any two such majorities
// share a home, which would refuse the second use. It is a pure state machine.
// docs/AT-MOST-ONCE.md says what is promised.
package once

import (
	"container/list"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The defaults.
const (
	// DefaultKeep is how long a used key is remembered. An older repeat is
	// answered as one that may have run.
	DefaultKeep = 10 * time.Minute
	// DefaultMost bounds the keys that one home remembers.
	DefaultMost = 200_000
	// DefaultSkew is how far the callers' clocks may be off the homes', and
	// how long routers may differ on the list of the zone's routers.
	DefaultSkew = 5 * time.Second
	// HomesEach is how many homes a key has.
	HomesEach = 3
	// viewsKept bounds the history of the zone's routers.
	viewsKept = 256
)

// Of returns the homes of a key among the routers of its zone.
func Of(key string, routers []string) []string {
	return rendezvous.Owners(key, routers, HomesEach)
}

// Zone returns the availability zone that is home to a key.
func Zone(key string, zones []string) string { return rendezvous.Owner(key, zones) }

// Most returns how many of n homes are needed for a use to count.
func Most(n int) int { return n/2 + 1 }

// Homes is one router's part as a home of keys. Times are on the router's
// clock, which starts at the wall time, so that keys' times compare with it.
type Homes struct {
	self string
	now  time.Duration
	keep time.Duration
	most int
	// views are the zone's routers over time, the newest last.
	views []view
	// keys are the used ones; order lists them by the time of use.
	keys  map[string]*entry
	order *list.List
}

type view struct {
	at      time.Duration
	routers []string
}

type entry struct {
	key     string
	request string
	used    time.Duration
	place   *list.Element
}

// Option changes new Homes.
type Option func(*Homes)

// WithMost bounds the keys remembered.
func WithMost(n int) Option { return func(h *Homes) { h.most = n } }

// WithKeep sets how long a key is remembered.
func WithKeep(d time.Duration) Option { return func(h *Homes) { h.keep = d } }

// New returns the homes of a router that has just started.
func New(self string, now time.Duration, opts ...Option) *Homes {
	h := &Homes{
		self: self, now: now, keep: DefaultKeep, most: DefaultMost,
		keys: map[string]*entry{}, order: list.New(),
	}
	for _, f := range opts {
		f(h)
	}
	h.views = []view{{at: now}}
	return h
}

// Keys returns how many keys are remembered.
func (h *Homes) Keys() int { return h.order.Len() }

func (h *Homes) routers() []string { return h.views[len(h.views)-1].routers }

// SetRouters replaces the routers of the zone by the platform's list, which
// says nothing of who lives: a home that is away keeps its place.
func (h *Homes) SetRouters(now time.Duration, names []string) {
	h.now = max(h.now, now)
	if slices.Equal(h.routers(), names) {
		return
	}
	h.views = append(h.views, view{at: h.now, routers: slices.Clone(names)})
	if len(h.views) > viewsKept {
		h.views = h.views[1:]
	}
}

// Woke says that this router was paused: others may have changed the list
// meanwhile, so it no longer vouches for what it did not record.
func (h *Homes) Woke(now time.Duration) {
	h.now = max(h.now, now)
	h.views = []view{{at: h.now, routers: h.routers()}}
}

// knowsSince returns since when this router has been a home of the key
// without a break.
func (h *Homes) knowsSince(key string) time.Duration {
	since := h.now
	for i := len(h.views) - 1; i >= 0; i-- {
		if !slices.Contains(Of(key, h.views[i].routers), h.self) {
			break
		}
		since = h.views[i].at
	}
	return since
}

// covers reports whether this home would remember any earlier use of a key
// that was first used at the wall time at, in milliseconds; 0 is unknown.
func (h *Homes) covers(key string, at int64) bool {
	since := h.knowsSince(key)
	first := time.Duration(at) * time.Millisecond
	if at == 0 {
		first = h.now - h.keep + DefaultSkew
	}
	return first-DefaultSkew >= since && h.now-first < h.keep
}

// Claim records a use and answers what this home knows of the key.
func (h *Homes) Claim(now time.Duration, c *wire.Claim) *wire.ClaimReply {
	h.now = max(h.now, now)
	state := wire.ClaimNotHome
	if slices.Contains(Of(c.Key, h.routers()), h.self) {
		state = h.record(c)
	}
	return &wire.ClaimReply{Seq: c.Seq, State: state}
}

// record notes the use of a key. A request may record its own key again.
func (h *Homes) record(c *wire.Claim) wire.ClaimState {
	if e, used := h.keys[c.Key]; used {
		if e.request != c.Request {
			return wire.ClaimTaken
		}
		return h.vouch(c)
	}
	if h.order.Len() >= h.most {
		return wire.ClaimFull
	}
	e := &entry{key: c.Key, request: c.Request, used: h.now}
	e.place = h.order.PushBack(e)
	h.keys[c.Key] = e
	return h.vouch(c)
}

func (h *Homes) vouch(c *wire.Claim) wire.ClaimState {
	if h.covers(c.Key, c.At) {
		return wire.ClaimGranted
	}
	return wire.ClaimUnknown
}

// Void takes back the use of a key by a request that did not run.
func (h *Homes) Void(v *wire.ClaimRelease) {
	if e, used := h.keys[v.Key]; used && e.request == v.Request {
		h.drop(e)
	}
}

func (h *Homes) drop(e *entry) {
	h.order.Remove(e.place)
	delete(h.keys, e.key)
}

// Tick forgets the keys whose time is over.
func (h *Homes) Tick(now time.Duration) {
	h.now = max(h.now, now)
	for at := h.order.Front(); at != nil; at = h.order.Front() {
		e := at.Value.(*entry)
		if h.now-e.used < h.keep {
			return
		}
		h.drop(e)
	}
}
