package member

import (
	"maps"
	"slices"
	"sort"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func (e PlatformList) apply(m *Members) {
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
			p.gossipLeft = gossipSends
		}
	}
	for name, p := range m.peers {
		if !p.listed && p.state >= wire.Dead && m.now-p.stateSince >= DefaultRetention {
			delete(m.peers, name)
			m.order = nil
		}
	}
}

func (Tick) apply(m *Members) {
	m.timeOutProbes()
	m.timeOutSuspects()
	if m.now-m.lastProbe < DefaultProbeInterval {
		return
	}
	m.lastProbe = m.now
	if to := m.nextTarget(); to != "" {
		m.probe(to, false)
	}
}

func (m *Members) timeOutProbes() {
	for _, seq := range slices.Sorted(maps.Keys(m.probes)) {
		pending := m.probes[seq]
		if m.now-pending.at < DefaultAckTimeout {
			continue
		}
		delete(m.probes, seq)
		p, ok := m.peers[pending.to]
		if ok && p.lastSeen < pending.at && p.state == wire.Alive {
			m.handleTimeout(p, pending.retry)
		}
	}
}

// handleTimeout probes a silent member once more and then suspects it. A listed
// router that has never sent a message is declared dead at once.
func (m *Members) handleTimeout(p *peer, retry bool) {
	switch {
	case p.incarnation == 0:
		m.setState(p, wire.Dead)
	case !retry:
		m.probe(p.name, true)
	default:
		m.setState(p, wire.Suspect)
		m.probe(p.name, true)
	}
}

func (m *Members) timeOutSuspects() {
	for _, p := range m.peers {
		if p.state == wire.Suspect && m.now-p.stateSince >= DefaultSuspectTimeout {
			m.setState(p, wire.Dead)
		}
	}
}

// nextTarget iterates over all members in random order. It includes dead ones,
// so that both sides of a healed partition find each other.
func (m *Members) nextTarget() string {
	if m.nextIndex >= len(m.order) || m.order == nil {
		m.reorder()
	}
	if len(m.order) == 0 {
		return ""
	}
	to := m.order[m.nextIndex]
	m.nextIndex++
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
	m.nextIndex = 0
}

func (m *Members) probe(to string, retry bool) {
	m.seq++
	m.probes[m.seq] = probe{to: to, at: m.now, retry: retry}
	m.send(to, &wire.Probe{Seq: m.seq, Incarnation: m.incarnation, Refutations: m.refutations, Table: m.tableRevision, Rumours: m.rumours(to)})
}

func (e Probe) apply(m *Members) {
	m.observe(e.From, e.Msg.Incarnation, e.Msg.Refutations)
	m.applyRumours(e.Msg.Rumours)
	m.send(e.From, &wire.Ack{Seq: e.Msg.Seq, Incarnation: m.incarnation, Refutations: m.refutations, Table: m.tableRevision, Rumours: m.rumours(e.From)})
}

func (e Ack) apply(m *Members) {
	delete(m.probes, e.Msg.Seq)
	m.observe(e.From, e.Msg.Incarnation, e.Msg.Refutations)
	m.applyRumours(e.Msg.Rumours)
}

// observe records a message from a router as proof that the incarnation is
// alive.
func (m *Members) observe(name string, inc, ref uint64) {
	if name == m.self {
		return
	}
	p := m.peer(name)
	if inc < p.incarnation {
		return
	}
	p.lastSeen = m.now
	fresh := inc > p.incarnation
	if fresh {
		p.incarnation = inc
		p.refutations = ref
		p.gossipLeft = gossipSends
		m.changed = true
	}
	p.refutations = max(p.refutations, ref)
	if p.state != wire.Left || fresh {
		m.setState(p, wire.Alive)
	}
}

func (e ConnectionRefused) apply(m *Members) {
	p, ok := m.peers[e.Peer]
	if ok && p.state <= wire.Suspect {
		m.setState(p, wire.Dead)
	}
}

func (e TableRevision) apply(m *Members) { m.tableRevision = e.Revision }

func (Join) apply(m *Members) { m.probeAll() }

func (Leave) apply(m *Members) {
	m.leaving = true
	m.changed = true
	m.probeAll()
}

// probeAll sends this router's current state to all live members.
func (m *Members) probeAll() {
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if m.peers[name].state <= wire.Suspect {
			m.probe(name, false)
		}
	}
}

func (Resumed) apply(m *Members) {
	clear(m.probes)
	for _, p := range m.peers {
		p.lastSeen = m.now
		if p.state == wire.Suspect {
			p.stateSince = m.now
		}
	}
}

// rumours returns the rumours for a message: the least gossiped ones first. A
// receiver that is suspected or declared dead always gets the rumour about
// itself, so that it can refute it.
func (m *Members) rumours(to string) []wire.Rumour {
	var rumours []wire.Rumour
	if m.leaving {
		rumours = append(rumours, wire.Rumour{Name: m.self, Incarnation: m.incarnation, Refutations: m.refutations, State: wire.Left})
	}
	if p, ok := m.peers[to]; ok && (p.state == wire.Suspect || p.state == wire.Dead) {
		rumours = append(rumours, p.rumour())
	}
	for _, p := range m.pendingRumours() {
		if len(rumours) >= rumoursPerMessage {
			break
		}
		p.gossipLeft--
		rumours = append(rumours, p.rumour())
	}
	return rumours
}

func (p *peer) rumour() wire.Rumour {
	return wire.Rumour{Name: p.name, Incarnation: p.incarnation, Refutations: p.refutations, State: p.state}
}

func (m *Members) pendingRumours() []*peer {
	var list []*peer
	for _, p := range m.peers {
		if p.gossipLeft > 0 && p.incarnation > 0 {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].gossipLeft != list[j].gossipLeft {
			return list[i].gossipLeft > list[j].gossipLeft
		}
		return list[i].name < list[j].name
	})
	return list
}

func (m *Members) applyRumours(rumours []wire.Rumour) {
	for _, r := range rumours {
		if r.Name == m.self {
			m.refute(r)
			continue
		}
		m.applyRumour(r)
	}
}

// refute answers a rumour that this router is not alive by a higher refutation
// count, sent to all members at once to beat the suspect timeout.
func (m *Members) refute(r wire.Rumour) {
	if r.State == wire.Alive || r.Incarnation != m.incarnation || r.Refutations < m.refutations || m.leaving {
		return
	}
	m.refutations = r.Refutations + 1
	m.probeAll()
}

func (m *Members) applyRumour(r wire.Rumour) {
	p := m.peer(r.Name)
	if !p.newer(r) {
		return
	}
	if r.Incarnation > p.incarnation {
		m.changed = true
	}
	p.incarnation, p.refutations = r.Incarnation, r.Refutations
	p.gossipLeft = max(p.gossipLeft, gossipSends/2)
	m.setState(p, min(r.State, wire.Left))
}

// newer reports whether the rumour is more recent than the known state.
func (p *peer) newer(r wire.Rumour) bool {
	if r.Incarnation != p.incarnation {
		return r.Incarnation > p.incarnation
	}
	if r.Refutations != p.refutations {
		return r.Refutations > p.refutations
	}
	return r.State > p.state
}
