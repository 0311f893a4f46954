package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// usageReport is the last report of a source.
type usageReport struct {
	receivedAt time.Duration
	flows      map[wire.NameHash]flow
}

// DefaultReportTTL is the age at which a report expires: its router has most likely failed or
// is unreachable.
const DefaultReportTTL = time.Second

// PeerGone reports that a router has left the fleet or failed.
type PeerGone struct{ From string }

func (e PeerGone) apply(c *Core) {
	c.dropReport(reportSource{wire.ScopeOwn, e.From})
	c.fleet.drop(reportSource{wire.ScopeOwn, e.From})
	if c.weighted != nil {
		c.weighted.dropSource(reportSource{wire.ScopeOwn, e.From}, c.now)
	}
	delete(c.slotContexts, e.From)
	delete(c.transfers, e.From)
	c.dropHolder(e.From)
	c.dropTrials(e.From)
	for _, r := range slices.Clone(c.waiting) {
		c.retryAfterOwnerLoss(r, e.From)
	}
}

// retryAfterOwnerLoss repeats the slot requests that were sent to an owner that is gone.
func (c *Core) retryAfterOwnerLoss(r *request, owner string) {
	before := len(r.slotRequests)
	r.slotRequests = slices.DeleteFunc(r.slotRequests, func(a *slotRequest) bool { return a.owner == owner })
	if len(r.slotRequests) != before {
		c.advance(r)
	}
}

// PeerState is another router's report of account flows and prefix copies.
type PeerState struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.RouterState
	// TTL is the age at which the report expires, 0 for DefaultReportTTL.
	TTL time.Duration
}

func (e PeerState) apply(c *Core) {
	c.applyCopies(e.Zone, e.Msg.Copies)
	if e.Msg.Scope == wire.ScopeNone {
		return
	}
	source := sourceOf(e.Msg.Scope, e.From, e.Zone)
	c.reportTTL = max(DefaultReportTTL, e.TTL)
	c.dropReport(source)
	report := &usageReport{receivedAt: c.now, flows: make(map[wire.NameHash]flow, len(e.Msg.Accounts))}
	for _, f := range e.Msg.Accounts {
		report.flows[f.Account] = flow{demand: float64(f.Demand), started: float64(f.Started)}
	}
	c.reports[source] = report
	c.accounts.addPeerFlows(report.flows, 1)
}

// maxRelayedCopies bounds the copies of other routers that are relayed at once, separately for
// this zone and other zones.
const maxRelayedCopies = 256

// applyCopies records the copies made by other routers, and queues them for relaying.
func (c *Core) applyCopies(zone string, copies []wire.PrefixCopy) {
	relayed := &c.remoteCopies
	if zone == c.opt.self.Zone {
		relayed = &c.zoneCopies
	}
	for _, x := range copies {
		if s, ok := c.servers[x.Server]; ok {
			c.recordReportedPrefix(s, x.Prefix)
		}
		if len(*relayed) < maxRelayedCopies {
			*relayed = append(*relayed, x)
		}
	}
}

func (c *Core) dropReport(from reportSource) {
	if report, ok := c.reports[from]; ok {
		delete(c.reports, from)
		c.accounts.addPeerFlows(report.flows, -1)
	}
}

// sweepInterval is the interval of removing expired state.
const sweepInterval = 200 * time.Millisecond

func (c *Core) sweep() {
	if c.now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = c.now
	c.suspects.Expire(c.now)
	c.confirmOld()
	c.updateSpeedClasses()
	c.dropTrials("")
	for source, report := range c.reports {
		if c.now-report.receivedAt >= c.reportTTL {
			c.dropReport(source)
			if c.weighted != nil {
				c.weighted.dropSource(source, c.now)
			}
		}
	}
	c.fleet.expire(c.now, c.reportTTL)
	c.ownedServers = slices.DeleteFunc(c.ownedServers, func(s *server) bool {
		s.owned.expireEntries(c.now)
		if s.owner == c.opt.self.Address || !s.owned.idle() {
			return false
		}
		s.owned = nil
		return true
	})
}

// Snapshot is the state that a router reports, collected once for all receivers.
type Snapshot struct {
	now       time.Duration
	core      *Core
	own, zone map[wire.NameHash]flow
	others    map[wire.NameHash]flow
	// copies are those of this router since the last snapshot, zoneCopies those reported by
	// routers of its zone, remoteCopies those of other zones.
	copies, zoneCopies, remoteCopies []wire.PrefixCopy
	// capacity is that of this router's engines.
	capacity engineCapacity
	// speeds, zoneSpeeds and remoteSpeeds are speed classes of the same origins.
	speeds, zoneSpeeds, remoteSpeeds []wire.ServerSpeed
}

// Snapshot collects the state to report, and clears the queued copies.
func (c *Core) Snapshot(now time.Duration) *Snapshot {
	s := &Snapshot{now: now, core: c, own: c.accounts.ownFlows(now), capacity: c.fleet.own(now), copies: c.newCopies, zoneCopies: c.zoneCopies, remoteCopies: c.remoteCopies}
	c.newCopies, c.zoneCopies, c.remoteCopies = nil, nil, nil
	c.repeatSpeeds()
	s.speeds, s.zoneSpeeds, s.remoteSpeeds = takeSpeeds(&c.speeds.own), takeSpeeds(&c.speeds.zone), takeSpeeds(&c.speeds.remote)
	s.zone, s.others = maps.Clone(s.own), map[wire.NameHash]flow{}
	for source, report := range c.reports {
		switch {
		case source.scope == wire.ScopeOwn:
			addFlows(s.zone, report.flows, 1)
		case source.scope == wire.ScopeZone && source.name != c.opt.self.Zone:
			addFlows(s.others, report.flows, 1)
		}
	}
	addFlows(s.others, s.zone, 1)
	return s
}

func addFlows(sum, flows map[wire.NameHash]flow, sign float64) {
	for key, f := range flows {
		s := sum[key]
		s.demand += sign * f.demand
		s.started += sign * f.started
		sum[key] = s
	}
}

// Flows returns the flows of a scope for a receiver.
func (s *Snapshot) Flows(scope wire.Scope, receiver string) []wire.AccountFlow {
	switch scope {
	case wire.ScopeOwn:
		return largestFlows(s.own)
	case wire.ScopeZone:
		return largestFlows(s.zone)
	case wire.ScopeRest:
		others := maps.Clone(s.others)
		if report, ok := s.core.reports[reportSource{wire.ScopeOwn, receiver}]; ok {
			addFlows(others, report.flows, -1)
		}
		return largestFlows(others)
	default:
		return nil
	}
}

// Copies returns the copies made by this router.
func (s *Snapshot) Copies() []wire.PrefixCopy { return s.copies }

// ZoneCopies returns the copies made in this zone, for relays of other zones.
func (s *Snapshot) ZoneCopies() []wire.PrefixCopy { return slices.Concat(s.copies, s.zoneCopies) }

// AllCopies returns the copies made by all routers, for routers of this zone.
func (s *Snapshot) AllCopies() []wire.PrefixCopy {
	return slices.Concat(s.copies, s.zoneCopies, s.remoteCopies)
}

// maxFlows bounds the accounts in a report. The others are summed up under account 0.
const maxFlows = 64

// largestFlows returns the largest flows and the sum of the others.
func largestFlows(flows map[wire.NameHash]flow) []wire.AccountFlow {
	list := make([]wire.AccountFlow, 0, len(flows))
	var rest flow
	for key, f := range flows {
		switch {
		case key == 0:
			rest.demand += f.demand
			rest.started += f.started
		case f.demand >= 1 || f.started >= 1:
			list = append(list, wire.AccountFlow{Account: key, Demand: rounded(f.demand), Started: rounded(f.started)})
		}
	}
	slices.SortFunc(list, func(a, b wire.AccountFlow) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	for _, f := range list[min(maxFlows, len(list)):] {
		rest.demand += float64(f.Demand)
		rest.started += float64(f.Started)
	}
	list = list[:min(maxFlows, len(list))]
	if rest.demand >= 1 {
		list = append(list, wire.AccountFlow{Demand: rounded(rest.demand), Started: rounded(rest.started)})
	}
	return list
}

func rounded(x float64) uint32 { return uint32(max(0, x)) }
