package admit

import (
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The capacity of the fleet's engines is known to their owners. Each router sums up what its own
// engines can do and what is unused of it; relays report the sums of their zones like the flows of
// accounts. Engines whose owners report nothing are unknown, neither busy nor idle.

// engineCapacity is what some engines can do, in prompt tokens per second.
type engineCapacity struct {
	// total is the sum of their read rates, free the unused part.
	total, free float64
	// owners is the number of routers whose engines are included.
	owners int
	// age is the age of the oldest part.
	age time.Duration
}

func (x *engineCapacity) add(y engineCapacity) {
	x.total += y.total
	x.free += y.free
	x.owners += y.owners
	x.age = max(x.age, y.age)
}

// capacityReport is the last report of a source.
type capacityReport struct {
	receivedAt time.Duration
	capacity   engineCapacity
}

// at returns the reported capacity with its age at a time.
func (r *capacityReport) at(now time.Duration) engineCapacity {
	x := r.capacity
	x.age += max(0, now-r.receivedAt)
	return x
}

// PeerCapacity is another router's report of the capacity of a scope. It expires like the PeerState
// of the same scope.
type PeerCapacity struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.CapacityReport
}

func (e PeerCapacity) apply(c *Core) {
	if e.Msg.Scope == wire.ScopeNone {
		return
	}
	c.fleet.reports[sourceOf(e.Msg.Scope, e.From, e.Zone)] = &capacityReport{receivedAt: c.now, capacity: engineCapacity{
		total: float64(e.Msg.Total), free: float64(min(e.Msg.Free, e.Msg.Total)), owners: int(e.Msg.Owners),
		age: time.Duration(max(0, e.Msg.AgeMillis)) * time.Millisecond,
	}}
}

// fleetCapacity is what this router knows of the capacity of all engines.
type fleetCapacity struct {
	core    *Core
	reports map[reportSource]*capacityReport
	// engines are the open engines that this router owns, knownOwners the number of routers that
	// own open engines. They are recomputed if isStale is set.
	engines     []*server
	knownOwners int
	// openEngines is the number of open engines of all owners.
	openEngines int
	isStale     bool
	// average is the mean read rate of an engine as of averageAt, 0 if it is unknown.
	average   float64
	averageAt time.Duration
	shortage  shortage
}

func newFleetCapacity(c *Core) *fleetCapacity {
	return &fleetCapacity{core: c, reports: map[reportSource]*capacityReport{}, isStale: true}
}

// invalidate marks the lists of engines and owners as out of date, after a change of the table or of
// the routers.
func (f *fleetCapacity) invalidate() { f.isStale = true }

// refresh recomputes the lists of engines and owners if they are out of date.
func (f *fleetCapacity) refresh() {
	if !f.isStale {
		return
	}
	f.isStale = false
	f.engines, f.openEngines = f.engines[:0], 0
	owners := map[string]bool{}
	c := f.core
	for _, s := range c.sortedServers {
		if !s.isListed || !s.isOpen() || c.unreachableZones[s.Zone] || !c.serviceOf(s).engine {
			continue
		}
		owners[s.owner] = true
		f.openEngines++
		if s.owner == c.opt.self.Address {
			f.engines = append(f.engines, s)
		}
	}
	f.knownOwners = len(owners)
}

// own returns the capacity of this router's engines.
func (f *fleetCapacity) own(now time.Duration) engineCapacity {
	f.refresh()
	x := engineCapacity{}
	for _, s := range f.engines {
		rate := f.core.readRate(s)
		free, isKnown := f.core.spareFraction(s, rate, now)
		if !isKnown || !s.isOpen() {
			continue
		}
		x.owners = 1
		x.total += rate
		x.free += free * rate
	}
	return x
}

// known returns the capacity of all engines that are known.
func (f *fleetCapacity) known(now time.Duration) engineCapacity {
	x := f.own(now)
	for _, r := range f.reports {
		x.add(r.at(now))
	}
	return x
}

// drop removes the report of a source.
func (f *fleetCapacity) drop(source reportSource) { delete(f.reports, source) }

// expire removes the reports that have reached an age.
func (f *fleetCapacity) expire(now, ttl time.Duration) {
	for source, r := range f.reports {
		if now-r.receivedAt >= ttl {
			delete(f.reports, source)
		}
	}
}

// readRate returns how many prompt tokens per second an engine processes if it does nothing else.
func (c *Core) readRate(s *server) float64 {
	return s.engine.ReadRate(c.now)
}

// averageReadRate returns the mean read rate of the engines in the fleet, or that of the engines that
// this router knows itself if too few owners report theirs. A router may own slow engines only.
func (c *Core) averageReadRate(svc *service) float64 {
	f := c.fleet
	if f.averageAt == 0 || c.now-f.averageAt >= fairShareInterval {
		f.averageAt, f.average = c.now, 0
		if x := f.known(c.now); f.knownOwners > 0 && 2*x.owners >= f.knownOwners {
			f.average = x.total * float64(f.knownOwners) / float64(x.owners*f.openEngines)
		}
	}
	if f.average > 0 {
		return f.average
	}
	return svc.average.ReadRate(c.now)
}

// spareFraction returns the fraction of an engine's read rate that is unused: the least of its idle
// time, its free slots and its free memory. It is not known for idleWindow after a change of the owner or a pause of
// this process, during a warm-up, and while requests fail there.
func (c *Core) spareFraction(s *server, rate float64, now time.Duration) (fraction float64, isKnown bool) {
	if now-max(s.ownedSince, c.pause.to) < idleWindow || s.isWarming(now) {
		return 0, false
	}
	o := s.owned
	if o == nil {
		return 1, true
	}
	if o.health.isFailing(now) {
		return 0, false
	}
	backlog := time.Duration(float64(max(0, c.unread(s)-o.prefillBehindCopies)) / rate * float64(time.Second))
	fraction = o.idleTime.idleFraction(now, backlog)
	if s.Slots > 0 {
		fraction = min(fraction, max(0, 1-float64(o.running)/float64(o.pauses.value(s.Slots, now))))
	}
	if capacity := c.serviceOf(s).cacheTokens; capacity > 0 {
		fraction = min(fraction, max(0, 1-float64(o.memory.tokens)/float64(capacity)))
	}
	return fraction, true
}

// recordReading records whether the engine has prompt tokens to process. It goes on with other prompts
// while it copies the prefix of one, and is idle if there are none.
func (o *ownerState) recordReading() { o.idleTime.set(*o.clock, o.prefill > o.prefillBehindCopies) }

// Capacity returns the report of the capacity of a scope for a receiver, nil if none is known.
func (s *Snapshot) Capacity(scope wire.Scope, receiver string) *wire.CapacityReport {
	f, x := s.core.fleet, s.capacity
	for source, r := range f.reports {
		if s.core.includesSource(source, scope, receiver) {
			x.add(r.at(s.now))
		}
	}
	if scope == wire.ScopeNone || x.owners == 0 {
		return nil
	}
	return &wire.CapacityReport{
		Scope: scope, Total: clampToUint32(x.total), Free: clampToUint32(x.free), Owners: uint32(x.owners), AgeMillis: x.age.Milliseconds(),
	}
}

func clampToUint32(x float64) uint32 { return uint32(min(max(0, x), math.MaxUint32)) }
