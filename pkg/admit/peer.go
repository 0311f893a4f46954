package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// reportSource is whose flows a report adds up: a router's, a zone's, or those of all
// others.
type reportSource struct {
	scope wire.Scope
	name  string
}

// usageReport is what a source last reported of accounts' flows.
type usageReport struct {
	heard time.Duration
	flows map[wire.NameHash]flow
}

// DefaultReportTTL is when what was told counts no more: its requests have
// most likely ended with their router, or cannot be seen from here.
const DefaultReportTTL = time.Second

// PeerGone says that a router has ended.
type PeerGone struct{ From string }

func (e PeerGone) apply(c *Core) {
	c.forgetFlows(reportSource{wire.ScopeOwn, e.From})
	if c.weights != nil {
		c.weights.forget(reportSource{wire.ScopeOwn, e.From}, c.now)
	}
	c.dropHolder(e.From)
	c.dropTrials(e.From)
	for _, r := range slices.Clone(c.waiting) {
		c.retryAfterOwnerLoss(r, e.From)
	}
}

// retryAfterOwnerLoss has a request ask anew where its question went to an owner that
// has left the fleet.
func (c *Core) retryAfterOwnerLoss(r *request, owner string) {
	before := len(r.asks)
	r.asks = slices.DeleteFunc(r.asks, func(a *ask) bool { return a.owner == owner })
	if len(r.asks) != before {
		c.advance(r)
	}
}

// PeerState is what another router tells of accounts and copies.
type PeerState struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.RouterState
	// TTL is when what it tells counts no more, 0 for the default.
	TTL time.Duration
}

func (e PeerState) apply(c *Core) {
	c.learnCopies(e.Zone, e.Msg.Copies)
	if e.Msg.Scope == wire.ScopeNone {
		return
	}
	from := sourceOf(e.Msg.Scope, e.From, e.Zone)
	c.silentAfter = max(DefaultReportTTL, e.TTL)
	c.forgetFlows(from)
	t := &usageReport{heard: c.now, flows: make(map[wire.NameHash]flow, len(e.Msg.Accounts))}
	for _, f := range e.Msg.Accounts {
		t.flows[f.Account] = flow{asked: float64(f.Demand), begun: float64(f.Started)}
	}
	c.reports[from] = t
	c.accounts.count(t.flows, 1)
}

// mostPassedOn bounds how many copies told by others are passed on at once, of
// the own zone and of other zones each: 256 take 4 kB.
const mostPassedOn = 256

// learnCopies notes where other routers had prompts read, to be passed on if this
// router is a relay.
func (c *Core) learnCopies(zone string, copies []wire.PrefixCopy) {
	passedOn := &c.farCopies
	if zone == c.opt.self.Zone {
		passedOn = &c.nearCopies
	}
	for _, x := range copies {
		if s, ok := c.servers[x.Server]; ok {
			s.copies.note(x.Prefix, c.now)
		}
		if len(*passedOn) < mostPassedOn {
			*passedOn = append(*passedOn, x)
		}
	}
}

func (c *Core) forgetFlows(from reportSource) {
	if t, ok := c.reports[from]; ok {
		delete(c.reports, from)
		c.accounts.count(t.flows, -1)
	}
}

// sweepEvery is how often is looked for what was told long ago.
const sweepEvery = 200 * time.Millisecond

func (c *Core) dropSilent() {
	if c.now-c.swept < sweepEvery {
		return
	}
	c.swept = c.now
	c.suspects.Expire(c.now)
	c.dropTrials("")
	for from, t := range c.reports {
		if c.now-t.heard >= c.silentAfter {
			c.forgetFlows(from)
			if c.weights != nil {
				c.weights.forget(from, c.now)
			}
		}
	}
	c.held = slices.DeleteFunc(c.held, func(s *server) bool {
		s.owned.dropLost(c.now)
		if s.owner == c.opt.self.Address || !s.owned.idle() {
			return false
		}
		s.owned = nil
		return true
	})
}

// Snapshot is what a router tells others, made once for all of them.
type Snapshot struct {
	now       time.Duration
	core      *Core
	own, zone map[wire.NameHash]flow
	rest      map[wire.NameHash]flow
	// copies are this router's own since the last telling, near those that others
	// of its zone told of since then, far those of other zones.
	copies, near, far []wire.PrefixCopy
}

// Snapshot collects what this router tells the others now.
func (c *Core) Snapshot(now time.Duration) *Snapshot {
	t := &Snapshot{now: now, core: c, own: c.accounts.own(now), copies: c.copies, near: c.nearCopies, far: c.farCopies}
	c.copies, c.nearCopies, c.farCopies = nil, nil, nil
	t.zone, t.rest = maps.Clone(t.own), map[wire.NameHash]flow{}
	for from, x := range c.reports {
		switch {
		case from.scope == wire.ScopeOwn:
			addFlows(t.zone, x.flows, 1)
		case from.scope == wire.ScopeZone && from.name != c.opt.self.Zone:
			addFlows(t.rest, x.flows, 1)
		}
	}
	addFlows(t.rest, t.zone, 1)
	return t
}

func addFlows(sum, flows map[wire.NameHash]flow, sign float64) {
	for key, f := range flows {
		s := sum[key]
		s.asked += sign * f.asked
		s.begun += sign * f.begun
		sum[key] = s
	}
}

// Flows returns the flows of a scope for a receiver.
func (t *Snapshot) Flows(scope wire.Scope, receiver string) []wire.AccountFlow {
	switch scope {
	case wire.ScopeOwn:
		return largest(t.own)
	case wire.ScopeZone:
		return largest(t.zone)
	case wire.ScopeRest:
		rest := maps.Clone(t.rest)
		if x, ok := t.core.reports[reportSource{wire.ScopeOwn, receiver}]; ok {
			addFlows(rest, x.flows, -1)
		}
		return largest(rest)
	default:
		return nil
	}
}

// Copies returns the copies that this router's own requests made.
func (t *Snapshot) Copies() []wire.PrefixCopy { return t.copies }

// ZoneCopies returns those that its zone made, for relays of other zones.
func (t *Snapshot) ZoneCopies() []wire.PrefixCopy { return slices.Concat(t.copies, t.near) }

// AllCopies returns those that any router made, for the routers of its zone.
func (t *Snapshot) AllCopies() []wire.PrefixCopy { return slices.Concat(t.copies, t.near, t.far) }

// mostFlows bounds how many accounts are told of; the rest is told as a sum,
// under account 0.
const mostFlows = 64

// largest returns the largest flows and the sum of the rest.
func largest(flows map[wire.NameHash]flow) []wire.AccountFlow {
	list := make([]wire.AccountFlow, 0, len(flows))
	var rest flow
	for key, f := range flows {
		switch {
		case key == 0:
			rest.asked += f.asked
			rest.begun += f.begun
		case f.asked >= 1 || f.begun >= 1:
			list = append(list, wire.AccountFlow{Account: key, Demand: rounded(f.asked), Started: rounded(f.begun)})
		}
	}
	slices.SortFunc(list, func(a, b wire.AccountFlow) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	for _, f := range list[min(mostFlows, len(list)):] {
		rest.asked += float64(f.Demand)
		rest.begun += float64(f.Started)
	}
	list = list[:min(mostFlows, len(list))]
	if rest.asked >= 1 {
		list = append(list, wire.AccountFlow{Demand: rounded(rest.asked), Started: rounded(rest.begun)})
	}
	return list
}

func rounded(x float64) uint32 { return uint32(max(0, x)) }
