package admit

import (
	"slices"
	"time"
)

// nextServer returns the backend server to ask next for a slot and the reason for the choice,
// nil if there is none now.
func (c *Core) nextServer(r *request) (*server, string) {
	svc := c.service(r.Service)
	eligible := c.unaskedServers(r)
	if len(eligible) == 0 {
		return nil, ""
	}
	if r.Prefix == 0 {
		return c.leastBusy(eligible), reasonLessBusy
	}
	return c.chooseByPrefix(svc, r, eligible)
}

// unaskedServers returns the backend servers that may get the request and have not been asked for a
// slot, in prefix order.
func (c *Core) unaskedServers(r *request) []*server {
	svc := c.service(r.Service)
	eligible := c.healthy(svc, c.eligibleServers(svc, r))
	return slices.DeleteFunc(eligible, func(s *server) bool { return r.slotRequestAt(s.key) != nil })
}

// chooseByPrefix chooses among backend servers that are in prefix order. It prefers the first
// in that order, then others that have the prefix. If these are overloaded, or have no free slot and
// the request may wait no longer, it takes the next one in the order that is not. A rare prefix is
// thus processed at one backend server, a frequent one at as many as needed.
func (c *Core) chooseByPrefix(svc *service, r *request, eligible []*server) (*server, string) {
	preferred := c.preferredServer(svc, r)
	p := c.placementOf(svc, r)
	if svc.engine && len(r.slotRequests) == 0 && p.isLarge() {
		if s := p.soonest(eligible); s != preferred {
			return s, reasonLarge
		}
	}
	isFree := eligible[0] == preferred && c.now >= preferred.busyUntil
	isOverloaded := isFree && svc.engine && p.isOverloaded(preferred) && c.canCopy(r)
	if isFree && !isOverloaded {
		return preferred, reasonPreferred
	}
	for _, s := range eligible {
		if s != preferred && s.prefixes.has(r.Prefix, c.now) && c.now >= s.busyUntil && !(isOverloaded && p.isOverloaded(s)) {
			return s, reasonCopy
		}
	}
	if isOverloaded {
		if s := p.next(eligible); s != preferred {
			return s, reasonBalance
		}
	}
	if eligible[0] == preferred {
		return preferred, reasonPreferred
	}
	if r.isQueued() && !c.maySpill(r) {
		return nil, ""
	}
	if svc.engine && p.isLarge() {
		return p.soonest(eligible), reasonLarge
	}
	if r.MayHaveRun && svc.engine {
		return p.soonest(eligible), reasonRepeat
	}
	return p.next(eligible), reasonSpill
}

// maySpill reports whether a request may go to a backend server that does not have its shared
// prefix: if it may have run, if it cannot be served where it was queued, if the prefix is a small
// part of the prompt or can be copied, or if it has waited for most of its maximum wait.
func (c *Core) maySpill(r *request) bool {
	if r.MayHaveRun || c.weighted == nil && r.allOffersNone() {
		return true
	}
	if float64(r.Shared) <= smallPrefixFraction*float64(r.Prompt) || c.canCopy(r) {
		return true
	}
	return r.MaxWait > 0 && c.now-r.arrivedAt >= time.Duration(spillAfterFraction*float64(r.MaxWait))
}

// leastBusy returns the less loaded of two random backend servers, so that routers with the
// same information make different choices. A server of this router's zone wins a tie.
func (c *Core) leastBusy(eligible []*server) *server {
	a, b := eligible[c.rng.IntN(len(eligible))], eligible[c.rng.IntN(len(eligible))]
	if c.busier(a, b) {
		return b
	}
	return a
}

// busier reports whether a is more loaded than b.
func (c *Core) busier(a, b *server) bool {
	x := float64(a.running(c.now)) / float64(a.Slots)
	y := float64(b.running(c.now)) / float64(b.Slots)
	if x != y {
		return x > y
	}
	return a.Zone != c.opt.self.Zone && b.Zone == c.opt.self.Zone
}

// eligibleServers returns the backend servers that may get the request, in prefix order. It
// leaves out those at which the request failed, unless there are no others.
func (c *Core) eligibleServers(svc *service, r *request) []*server {
	order := c.prefixOrder(svc, r)
	reachable, preferred := make([]*server, 0, len(order)), make([]*server, 0, len(order))
	for _, s := range order {
		if !c.isReachable(s) || s.isBackingOff(c.now) {
			continue
		}
		reachable = append(reachable, s)
		if !slices.Contains(r.Avoid, s.Name) {
			preferred = append(preferred, s)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return reachable
}
