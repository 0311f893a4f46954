package admit

import (
	"cmp"
	"slices"
	"time"
)

// leastFetch is the least number of shared tokens that is copied from another
// backend server. A copy takes 2 to 5 ms however short it is, in which an engine
// reads a few hundred tokens; but an engine goes on with other prompts meanwhile.
const leastFetch = 64

// joinsApart is how much later than another a backend server must have joined to
// count as new beside it: at a start of the platform all join within a moment.
const joinsApart = time.Second

// sourceFor returns the backend server from which the shared parts of a
// request's prompt can be copied to another one, nil if there is none. Those
// that are known to have read them come first; then the first of each zone for
// them, also one that is leaving; then any that was there before a new one.
func (c *Core) sourceFor(r *request, to *server) *server {
	if r.Prefix == 0 || r.Shared < leastFetch {
		return nil
	}
	sv := c.service(r.Service)
	firsts := c.firstOfZones(sv, r.Prefix)
	isFirst := func(s *server) bool { return firsts[s.Zone] == s }
	hasRead := func(s *server) bool { return s.copies.has(r.Prefix, c.now) }
	var keepers []*server
	for _, s := range c.orderFor(sv, r.Prefix) {
		if s == to || s.health.out != 0 || c.cutOff[s.Zone] {
			continue
		}
		if hasRead(s) || isFirst(s) || c.tookOver(to, s) {
			keepers = append(keepers, s)
		}
	}
	if len(keepers) == 0 {
		return nil
	}
	// Of equals the first in the order wins.
	return slices.MinFunc(keepers, func(a, b *server) int {
		return cmp.Or(compareFirst(hasRead(a), hasRead(b)), compareFirst(isFirst(a), isFirst(b)))
	})
}

// firstOfZones returns the backend server of each zone that is first there for a
// prompt's beginning, also one that is leaving.
func (c *Core) firstOfZones(sv *service, prefix uint64) map[string]*server {
	firsts := map[string]*server{}
	for _, s := range c.orderFor(sv, prefix) {
		if firsts[s.Zone] == nil {
			firsts[s.Zone] = s
		}
	}
	return firsts
}

// canCopy reports whether the shared parts of a request's prompt can be copied
// from the first backend server for them, so that they need not be read again.
func (c *Core) canCopy(r *request) bool {
	if r.Shared < leastFetch {
		return false
	}
	first := c.firstFor(c.service(r.Service), r.Prefix)
	return first != nil && first.health.out == 0
}

// tookOver reports whether a backend server may have become the first for a
// prompt lately in place of another one that was there before.
func (c *Core) tookOver(to, from *server) bool {
	return c.now-to.joined < recentFor && to.joined-from.joined >= joinsApart
}

// address returns where a source is reached, "" without one.
func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.Address
}
