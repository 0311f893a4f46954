// Package roster tracks the routers of a fleet that has no published list of members. A router
// starts from seed addresses, some of which may be stale, and learns of other routers from
// their reports. It counts a router as alive while it receives messages from it, or while a
// relay reports it alive.
//
// In a small fleet, all routers exchange messages with each other. In a larger one, each zone
// has relays: the routers of a zone exchange messages with their relays, and relays with those
// of other zones. Every router computes the relays from the members that it counts as alive.
// The package is a state machine that does no I/O.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timeouts and intervals.
const (
	// SilenceTimeout is how long a router may be silent before it counts as lost. It is longer
	// if the message interval requires it.
	SilenceTimeout = 500 * time.Millisecond
	// ForgetAfter is how long after its last sign of life a router is forgotten, unless it is
	// a seed.
	ForgetAfter = 30 * time.Second
)

const (
	// minInterval and maxInterval bound the interval between messages. It grows by
	// intervalPerMember for each recipient of a relay, which bounds a relay's message rate.
	minInterval       = 100 * time.Millisecond
	maxInterval       = time.Second
	intervalPerMember = 10 * time.Millisecond
	// maxMissedIntervals is the number of intervals without a message after which a router is
	// silent.
	maxMissedIntervals = 3
	// expectTTL is how long at least a router that others recently heard from is expected to be
	// alive without a probe. probeTimeout is how long a probe may remain unanswered.
	expectTTL    = time.Second
	probeTimeout = 400 * time.Millisecond
)

// Member is a router.
type Member struct {
	// Address is where the router listens for peers. It identifies the router.
	Address string
	Name    string
	Zone    string
	// Incarnation is its number, 0 if unknown.
	Incarnation uint64
	// Capacity is its share of processors, 0 if unknown.
	Capacity float64
}

// capacity returns the weight for the choice of relays.
func (m *Member) capacity() float64 {
	if m.Capacity <= 0 {
		return 1
	}
	return m.Capacity
}

// member is what this router knows about another one.
type member struct {
	Member
	// lastReceived is when its last message arrived here, 0 if none did.
	lastReceived time.Duration
	// lastSeen is when any router last heard from it, as far as known here.
	lastSeen time.Duration
	// probedAt is when it was last probed. unansweredSince is when the first probe since its
	// last message was sent, 0 if there was none.
	probedAt, unansweredSince time.Duration

	// aliveAt is when it was last found to count as alive.
	aliveAt time.Duration

	leaving bool
	// down says that nothing listens at its address any more.
	down bool
	seed bool
	// relayScore orders the candidates for relays of a zone.
	relayScore float64
}

// set replaces the description of a member.
func (m *member) set(to Member) {
	m.Member = to
	m.relayScore = relayScore(&m.Member)
}

// Roster is one router's view of the fleet.
type Roster struct {
	self    Member
	members map[string]*member
	// seeds are the addresses from the settings.
	seeds []string
	// reports are the latest reports of relays, by address.
	reports map[string]*relayReport
	// interval is the current message interval.
	interval time.Duration
	// higherIncarnation is the highest incarnation of this router that others know of, if it is above
	// the current one, else 0.
	higherIncarnation uint64
	// leaving says that this router is about to stop.
	leaving bool
	// startedAt is when this router first chose routers to probe, 0 before.
	startedAt time.Duration
	// pause is the last time during which this process was paused.
	pause pause
	// sorted are the members by address, nil after one was added or removed.
	sorted []*member
	// cached is the last view, nil after an event that may change it.
	cached *view
	// work counts what computing views has cost.
	work Work
}

// New returns a roster that knows only its seeds.
func New(self Member, seeds []string) *Roster {
	r := &Roster{self: self, members: map[string]*member{}, reports: map[string]*relayReport{}, interval: minInterval}
	r.SetSeeds(seeds)
	return r
}

// SetSeeds replaces the seed addresses.
func (r *Roster) SetSeeds(addresses []string) {
	for _, m := range r.members {
		m.seed = false
	}
	r.seeds = slices.Clone(addresses)
	for _, address := range addresses {
		if address == r.self.Address {
			continue
		}
		r.getOrAdd(0, address).seed = true
	}
}

// Observe records a message from a router. It reports whether the router was not counted as
// alive before, or has restarted. A router that a relay reports alive is not new, so a router
// that merely requests slots from this one does not trigger an exchange of reports.
func (r *Roster) Observe(now time.Duration, from Member) bool {
	if from.Address == r.self.Address {
		return false
	}
	m := r.getOrAdd(now, from.Address)
	if from.Incarnation < m.Incarnation {
		return false
	}
	wasAlive, wasDirect := r.isAlive(now, m), r.isDirect(now, m)
	isRestart := from.Incarnation > m.Incarnation
	if isRestart {
		m.leaving = false
		r.removeFromReports(from.Address)
	}
	if from.Capacity == 0 {
		from.Capacity = m.Capacity
	}
	if !wasAlive || m.Member != from || m.down || !wasDirect && r.reportsContact(now, m) {
		r.cached = nil
	}
	if m.Member != from {
		m.set(from)
	}
	m.lastReceived, m.lastSeen, m.unansweredSince = now, now, 0
	m.down = false
	return !wasAlive || isRestart
}

// reportsContact reports whether this router tells others that it receives messages from m. Contact
// with routers of other zones comes and goes with their requests for slots; their relays report them.
func (r *Roster) reportsContact(now time.Duration, m *member) bool {
	return m.Zone == r.self.Zone || r.isRelay(now, m.Address)
}

// RaiseIncarnation gives this router an incarnation above those that others know for its
// address, and returns it. It returns 0 if the current one is already above. Incarnations come
// from the wall clock, which may have been set back since an earlier start.
func (r *Roster) RaiseIncarnation() uint64 {
	if r.higherIncarnation == 0 {
		return 0
	}
	r.self.Incarnation, r.higherIncarnation = r.higherIncarnation+1, 0
	return r.self.Incarnation
}

func (r *Roster) getOrAdd(now time.Duration, address string) *member {
	m, ok := r.members[address]
	if !ok {
		m = &member{probedAt: -ProbeInterval, lastSeen: now}
		m.set(Member{Address: address})
		r.members[address] = m
		r.sorted = nil
	}
	return m
}

// MarkLeaving records that a router is about to stop.
func (r *Roster) MarkLeaving(from string) {
	if m, ok := r.members[from]; ok && !m.leaving {
		m.leaving = true
		r.cached = nil
	}
}

// Leave records that this router is about to stop.
func (r *Roster) Leave() {
	if !r.leaving {
		r.leaving = true
		r.cached = nil
	}
}

// StandsIn reports whether this router, though it is leaving, goes on with its part of the fleet's work,
// since most routers leave.
func (r *Roster) StandsIn(now time.Duration) bool { return r.leaving && r.mostLeave(r.view(now)) }

// MarkDown records that nothing listens at a router's address any more.
func (r *Roster) MarkDown(address string) {
	if m, ok := r.members[address]; ok {
		m.lastReceived = 0
		m.down = true
		r.cached = nil
		r.removeFromReports(address)
		delete(r.reports, address)
	}
}

// silenceTimeout returns how long a router may be silent before it counts as lost.
func (r *Roster) silenceTimeout() time.Duration {
	return max(SilenceTimeout, maxMissedIntervals*r.interval)
}

// isDirect reports whether this router receives messages from m.
func (r *Roster) isDirect(now time.Duration, m *member) bool {
	return m.lastReceived > 0 && !r.isSilent(now, m.lastReceived)
}

// isAlive reports whether this router receives messages from m, or from a relay that reports m
// alive.
func (r *Roster) isAlive(now time.Duration, m *member) bool {
	if r.isDirect(now, m) {
		return true
	}
	for _, report := range r.reports {
		if report.alive[m.Address] && !r.isSilent(now, report.confirmedAt) {
			return true
		}
	}
	return false
}

// expectedFor returns how long a router that others recently heard from is expected to be alive. A
// router that has just learned of a large fleet sends its first messages to its relays within an
// interval, and must not give them up before.
func (r *Roster) expectedFor() time.Duration { return max(expectTTL, r.silenceTimeout()) }

// isExpected reports whether a silent router can be assumed alive until it is probed, because
// others recently heard from it. A router that joins a large fleet thus chooses its relays
// from the first report, instead of exchanging messages with every router it learns of.
func (r *Roster) isExpected(now time.Duration, m *member) bool {
	return m.Incarnation > 0 && !m.leaving && now-m.lastSeen < r.expectedFor() && (m.unansweredSince == 0 || now-m.unansweredSince < probeTimeout)
}

// Live returns the addresses of the other routers that are alive. The list must not be modified.
func (r *Roster) Live(now time.Duration) []string { return r.view(now).live }

// Staying returns the addresses of the other routers that are alive and not leaving, in order. The list
// must not be modified.
func (r *Roster) Staying(now time.Duration) []string { return r.view(now).staying }

// Active returns the addresses of the other routers that take part in the fleet's work: those that stay,
// or all that are alive if most are leaving. The list must not be modified.
func (r *Roster) Active(now time.Duration) []string { return r.view(now).active }

// inOrder returns the members by address.
func (r *Roster) inOrder() []*member {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.members), func(a, b *member) int { return cmp.Compare(a.Address, b.Address) })
		r.work.Sorted += len(r.sorted)
	}
	return r.sorted
}

// Forget drops the routers that nobody has heard from, and that no relay has reported alive, for
// ForgetAfter.
func (r *Roster) Forget(now time.Duration) {
	if now < r.pause.to+pauseGrace {
		return
	}
	for _, m := range r.inOrder() {
		if m.seed || now-m.lastSeen < ForgetAfter || r.isAlive(now, m) || now-m.aliveAt < ForgetAfter && m.aliveAt > 0 {
			continue
		}
		delete(r.members, m.Address)
		r.cached = nil
	}
	if len(r.members) < len(r.sorted) {
		r.sorted = nil
	}
}

// CountRecent returns how many routers, including this one, were heard from or reported alive within
// a time.
func (r *Roster) CountRecent(now, within time.Duration) int {
	n := 1
	r.view(now)
	for _, m := range r.members {
		if m.Incarnation > 0 && (now-m.lastSeen < within || m.aliveAt > 0 && now-m.aliveAt < within) {
			n++
		}
	}
	return n
}

// KnownByZone returns how many routers are known in each zone, including this one. It counts
// silent routers that are not yet forgotten, since they may be cut off, but none that are
// leaving or down.
func (r *Roster) KnownByZone() map[string]int {
	known := map[string]int{r.self.Zone: 1}
	for _, m := range r.members {
		if m.Incarnation > 0 && !m.leaving && !m.down {
			known[m.Zone]++
		}
	}
	return known
}

// HeardAllSeeds reports whether this router has heard of every seed since it started. Otherwise there may be
// routers that it does not know.
func (r *Roster) HeardAllSeeds() bool {
	for _, m := range r.members {
		if m.seed && m.Incarnation == 0 {
			return false
		}
	}
	return true
}

// MissesSeeds reports whether this router has not heard of most of the seeds since it started, itself included if it is
// one. Others may then know each other that it does not know, and not know it.
func (r *Roster) MissesSeeds() bool {
	missing := 0
	for _, address := range r.seeds {
		if m, ok := r.members[address]; ok && m.Incarnation == 0 {
			missing++
		}
	}
	return missing > 0 && len(r.seeds) <= 2*missing
}

// Self returns this router.
func (r *Roster) Self() Member { return r.self }

// Get returns what is known about a router.
func (r *Roster) Get(address string) (Member, bool) {
	if address == r.self.Address {
		return r.self, true
	}
	m, ok := r.members[address]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}
