package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relayReport is what a relay last reported about who is alive.
type relayReport struct {
	// digest is the relay's digest of the report.
	digest uint64
	// confirmedAt is when the relay last sent or confirmed the report.
	confirmedAt time.Duration
	alive       map[string]bool
	// includesIndirect says that alive contains all members that the relay reports alive, not
	// only those from which it receives messages itself.
	includesIndirect bool
}

// MemberInfo is what a report says about one router.
type MemberInfo struct {
	Member
	// LastSeenAgo is how long ago any router last heard from it.
	LastSeenAgo time.Duration
	// Alive says that the sender counts it as alive, Direct that the sender receives messages
	// from it.
	Alive, Direct bool
	Leaving       bool
}

// Report is what a router sends another one about the members that it knows.
type Report struct {
	// Digest is the sender's digest of the members that it counts as alive.
	Digest uint64
	// Base is the digest of the report that this one changes, 0 for a full report.
	Base    uint64
	Members []MemberInfo
}

// ApplyReport applies another router's report. Members that a relay reports alive count as
// alive. A relay itself accepts only those with which other relays are in direct contact:
// otherwise two relays could keep a lost router alive through each other's reports.
// ApplyReport returns false if the report changes one that is not known here. The caller then
// needs a full report.
func (r *Roster) ApplyReport(now time.Duration, from string, report Report) bool {
	isRelay, indirect := r.isRelay(now, from), r.acceptsIndirect(now, from)
	defer func() { r.cached = nil }()
	alive := map[string]bool{}
	prev, ok := r.reports[from]
	applies := report.Base == 0 || ok && prev.digest == report.Base && prev.includesIndirect == indirect
	if report.Base != 0 && applies {
		alive = prev.alive
	}
	for _, info := range report.Members {
		if info.Address == r.self.Address {
			r.recordIncarnation(info.Incarnation)
			continue
		}
		if info.LastSeenAgo >= ForgetAfter {
			continue
		}
		m := r.mergeMember(now, info)
		delete(alive, info.Address)
		if info.Incarnation == m.Incarnation && info.Alive && isRelay && (indirect || info.Direct) {
			alive[info.Address] = true
			m.leaving = m.leaving || info.Leaving
		}
	}
	switch {
	case !isRelay:
		delete(r.reports, from)
	case applies:
		r.reports[from] = &relayReport{digest: report.Digest, confirmedAt: now, alive: alive, includesIndirect: indirect}
	}
	return applies || !isRelay
}

// recordIncarnation records which incarnation of this router another one knows.
func (r *Roster) recordIncarnation(inc uint64) {
	if inc > r.self.Incarnation {
		r.higherIncarnation = max(r.higherIncarnation, inc)
	}
}

// acceptsIndirect reports whether this router accepts everything that another one reports
// alive: the other one is a relay of its zone, and this router is not.
func (r *Roster) acceptsIndirect(now time.Duration, from string) bool {
	m, ok := r.Get(from)
	return ok && m.Zone == r.self.Zone && r.isRelay(now, from) && !r.isRelay(now, r.self.Address)
}

// mergeMember applies what another router reports about a member.
func (r *Roster) mergeMember(now time.Duration, info MemberInfo) *member {
	m := r.getOrAdd(now, info.Address)
	m.lastSeen = max(m.lastSeen, now-info.LastSeenAgo)
	if info.Incarnation > m.Incarnation {
		m.leaving, m.unansweredSince = false, 0
	}
	if info.Incarnation >= m.Incarnation && (m.lastReceived == 0 || info.Incarnation > m.Incarnation) {
		m.set(info.Member)
	}
	if info.Incarnation == m.Incarnation && info.Capacity > 0 && info.Capacity != m.Capacity {
		m.Capacity = info.Capacity
		m.relayScore = relayScore(&m.Member)
	}
	return m
}

// ConfirmReport records that a relay confirms its report with the given digest. It returns
// false if a full report is needed: the report is unknown here, or one of the two routers has
// become or ceased to be a relay since it was applied.
func (r *Roster) ConfirmReport(now time.Duration, relay string, digest uint64) bool {
	report, ok := r.reports[relay]
	if !ok {
		return !r.isRelay(now, relay)
	}
	if report.digest == digest {
		if r.isSilent(now, report.confirmedAt) {
			r.cached = nil
		}
		report.confirmedAt = now
	}
	return report.digest == digest && report.includesIndirect == r.acceptsIndirect(now, relay)
}

// removeFromReports removes a router from all reports of who is alive.
func (r *Roster) removeFromReports(address string) {
	for _, report := range r.reports {
		delete(report.alive, address)
	}
	r.cached = nil
}

// Members returns this router and those heard from within ForgetAfter. In other zones, only
// relays can be Direct: contact with other routers there comes and goes with their requests
// for slots, and their own relays report them.
func (r *Roster) Members(now time.Duration) []MemberInfo {
	list := []MemberInfo{{Member: r.self, Alive: true, Direct: true}}
	relays := r.relays(now)
	for _, m := range r.inOrder() {
		isAlive := r.isAlive(now, m)
		if m.Incarnation == 0 || !isAlive && now-m.lastSeen >= ForgetAfter {
			continue
		}
		info := MemberInfo{Member: m.Member, LastSeenAgo: now - m.lastSeen, Alive: isAlive, Leaving: m.leaving}
		info.Direct = r.isDirect(now, m) && (m.Zone == r.self.Zone || slices.Contains(relays[m.Zone], m.Address))
		if info.Alive {
			info.LastSeenAgo = 0
		}
		list = append(list, info)
	}
	return list
}

// Digest returns the digest of the members that this router counts as alive.
func (r *Roster) Digest(now time.Duration) uint64 {
	v := r.view(now)
	if v.digest == 0 {
		v.digest = digestOf(r.Members(now))
	}
	return v.digest
}

// digestOf returns the digest of a list of all members.
func digestOf(list []MemberInfo) uint64 {
	digest := uint64(0)
	for _, info := range list {
		if info.Alive {
			// A sum does not depend on the order.
			digest += info.Digest()
		}
	}
	return digest
}

// Digest returns a hash of everything but Name, Zone, Capacity and LastSeenAgo.
func (info *MemberInfo) Digest() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(info.Incarnation)
	_, _ = d.WriteString(info.Address)
	var flags [3]byte
	for i, flag := range []bool{info.Alive, info.Direct, info.Leaving} {
		if flag {
			flags[i] = 1
		}
	}
	_, _ = d.Write(flags[:])
	return d.Sum64()
}
