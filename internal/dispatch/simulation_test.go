package dispatch

import (
	"bytes"
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
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// simulation runs several routers deterministically on a simulated clock, network, platform and
// set of backend servers, in one goroutine.
type simulation struct {
	now     time.Duration
	routers map[string]*simRouter
	names   []string
	// links are the messages in flight, sorted by delivery time and then by sequence.
	links            []delivery
	order            uint64
	cut              map[string]bool // a zone or a router that is cut off
	paused           map[string]bool
	servers          map[string]*simServer
	table            table.Table
	rev              uint64
	stale            bool
	visibleRevision  uint64
	tablesByRevision map[uint64]table.Table
	requests         map[string]*simRequest
	log              []string
	violations       []string
	highestRevision  map[string]uint64
	keyGrantedTo     map[string]string // idempotency key to the request that may run
	keyFirstUse      map[string]int64  // idempotency key to its first use
	// faultAt is the last time at which anything was cut off, paused, down or stale. Bounds
	// on recovery count from there.
	faultAt time.Duration
	// splitAt is the last time at which a router was cut off from its own zone, so that a
	// pool could have two owners.
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
	row         table.Backend
	inFlight    int
	maxInFlight int
	closedAt    time.Duration
}

type simRouter struct {
	sim  *simulation
	name string
	zone string
	up   bool
	inc  uint64
	// startedAt is when the router was started, lastRunAt when it last ran.
	startedAt, lastRunAt time.Duration
	*state
	out map[string]*simLink
	in  map[string]*wire.Decoder
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
	attempt *attempt
	until   time.Duration
	claim   chan error
	// grant is the id of the attempt at the router.
	grant   uint64
	done    bool
	started bool
	server  string
	inc     uint64
	// ends is when the backend server will have sent all tokens.
	ends time.Duration
}

const (
	simStep        = 10 * time.Millisecond
	sameZoneDelay  = time.Millisecond
	crossZoneDelay = 3 * time.Millisecond
	tokenInterval  = 5 * time.Millisecond
	simStart       = 1_700_000_000 * time.Second
)

func newSimulation(zones map[string]int, servers []table.Backend, accounts []table.Account) *simulation {
	sim := &simulation{
		now: simStart, routers: map[string]*simRouter{}, cut: map[string]bool{}, paused: map[string]bool{},
		servers: map[string]*simServer{}, tablesByRevision: map[uint64]table.Table{}, requests: map[string]*simRequest{},
		highestRevision: map[string]uint64{}, keyGrantedTo: map[string]string{}, keyFirstUse: map[string]int64{},
	}
	for i := range accounts {
		sum := sha256.Sum256([]byte(accounts[i].Name))
		accounts[i].KeySHA256 = hex.EncodeToString(sum[:])
		accounts[i].Limits.Queued = table.DefaultQueued
	}
	sim.table = table.Table{Accounts: accounts, Backends: servers}
	for _, s := range servers {
		sim.servers[s.Name] = &simServer{row: s}
	}
	sim.publish()
	for _, z := range sortedNames(zones) {
		for i := range zones[z] {
			name := fmt.Sprintf("%s-%d", z, i)
			sim.routers[name] = &simRouter{sim: sim, name: name, zone: z}
			sim.names = append(sim.names, name)
		}
	}
	sort.Strings(sim.names)
	for _, n := range sim.names {
		sim.start(n)
	}
	return sim
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (sim *simulation) logf(format string, args ...any) {
	at := (sim.now - simStart).Milliseconds()
	sim.log = append(sim.log, fmt.Sprintf("%6d ms  %s", at, fmt.Sprintf(format, args...)))
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %s: ", sim.now-simStart)+fmt.Sprintf(format, args...))
}

func (sim *simulation) publish() {
	sim.rev++
	t := sim.table
	t.Backends = append([]table.Backend(nil), sim.table.Backends...)
	t.Accounts = append([]table.Account(nil), sim.table.Accounts...)
	sim.tablesByRevision[sim.rev] = t
	if !sim.stale {
		sim.visibleRevision = sim.rev
	}
}

// start starts a router with empty state.
func (sim *simulation) start(name string) {
	r := sim.routers[name]
	r.up = true
	r.inc = uint64(sim.now)
	r.out = map[string]*simLink{}
	r.in = map[string]*wire.Decoder{}
	r.startedAt, r.lastRunAt = sim.now, sim.now
	d := New(Identity{Name: name, Address: name, Zone: r.zone, Incarnation: r.inc}, emptySource{}, r,
		WithLogger(slog.New(slog.DiscardHandler)), WithWeightedAccounts())
	d.opt.wallClock = func() time.Time { return time.Unix(0, int64(sim.now)) }
	r.state = newState(d)
	r.step(instancesEvent{platform.Instances{Revision: 1, Instances: sim.list()}})
}

func (sim *simulation) stop(name string) {
	r := sim.routers[name]
	r.up = false
	r.d.Close()
	for _, n := range sim.names {
		sim.dropConnection(delivery{from: n, to: name, inc: sim.routers[n].inc})
	}
	for _, id := range sortedNames(sim.requests) {
		a := sim.requests[id]
		if a.router != name || a.done {
			continue
		}
		a.done = true
		sim.logf("%s: %s ends with its router", name, id)
		if a.started {
			sim.servers[a.server].inFlight--
		}
	}
}

func (sim *simulation) list() []platform.Instance {
	var list []platform.Instance
	for _, n := range sim.names {
		list = append(list, platform.Instance{Name: n, Zone: sim.routers[n].zone, Address: n, State: "live"})
	}
	return list
}

func (r *simRouter) SetIncarnation(uint64) {}

// Send encodes the message with the real codec.
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
	delay := sameZoneDelay
	other, known := r.sim.routers[to]
	if known && other.zone != r.zone {
		delay = crossZoneDelay
	}
	r.sim.order++
	r.sim.links = append(r.sim.links, delivery{
		at: r.sim.now + delay, order: r.sim.order, from: r.name, to: to, zone: r.zone, inc: r.inc,
		payload: append([]byte(nil), l.buf.Bytes()...),
	})
}

func (r *simRouter) Inbox() <-chan peer.Inbound { return nil }
func (r *simRouter) Losses() <-chan peer.Loss   { return nil }

// step applies an event like the event loop.
func (r *simRouter) step(ev event) {
	s := r.state
	s.now = clockStart + r.sim.now - r.startedAt
	if r.sim.now-r.lastRunAt >= pauseThreshold {
		s.recordPause(clockStart + r.lastRunAt - r.startedAt)
	}
	r.lastRunAt = r.sim.now
	before := r.tableRevision()
	ev.apply(s)
	if rev := r.tableRevision(); rev != before {
		r.sim.checkTableRevision(r, rev)
	}
}

func (r *simRouter) tableRevision() uint64 {
	if t := r.d.Table(); t != nil {
		return t.Revision
	}
	return 0
}

// checkTableRevision asserts that no router returns to an older table.
func (sim *simulation) checkTableRevision(r *simRouter, rev uint64) {
	sim.logf("%s: table %d in force", r.name, rev)
	if rev < sim.highestRevision[r.name] {
		sim.addViolation("%s returned from table %d to older table %d", r.name, sim.highestRevision[r.name], rev)
	}
	sim.highestRevision[r.name] = rev
}

// connected reports whether messages pass between two routers now.
func (sim *simulation) connected(a, b *simRouter) bool {
	if sim.cut[a.name] || sim.cut[b.name] {
		return false
	}
	return a.zone == b.zone || !sim.cut[a.zone] && !sim.cut[b.zone]
}

// run advances the clock and calls each before every step.
func (sim *simulation) run(until time.Duration, each func()) {
	for sim.now < until {
		sim.now += simStep
		each()
		if sim.faulty() {
			sim.faultAt = sim.now
		}
		for _, n := range sim.names {
			if sim.cut[n] {
				sim.splitAt = sim.now
			}
		}
		sim.deliver()
		for _, n := range sim.names {
			r := sim.routers[n]
			if !r.up || sim.paused[n] {
				continue
			}
			sim.readPlatform(r)
			r.step(tickEvent{})
		}
		sim.reportLoads()
		sim.deliver()
		sim.processResults()
	}
}

// splitGrace is how long after a split a zone may still have two owners.
const splitGrace = 5 * time.Second

// maxAllowed returns the bound on requests on a backend server: its slots, or twice that while
// its zone is split and may have two owners.
func (sim *simulation) maxAllowed(s *simServer) int {
	if sim.splitAt > 0 && sim.now-sim.splitAt < splitGrace {
		return 2 * s.row.Slots
	}
	return s.row.Slots
}

func (sim *simulation) faulty() bool {
	bad := sim.stale
	for _, n := range sim.names {
		bad = bad || !sim.routers[n].up
	}
	for _, m := range []map[string]bool{sim.cut, sim.paused} {
		for _, on := range m {
			bad = bad || on
		}
	}
	return bad
}

// readPlatform lets a router read the platform if that is due.
func (sim *simulation) readPlatform(r *simRouter) {
	if sim.cut["platform"] || sim.cut[r.zone] || sim.cut[r.name] {
		return
	}
	now := clockStart + sim.now - r.startedAt
	asOf := r.d.asOf().Number
	watches := asOf > 0 && r.d.shared.readerRank.Load() < watcherCount && now-clockStart >= watchDelay
	due := r.d.verifyDue(now) <= 0
	switch {
	case due && sim.visibleRevision < asOf:
		// The platform returns an older revision than the known one, which is an error.
	case due && asOf > 0 && sim.visibleRevision == asOf:
		r.d.recordVerified(now)
		r.step(verifiedEvent{})
	case due:
		r.step(updateEvent{Update: catalog.Update{AsOf: sim.visibleRevision, Table: sim.tableAt(sim.visibleRevision)}, readAt: now})
	case watches && sim.visibleRevision > asOf:
		r.step(updateEvent{Update: catalog.Update{After: asOf, AsOf: sim.visibleRevision, Table: sim.tableAt(sim.visibleRevision)}})
	}
}

func (sim *simulation) tableAt(rev uint64) *table.Table {
	t := sim.tablesByRevision[rev]
	t.Revision = rev
	t.Index()
	return &t
}

// deliver delivers the messages that are due. Messages across a cut are lost and reported to
// their sender; messages for a paused router wait.
func (sim *simulation) deliver() {
	sort.SliceStable(sim.links, func(i, j int) bool {
		if sim.links[i].at != sim.links[j].at {
			return sim.links[i].at < sim.links[j].at
		}
		return sim.links[i].order < sim.links[j].order
	})
	for d, ok := sim.nextDue(); ok; d, ok = sim.nextDue() {
		sim.deliverOne(d)
	}
}

// nextDue removes and returns the first message that is due.
func (sim *simulation) nextDue() (delivery, bool) {
	for i, d := range sim.links {
		if d.at > sim.now {
			return delivery{}, false
		}
		if !sim.paused[d.to] {
			sim.links = append(sim.links[:i:i], sim.links[i+1:]...)
			return d, true
		}
	}
	return delivery{}, false
}

func (sim *simulation) deliverOne(d delivery) {
	to, from := sim.routers[d.to], sim.routers[d.from]
	sameIncarnation := from.up && from.inc == d.inc
	if !to.up || !sim.connected(from, to) {
		sim.dropConnection(d)
		if sameIncarnation {
			from.step(lossEvent{peer.Loss{Peer: d.to, Refused: !to.up}})
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
		to.step(messageEvent{peer.Inbound{From: d.from, Name: d.from, Zone: d.zone, Incarnation: d.inc, Msg: m}})
	}
}

func (d *delivery) connection() string { return fmt.Sprintf("%s/%d", d.from, d.inc) }

// dropConnection drops the connection of a lost message with all messages behind it. Both ends
// start with new codec state.
func (sim *simulation) dropConnection(lost delivery) {
	kept := sim.links[:0]
	for _, d := range sim.links {
		if d.from != lost.from || d.to != lost.to || d.inc != lost.inc {
			kept = append(kept, d)
		}
	}
	sim.links = kept
	delete(sim.routers[lost.to].in, lost.connection())
	if from := sim.routers[lost.from]; from.inc == lost.inc {
		delete(from.out, lost.to)
	}
}

// reportLoads reports the loads of the backend servers to their owners.
func (sim *simulation) reportLoads() {
	if (sim.now-simStart)%loadInterval != 0 {
		return
	}
	for _, n := range sim.names {
		r := sim.routers[n]
		if !r.up || sim.paused[n] {
			continue
		}
		for _, b := range r.core.OwnedBackends() {
			if !sim.cut[n] && (b.Zone == r.zone || !sim.cut[r.zone] && !sim.cut[b.Zone]) {
				r.step(loadEvent{b.Name, sim.servers[b.Name].inFlight})
			}
		}
	}
}

// request sends a caller's request to a router.
func (sim *simulation) request(id, router, account, model, key string, tokens int64, wait time.Duration) {
	r := sim.routers[router]
	a := &simRequest{id: id, router: router, key: key, tokens: tokens, inc: r.inc,
		req: front.Request{Account: account, Model: model}}
	sim.requests[id] = a
	if !r.up || sim.paused[router] {
		a.done = true
		sim.logf("%s: %s finds no router", router, id)
		return
	}
	a.until = sim.now + wait
	if key == "" {
		sim.queueRequest(r, a)
		return
	}
	a.claim = make(chan error, 1)
	if _, again := sim.keyFirstUse[key]; !again {
		sim.keyFirstUse[key] = sim.now.Milliseconds()
	}
	msg := &wire.Claim{Key: account + "\x00" + key, Request: id, At: sim.keyFirstUse[key]}
	r.step(claimEvent{msg, a.claim})
}

func (sim *simulation) queueRequest(r *simRouter, a *simRequest) {
	at := time.Unix(0, int64(sim.now))
	req := a.req
	req.Deadline = at.Add(a.until - sim.now)
	a.attempt = &attempt{request: req, arrivedAt: at, result: make(chan decision, 1)}
	r.step(arriveEvent{a.attempt})
}

// processResults handles the routers' decisions and runs the granted requests on the backend
// servers.
func (sim *simulation) processResults() {
	for _, id := range sortedNames(sim.requests) {
		a := sim.requests[id]
		r := sim.routers[a.router]
		if a.done || sim.paused[a.router] || !r.up || r.inc != a.inc {
			continue
		}
		sim.processClaim(r, a)
		if a.attempt != nil {
			select {
			case got := <-a.attempt.result:
				sim.handleDecision(r, a, got)
			default:
			}
		}
		sim.serve(r, a)
	}
}

func (sim *simulation) processClaim(r *simRouter, a *simRequest) {
	select {
	case err := <-a.claim:
		if err != nil {
			a.done = true
			sim.logf("%s: %s is refused: %s", a.router, a.id, errorCode(err))
			return
		}
		other, twice := sim.keyGrantedTo[a.key]
		if twice {
			sim.addViolation("key %s was granted to both %s and %s", a.key, other, a.id)
		}
		sim.keyGrantedTo[a.key] = a.id
		sim.queueRequest(r, a)
	default:
	}
}

func errorCode(err error) string { return strings.SplitN(err.Error(), ":", 2)[0] }

func (sim *simulation) handleDecision(r *simRouter, a *simRequest, got decision) {
	if got.err != nil {
		a.done = true
		sim.logf("%s: %s is refused: %s", a.router, a.id, errorCode(got.err))
		return
	}
	a.grant = got.id
	if clockStart+sim.now-r.startedAt-got.decidedAt >= r.d.startTimeout() {
		sim.logf("%s: %s does not start, its place is too old", a.router, a.id)
		r.step(endEvent{id: got.id, result: admit.Unknown})
		sim.queueRequest(r, a)
		return
	}
	s := sim.servers[got.start.Backend.Name]
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	if maxAllowed := sim.maxAllowed(s); s.inFlight > maxAllowed {
		sim.addViolation("%d requests run on %s, at most %d allowed", s.inFlight, got.start.Backend.Name, maxAllowed)
	}
	a.started, a.server = true, got.start.Backend.Name
	a.ends = sim.now + time.Duration(a.tokens)*tokenInterval
	sim.logf("%s: %s starts on %s", a.router, a.id, got.start.Backend.Name)
	if since := max(s.closedAt, sim.faultAt); s.closedAt > 0 && sim.now-since > 2*time.Second {
		sim.addViolation("%s started on %s %s after it was marked", a.id, got.start.Backend.Name, sim.now-since)
	}
}

// serve completes a request once all its tokens were sent.
func (sim *simulation) serve(r *simRouter, a *simRequest) {
	if !a.started || a.done {
		return
	}
	left := int64((a.ends - sim.now) / tokenInterval)
	if n, ok := r.tokenCounts[a.grant]; ok {
		n.Store(max(0, a.tokens-max(0, left)))
	}
	if sim.now < a.ends {
		return
	}
	a.done = true
	sim.servers[a.server].inFlight--
	sim.logf("%s: %s ends on %s", a.router, a.id, a.server)
	r.step(endEvent{id: a.grant, result: admit.Succeeded, completed: true, tokens: a.tokens})
}

// mark marks a backend server and publishes the table.
func (sim *simulation) mark(server string, m table.Mark) {
	for i := range sim.table.Backends {
		if sim.table.Backends[i].Name == server {
			sim.table.Backends[i].Mark = m
		}
	}
	sim.servers[server].closedAt = 0
	if m != table.Serving {
		sim.servers[server].closedAt = sim.now
	}
	sim.publish()
}

// close closes all dispatchers.
func (sim *simulation) close() {
	for _, n := range sim.names {
		sim.routers[n].d.Close()
	}
}
