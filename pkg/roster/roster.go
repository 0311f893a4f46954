// Package roster keeps the routers of a fleet that publishes no list of them.
// A router begins with a few seeds, which may be stale or down, learns the
// others by hearsay, and believes that one lives while it hears from it or
// while a relay vouches for it.
//
// In a small fleet every router talks with every other. In a larger one, each
// zone has a few relays: its routers talk with these, and relays talk with the
// relays of other zones. Who is a relay is computed by each router alone from
// those it believes to live. The package is a pure state machine.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The times after which a router is believed something else.
const (
	// SilenceTimeout is when a router that is not heard counts as lost, if
	// routers tell each other more often than three times in it.
	SilenceTimeout = 500 * time.Millisecond
	// ProbeInterval is how often a router that is not heard is tried.
	ProbeInterval = time.Second
	// StartupProbeInterval is the same within StartupPeriod of this router's own start: then all
	// may have been lost at once, and those that are tried come back a moment
	// after this one. A router that hears of no others takes itself for the
	// owner of every backend server.
	StartupProbeInterval = 250 * time.Millisecond
	StartupPeriod        = 10 * time.Second
	// SeedProbeInterval is how often a seed is tried that this router need not hear.
	SeedProbeInterval = 15 * time.Second
	// ForgetAfter is when a router that nobody heard is forgotten, unless it
	// is a seed.
	ForgetAfter = 30 * time.Second
)

const (
	// triesEach bounds how many routers are tried at once.
	triesEach = 8
	// quickest and slowest are the interval at which routers tell each other;
	// it grows by perMember with those that a relay tells, so that what a
	// relay sends in a second does not.
	quickest  = 100 * time.Millisecond
	slowest   = time.Second
	perMember = 10 * time.Millisecond
	// silentIntervals is how many intervals may pass unheard.
	silentIntervals = 3
	// hearsayFor is how long a router that others lately heard of is expected to
	// live before it was tried, answerWithin how long it may take to answer a try:
	// the way there and back between regions, twice.
	hearsayFor   = time.Second
	answerWithin = 400 * time.Millisecond
)

// Member is a router.
type Member struct {
	// Address is where it listens for peers; it identifies the router.
	Address string
	Name    string
	Zone    string
	// Inc is its start, 0 if not known.
	Inc uint64
	// Capacity is its share of processors, above 0 where it is known.
	Capacity float64
}

// capacity returns the capacity to choose by.
func (m *Member) capacity() float64 {
	if m.Capacity <= 0 {
		return 1
	}
	return m.Capacity
}

// member is a router as this one knows it.
type member struct {
	Member
	// heard is when a message of it last came here; 0 if none did.
	heard time.Duration
	// known is when anyone last heard of it, as far as told here.
	known time.Duration
	// tried is when it was last tried without being heard, unanswered since
	// when it has been; 0 if it was heard since.
	tried, unanswered time.Duration

	leaving bool
	// ended says that nobody listens at its address any more.
	ended bool
	seed  bool
}

// Roster is the state of one router's view of the fleet.
type Roster struct {
	self    Member
	members map[string]*member
	// vouched is what relays said, by relay.
	vouched map[string]*vouching
	// interval is the one in force.
	interval time.Duration
	// former is the latest start at this router's address that others know of, if that is
	// not before this one.
	former uint64
	// started is when this router first looked whom to try, 0 before.
	started time.Duration
	// pause is the last time during which this router stood still.
	pause pause
	// relaysKnown are the relays as of relaysAt, nil once something else is known.
	relaysKnown map[string][]string
	relaysAt    time.Duration
}

// New returns the view of a router that knows its seeds only.
func New(self Member, seeds []string) *Roster {
	r := &Roster{self: self, members: map[string]*member{}, vouched: map[string]*vouching{}, interval: quickest}
	for _, address := range seeds {
		if address != self.Address {
			r.members[address] = &member{Member: Member{Address: address}, tried: -ProbeInterval, seed: true}
		}
	}
	return r
}

// SetSeeds replaces the addresses of the routers to begin with.
func (r *Roster) SetSeeds(addresses []string) {
	for _, m := range r.members {
		m.seed = false
	}
	for _, address := range addresses {
		if address == r.self.Address {
			continue
		}
		if _, ok := r.members[address]; !ok {
			r.members[address] = &member{Member: Member{Address: address}, tried: -ProbeInterval}
		}
		r.members[address].seed = true
	}
}

// Observe notes that a message of a router came. It reports whether the router
// was not believed to live before, or has started anew. One that a relay vouches
// for is no news: routers that only ask each other for places need not tell each
// other whom they know.
func (r *Roster) Observe(now time.Duration, from Member) bool {
	if from.Address == r.self.Address {
		return false
	}
	m := r.get(now, from.Address)
	if from.Inc < m.Inc {
		return false
	}
	r.relaysKnown = nil
	news := !r.lives(now, m) || from.Inc > m.Inc
	if from.Inc > m.Inc {
		m.leaving = false
		r.unvouch(from.Address)
	}
	if from.Capacity == 0 {
		from.Capacity = m.Capacity
	}
	m.Member = from
	m.heard, m.known, m.unanswered = now, now, 0
	m.ended = false
	return news
}

// RaiseIncarnation gives this router a later incarnation than that of a former start at its address,
// which others know of, and returns it: a time of day that was set back gives a start a
// number that others take for a former one. It returns 0 if there is none to succeed.
func (r *Roster) RaiseIncarnation() uint64 {
	if r.former == 0 {
		return 0
	}
	r.self.Inc, r.former = r.former+1, 0
	return r.self.Inc
}

func (r *Roster) get(now time.Duration, address string) *member {
	m, ok := r.members[address]
	if !ok {
		m = &member{Member: Member{Address: address}, tried: -ProbeInterval, known: now}
		r.members[address] = m
	}
	return m
}

// MarkLeaving notes that a router is about to stop.
func (r *Roster) MarkLeaving(from string) {
	if m, ok := r.members[from]; ok {
		m.leaving = true
		r.relaysKnown = nil
	}
}

// MarkDown notes that nobody listens at a router's address any more.
func (r *Roster) MarkDown(address string) {
	if m, ok := r.members[address]; ok {
		m.heard = 0
		m.ended = true
		r.relaysKnown = nil
		r.unvouch(address)
		delete(r.vouched, address)
	}
}

// silentAfter is when a router that is not heard counts as lost.
func (r *Roster) silentAfter() time.Duration {
	return max(SilenceTimeout, silentIntervals*r.interval)
}

// hears reports whether messages of the router come here.
func (r *Roster) hears(now time.Duration, m *member) bool {
	return m.heard > 0 && !r.isSilent(now, m.heard)
}

// lives reports whether the router is heard here, or by a relay that is.
func (r *Roster) lives(now time.Duration, m *member) bool {
	if r.hears(now, m) {
		return true
	}
	for _, v := range r.vouched {
		if v.lives[m.Address] && !r.isSilent(now, v.at) {
			return true
		}
	}
	return false
}

// expected reports whether a router that is not heard can be taken to live until
// it has been tried: others lately heard of it. So a router that starts among
// many chooses its relays by what the first one tells it, in place of talking
// with each that it learns of.
func (r *Roster) expected(now time.Duration, m *member) bool {
	return m.Inc > 0 && !m.leaving && now-m.known < hearsayFor && (m.unanswered == 0 || now-m.unanswered < answerWithin)
}

// Live returns the addresses of the routers that live, without this one.
func (r *Roster) Live(now time.Duration) []string {
	return r.filter(func(m *member) bool { return r.lives(now, m) })
}

// Active returns the routers that live and are not about to stop, without
// this one.
func (r *Roster) Active(now time.Duration) []string {
	return r.filter(func(m *member) bool { return r.lives(now, m) && !m.leaving })
}

func (r *Roster) filter(keep func(*member) bool) []string {
	var list []string
	for address, m := range r.members {
		if keep(m) {
			list = append(list, address)
		}
	}
	slices.Sort(list)
	return list
}

// NextProbes returns the addresses of routers that are not heard and are to be
// tried now, and notes that they are: of those that should be heard, those
// that were tried longest ago.
func (r *Roster) NextProbes(now time.Duration, t Plan) []string {
	every := r.tryEvery(now)
	list := r.filter(func(m *member) bool {
		switch since := now - m.tried; {
		case r.hears(now, m) || since < every:
			return false
		case r.shouldHear(now, m, t):
			return true
		default:
			return m.seed && since >= SeedProbeInterval
		}
	})
	slices.SortStableFunc(list, func(a, b string) int {
		return cmp.Compare(r.members[a].tried, r.members[b].tried)
	})
	list = list[:min(triesEach, len(list))]
	r.relaysKnown = nil
	for _, address := range list {
		m := r.members[address]
		m.tried = now
		if m.unanswered == 0 {
			m.unanswered = now
		}
	}
	return list
}

// tryEvery returns how often a router that is not heard is tried now.
func (r *Roster) tryEvery(now time.Duration) time.Duration {
	if r.started == 0 {
		r.started = now
	}
	if now-r.started < StartupPeriod {
		return StartupProbeInterval
	}
	return ProbeInterval
}

// shouldHear reports whether this router would hear another one if it lived.
func (r *Roster) shouldHear(now time.Duration, m *member, t Plan) bool {
	switch {
	case t.Mesh, slices.Contains(t.Peers, m.Address), slices.Contains(t.RemoteRelays, m.Address):
		return true
	case !t.Relay:
		return false
	default:
		// Of other zones one that lives is heard by its relays; if none of
		// these is, any may be the way back.
		return m.Zone == r.self.Zone || !r.lives(now, m)
	}
}

// Forget drops routers that nobody has heard of for long.
func (r *Roster) Forget(now time.Duration) {
	r.relaysKnown = nil
	if now < r.pause.to+pauseGrace {
		return
	}
	maps.DeleteFunc(r.members, func(_ string, m *member) bool {
		return !m.seed && now-m.known >= ForgetAfter
	})
}

// CountRecent returns how many routers were heard of within a time, with this one.
func (r *Roster) CountRecent(now, within time.Duration) int {
	n := 1
	for _, m := range r.members {
		if m.Inc > 0 && now-m.known < within {
			n++
		}
	}
	return n
}

// KnownByZone returns how many routers are known in each zone, with this one: those
// that live, and those that fell silent and are not forgotten. Routers that said that
// they stop, or at whose address nobody listens, do not count: they are not cut off.
func (r *Roster) KnownByZone() map[string]int {
	known := map[string]int{r.self.Zone: 1}
	for _, m := range r.members {
		if m.Inc > 0 && !m.leaving && !m.ended {
			known[m.Zone]++
		}
	}
	return known
}

// Get returns what is known of a router.
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

// pauseGrace is how long a router that stood still takes, with a margin, to read what came
// meanwhile: eight routers that start hear of each other within 10 ms.
const pauseGrace = 150 * time.Millisecond

// pause is a time during which this router stood still.
type pause struct{ from, to time.Duration }

// RecordPause takes in that this router stood still for a time: it could hear nobody, which says
// nothing of the others until it has read what came meanwhile. It would else take itself for
// the only router, and for the owner of every backend server.
func (r *Roster) RecordPause(from, to time.Duration) {
	r.relaysKnown = nil
	r.pause = pause{from, to}
}

// excuses reports whether a silence since at is no sign yet: it had not lasted for long when
// this router stood still, and what came meanwhile may not have been read.
func (r *Roster) excuses(now, at time.Duration) bool {
	return now < r.pause.to+pauseGrace && r.pause.from-at < r.silentAfter()
}

// isSilent reports whether nothing came since at for too long.
func (r *Roster) isSilent(now, at time.Duration) bool {
	return now-at >= r.silentAfter() && !r.excuses(now, at)
}
