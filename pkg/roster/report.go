package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// vouching is what a relay last said of who lives.
type vouching struct {
	// digest is the relay's own of what it said.
	digest uint64
	// at is when it last stood by it.
	at    time.Duration
	lives map[string]bool
	// all says that lives are all who live by its word, not only those that it
	// hears itself.
	all bool
}

// MemberInfo is a router as another one tells of it.
type MemberInfo struct {
	Member
	// LastSeenAgo is how long ago anyone last heard of it.
	LastSeenAgo time.Duration
	// Alive says that the teller believes that it lives, Direct that it hears
	// it itself.
	Alive, Direct bool
	Leaving       bool
}

// Report is what another router tells of whom it knows.
type Report struct {
	// Digest is the sender's own of whom it believes to live.
	Digest uint64
	// Base is the digest of the report that this one changes, 0 if it is whole.
	Base    uint64
	Members []MemberInfo
}

// ApplyReport takes in whom another router knows. Those that a relay says to live
// are believed to. A relay itself believes only in those that other relays
// hear themselves, or two of them could vouch for a lost one by each other's
// word for ever. It returns false if the report changes another one that is not
// known here, so that a whole one is needed.
func (r *Roster) ApplyReport(now time.Duration, from string, report Report) bool {
	relay, all := r.isRelay(now, from), r.believesAll(now, from)
	defer func() { r.relaysKnown = nil }()
	lives := map[string]bool{}
	before, ok := r.vouched[from]
	fits := report.Base == 0 || ok && before.digest == report.Base && before.all == all
	if report.Base != 0 && fits {
		lives = before.lives
	}
	for _, k := range report.Members {
		if k.Address == r.self.Address {
			r.noteFormer(k.Inc)
			continue
		}
		if k.LastSeenAgo >= ForgetAfter {
			continue
		}
		m := r.learnOf(now, k)
		delete(lives, k.Address)
		if k.Inc == m.Inc && k.Alive && relay && (all || k.Direct) {
			lives[k.Address] = true
			m.leaving = m.leaving || k.Leaving
		}
	}
	switch {
	case !relay:
		delete(r.vouched, from)
	case fits:
		r.vouched[from] = &vouching{digest: report.Digest, at: now, lives: lives, all: all}
	}
	return fits || !relay
}

// noteFormer notes which start of this router another one knows of.
func (r *Roster) noteFormer(inc uint64) {
	if inc > r.self.Inc {
		r.former = max(r.former, inc)
	}
}

// believesAll reports whether this router believes all that another one says to
// live: a relay of its zone, which serves it.
func (r *Roster) believesAll(now time.Duration, from string) bool {
	m, ok := r.Get(from)
	return ok && m.Zone == r.self.Zone && r.isRelay(now, from) && !r.isRelay(now, r.self.Address)
}

// learnOf notes what another router knows of one.
func (r *Roster) learnOf(now time.Duration, k MemberInfo) *member {
	m := r.get(now, k.Address)
	m.known = max(m.known, now-k.LastSeenAgo)
	if k.Inc > m.Inc {
		m.leaving, m.unanswered = false, 0
	}
	if k.Inc >= m.Inc && (m.heard == 0 || k.Inc > m.Inc) {
		m.Member = k.Member
	}
	if k.Inc == m.Inc && k.Capacity > 0 {
		m.Capacity = k.Capacity
	}
	return m
}

// ConfirmReport notes that a relay stands by what it said with a digest. It returns
// false if that is not what is known here, or was heard as a relay's equal and not
// as one that it serves or the other way round, so that a whole report is needed.
func (r *Roster) ConfirmReport(now time.Duration, relay string, digest uint64) bool {
	v, ok := r.vouched[relay]
	if !ok {
		return !r.isRelay(now, relay)
	}
	if v.digest == digest {
		v.at = now
	}
	return v.digest == digest && v.all == r.believesAll(now, relay)
}

// unvouch forgets that relays said that a router lives.
func (r *Roster) unvouch(address string) {
	for _, v := range r.vouched {
		delete(v.lives, address)
	}
}

// Members returns the routers that were heard of lately, with this one. Of other
// zones only the relays count as heard here: that another router asked this one
// for a place comes and goes, and its own relays vouch for it.
func (r *Roster) Members(now time.Duration) []MemberInfo {
	list := []MemberInfo{{Member: r.self, Alive: true, Direct: true}}
	relays := r.relays(now)
	for _, address := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[address]
		if m.Inc == 0 || now-m.known >= ForgetAfter {
			continue
		}
		k := MemberInfo{Member: m.Member, LastSeenAgo: now - m.known, Alive: r.lives(now, m), Leaving: m.leaving}
		k.Direct = r.hears(now, m) && (m.Zone == r.self.Zone || slices.Contains(relays[m.Zone], address))
		if k.Alive {
			k.LastSeenAgo = 0
		}
		list = append(list, k)
	}
	return list
}

// Digest is a hash of whom this router believes to live, to tell whether
// others know of it.
func (r *Roster) Digest(now time.Duration) uint64 {
	return DigestOf(r.Members(now))
}

// DigestOf is the digest of a list of all routers.
func DigestOf(list []MemberInfo) uint64 {
	digest := uint64(0)
	for _, k := range list {
		if k.Alive {
			// The order does not matter, so that the sum will do.
			digest += k.Digest()
		}
	}
	return digest
}

// Digest is a hash of what is told of one router but for how long ago it was heard.
func (k *MemberInfo) Digest() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(k.Inc)
	_, _ = d.WriteString(k.Address)
	var flags [3]byte
	for i, flag := range []bool{k.Alive, k.Direct, k.Leaving} {
		if flag {
			flags[i] = 1
		}
	}
	_, _ = d.Write(flags[:])
	return d.Sum64()
}
