package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The owner of a backend server sends what it has learned of it to the router that would own it next. A
// router that has lost the ownership, because another one joined, sends it to the new owner.

const (
	// engineStatesInterval is the least time between two rounds of sending, maxEngineStates the number
	// of states in a round.
	engineStatesInterval = time.Second
	maxEngineStates      = 64
	// engineStateRepeat is the interval at which unchanged states are sent again, since messages may
	// be lost.
	engineStateRepeat = 10 * time.Second
	// maxEngineStateAge is the age from which a state says nothing about the present.
	maxEngineStateAge = 2 * time.Minute
)

// engineReports records what is known and was sent of a backend server's model. Times are 0 if never.
type engineReports struct {
	// observedAt is the time of the last first event here, receivedAt that of the last one behind a
	// received state.
	observedAt, receivedAt time.Duration
	// sentAt and sentTo are the time and receiver of the last report.
	sentAt time.Duration
	sentTo string
}

// engineReport is a state to send.
type engineReport struct {
	*server
	to         string
	observedAt time.Duration
}

// sendEngineStates sends the states that are due, the least recently sent first.
func (c *Core) sendEngineStates() {
	if c.now-c.engineStatesAt < engineStatesInterval {
		return
	}
	c.engineStatesAt = c.now
	due := c.dueEngineReports()
	slices.SortStableFunc(due, func(a, b engineReport) int { return cmp.Compare(a.reports.sentAt, b.reports.sentAt) })
	byReceiver := map[string]*wire.EngineStates{}
	for _, r := range due[:min(len(due), maxEngineStates)] {
		m := byReceiver[r.to]
		if m == nil {
			m = &wire.EngineStates{}
			byReceiver[r.to] = m
		}
		x := r.engine.State(c.now)
		m.Engines = append(m.Engines, wire.EngineState{
			Server: r.key, Speed: float32(x.Speed), Deviation: float32(x.Deviation), Samples: uint32(max(0, x.Samples)),
			AgeMillis: (c.now - r.observedAt).Milliseconds(),
		})
		r.reports.sentAt, r.reports.sentTo = c.now, r.to
	}
	for _, to := range slices.Sorted(maps.Keys(byReceiver)) {
		c.send(to, byReceiver[to])
	}
}

// dueEngineReports returns the states that their receivers may not have.
func (c *Core) dueEngineReports() []engineReport {
	var due []engineReport
	candidates := map[string][]Router{}
	for _, s := range c.sortedServers {
		p := &s.reports
		r := engineReport{s, s.owner, p.observedAt}
		isOwner := s.owner == c.opt.self.Address
		if isOwner {
			r.observedAt = max(p.observedAt, p.receivedAt)
		}
		if r.observedAt == 0 || c.now-r.observedAt >= maxEngineStateAge {
			continue
		}
		if isOwner {
			if candidates[s.Zone] == nil {
				candidates[s.Zone] = c.ownerCandidates(s.Zone)
			}
			r.to = c.nextOwner(s, candidates[s.Zone])
		}
		isKnown := r.to == p.sentTo && r.observedAt <= p.sentAt
		if r.to == "" || isKnown && (!isOwner || c.now-p.sentAt < engineStateRepeat) {
			continue
		}
		due = append(due, r)
	}
	return due
}

// nextOwner returns the candidate that would own a backend server without its current owner, "" if there
// is no other.
func (c *Core) nextOwner(s *server, from []Router) string {
	next, score := "", 0.0
	for i := range from {
		r := &from[i]
		if r.Address == s.owner {
			continue
		}
		c.work.Scores++
		x := rendezvous.Score(s.Name, r.Address, r.Weight())
		if next == "" || x > score || x == score && r.Address < next {
			next, score = r.Address, x
		}
	}
	return next
}

// handleEngineStates adds what another router has learned.
func (c *Core) handleEngineStates(m *wire.EngineStates) {
	for _, x := range m.Engines[:min(len(m.Engines), maxEngineStates)] {
		s, ok := c.servers[x.Server]
		if !ok || x.AgeMillis < 0 || x.AgeMillis >= maxEngineStateAge.Milliseconds() {
			continue
		}
		age := time.Duration(x.AgeMillis) * time.Millisecond
		s.reports.receivedAt = max(s.reports.receivedAt, c.now-age)
		s.engine.Restore(c.now, enginemodel.State{Speed: float64(x.Speed), Deviation: float64(x.Deviation), Samples: int(x.Samples)}, age)
	}
}
