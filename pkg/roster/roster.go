// Package roster keeps the routers of a fleet that publishes no list of them:
// it begins with a few seeds, which may be stale or down, learns the others by
// hearsay, and believes that a router lives only while it hears from it. It is
// a pure state machine.
package roster

import (
	"maps"
	"slices"
	"time"
)

// The times after which a router is believed something else.
const (
	// SilentAfter is when a router that is not heard counts as lost.
	SilentAfter = 500 * time.Millisecond
	// TryEvery is how often a router that is not heard is tried.
	TryEvery = time.Second
	// ForgetAfter is when a router that nobody heard is forgotten, unless it
	// is a seed.
	ForgetAfter = 30 * time.Second
)

// Member is a router.
type Member struct {
	// Address is where it listens for peers; it identifies the router.
	Address string
	Name    string
	Zone    string
	// Inc is its start, 0 if not known.
	Inc uint64
}

// member is a router as this one knows it.
type member struct {
	Member
	// heard is when a message of it last came here; 0 if none did.
	heard time.Duration
	// known is when anyone last heard of it, as far as told here.
	known time.Duration
	// tried is when it was last tried without being heard.
	tried   time.Duration
	leaving bool
	seed    bool
}

// Roster is the state of one router's view of the fleet.
type Roster struct {
	self    Member
	members map[string]*member
}

// New returns the view of a router that knows its seeds only.
func New(self Member, seeds []string) *Roster {
	r := &Roster{self: self, members: map[string]*member{}}
	for _, address := range seeds {
		if address != self.Address {
			r.members[address] = &member{Member: Member{Address: address}, tried: -TryEvery, seed: true}
		}
	}
	return r
}

// Heard notes that a message of a router came. It reports whether the router
// was not live before, or has started anew.
func (r *Roster) Heard(now time.Duration, from Member) bool {
	if from.Address == r.self.Address {
		return false
	}
	m := r.get(now, from.Address)
	if from.Inc < m.Inc {
		return false
	}
	news := !m.live(now) || from.Inc > m.Inc
	if from.Inc > m.Inc {
		m.leaving = false
	}
	m.Member = from
	m.heard, m.known = now, now
	return news
}

func (r *Roster) get(now time.Duration, address string) *member {
	m, ok := r.members[address]
	if !ok {
		m = &member{Member: Member{Address: address}, tried: -TryEvery, known: now}
		r.members[address] = m
	}
	return m
}

// Learn takes in that another router knows one, which anyone last heard of at
// a time on this router's clock.
func (r *Roster) Learn(now time.Duration, about Member, known time.Duration) {
	if about.Address == r.self.Address || now-known >= ForgetAfter {
		return
	}
	m := r.get(now, about.Address)
	m.known = max(m.known, known)
	if about.Inc > m.Inc && m.heard == 0 {
		m.Member = about
	}
}

// Leaving notes that a router is about to stop.
func (r *Roster) Leaving(from string) {
	if m, ok := r.members[from]; ok {
		m.leaving = true
	}
}

// Gone notes that nobody listens at a router's address any more.
func (r *Roster) Gone(address string) {
	if m, ok := r.members[address]; ok {
		m.heard = 0
	}
}

func (m *member) live(now time.Duration) bool {
	return m.heard > 0 && now-m.heard < SilentAfter
}

// Live returns the addresses of the routers that are heard, without this one.
func (r *Roster) Live(now time.Duration) []string {
	return r.filter(func(m *member) bool { return m.live(now) })
}

// Staying returns the routers that are heard and not about to stop, without
// this one.
func (r *Roster) Staying(now time.Duration) []string {
	return r.filter(func(m *member) bool { return m.live(now) && !m.leaving })
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

// Tries returns the addresses of routers that are not heard and are to be
// tried now, and notes that they are.
func (r *Roster) Tries(now time.Duration) []string {
	list := r.filter(func(m *member) bool { return !m.live(now) && now-m.tried >= TryEvery })
	for _, address := range list {
		r.members[address].tried = now
	}
	return list
}

// Forget drops routers that nobody has heard of for long.
func (r *Roster) Forget(now time.Duration) {
	maps.DeleteFunc(r.members, func(_ string, m *member) bool {
		return !m.seed && now-m.known >= ForgetAfter
	})
}

// Known is a router and how long ago it was last heard of.
type Known struct {
	Member
	Ago time.Duration
}

// All returns the routers that were heard of lately, with this one.
func (r *Roster) All(now time.Duration) []Known {
	list := []Known{{Member: r.self}}
	for _, address := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[address]
		if m.Inc > 0 && now-m.known < ForgetAfter {
			list = append(list, Known{Member: m.Member, Ago: now - m.known})
		}
	}
	return list
}

// Lately returns how many routers were heard of within a time, with this one.
func (r *Roster) Lately(now, within time.Duration) int {
	n := 1
	for _, m := range r.members {
		if m.Inc > 0 && now-m.known < within {
			n++
		}
	}
	return n
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
