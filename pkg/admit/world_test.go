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
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// world simulates a fleet on a simulated clock. Its network may delay and lose messages, and
// its engines process prompts one after the other.
type world struct {
	now   time.Duration
	rng   *rand.Rand
	table *table.Table
	// sentTimes are the times at which requests were sent, by backend server.
	sentTimes map[string][]time.Duration
	events    eventQueue
	seq       int
	cores     map[string]*admit.Core
	order     []string
	down      map[string]bool
	blocked   map[[2]string]bool
	engines   map[string]*engine
	loss      float64
	nextID    uint64
	// starts and refusals are the decisions of the cores, by request.
	starts   map[uint64]startRecord
	refusals map[uint64]time.Duration
	// onRefused is called for each refusal, nil if none is watched.
	onRefused func(id uint64, err *verdict.Error)
	requests  map[uint64]arrival
	// streamTime is the time from the first event to the end of a response, baseLatency that to
	// the first event of an empty prompt.
	streamTime, baseLatency time.Duration
	// crashes simulates crashes of backend servers, nil if there are none.
	crashes *crashSim
	// unframed says that responses end with their connections, so that a crash ends them as if complete.
	unframed bool
	// tokens is the usage of each request, completedTokens the total usage by account.
	tokens          int64
	completedTokens map[string]int64
	// weighted says that routers report account usage to each other.
	weighted bool
	// copies says that engines copy prefixes as told, if the source has processed them.
	copies bool
	// tokensAhead is the number of prompt tokens that the engine processes before the first event
	// of each request, if copies is set.
	tokensAhead map[uint64]int64
	// olderVersion holds the routers that send no capacity reports.
	olderVersion map[string]bool
	// plain simulates plain servers, nil if there are none.
	plain *plainSim
	// pauses simulates the events of responses, nil if they have none.
	pauses *pauseSim
}

type arrival struct {
	router  string
	request admit.Request
	at      time.Duration
}

type startRecord struct {
	admit.Start
	router string
	at     time.Duration
	// first is the time from the arrival to the first event, 0 before.
	first time.Duration
}

// engine processes prompts one after the other at a steady rate.
type engine struct {
	perToken time.Duration
	freeAt   time.Duration
	cached   map[uint64]bool
	// readAt is when it has processed each prefix, which can be copied from then on.
	readAt  map[uint64]time.Duration
	running int
	peak    int
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	events := *q
	last := events[len(events)-1]
	*q = events[:len(events)-1]
	return last
}

const (
	tick           = 10 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	netLatency     = time.Millisecond
	service        = "reader"
	// defaultBaseLatency is the time to the first event of an empty prompt.
	defaultBaseLatency = 20 * time.Millisecond
)

// newWorld starts routers named ZONE-0 and so on in each zone, and backend servers named
// ZONE-s0 and so on.
func newWorld(seed uint64, routersEach int, zones []string, serversEach int, opts ...admit.Option) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*admit.Core{}, down: map[string]bool{}, blocked: map[[2]string]bool{},
		engines: map[string]*engine{}, starts: map[uint64]startRecord{}, refusals: map[uint64]time.Duration{}, requests: map[uint64]arrival{},
		streamTime: 300 * time.Millisecond, baseLatency: defaultBaseLatency, sentTimes: map[string][]time.Duration{}, completedTokens: map[string]int64{},
	}
	t := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}}}
	for _, z := range zones {
		for i := range serversEach {
			name := fmt.Sprintf("%s-s%d", z, i)
			t.Backends = append(t.Backends, table.Backend{Name: name, Zone: z, Address: name, Models: []string{service}, Slots: 16, Mark: table.Serving})
			w.engines[name] = &engine{perToken: 10 * time.Microsecond, cached: map[uint64]bool{}}
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
	w.updateRouters()
	for _, name := range w.order {
		w.every(tick, func() { w.step(name, admit.Tick{}) })
		w.every(reportInterval, func() { w.report(name) })
	}
	return w
}

func zoneOf(router string) string {
	zone, _, _ := strings.Cut(router, "-")
	return zone
}

// schedule runs a function after a time.
func (w *world) schedule(after time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, scheduledEvent{w.now + after, w.seq, do})
}

func (w *world) every(interval time.Duration, do func()) {
	w.schedule(interval, func() {
		do()
		w.every(interval, do)
	})
}

// run advances time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(scheduledEvent)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// updateRouters updates every router's list of the others.
func (w *world) updateRouters() {
	known := map[string]int{}
	for _, name := range w.order {
		known[zoneOf(name)]++
	}
	for _, name := range w.order {
		var list []admit.Router
		for _, other := range w.order {
			if other != name && !w.down[other] && !w.blocked[[2]string{name, other}] {
				list = append(list, admit.Router{Address: other, Zone: zoneOf(other)})
			}
		}
		w.step(name, admit.Routers{List: list, KnownByZone: known})
	}
}

// updateTable changes the table and sends it to all routers.
func (w *world) updateTable(do func(t *table.Table)) {
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

func (w *world) report(name string) {
	if w.down[name] {
		return
	}
	s := w.cores[name].Snapshot(w.now)
	for _, other := range w.order {
		if other != name {
			if m := s.Capacity(wire.ScopeOwn, other); m != nil && !w.olderVersion[name] {
				w.deliver(name, other, m)
			}
			w.deliver(name, other, &wire.RouterState{Accounts: s.Flows(wire.ScopeOwn, other), Copies: s.Copies()})
			if w.weighted {
				w.deliver(name, other, &wire.Usage{Scope: wire.ScopeOwn, Accounts: s.Usage(wire.ScopeOwn, other)})
			}
		}
	}
}

func (w *world) deliver(from, to string, msg any) {
	if w.down[from] || w.down[to] || w.blocked[[2]string{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.schedule(netLatency, func() {
		if w.down[to] {
			return
		}
		switch m := msg.(type) {
		case *wire.CapacityReport:
			w.step(to, admit.PeerCapacity{From: from, Zone: zoneOf(from), Msg: m})
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
			w.refusals[a.ID] = w.now - w.requests[a.ID].at
			if w.onRefused != nil {
				w.onRefused(a.ID, a.Err)
			}
			w.crashes.onRefused(a)
			w.plain.onRefused(a)
		case admit.Start:
			if w.plain == nil {
				w.startOnEngine(name, a)
			} else {
				w.plain.start(name, a)
			}
		}
	}
	w.sendSuspects(name)
}

// startOnEngine simulates the response to a request.
func (w *world) startOnEngine(name string, a admit.Start) {
	r := w.requests[a.ID].request
	e := w.engines[a.Backend.Name]
	w.sentTimes[a.Backend.Name] = append(w.sentTimes[a.Backend.Name], w.now)
	e.running++
	e.peak = max(e.peak, e.running)
	tokens := r.Prompt
	if r.Prefix != 0 && e.cached[r.Prefix] {
		tokens -= r.Shared
	} else if w.copiesPrefix(a, r.Prefix) {
		tokens -= r.Shared
	}
	e.cached[r.Prefix] = true
	e.freeAt = max(e.freeAt, w.now) + time.Duration(tokens)*e.perToken
	w.recordRead(a, r.Prefix, e)
	w.starts[a.ID] = startRecord{Start: a, router: name, at: w.now}
	if !w.crashes.onSent(a.ID, r, a.Backend.Name) {
		e.running--
		w.schedule(netLatency, func() { w.crashes.endUnsent(name, a) })
		return
	}
	first := e.freeAt - w.now + w.baseLatency
	w.schedule(first, func() {
		if !w.crashes.getsEvent(a.ID, r) {
			return
		}
		s := w.starts[a.ID]
		s.first = w.now - w.requests[a.ID].at
		w.starts[a.ID] = s
		w.step(name, admit.FirstEvent{ID: a.ID})
	})
	if w.pauses != nil {
		w.schedule(first, func() { w.pauses.stream(name, a, e) })
		return
	}
	w.schedule(first+w.streamTime, func() {
		e.running--
		if !w.crashes.isDisconnected(a.ID) && !w.crashes.isCrashing(r) {
			w.crashes.onEnded(a.ID)
			w.completedTokens[r.Account] += w.tokens
			w.step(name, admit.AttemptEnd{ID: a.ID, Result: admit.Succeeded, Digest: r.Digest, Completed: true, Unframed: w.unframed, Tokens: w.tokens})
		}
	})
}

// submit adds a request at a router.
func (w *world) submit(router string, r admit.Request) uint64 {
	w.nextID++
	r.ID = w.nextID
	r.Service = service
	if r.Deadline == 0 {
		r.Deadline = w.now + 10*time.Second
	}
	if r.Target == 0 {
		r.Target = 400 * time.Millisecond
	}
	if r.MaxWait == 0 {
		r.MaxWait = r.Target / 4
	}
	w.requests[r.ID] = arrival{router: router, request: r, at: w.now}
	w.step(router, admit.Arrive{Request: r})
	return r.ID
}

// kill stops a router. The others detect it after a time.
func (w *world) kill(router string, detectedAfter time.Duration) {
	w.down[router] = true
	w.schedule(detectedAfter, func() {
		w.updateRouters()
		for _, name := range w.order {
			w.step(name, admit.PeerGone{From: router})
		}
	})
}
