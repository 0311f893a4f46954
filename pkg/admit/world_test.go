package admit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// world runs several cores on one simulated clock, with a network that may
// delay and lose messages and engines that read prompts one after the other.
type world struct {
	now   time.Duration
	rng   *rand.Rand
	table *table.Table
	// sent are the times at which requests were sent to a backend server, by name.
	sent    map[string][]time.Duration
	events  timeline
	seq     int
	cores   map[string]*admit.Core
	order   []string
	down    map[string]bool
	cut     map[[2]string]bool
	engines map[string]*engine
	loss    float64
	nextID  uint64
	// starts and refusals are what the cores decided, by request.
	starts   map[uint64]startOf
	refusals map[uint64]time.Duration
	asked    map[uint64]askedOf
	// hold is how long an answer goes on after its first event, base the time
	// to that event without a prompt.
	hold, base time.Duration
	// crash is what ends servers, nil if nothing does.
	crash *crashes
	// tokens is what each request uses, and ended what each account's have used in all.
	tokens int64
	ended  map[string]int64
	// weighed says that routers tell each other what accounts have used.
	weighed bool
}

type askedOf struct {
	router  string
	request admit.Request
	at      time.Duration
}

type startOf struct {
	admit.Start
	router string
	at     time.Duration
	// first is the time from the arrival to the first event, 0 before it.
	first time.Duration
}

// engine reads prompts one after the other at a steady rate.
type engine struct {
	perToken time.Duration
	free     time.Duration
	kept     map[uint64]bool
	running  int
	peak     int
}

type timed struct {
	at  time.Duration
	seq int
	do  func()
}

type timeline []timed

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(timed)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

const (
	tick    = 10 * time.Millisecond
	tellIn  = 100 * time.Millisecond
	netTime = time.Millisecond
	service = "reader"
	// baseTime is how long an engine needs for a first event besides reading.
	baseTime = 20 * time.Millisecond
)

// newWorld starts routers in zones, named "zone-0" and so on, and a backend
// server for each address in servers, given as "zone/name".
func newWorld(seed uint64, routersEach int, zones []string, serversEach int, opts ...admit.Option) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*admit.Core{}, down: map[string]bool{}, cut: map[[2]string]bool{},
		engines: map[string]*engine{}, starts: map[uint64]startOf{}, refusals: map[uint64]time.Duration{}, asked: map[uint64]askedOf{},
		hold: 300 * time.Millisecond, base: baseTime, sent: map[string][]time.Duration{}, ended: map[string]int64{},
	}
	t := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	for _, z := range zones {
		for i := range serversEach {
			name := fmt.Sprintf("%s-s%d", z, i)
			t.Backends = append(t.Backends, table.Backend{Name: name, Zone: z, Address: name, Models: []string{service}, Slots: 16, Mark: table.Serving})
			w.engines[name] = &engine{perToken: 10 * time.Microsecond, kept: map[uint64]bool{}}
		}
	}
	for _, z := range zones {
		for i := range routersEach {
			w.order = append(w.order, fmt.Sprintf("%s-%d", z, i))
		}
	}
	w.table = t
	for i, name := range w.order {
		w.cores[name] = admit.New(admit.Router{Address: name, Zone: zoneOf(name)}, append([]admit.Option{admit.WithSeed(seed + uint64(i))}, opts...)...)
		w.step(name, admit.TableUpdate{Table: t})
	}
	w.tellRouters()
	for _, name := range w.order {
		w.every(tick, func() { w.step(name, admit.Tick{}) })
		w.every(tellIn, func() { w.tell(name) })
	}
	return w
}

func zoneOf(router string) string {
	zone, _, _ := strings.Cut(router, "-")
	return zone
}

// at plans something.
func (w *world) at(after time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, timed{w.now + after, w.seq, do})
}

func (w *world) every(interval time.Duration, do func()) {
	w.at(interval, func() {
		do()
		w.every(interval, do)
	})
}

// run lets time pass.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(timed)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// tellRouters tells every router which others are heard.
func (w *world) tellRouters() {
	known := map[string]int{}
	for _, name := range w.order {
		known[zoneOf(name)]++
	}
	for _, name := range w.order {
		var list []admit.Router
		for _, other := range w.order {
			if other != name && !w.down[other] && !w.cut[[2]string{name, other}] {
				list = append(list, admit.Router{Address: other, Zone: zoneOf(other)})
			}
		}
		w.step(name, admit.Routers{List: list, KnownByZone: known})
	}
}

// change puts a changed table in force at all routers.
func (w *world) change(do func(t *table.Table)) {
	t := *w.table
	t.Backends, t.Services, t.Zones = slices.Clone(t.Backends), slices.Clone(t.Services), slices.Clone(t.Zones)
	do(&t)
	t.Revision++
	t.Index()
	w.table = &t
	for _, name := range w.order {
		w.step(name, admit.TableUpdate{Table: w.table})
	}
}

func (w *world) tell(name string) {
	if w.down[name] {
		return
	}
	t := w.cores[name].Snapshot(w.now)
	for _, other := range w.order {
		if other != name {
			w.deliver(name, other, &wire.RouterState{Accounts: t.Flows(wire.ScopeOwn, other), Copies: t.Copies()})
			if w.weighed {
				w.deliver(name, other, &wire.Usage{Scope: wire.ScopeOwn, Accounts: t.Uses(wire.ScopeOwn, other)})
			}
		}
	}
}

func (w *world) deliver(from, to string, msg any) {
	if w.down[from] || w.down[to] || w.cut[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.at(netTime, func() {
		if w.down[to] {
			return
		}
		switch m := msg.(type) {
		case *wire.RouterState:
			w.step(to, admit.PeerState{From: from, Zone: zoneOf(from), Msg: m})
		case *wire.Usage:
			w.step(to, admit.PeerUsage{From: from, Zone: zoneOf(from), Msg: m})
		default:
			w.step(to, admit.Message{From: from, Msg: msg})
		}
	})
}

func (w *world) step(name string, ev admit.Event) {
	if w.down[name] {
		return
	}
	for _, a := range append([]admit.Action(nil), w.cores[name].Step(w.now, ev)...) {
		switch a := a.(type) {
		case admit.Send:
			w.deliver(name, a.To, a.Msg)
		case admit.Refuse:
			w.refusals[a.ID] = w.now - w.asked[a.ID].at
			w.crash.refused(a)
		case admit.Start:
			w.started(name, a)
		}
	}
	w.tellSuspects(name)
}

// started has the engine read the prompt and make the answer.
func (w *world) started(name string, a admit.Start) {
	r := w.asked[a.ID].request
	e := w.engines[a.Backend.Name]
	w.sent[a.Backend.Name] = append(w.sent[a.Backend.Name], w.now)
	e.running++
	e.peak = max(e.peak, e.running)
	tokens := r.Prompt
	if r.Prefix != 0 && e.kept[r.Prefix] {
		tokens -= r.Shared
	}
	e.kept[r.Prefix] = true
	e.free = max(e.free, w.now) + time.Duration(tokens)*e.perToken
	w.starts[a.ID] = startOf{Start: a, router: name, at: w.now}
	if !w.crash.sent(a.ID, r.Digest, a.Backend.Name) {
		e.running--
		w.at(netTime, func() { w.step(name, admit.AttemptEnd{ID: a.ID, Result: admit.Unreachable}) })
		return
	}
	first := e.free - w.now + w.base
	w.at(first, func() {
		if w.crash.isDead(a.ID) || w.crash.isDeadly(r.Digest) {
			return
		}
		s := w.starts[a.ID]
		s.first = w.now - w.asked[a.ID].at
		w.starts[a.ID] = s
		w.step(name, admit.FirstEvent{ID: a.ID})
	})
	w.at(first+w.hold, func() {
		e.running--
		if !w.crash.isDead(a.ID) && !w.crash.isDeadly(r.Digest) {
			w.crash.ended(a.ID)
			w.ended[r.Account] += w.tokens
			w.step(name, admit.AttemptEnd{ID: a.ID, Result: admit.Answered, Digest: r.Digest, Completed: true, Tokens: w.tokens})
		}
	})
}

// ask has a request arrive at a router.
func (w *world) ask(router string, r admit.Request) uint64 {
	w.nextID++
	r.ID = w.nextID
	r.Service = service
	r.Deadline = w.now + 10*time.Second
	if r.Target == 0 {
		r.Target = 400 * time.Millisecond
	}
	if r.MaxWait == 0 {
		r.MaxWait = r.Target / 4
	}
	w.asked[r.ID] = askedOf{router: router, request: r, at: w.now}
	w.step(router, admit.Arrive{Request: r})
	return r.ID
}

// kill ends a router; the others notice after a time.
func (w *world) kill(router string, noticed time.Duration) {
	w.down[router] = true
	w.at(noticed, func() {
		w.tellRouters()
		for _, name := range w.order {
			w.step(name, admit.PeerGone{From: router})
		}
	})
}
