package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/tablesync"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// world runs the real core of several routers on a simulated clock, network,
// platform and backend servers, deterministically and in one goroutine.
type world struct {
	now     time.Duration
	routers map[string]*simRouter
	names   []string
	// links contains the messages in transit, sorted by time and then by order.
	links          []delivery
	order          uint64
	cut            map[string]bool // a zone or a router that is cut off
	paused         map[string]bool
	servers        map[string]*simServer
	table          table.Table
	rev            uint64
	stale          bool
	published      uint64
	revisions      map[uint64]table.Table
	requests       map[string]*simRequest
	log            []string
	violations     []string
	newestRevision map[string]uint64
	granted        map[string]string // idempotency key to the request that may run
	used           map[string]int64  // idempotency key to its first use
	// faultAt is the last time at which anything was cut, paused, down or
	// stale. Guarantees with a time limit count from there.
	faultAt time.Duration
	// splitAt is the last time at which a router was disconnected from its own
	// zone, so that a pool could have two owners.
	splitAt time.Duration
}

type delivery struct {
	at       time.Duration
	order    uint64
	from, to string
	zone     string
	inc      uint64
	payload  []byte
}

type simServer struct {
	row      table.Backend
	inFlight int
	most     int
	closedAt time.Duration
}

type simRouter struct {
	w       *world
	name    string
	zone    string
	up      bool
	inc     uint64
	core    *core
	router  *Router
	out     map[string]*simLink
	in      map[string]*wire.Decoder
	readRev uint64
}

type simLink struct {
	buf bytes.Buffer
	enc *wire.Encoder
}

type simRequest struct {
	id      string
	router  string
	req     front.Request
	key     string
	tokens  int64
	reply   chan acquireResult
	acquire *acquire
	claim   chan error
	done    bool
	started bool
	server  string
	inc     uint64
	// ends is when the backend server will have served all tokens.
	ends time.Duration
}

const (
	simStep    = 10 * time.Millisecond
	nearDelay  = time.Millisecond
	farDelay   = 3 * time.Millisecond
	tokenEvery = 5 * time.Millisecond
	simStart   = 1_700_000_000 * time.Second
)

func newWorld(zones map[string]int, servers []table.Backend, accounts []table.Account) *world {
	w := &world{
		now: simStart, routers: map[string]*simRouter{}, cut: map[string]bool{}, paused: map[string]bool{},
		servers: map[string]*simServer{}, revisions: map[uint64]table.Table{}, requests: map[string]*simRequest{},
		newestRevision: map[string]uint64{}, granted: map[string]string{}, used: map[string]int64{},
	}
	for i := range accounts {
		sum := sha256.Sum256([]byte(accounts[i].Name))
		accounts[i].KeySHA256 = hex.EncodeToString(sum[:])
		accounts[i].Limits.Queued = table.DefaultQueued
	}
	w.table = table.Table{Accounts: accounts, Backends: servers}
	for _, s := range servers {
		w.servers[s.Name] = &simServer{row: s}
	}
	w.publish()
	for _, z := range sortedNames(zones) {
		for i := range zones[z] {
			name := fmt.Sprintf("%s-%d", z, i)
			w.routers[name] = &simRouter{w: w, name: name, zone: z}
			w.names = append(w.names, name)
		}
	}
	sort.Strings(w.names)
	for _, n := range w.names {
		w.start(n)
	}
	return w
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (w *world) logf(format string, args ...any) {
	at := (w.now - simStart).Milliseconds()
	w.log = append(w.log, fmt.Sprintf("%6d ms  %s", at, fmt.Sprintf(format, args...)))
}

func (w *world) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %s: ", w.now-simStart)+fmt.Sprintf(format, args...))
}

func (w *world) publish() {
	w.rev++
	t := w.table
	t.Backends = append([]table.Backend(nil), w.table.Backends...)
	t.Accounts = append([]table.Account(nil), w.table.Accounts...)
	w.revisions[w.rev] = t
	if !w.stale {
		w.published = w.rev
	}
}

// start starts a router without state, as a new incarnation.
func (w *world) start(name string) {
	r := w.routers[name]
	r.up = true
	r.inc = uint64(w.now)
	r.out = map[string]*simLink{}
	r.in = map[string]*wire.Decoder{}
	r.readRev = 0
	id := Identity{Name: name, Zone: r.zone, Incarnation: r.inc}
	r.router = New(id, r, nil, noLoads{}, WithLogger(slog.New(slog.DiscardHandler)),
		WithClock(func() time.Duration { return w.now }), WithObserver(r))
	r.core = newCore(r.router)
	r.step(instances{platform.Instances{Revision: 1, Instances: w.list()}})
}

func (w *world) stop(name string) {
	r := w.routers[name]
	r.up = false
	r.router.Close()
	for _, n := range w.names {
		w.breakLink(delivery{from: n, to: name, inc: w.routers[n].inc})
	}
	for _, id := range sortedNames(w.requests) {
		a := w.requests[id]
		if a.router != name || a.done {
			continue
		}
		a.done = true
		w.logf("%s: %s ends with its router", name, id)
		if a.started {
			w.servers[a.server].inFlight--
		}
	}
}

func (w *world) list() []platform.Instance {
	var list []platform.Instance
	for _, n := range w.names {
		list = append(list, platform.Instance{Name: n, Zone: w.routers[n].zone, Address: n, State: "live"})
	}
	return list
}

// noLoads reads no loads; the simulation injects them.
type noLoads struct{}

func (noLoads) Load(ctx context.Context, _ table.Backend) (int, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// Send implements Transport. Messages pass through the real codec.
func (r *simRouter) Send(to string, msg any) {
	l, ok := r.out[to]
	if !ok {
		l = &simLink{}
		l.enc = wire.NewEncoder(&l.buf)
		r.out[to] = l
	}
	l.buf.Reset()
	if err := l.enc.Append(msg); err != nil {
		panic(err)
	}
	delay := nearDelay
	other, known := r.w.routers[to]
	if known && other.zone != r.zone {
		delay = farDelay
	}
	r.w.order++
	r.w.links = append(r.w.links, delivery{
		at: r.w.now + delay, order: r.w.order, from: r.name, to: to, zone: r.zone, inc: r.inc,
		payload: append([]byte(nil), l.buf.Bytes()...),
	})
}

func (r *simRouter) Inbox() <-chan peer.Inbound     { return nil }
func (r *simRouter) Losses() <-chan peer.Loss       { return nil }
func (r *simRouter) SetAddresses(map[string]string) {}
func (r *simRouter) step(ev event)                  { r.core.step(r.w.now, ev) }

// TableInForce implements Observer.
func (r *simRouter) TableInForce(rev uint64) {
	r.w.logf("%s: table %d in force", r.name, rev)
	if rev < r.w.newestRevision[r.name] {
		r.w.violation("%s went back from table %d to %d", r.name, r.w.newestRevision[r.name], rev)
	}
	r.w.newestRevision[r.name] = rev
}

// connected reports whether messages pass between two routers now.
func (w *world) connected(a, b *simRouter) bool {
	if w.cut[a.name] || w.cut[b.name] {
		return false
	}
	return a.zone == b.zone || !w.cut[a.zone] && !w.cut[b.zone]
}

// run advances the time and calls each before every step.
func (w *world) run(until time.Duration, each func()) {
	for w.now < until {
		w.now += simStep
		each()
		if w.faulty() {
			w.faultAt = w.now
		}
		for _, n := range w.names {
			if w.cut[n] {
				w.splitAt = w.now
			}
		}
		w.deliver()
		for _, n := range w.names {
			r := w.routers[n]
			if !r.up || w.paused[n] {
				continue
			}
			w.readPlatform(r)
			r.step(tickEvent{})
		}
		w.feedLoads()
		w.deliver()
		w.collect()
	}
}

// splitRecovery is how long after a partition a zone may still have two owners.
const splitRecovery = 5 * time.Second

// maxInFlight is the documented limit of requests on a backend server: its
// slots, or twice as many while its zone may have two owners.
func (w *world) maxInFlight(s *simServer) int {
	if w.splitAt > 0 && w.now-w.splitAt < splitRecovery {
		return 2 * s.row.Slots
	}
	return s.row.Slots
}

func (w *world) faulty() bool {
	bad := w.stale
	for _, n := range w.names {
		bad = bad || !w.routers[n].up
	}
	for _, m := range []map[string]bool{w.cut, w.paused} {
		for _, on := range m {
			bad = bad || on
		}
	}
	return bad
}

func (w *world) readPlatform(r *simRouter) {
	cutOff := w.cut["platform"] || w.cut[r.zone] || w.cut[r.name]
	if cutOff || !r.core.sync.Reader() || r.readRev >= w.published {
		return
	}
	r.readRev = w.published
	t := w.revisions[w.published]
	t.Index()
	r.step(tableRead{tablesync.PlatformValue{Revision: w.published, Table: &t}})
}

// deliver delivers the due messages. Messages across a partition are lost and
// their sender is notified; messages to a paused router wait.
func (w *world) deliver() {
	sort.SliceStable(w.links, func(i, j int) bool {
		if w.links[i].at != w.links[j].at {
			return w.links[i].at < w.links[j].at
		}
		return w.links[i].order < w.links[j].order
	})
	for d, ok := w.nextDue(); ok; d, ok = w.nextDue() {
		w.deliverOne(d)
	}
}

// nextDue removes and returns the first message that is due.
func (w *world) nextDue() (delivery, bool) {
	for i, d := range w.links {
		if d.at > w.now {
			return delivery{}, false
		}
		if !w.paused[d.to] {
			w.links = append(w.links[:i:i], w.links[i+1:]...)
			return d, true
		}
	}
	return delivery{}, false
}

func (w *world) deliverOne(d delivery) {
	to, from := w.routers[d.to], w.routers[d.from]
	sameIncarnation := from.up && from.inc == d.inc
	if !to.up || !w.connected(from, to) {
		w.breakLink(d)
		if sameIncarnation {
			from.step(lost{peer.Loss{Peer: d.to, Refused: !to.up}})
		}
		return
	}
	dec, ok := to.in[d.connection()]
	if !ok {
		dec = wire.NewDecoder()
		to.in[d.connection()] = dec
	}
	msgs, err := dec.Decode(d.payload)
	if err != nil {
		return
	}
	for _, m := range msgs {
		to.step(inbound{peer.Inbound{From: d.from, Zone: d.zone, Incarnation: d.inc, Msg: m}})
	}
}

func (d *delivery) connection() string { return fmt.Sprintf("%s/%d", d.from, d.inc) }

// breakLink closes the connection of a lost message. Later messages of the
// connection are lost too, and both sides start new codecs.
func (w *world) breakLink(lost delivery) {
	remaining := w.links[:0]
	for _, d := range w.links {
		if d.from != lost.from || d.to != lost.to || d.inc != lost.inc {
			remaining = append(remaining, d)
		}
	}
	w.links = remaining
	delete(w.routers[lost.to].in, lost.connection())
	if from := w.routers[lost.from]; from.inc == lost.inc {
		delete(from.out, lost.to)
	}
}

func (w *world) feedLoads() {
	if (w.now-simStart)%time.Second != 0 {
		return
	}
	for _, n := range w.names {
		r := w.routers[n]
		if !r.up || w.paused[n] {
			continue
		}
		for _, name := range sortedNames(w.servers) {
			if w.servers[name].row.Zone == r.zone {
				r.step(loadRead{backend: name, inFlight: w.servers[name].inFlight})
			}
		}
	}
}

// request sends a caller's request to a router.
func (w *world) request(id, router, account, model, key string, tokens int64, wait time.Duration) {
	r := w.routers[router]
	a := &simRequest{id: id, router: router, key: key, tokens: tokens, inc: r.inc,
		req: front.Request{Account: account, Model: model}}
	w.requests[id] = a
	if !r.up || w.paused[router] {
		a.done = true
		w.logf("%s: %s finds no router", router, id)
		return
	}
	a.acquire = &acquire{req: a.req, deadline: w.now + wait, reply: nil}
	if key == "" {
		w.acquireSlot(r, a)
		return
	}
	a.claim = make(chan error, 1)
	if _, again := w.used[key]; !again {
		w.used[key] = w.now.Milliseconds()
	}
	msg := &wire.Claim{Key: account + "\x00" + key, Request: id, At: w.used[key]}
	r.step(claimKey{msg, a.claim})
}

func (w *world) acquireSlot(r *simRouter, a *simRequest) {
	a.reply = make(chan acquireResult, 1)
	a.acquire.reply = a.reply
	r.step(a.acquire)
}

// collect receives the cores' replies and lets the backend servers work on the
// started requests.
func (w *world) collect() {
	for _, id := range sortedNames(w.requests) {
		a := w.requests[id]
		r := w.routers[a.router]
		if a.done || w.paused[a.router] || !r.up || r.inc != a.inc {
			continue
		}
		w.collectClaim(r, a)
		select {
		case got := <-a.reply:
			w.answered(r, a, got)
		default:
		}
		w.serve(r, a)
	}
}

func (w *world) collectClaim(r *simRouter, a *simRequest) {
	select {
	case err := <-a.claim:
		if err != nil {
			a.done = true
			w.logf("%s: %s is refused: %s", a.router, a.id, short(err))
			return
		}
		other, twice := w.granted[a.key]
		if twice {
			w.violation("key %s was granted to %s and to %s", a.key, other, a.id)
		}
		w.granted[a.key] = a.id
		w.acquireSlot(r, a)
	default:
	}
}

func short(err error) string { return strings.SplitN(err.Error(), ":", 2)[0] }

func (w *world) answered(r *simRouter, a *simRequest, got acquireResult) {
	if got.err != nil {
		a.done = true
		w.logf("%s: %s is refused: %s", a.router, a.id, short(got.err))
		return
	}
	g := got.grant
	if !g.MayStart() {
		w.logf("%s: %s does not start, the lease ran out", a.router, a.id)
		r.step(release{id: g.ID})
		w.acquireSlot(r, a)
		return
	}
	s := w.servers[g.Backend]
	s.inFlight++
	s.most = max(s.most, s.inFlight)
	if allowed := w.maxInFlight(s); s.inFlight > allowed {
		w.violation("%d run on %s where %d may", s.inFlight, g.Backend, allowed)
	}
	a.started, a.server, a.acquire.id = true, g.Backend, g.ID
	a.ends = w.now + time.Duration(a.tokens)*tokenEvery
	w.logf("%s: %s starts on %s", a.router, a.id, g.Backend)
	if since := max(s.closedAt, w.faultAt); s.closedAt > 0 && w.now-since > 2*time.Second {
		w.violation("%s started on %s %s after its mark", a.id, g.Backend, w.now-since)
	}
}

// serve ends a request whose tokens have all been served.
func (w *world) serve(r *simRouter, a *simRequest) {
	if !a.started || a.done {
		return
	}
	left := int64((a.ends - w.now) / tokenEvery)
	if n, ok := r.core.served[a.acquire.id]; ok {
		n.Store(max(0, a.tokens-max(0, left)))
	}
	if w.now < a.ends {
		return
	}
	a.done = true
	w.servers[a.server].inFlight--
	w.logf("%s: %s ends on %s", a.router, a.id, a.server)
	r.step(release{id: a.acquire.id, usage: front.Usage{Tokens: a.tokens, Sent: true}})
}

// mark sets the mark of a backend server and publishes the table.
func (w *world) mark(server string, m table.Mark) {
	for i := range w.table.Backends {
		if w.table.Backends[i].Name == server {
			w.table.Backends[i].Mark = m
		}
	}
	w.servers[server].closedAt = 0
	if m != table.Serving {
		w.servers[server].closedAt = w.now
	}
	w.publish()
}

// close stops the routers.
func (w *world) close() {
	for _, n := range w.names {
		w.routers[n].router.Close()
	}
}
