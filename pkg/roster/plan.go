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

// Plan computes the plan for the members that are alive now.
func (r *Roster) Plan(now time.Duration) Plan {
	live := r.filter(func(m *member) bool { return r.isAlive(now, m) || r.isExpected(now, m) })
	if len(live) < maxMeshSize {
		r.interval = minInterval
		return Plan{Mesh: true, Peers: live, Interval: minInterval}
	}
	relays := r.relays(now)
	p := Plan{}
	for _, address := range live {
		m := r.members[address]
		switch isRelay := slices.Contains(relays[m.Zone], address); {
		case m.Zone == r.self.Zone && isRelay:
			p.Peers = append(p.Peers, address)
		case m.Zone == r.self.Zone:
			p.Served = append(p.Served, address)
		case isRelay:
			p.RemoteRelays = append(p.RemoteRelays, address)
		}
	}
	own := relays[r.self.Zone]
	p.Relay = slices.Contains(own, r.self.Address)
	p.Primary = p.Relay && own[0] == r.self.Address
	// All routers of a zone compute the same interval.
	r.interval = min(max(minInterval, time.Duration(len(p.Peers)+len(p.Served)+len(p.RemoteRelays))*intervalPerMember), maxInterval)
	if !p.Relay {
		p.Served, p.RemoteRelays = nil, nil
	}
	p.Interval = r.interval
	return p
}

// relays returns the relays of each zone, the primary one first. It caches the result, since
// handling one message needs it several times.
func (r *Roster) relays(now time.Duration) map[string][]string {
	if r.relayCache == nil || r.relayCacheAt != now {
		r.relayCache, r.relayCacheAt = r.selectRelays(now), now
	}
	return r.relayCache
}

// selectRelays chooses the relays of each zone by weighted rendezvous hashing.
func (r *Roster) selectRelays(now time.Duration) map[string][]string {
	type ranked struct {
		address string
		score   float64
	}
	zones := map[string][]ranked{}
	add := func(m *Member) {
		zones[m.Zone] = append(zones[m.Zone], ranked{m.Address, rendezvous.Score(relayKey, m.Address, m.capacity())})
	}
	add(&r.self)
	for _, m := range r.members {
		if r.isAlive(now, m) && !m.leaving || r.isExpected(now, m) {
			add(&m.Member)
		}
	}
	relays := make(map[string][]string, len(zones))
	for zone, list := range zones {
		slices.SortFunc(list, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
		})
		for _, x := range list[:min(relaysPerZone, len(list))] {
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
