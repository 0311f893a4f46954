package admit

import (
	"math"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The owner of an engine sorts it into a speed class, which all routers use as its weight in the
// order of preference. Classes are coarse and change slowly, because a change moves prefixes to other
// engines, which have to process them again.
//
// An owner knows few engines, so that it states the class relative to the reference of the engine model.
// Each router subtracts the mean class of the service.

const (
	// maxSpeedClass bounds classes in the order to a quarter and to four times the average speed,
	// maxStatedClass those that owners state.
	maxSpeedClass  = 4
	maxStatedClass = 60
	// classesPerDoubling is the number of classes between a speed and its double.
	classesPerDoubling = 2
	// classMargin is by how many classes a speed must differ from the current class to change it.
	// At 0.5, a speed between two classes would alternate.
	classMargin = 0.75
	// classDelay is how long a speed must differ before the class changes. Phases in which an
	// engine is slow last about 0.6 s.
	classDelay = 2 * time.Second
	// minClassSamples is the number of first events from which a speed determines a class.
	minClassSamples = 20
	// classApplyInterval bounds how often changed classes of others take effect, since the cached
	// orders are then computed anew.
	classApplyInterval = time.Second
	// classRepeatInterval is the interval at which each class is reported again, for routers that
	// missed it. 64 classes take 454 bytes, so that those of 6,000 engines take 1.4 KB/s.
	classRepeatInterval = 30 * time.Second
	// maxSpeedsPerMessage bounds the classes in a message, maxRelayedSpeeds those that wait to be
	// relayed.
	maxSpeedsPerMessage = 64
	maxRelayedSpeeds    = 4096
)

// speedClass is the class of an engine according to its owner.
type speedClass struct {
	class int8
	// known says that an owner stated the class.
	known bool
	// differsSince is since when the speed is that of another class, 0 if it is not.
	differsSince time.Duration
	// reportedAt is when the class was last reported.
	reportedAt time.Duration
}

// observe updates the class to a speed relative to the reference, and reports whether it changed. The
// first speed determines the class at once.
func (k *speedClass) observe(now time.Duration, speed float64) bool {
	if !(speed > 0) {
		return false
	}
	exact := min(max(classesPerDoubling*math.Log2(speed), -maxStatedClass), maxStatedClass)
	if !k.known {
		k.known, k.class = true, int8(math.Round(exact))
		return true
	}
	if math.Abs(exact-float64(k.class)) <= classMargin {
		k.differsSince = 0
		return false
	}
	if k.differsSince == 0 {
		k.differsSince = now
	}
	if now-k.differsSince < classDelay {
		return false
	}
	k.class, k.differsSince = int8(math.Round(exact)), 0
	return true
}

// classWeight returns the weight of a class in the order of preference.
func classWeight(class int8) float64 { return classWeights[class+maxSpeedClass] }

var classWeights = func() (weights [2*maxSpeedClass + 1]float64) {
	for i := range weights {
		weights[i] = math.Pow(2, float64(i-maxSpeedClass)/classesPerDoubling)
	}
	return weights
}()

// SpeedClassChanged is an action: the owner of a backend server, this router, changed its speed class.
type SpeedClassChanged struct {
	Backend string
	// Class is the new class, Speed the speed relative to the reference of the engine model.
	Class int8
	Speed float64
}

func (SpeedClassChanged) action() {}

// speed returns the usual speed of a backend server relative to the reference of the engine model, and
// whether it is known from enough samples. Otherwise the class stays the one that a former owner
// reported.
func (s *server) speed(now time.Duration) (speed float64, known bool) {
	state := s.engine.State(now)
	return state.Speed, state.Samples >= minClassSamples
}

// updateSpeedClasses updates the classes of the engines that this router owns, and applies those that
// other routers reported.
func (c *Core) updateSpeedClasses() {
	for _, s := range c.ownedServers {
		if s.owner != c.opt.self.Address || !c.serviceOf(s).engine {
			continue
		}
		if speed, known := s.speed(c.now); known && s.speedClass.observe(c.now, speed) {
			c.speeds.changed = true
			c.emit(SpeedClassChanged{Backend: s.Name, Class: s.speedClass.class, Speed: speed})
			c.reportSpeed(s)
		}
	}
	if !c.speeds.changed || c.now-c.speeds.appliedAt < classApplyInterval {
		return
	}
	c.speeds.changed, c.speeds.appliedAt = false, c.now
	for _, svc := range c.services {
		svc.applySpeedClasses()
	}
}

// applySpeedClasses lets changed classes take effect in the orders of preference.
func (svc *service) applySpeedClasses() {
	sum, known := 0, 0
	for _, s := range svc.servers {
		if s.speedClass.known {
			sum += int(s.speedClass.class)
			known++
		}
	}
	if known == 0 {
		return
	}
	if mean := float64(sum) / float64(known); math.Abs(mean-float64(svc.meanClass)) > classMargin {
		svc.meanClass = int8(math.Round(mean))
	}
	changed := false
	for _, s := range svc.servers {
		class := int8(0)
		if s.speedClass.known {
			class = min(max(s.speedClass.class-svc.meanClass, -maxSpeedClass), maxSpeedClass)
		}
		if s.orderClass != class {
			s.orderClass, changed = class, true
		}
	}
	if changed {
		svc.forgetOrders()
	}
}

// speedReports are the classes to report, and when they last took effect.
type speedReports struct {
	changed   bool
	appliedAt time.Duration
	// own are classes that this router determined, zone and remote those to be relayed from
	// routers of this zone and of others.
	own, zone, remote []wire.ServerSpeed
	// unlisted are classes of backend servers that the table does not list yet, which a router that
	// starts may hear of first.
	unlisted map[wire.NameHash]int8
}

// speedOfNew returns the class that was reported for a backend server before the table listed it.
func (r *speedReports) speedOfNew(key wire.NameHash) speedClass {
	class, ok := r.unlisted[key]
	if !ok {
		return speedClass{}
	}
	delete(r.unlisted, key)
	r.changed = true
	return speedClass{class: class, known: true}
}

func (r *speedReports) addUnlisted(x wire.ServerSpeed) {
	if r.unlisted == nil {
		r.unlisted = map[wire.NameHash]int8{}
	}
	if len(r.unlisted) < maxRelayedSpeeds {
		r.unlisted[x.Server] = x.Class
	}
}

// reportSpeed reports a class with the next snapshot.
func (c *Core) reportSpeed(s *server) {
	s.speedClass.reportedAt = c.now
	c.speeds.own = addSpeed(c.speeds.own, wire.ServerSpeed{Server: s.key, Class: s.speedClass.class})
}

// addSpeed adds a class in place of an earlier one of the same server.
func addSpeed(list []wire.ServerSpeed, x wire.ServerSpeed) []wire.ServerSpeed {
	if i := slices.IndexFunc(list, func(y wire.ServerSpeed) bool { return y.Server == x.Server }); i >= 0 {
		list[i] = x
		return list
	}
	if len(list) >= maxRelayedSpeeds {
		return list
	}
	return append(list, x)
}

// repeatSpeeds reports the classes again that were not reported for classRepeatInterval.
func (c *Core) repeatSpeeds() {
	for _, s := range c.ownedServers {
		if len(c.speeds.own) >= maxSpeedsPerMessage {
			return
		}
		k := &s.speedClass
		if s.owner == c.opt.self.Address && k.known && c.now-k.reportedAt >= classRepeatInterval {
			c.reportSpeed(s)
		}
	}
}

// PeerSpeeds is another router's report of speed classes.
type PeerSpeeds struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.ServerSpeeds
}

func (e PeerSpeeds) apply(c *Core) {
	relayed := &c.speeds.remote
	if e.Zone == c.opt.self.Zone {
		relayed = &c.speeds.zone
	}
	for _, x := range e.Msg.Speeds {
		x.Class = min(max(x.Class, -maxStatedClass), maxStatedClass)
		s, ok := c.servers[x.Server]
		switch {
		case !ok:
			c.speeds.addUnlisted(x)
		case s.owner == c.opt.self.Address && s.speedClass.known && c.now-s.ownedSince >= classRepeatInterval:
			// A report of a former owner.
			continue
		default:
			c.setReportedClass(s, x.Class)
		}
		*relayed = addSpeed(*relayed, x)
	}
}

func (c *Core) setReportedClass(s *server, class int8) {
	k := &s.speedClass
	if !k.known || k.class != class {
		k.known, k.class, k.differsSince = true, class, 0
		c.speeds.changed = true
	}
	k.reportedAt = c.now
}

// SpeedClasses returns the known classes, for a router that has just started: of all engines, or only
// of those that this router owns.
func (c *Core) SpeedClasses(ownedOnly bool) []wire.ServerSpeed {
	var list []wire.ServerSpeed
	for _, s := range c.sortedServers {
		if s.speedClass.known && (!ownedOnly || s.owner == c.opt.self.Address) {
			list = append(list, wire.ServerSpeed{Server: s.key, Class: s.speedClass.class})
		}
	}
	return list
}

// Uneven returns the number of backend servers whose speed class is not the average one.
func (c *Core) Uneven() int {
	n := 0
	for _, s := range c.sortedServers {
		if s.orderClass != 0 && s.isListed {
			n++
		}
	}
	return n
}

// takeSpeeds moves the classes for one message out of a list.
func takeSpeeds(list *[]wire.ServerSpeed) []wire.ServerSpeed {
	n := min(len(*list), maxSpeedsPerMessage)
	taken := slices.Clone((*list)[:n])
	*list = slices.Delete(*list, 0, n)
	return taken
}

// Speeds returns the classes that this router reports about its own engines.
func (s *Snapshot) Speeds() []wire.ServerSpeed { return s.speeds }

// ZoneSpeeds returns the classes of engines of this zone, for relays of other zones.
func (s *Snapshot) ZoneSpeeds() []wire.ServerSpeed { return slices.Concat(s.speeds, s.zoneSpeeds) }

// AllSpeeds returns the classes of all engines, for routers of this zone.
func (s *Snapshot) AllSpeeds() []wire.ServerSpeed {
	return slices.Concat(s.speeds, s.zoneSpeeds, s.remoteSpeeds)
}

// SpeedMessages divides classes into messages.
func SpeedMessages(speeds []wire.ServerSpeed) []*wire.ServerSpeeds {
	var messages []*wire.ServerSpeeds
	for part := range slices.Chunk(speeds, maxSpeedsPerMessage) {
		messages = append(messages, &wire.ServerSpeeds{Speeds: part})
	}
	return messages
}
