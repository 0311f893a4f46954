// Package once lets a caller's idempotency key be used by one request only,
// whichever routers its repeats come through. Each key has two homes in one
// availability zone, both routers; a use counts only when both recorded it.
// It is a pure state machine. docs/AT-MOST-ONCE.md says what is promised.
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
	// DefaultCopyWithin is how long the second home may take.
	DefaultCopyWithin = time.Second
	// DefaultSkew is how far the callers' clocks may be off the homes'.
	DefaultSkew = 5 * time.Second
	// homesEach is how many homes a key has.
	homesEach = 2
	// viewsKept bounds the history of the zone's members.
	viewsKept = 256
)

// Send is a message that the caller of Step delivers.
type Send struct {
	To  string
	Msg any
}

// Event is what Homes takes in one Step.
type Event interface{ apply(h *Homes) }

// Live replaces the live routers of the zone. Known is how many routers the
// zone has as far as the platform's list and the members tell.
type Live struct {
	Names []string
	Known int
}

// Woke says that this router was paused: it may have missed uses of keys.
type Woke struct{}

// Tick lets time pass.
type Tick struct{}

// Claim is a Claim that came from a router.
type Claim struct {
	From string
	Msg  *wire.Claim
}

// Copy is a ClaimCopy that came from a router.
type Copy struct {
	From string
	Msg  *wire.ClaimCopy
}

// Copied is a ClaimCopied that came from a router.
type Copied struct {
	From string
	Msg  *wire.ClaimCopied
}

// Void is a ClaimVoid that came from a router.
type Void struct {
	From string
	Msg  *wire.ClaimVoid
}

// Homes is one router's part as a home of keys. Times are on the router's
// clock, which starts at the wall time, so that keys' times compare with it.
type Homes struct {
	self string
	now  time.Duration
	keep time.Duration
	most int
	// known is how many routers the zone has.
	known int
	// views are the zone's members over time, the newest last.
	views []view
	// keys are the used ones; order lists them by the time of use.
	keys    map[string]*entry
	order   *list.List
	pending map[uint64]*pending
	seq     uint64
	out     []Send
}

type view struct {
	at   time.Duration
	live []string
}

// reachesMost reports whether this router reaches more than half of its zone. Two
// parts of a split zone cannot both do so.
func (h *Homes) reachesMost() bool { return 2*len(h.live()) > h.known }

type entry struct {
	key     string
	request string
	used    time.Duration
	place   *list.Element
}

// pending is a claim that waits for the second home.
type pending struct {
	from   string
	claim  *wire.Claim
	second string
	sentAt time.Duration
	// covers says that this home knows the key's whole past.
	covers bool
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
		keys: map[string]*entry{}, order: list.New(), pending: map[uint64]*pending{},
	}
	for _, f := range opts {
		f(h)
	}
	h.views = []view{{at: now, live: []string{self}}}
	return h
}

// Step takes one event at the time now. The returned slice is valid until
// the next Step.
func (h *Homes) Step(now time.Duration, ev Event) []Send {
	h.now = max(h.now, now)
	h.out = h.out[:0]
	ev.apply(h)
	return h.out
}

// Keys returns how many keys are remembered.
func (h *Homes) Keys() int { return h.order.Len() }

// Zone returns the availability zone that is home to a key.
func Zone(key string, zones []string) string { return rendezvous.Owner(key, zones) }

func (h *Homes) send(to string, msg any) { h.out = append(h.out, Send{To: to, Msg: msg}) }

func (h *Homes) live() []string { return h.views[len(h.views)-1].live }

func (e Live) apply(h *Homes) {
	h.known = e.Known
	if slices.Equal(h.live(), e.Names) {
		return
	}
	h.views = append(h.views, view{at: h.now, live: slices.Clone(e.Names)})
	if len(h.views) > viewsKept {
		h.views = h.views[1:]
	}
}

func (Woke) apply(h *Homes) {
	h.views = []view{{at: h.now, live: h.live()}}
}

// knowsSince returns since when this router has been a home of the key
// without a break.
func (h *Homes) knowsSince(key string) time.Duration {
	since := h.now
	for i := len(h.views) - 1; i >= 0; i-- {
		if !slices.Contains(rendezvous.Owners(key, h.views[i].live, homesEach), h.self) {
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

func (e Claim) apply(h *Homes) {
	homes := rendezvous.Owners(e.Msg.Key, h.live(), homesEach)
	if len(homes) == 0 || homes[0] != h.self {
		first := ""
		if len(homes) > 0 {
			first = homes[0]
		}
		h.answer(e.From, e.Msg.Seq, wire.ClaimElsewhere, first)
		return
	}
	if !h.reachesMost() {
		h.answer(e.From, e.Msg.Seq, wire.ClaimCutOff, "")
		return
	}
	if state := h.record(e.Msg.Key, e.Msg.Request); state != wire.ClaimGranted {
		h.answer(e.From, e.Msg.Seq, state, "")
		return
	}
	covers := h.covers(e.Msg.Key, e.Msg.At)
	if len(homes) < homesEach {
		h.decide(e.From, e.Msg, covers)
		return
	}
	h.seq++
	h.pending[h.seq] = &pending{from: e.From, claim: e.Msg, second: homes[1], sentAt: h.now, covers: covers}
	h.send(homes[1], &wire.ClaimCopy{Seq: h.seq, Key: e.Msg.Key, Request: e.Msg.Request, At: e.Msg.At})
}

func (h *Homes) answer(to string, seq uint64, state wire.ClaimState, home string) {
	h.send(to, &wire.ClaimAnswer{Seq: seq, State: state, Home: home})
}

// decide grants a claim that is recorded, if a home knows the key's past.
func (h *Homes) decide(from string, c *wire.Claim, known bool) {
	state := wire.ClaimGranted
	if !known {
		state = wire.ClaimUnknown
	}
	h.answer(from, c.Seq, state, "")
}

// record notes the use of a key. A request may record its own key again.
func (h *Homes) record(key, request string) wire.ClaimState {
	if e, used := h.keys[key]; used {
		if e.request == request {
			return wire.ClaimGranted
		}
		return wire.ClaimTaken
	}
	if h.order.Len() >= h.most {
		return wire.ClaimFull
	}
	e := &entry{key: key, request: request, used: h.now}
	e.place = h.order.PushBack(e)
	h.keys[key] = e
	return wire.ClaimGranted
}

func (e Copy) apply(h *Homes) {
	state := h.record(e.Msg.Key, e.Msg.Request)
	if state == wire.ClaimGranted && !h.covers(e.Msg.Key, e.Msg.At) {
		state = wire.ClaimUnknown
	}
	h.send(e.From, &wire.ClaimCopied{Seq: e.Msg.Seq, State: state})
}

func (e Copied) apply(h *Homes) {
	p, ok := h.pending[e.Msg.Seq]
	if !ok || p.second != e.From {
		return
	}
	delete(h.pending, e.Msg.Seq)
	switch e.Msg.State {
	case wire.ClaimGranted:
		h.decide(p.from, p.claim, true)
	case wire.ClaimUnknown:
		h.decide(p.from, p.claim, p.covers)
	default:
		h.answer(p.from, p.claim.Seq, e.Msg.State, "")
	}
}

func (e Void) apply(h *Homes) {
	x, used := h.keys[e.Msg.Key]
	if !used || x.request != e.Msg.Request {
		return
	}
	h.drop(x)
	homes := rendezvous.Owners(e.Msg.Key, h.live(), homesEach)
	if len(homes) == homesEach && homes[0] == h.self && homes[1] != e.From {
		h.send(homes[1], &wire.ClaimVoid{Key: e.Msg.Key, Request: e.Msg.Request})
	}
}

func (h *Homes) drop(e *entry) {
	h.order.Remove(e.place)
	delete(h.keys, e.key)
}

func (Tick) apply(h *Homes) {
	for at := h.order.Front(); at != nil; at = h.order.Front() {
		e := at.Value.(*entry)
		if h.now-e.used < h.keep {
			break
		}
		h.drop(e)
	}
	for seq, p := range h.pending {
		if h.now-p.sentAt >= DefaultCopyWithin {
			delete(h.pending, seq)
		}
	}
}
