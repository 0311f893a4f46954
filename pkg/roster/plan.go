package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

const (
	// maxMeshSize is the largest fleet in which all routers exchange messages with each other.
	maxMeshSize   = 12
	relaysPerZone = 2
	// relayKey is the rendezvous hashing key for the choice of relays.
	relayKey = "relay"
)

// Plan says with which routers this one exchanges messages.
type Plan struct {
	// Mesh says that all routers exchange messages with each other.
	Mesh bool
	// Relay says that this router is a relay of its zone, Primary that it is the one that
	// sends the zone's totals to other zones.
	Relay, Primary bool
	// Peers are all other routers in a mesh, else the relays of the zone.
	Peers []string
	// Served are the other routers of the zone, if this router is a relay.
	Served []string
	// RemoteRelays are the relays of other zones, if this router is a relay.
	RemoteRelays []string
	// Interval is the time between messages.
	Interval time.Duration
}

// Plan returns the plan for the members that are alive now. Its lists must not be modified.
func (r *Roster) Plan(now time.Duration) Plan { return r.view(now).plan }

// planFor computes the plan for the members that count as reachable, in order of address.
func (r *Roster) planFor(reachable []*member, relays map[string][]string) Plan {
	if len(reachable) < maxMeshSize {
		p := Plan{Mesh: true, Interval: minInterval}
		for _, m := range reachable {
			p.Peers = append(p.Peers, m.Address)
		}
		return p
	}
	p := Plan{}
	for _, m := range reachable {
		switch isRelay := slices.Contains(relays[m.Zone], m.Address); {
		case m.Zone == r.self.Zone && isRelay:
			p.Peers = append(p.Peers, m.Address)
		case m.Zone == r.self.Zone:
			p.Served = append(p.Served, m.Address)
		case isRelay:
			p.RemoteRelays = append(p.RemoteRelays, m.Address)
		}
	}
	own := relays[r.self.Zone]
	p.Relay = slices.Contains(own, r.self.Address)
	p.Primary = p.Relay && own[0] == r.self.Address
	// All routers of a zone compute the same interval.
	p.Interval = min(max(minInterval, time.Duration(len(p.Peers)+len(p.Served)+len(p.RemoteRelays))*intervalPerMember), maxInterval)
	if !p.Relay {
		p.Served, p.RemoteRelays = nil, nil
	}
	return p
}

// relayScore is the weighted rendezvous score by which the relays of a zone are chosen.
func relayScore(m *Member) float64 { return rendezvous.Score(relayKey, m.Address, m.capacity()) }

// relays returns the relays of each zone, the primary one first.
func (r *Roster) relays(now time.Duration) map[string][]string { return r.view(now).relays }

// relayCandidates collects the best candidates of each zone.
type relayCandidates map[string][]relayCandidate

type relayCandidate struct {
	address string
	score   float64
}

// add adds a member of a zone.
func (c relayCandidates) add(m *Member, score float64) {
	list := c[m.Zone]
	at, _ := slices.BinarySearchFunc(list, relayCandidate{m.Address, score}, func(a, b relayCandidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
	})
	if at >= relaysPerZone {
		return
	}
	list = slices.Insert(list, at, relayCandidate{m.Address, score})
	c[m.Zone] = list[:min(relaysPerZone, len(list))]
}

// addLeaving adds routers that are leaving, in all zones or only in those that have no other candidate.
func (c relayCandidates) addLeaving(members []*member, inAllZones bool) {
	alone := map[string]bool{}
	for _, m := range members {
		if _, ok := c[m.Zone]; !ok {
			alone[m.Zone] = true
		}
	}
	for _, m := range members {
		if inAllZones || alone[m.Zone] {
			c.add(&m.Member, m.relayScore)
		}
	}
}

// addresses returns the relays of each zone.
func (c relayCandidates) addresses() map[string][]string {
	relays := make(map[string][]string, len(c))
	for zone, list := range c {
		for _, x := range list {
			relays[zone] = append(relays[zone], x.address)
		}
	}
	return relays
}

// isRelay reports whether this router counts another one as a relay.
func (r *Roster) isRelay(now time.Duration, address string) bool {
	m, ok := r.Get(address)
	return ok && slices.Contains(r.relays(now)[m.Zone], address)
}

// PrimaryRelay returns the relay that sends a zone's totals, "" if the zone has none.
func (r *Roster) PrimaryRelay(now time.Duration, zone string) string {
	if list := r.relays(now)[zone]; len(list) > 0 {
		return list[0]
	}
	return ""
}
