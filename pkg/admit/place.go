package admit

import "time"

const (
	// targetPart of what is left of its target is what a request's first
	// event may be predicted to take where it is given a place; the rest is
	// for what was not foreseen.
	targetPart = 0.8
	// aheadPart of the shortest target of a service is what may be ahead of any
	// of its requests: more would leave no place to those with that target, less
	// leaves engines idle (worth 0.681 at 0.6 and 0.672 at 0.4, mean of five loaded
	// days at 8 routers).
	aheadPart = 0.6
	// freshFor is for how long after its start an owner gives only one place at a
	// time at each engine: until all routers have heard of each other, several
	// take themselves for its owner, and what earlier ones sent may still run.
	// heardFor is how long it takes from the first that is heard until all are,
	// with a margin: eight routers took 10 ms, each lost packet adds 100 ms. A
	// second without any other means that this one is alone.
	freshFor = time.Second
	heardFor = 250 * time.Millisecond
	// behindPart of its target is what a long prompt, whose own reading takes
	// longer than that, may wait behind others.
	behindPart = 0.25
	// queueAtService is how many requests for each slot a plain service may
	// have, since it has a queue of its own: who waits there for one and a half times
	// as long as a request takes is answered in time where the target is five times
	// that, and who is refused comes back late.
	queueAtService = 2.5
	// spillPart of what it may use otherwise is left to a request that goes
	// where its shared parts must be read again: only where one backend server
	// is much less busy than another is that worth its while.
	spillPart = 0.5
	// slotsBeside is how much more of the slots than of its target an account
	// beyond its share may use.
	slotsBeside = 0.25
)

// fresh reports whether this router has started so lately that it may not have
// heard of all others.
func (c *Core) fresh() bool {
	if c.now-c.started >= freshFor {
		return false
	}
	return c.joined == 0 || c.now-c.joined < heardFor
}

// hasPlace reports whether a request can be started at a backend server now.
func (c *Core) hasPlace(sv *service, s *server, a *asking, toRead int64) bool {
	o := c.ownedOf(s)
	if s.isWarming(c.now) && !c.mayGiveWarming(s) {
		return false
	}
	if o.isApart(c.now) {
		return false
	}
	if c.weights != nil {
		return c.hasSlot(s)
	}
	if !sv.engine {
		return float64(o.running) < float64(s.Slots)*queueAtService
	}
	if a.MayHaveRun {
		return o.running < s.Slots
	}
	part := c.partFor(a.Account)
	if a.Spill {
		part *= spillPart
	}
	if float64(o.running) >= float64(s.Slots)*min(1, part+slotsBeside) {
		return false
	}
	if c.fresh() {
		return o.unread == 0
	}
	if o.unread == 0 && (!a.Spill || a.CopyPrefix) && (part == 1 || o.running < s.Slots/2) {
		// Waiting would not help, and only what is sent tells how fast it is.
		return true
	}
	return c.beginsInTime(sv, s, a, toRead, part) || c.isLongAndNext(sv, s, a, toRead, part)
}

// beginsInTime reports whether a request's first event is predicted to come
// within a part of what is left of its target.
func (c *Core) beginsInTime(sv *service, s *server, a *asking, toRead int64, part float64) bool {
	left := (a.due - c.now).Seconds()
	ahead := s.owned.unread
	if c.wantsMore(a.Account) {
		// What it leaves behind counts too, so that others find a place at once.
		ahead += toRead
	}
	if s.health.slowness()*sv.latency.slope()*float64(ahead) > aheadPart*sv.shortest.get(c.now).Seconds() {
		return false
	}
	expected := s.health.slowness() * sv.latency.predict(s.owned.unread+toRead).Seconds()
	return expected <= targetPart*part*left
}

// isLongAndNext reports whether a prompt takes so long to read that it cannot
// be in time anywhere, but waits for little else here.
func (c *Core) isLongAndNext(sv *service, s *server, a *asking, toRead int64, part float64) bool {
	most := behindPart * (time.Duration(a.TargetMillis) * time.Millisecond).Seconds()
	behind := s.health.slowness() * sv.latency.slope() * float64(s.owned.unread)
	return behind <= part*most && sv.latency.slope()*float64(toRead) > most
}
