package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

const (
	// meshUpTo is up to how many routers all talk with all.
	meshUpTo = 12
	// relaysEach is how many relays a zone has.
	relaysEach = 2
	// relayKey is hashed to choose the relays.
	relayKey = "relay"
)

// Plan is whom a router tells what, for a while.
type Plan struct {
	// Mesh says that all talk with all.
	Mesh bool
	// Relay says that this router is a relay of its zone, Primary that it is the
	// one that tells the zone's sums.
	Relay, Primary bool
	// Peers are the routers that this one tells as one of their equals:
	// all, or its zone's relays.
	Peers []string
	// Served are the routers of its zone that a relay serves.
	Served []string
	// RemoteRelays are the relays of other zones.
	RemoteRelays []string
	// Interval is the time between two tellings.
	Interval time.Duration
}

// Plan works out whom this router tells what.
func (r *Roster) Plan(now time.Duration) Plan {
	live := r.filter(func(m *member) bool { return r.lives(now, m) || r.expected(now, m) })
	if len(live) < meshUpTo {
		r.interval = quickest
		return Plan{Mesh: true, Peers: live, Interval: quickest}
	}
	relays := r.relays(now)
	t := Plan{}
	for _, address := range live {
		m := r.members[address]
		switch isRelay := slices.Contains(relays[m.Zone], address); {
		case m.Zone == r.self.Zone && isRelay:
			t.Peers = append(t.Peers, address)
		case m.Zone == r.self.Zone:
			t.Served = append(t.Served, address)
		case isRelay:
			t.RemoteRelays = append(t.RemoteRelays, address)
		}
	}
	own := relays[r.self.Zone]
	t.Relay = slices.Contains(own, r.self.Address)
	t.Primary = t.Relay && own[0] == r.self.Address
	// The interval is the same at all of the zone.
	r.interval = min(max(quickest, time.Duration(len(t.Peers)+len(t.Served)+len(t.RemoteRelays))*perMember), slowest)
	if !t.Relay {
		t.Served, t.RemoteRelays = nil, nil
	}
	t.Interval = r.interval
	return t
}

// relays returns the relays of each zone, the first of them first. They are worked
// out once for a moment and what is known then: one message asks for them several
// times, and all that live have to be looked at.
func (r *Roster) relays(now time.Duration) map[string][]string {
	if r.relaysKnown == nil || r.relaysAt != now {
		r.relaysKnown, r.relaysAt = r.workOutRelays(now), now
	}
	return r.relaysKnown
}

func (r *Roster) workOutRelays(now time.Duration) map[string][]string {
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
		if r.lives(now, m) && !m.leaving || r.expected(now, m) {
			add(&m.Member)
		}
	}
	relays := make(map[string][]string, len(zones))
	for zone, list := range zones {
		slices.SortFunc(list, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
		})
		for _, x := range list[:min(relaysEach, len(list))] {
			relays[zone] = append(relays[zone], x.address)
		}
	}
	return relays
}

// isRelay reports whether this router takes another one for a relay.
func (r *Roster) isRelay(now time.Duration, address string) bool {
	m, ok := r.Get(address)
	return ok && slices.Contains(r.relays(now)[m.Zone], address)
}

// PrimaryRelay returns the relay that tells its zone's sums.
func (r *Roster) PrimaryRelay(now time.Duration, zone string) string {
	if list := r.relays(now)[zone]; len(list) > 0 {
		return list[0]
	}
	return ""
}
