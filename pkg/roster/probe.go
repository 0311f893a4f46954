package roster

import (
	"cmp"
	"slices"
	"time"
)

// Intervals of probes.
const (
	// ProbeInterval is the time between probes of a silent router.
	ProbeInterval = time.Second
	// StartupProbeInterval replaces ProbeInterval for StartupPeriod after this router's start.
	// If the whole fleet restarts, the routers must find each other quickly: a router that
	// knows of no others owns every backend server.
	StartupProbeInterval = 250 * time.Millisecond
	StartupPeriod        = 10 * time.Second
	// SeedProbeInterval is the time between probes of a seed that this router need not hear
	// from.
	SeedProbeInterval = 15 * time.Second
	// maxProbes bounds the routers probed at once, maxLostProbes those that a router probes that
	// knows a large fleet and hears few of it: each replies with all that it knows.
	maxProbes     = 8
	maxLostProbes = 2
)

// NextProbes returns the addresses of the silent routers to probe now, those probed longest
// ago first, and records the probes.
func (r *Roster) NextProbes(now time.Duration, p Plan) []string {
	interval := r.probeInterval(now)
	var silent []*member
	for _, m := range r.inOrder() {
		if since := now - m.probedAt; r.isDirect(now, m) || since < interval {
			continue
		}
		if r.shouldReceive(now, m, p) || m.seed && now-m.probedAt >= SeedProbeInterval {
			silent = append(silent, m)
		}
	}
	slices.SortStableFunc(silent, func(a, b *member) int { return cmp.Compare(a.probedAt, b.probedAt) })
	var list []string
	limit := maxProbes
	if r.HearsFew(p) {
		limit = maxLostProbes
	}
	for _, m := range silent[:min(limit, len(silent))] {
		list = append(list, m.Address)
		m.probedAt = now
		if m.unansweredSince == 0 {
			m.unansweredSince = now
			r.cached = nil
		}
	}
	return list
}

// HearsFew reports whether this router knows a fleet too large for a mesh, but hears only few of it.
func (r *Roster) HearsFew(p Plan) bool { return p.Mesh && len(r.members) >= maxMeshSize }

// probeInterval returns the current time between probes of a silent router.
func (r *Roster) probeInterval(now time.Duration) time.Duration {
	if r.startedAt == 0 {
		r.startedAt = now
	}
	if now-r.startedAt < StartupPeriod {
		return StartupProbeInterval
	}
	return ProbeInterval
}

// shouldReceive reports whether this router would receive messages from m if m were alive.
func (r *Roster) shouldReceive(now time.Duration, m *member, p Plan) bool {
	switch {
	case p.Mesh, slices.Contains(p.Peers, m.Address), slices.Contains(p.RemoteRelays, m.Address):
		return true
	case !p.Relay:
		return false
	default:
		// The relays of another zone receive messages from its members. If this router knows
		// of no relay that does, any member of the zone may restore the connection.
		return m.Zone == r.self.Zone || !r.isAlive(now, m)
	}
}
