package roster

import "time"

// view is what a roster concludes about its members. Computing it takes time that grows with the
// fleet, so it is kept until an event may change it, or until a silence may have lasted too long. A
// message from a router that this one already receives messages from changes nothing.
type view struct {
	// computedAt and validUntil bound the times at which it holds.
	computedAt, validUntil time.Duration
	// version is different for every view of a roster.
	version uint64
	// live and staying are the addresses of the other routers that are alive, and of those that are not
	// leaving. active are those that others rely on: live if most routers leave, else staying.
	live, staying, active []string
	relays                map[string][]string
	plan                  Plan
	// digest is the digest of the members, 0 before it is needed.
	digest uint64
}

// Work counts what a roster has computed since its creation.
type Work struct {
	// Views is the number of computed views, Visited the number of members examined for them.
	Views, Visited int
	// Sorted is the number of members sorted.
	Sorted int
}

// Work returns the current counts.
func (r *Roster) Work() Work { return r.work }

// Version returns a number that changes whenever the lists of routers may have changed.
func (r *Roster) Version(now time.Duration) uint64 { return r.view(now).version }

// view returns the view at a time.
func (r *Roster) view(now time.Duration) *view {
	if v := r.cached; v != nil && v.computedAt <= now && now < v.validUntil {
		return v
	}
	r.work.Views++
	r.work.Visited += len(r.members)
	v := &view{computedAt: now, validUntil: now + ForgetAfter, version: uint64(r.work.Views)}
	if now < r.pause.to+pauseGrace {
		v.expireAt(r.pause.to + pauseGrace)
	}
	for _, report := range r.reports {
		if !r.isSilent(now, report.confirmedAt) {
			v.expireAt(report.confirmedAt + r.silenceTimeout())
		}
	}
	relays := relayCandidates{}
	relays.add(&r.self, relayScore(&r.self))
	var reachable, leaving []*member
	for _, m := range r.inOrder() {
		if !r.addToView(v, m) {
			continue
		}
		reachable = append(reachable, m)
		if m.leaving {
			leaving = append(leaving, m)
		} else {
			relays.add(&m.Member, m.relayScore)
		}
	}
	v.active = v.staying
	if r.mostLeave(v) {
		v.active = v.live
	}
	relays.addLeaving(leaving, r.mostLeave(v))
	v.relays = relays.addresses()
	v.plan = r.planFor(reachable, v.relays)
	r.cached = v
	if r.interval != v.plan.Interval {
		// Silence is measured in intervals.
		r.interval = v.plan.Interval
		v.validUntil = now
	}
	return v
}

// addToView adds a member to the lists of a view, and reports whether the plan includes it.
func (r *Roster) addToView(v *view, m *member) bool {
	now := v.computedAt
	if r.isDirect(now, m) {
		v.expireAt(m.lastReceived + r.silenceTimeout())
	}
	if r.isAlive(now, m) {
		if now >= r.pause.to+pauseGrace {
			m.aliveAt = now
		}
		v.live = append(v.live, m.Address)
		if !m.leaving {
			v.staying = append(v.staying, m.Address)
		}
		return true
	}
	if !r.isExpected(now, m) {
		return false
	}
	v.expireAt(m.lastSeen + r.expectedFor())
	if m.unansweredSince > 0 {
		v.expireAt(m.unansweredSince + probeTimeout)
	}
	return true
}

// mostLeave reports whether more than half of the routers that are alive, with this one, are leaving. The
// rest could not do the work of all, and would change with every router that leaves.
func (r *Roster) mostLeave(v *view) bool {
	staying := len(v.staying)
	if !r.leaving {
		staying++
	}
	return 2*staying < len(v.live)+1
}

// expireAt limits the time until which a view holds.
func (v *view) expireAt(at time.Duration) {
	if at > v.computedAt {
		v.validUntil = min(v.validUntil, at)
	}
}
