package admit

import (
	"cmp"
	"slices"
	"time"
)

// candidate returns the next backend server to ask for a place, nil if there
// is none for now.
func (c *Core) candidate(r *request) (*server, string) {
	sv := c.service(r.Service)
	open := c.healthy(sv, c.openServers(sv, r))
	open = slices.DeleteFunc(open, func(s *server) bool { return r.askOf(s.key) != nil })
	if len(open) == 0 {
		return nil, ""
	}
	if r.Prefix == 0 {
		return c.leastBusy(open), reasonIdle
	}
	return c.byPrefix(sv, r, open)
}

// byPrefix takes the backend servers, which are in the order that the prompt's
// beginning gives at every router: the first, or else another that has read it, or
// else, when the request can wait no longer, the least busy. So a prompt that is
// asked for rarely is read at one, and one that is asked for often at as many as it
// takes.
func (c *Core) byPrefix(sv *service, r *request, open []*server) (*server, string) {
	first := c.firstFor(sv, r.Prefix)
	if open[0] == first && c.now >= first.busyUntil {
		return first, reasonFirst
	}
	for _, s := range open {
		if s != first && s.copies.has(r.Prefix, c.now) && c.now >= s.busyUntil {
			return s, reasonCopy
		}
	}
	if open[0] == first {
		return first, reasonFirst
	}
	if r.queued() && !c.maySpill(r) {
		return nil, ""
	}
	return c.leastUnread(open), reasonSpill
}

// leastUnread returns the first of those of which their owners lately told that
// the least is to be read there.
func (c *Core) leastUnread(open []*server) *server {
	return slices.MinFunc(open, func(a, b *server) int {
		return cmp.Compare(a.unreadSeen(c.now), b.unreadSeen(c.now))
	})
}

// maySpill reports whether a request may go to a backend server that does not
// keep its shared parts: if it is late already, if they are a small part of the
// prompt or can be copied, or if it has waited for nearly as long as it may.
func (c *Core) maySpill(r *request) bool {
	if r.MayHaveRun {
		return true
	}
	if float64(r.Shared) <= smallShared*float64(r.Prompt) || c.canCopy(r) {
		return true
	}
	return r.MaxWait > 0 && c.now-r.arrived >= time.Duration(spillAfter*float64(r.MaxWait))
}

// leastBusy takes the less busy of two that are drawn, so that routers which
// know the same do not all choose the same; one of the own zone wins a tie.
func (c *Core) leastBusy(open []*server) *server {
	a, b := open[c.rng.IntN(len(open))], open[c.rng.IntN(len(open))]
	if c.busier(a, b) {
		return b
	}
	return a
}

// busier reports whether a is busier than b.
func (c *Core) busier(a, b *server) bool {
	x := float64(a.running(c.now)) / float64(a.Slots)
	y := float64(b.running(c.now)) / float64(b.Slots)
	if x != y {
		return x > y
	}
	return a.Zone != c.opt.self.Zone && b.Zone == c.opt.self.Zone
}

// openServers returns the backend servers that may get the request, in the order
// for its prompt: without those that failed it, unless no other is left.
func (c *Core) openServers(sv *service, r *request) []*server {
	order := c.orderFor(sv, r.Prefix)
	open, others := make([]*server, 0, len(order)), make([]*server, 0, len(order))
	for _, s := range order {
		if !c.reaches(s) || s.rests(c.now) {
			continue
		}
		open = append(open, s)
		if !slices.Contains(r.Avoid, s.Name) {
			others = append(others, s)
		}
	}
	if len(others) > 0 {
		return others
	}
	return open
}
