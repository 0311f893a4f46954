package member

import (
	"maps"
	"slices"
	"sort"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (e List) apply(m *Members) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, x := range e.Peers {
		if x.Name == m.self {
			continue
		}
		p := m.peer(x.Name)
		p.listed = true
		if x.Leaving && p.state <= wire.Suspect {
			p.sends = rumourSends
		}
	}
	for name, p := range m.peers {
		if !p.listed && p.state >= wire.Dead && m.now-p.since >= DefaultForgetAfter {
			delete(m.peers, name)
			m.order = nil
		}
	}
}

func (Tick) apply(m *Members) {
	m.timeOutProbes()
	m.timeOutSuspects()
	if m.now-m.lastRun < DefaultProbeEvery {
		return
	}
	m.lastRun = m.now
	if to := m.nextTarget(); to != "" {
		m.probe(to, false)
	}
}

func (m *Members) timeOutProbes() {
	for _, seq := range slices.Sorted(maps.Keys(m.probes)) {
		pr := m.probes[seq]
		if m.now-pr.at < DefaultAckWithin {
			continue
		}
		delete(m.probes, seq)
		p, ok := m.peers[pr.to]
		if ok && p.heard < pr.at && p.state == wire.Alive {
			m.doubt(p, pr.second)
		}
	}
}

// doubt probes a silent member once more, and suspects it after that. One
// never heard of is only a name on the platform's list, and needs no time to
// refute.
func (m *Members) doubt(p *peer, second bool) {
	switch {
	case p.inc == 0:
		m.set(p, wire.Dead)
	case !second:
		m.probe(p.name, true)
	default:
		m.set(p, wire.Suspect)
		m.probe(p.name, true)
	}
}

func (m *Members) timeOutSuspects() {
	for _, p := range m.peers {
		if p.state == wire.Suspect && m.now-p.since >= DefaultSuspectFor {
			m.set(p, wire.Dead)
		}
	}
}

// nextTarget goes round all members in a shuffled order, the dead among
// them, so that both sides of a healed partition find each other.
func (m *Members) nextTarget() string {
	if m.next >= len(m.order) || m.order == nil {
		m.reorder()
	}
	if len(m.order) == 0 {
		return ""
	}
	to := m.order[m.next]
	m.next++
	return to
}

func (m *Members) reorder() {
	m.order = m.order[:0]
	for name, p := range m.peers {
		if p.state != wire.Left || p.listed {
			m.order = append(m.order, name)
		}
	}
	sort.Strings(m.order)
	m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	m.next = 0
}

func (m *Members) probe(to string, second bool) {
	m.seq++
	m.probes[m.seq] = probe{to: to, at: m.now, second: second}
	m.send(to, &wire.Probe{Seq: m.seq, Incarnation: m.inc, Refutations: m.ref, Table: m.table, Rumours: m.rumours(to)})
}

func (e Probe) apply(m *Members) {
	m.heardFrom(e.From, e.Msg.Incarnation, e.Msg.Refutations)
	m.learn(e.Msg.Rumours)
	m.send(e.From, &wire.Ack{Seq: e.Msg.Seq, Incarnation: m.inc, Refutations: m.ref, Table: m.table, Rumours: m.rumours(e.From)})
}

func (e Ack) apply(m *Members) {
	delete(m.probes, e.Msg.Seq)
	m.heardFrom(e.From, e.Msg.Incarnation, e.Msg.Refutations)
	m.learn(e.Msg.Rumours)
}

// heardFrom takes a message as proof of life of the incarnation in it.
func (m *Members) heardFrom(name string, inc, ref uint64) {
	if name == m.self {
		return
	}
	p := m.peer(name)
	if inc < p.inc {
		return
	}
	p.heard = m.now
	fresh := inc > p.inc
	if fresh {
		p.inc = inc
		p.ref = ref
		p.sends = rumourSends
		m.changed = true
	}
	p.ref = max(p.ref, ref)
	if p.state != wire.Left || fresh {
		m.set(p, wire.Alive)
	}
}

func (e Refused) apply(m *Members) {
	p, ok := m.peers[e.Peer]
	if ok && p.state <= wire.Suspect {
		m.set(p, wire.Dead)
	}
}

func (e Table) apply(m *Members) { m.table = e.Revision }

func (Join) apply(m *Members) { m.probeAll() }

func (Leave) apply(m *Members) {
	m.leaving = true
	m.changed = true
	m.probeAll()
}

// probeAll tells every member at once what this router is now.
func (m *Members) probeAll() {
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if m.peers[name].state <= wire.Suspect {
			m.probe(name, false)
		}
	}
}

func (Woke) apply(m *Members) {
	clear(m.probes)
	for _, p := range m.peers {
		p.heard = m.now
		if p.state == wire.Suspect {
			p.since = m.now
		}
	}
}

// rumours picks the news that was passed on least, and always tells a
// suspect that it is one, so that it can refute.
func (m *Members) rumours(to string) []wire.Rumour {
	var news []wire.Rumour
	if m.leaving {
		news = append(news, wire.Rumour{Name: m.self, Incarnation: m.inc, Refutations: m.ref, State: wire.Left})
	}
	if p, ok := m.peers[to]; ok && (p.state == wire.Suspect || p.state == wire.Dead) {
		news = append(news, p.rumour())
	}
	for _, p := range m.freshest() {
		if len(news) >= rumoursEach {
			break
		}
		p.sends--
		news = append(news, p.rumour())
	}
	return news
}

func (p *peer) rumour() wire.Rumour {
	return wire.Rumour{Name: p.name, Incarnation: p.inc, Refutations: p.ref, State: p.state}
}

func (m *Members) freshest() []*peer {
	var fresh []*peer
	for _, p := range m.peers {
		if p.sends > 0 && p.inc > 0 {
			fresh = append(fresh, p)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sends != fresh[j].sends {
			return fresh[i].sends > fresh[j].sends
		}
		return fresh[i].name < fresh[j].name
	})
	return fresh
}

func (m *Members) learn(rumours []wire.Rumour) {
	for _, r := range rumours {
		if r.Name == m.self {
			m.refute(r)
			continue
		}
		m.learnOne(r)
	}
}

// refute answers a rumour of this router's end with a greater count, and tells
// all at once, since the time to do so is short.
func (m *Members) refute(r wire.Rumour) {
	if r.State == wire.Alive || r.Incarnation != m.inc || r.Refutations < m.ref || m.leaving {
		return
	}
	m.ref = r.Refutations + 1
	m.probeAll()
}

func (m *Members) learnOne(r wire.Rumour) {
	p := m.peer(r.Name)
	if !p.newer(r) {
		return
	}
	if r.Incarnation > p.inc {
		m.changed = true
	}
	p.inc, p.ref = r.Incarnation, r.Refutations
	p.sends = max(p.sends, rumourSends/2)
	m.set(p, min(r.State, wire.Left))
}

// newer reports whether the rumour says more than is known.
func (p *peer) newer(r wire.Rumour) bool {
	if r.Incarnation != p.inc {
		return r.Incarnation > p.inc
	}
	if r.Refutations != p.ref {
		return r.Refutations > p.ref
	}
	return r.State > p.state
}
