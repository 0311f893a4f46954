package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/prefixcache"
)

// minCopyTokens is the least size of a shared prefix that is copied from another backend
// server. A copy takes a few milliseconds, in which an engine processes some hundred tokens, but
// leaves the engine free for other prompts.
const minCopyTokens = 64

// newServerGap is how much later than another a backend server must have joined to count as new
// compared with it. When the platform starts, all join at about the same time.
const newServerGap = time.Second

// copySource returns the backend server from which a request's shared prefix can be copied to
// another one, nil if there is none. It prefers those known to have the prefix, then the
// preferred server of each zone, then servers that a new one may have replaced as the preferred
// one.
func (c *Core) copySource(r *request, to *server) *server {
	if r.Prefix == 0 || r.Shared < minCopyTokens {
		return nil
	}
	svc := c.service(r.Service)
	byZone := c.preferredByZone(svc, r)
	isPreferred := func(s *server) bool { return byZone[s.Zone] == s }
	hasPrefix := func(s *server) bool { return c.knownPrefix(r, s) }
	var sources []*server
	for _, s := range c.prefixOrder(svc, r) {
		if s == to || !c.mayCopyFrom(r, s) {
			continue
		}
		if hasPrefix(s) || isPreferred(s) || c.mayHaveReplaced(to, s) {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 {
		return nil
	}
	// Ties go to the first in prefix order.
	return slices.MinFunc(sources, func(a, b *server) int {
		return cmp.Or(trueFirst(hasPrefix(a), hasPrefix(b)), trueFirst(isPreferred(a), isPreferred(b)))
	})
}

// preferredByZone returns the first backend server of each zone in prefix order, including
// those that are leaving.
func (c *Core) preferredByZone(svc *service, r *request) map[string]*server {
	preferred := map[string]*server{}
	for _, s := range c.prefixOrder(svc, r) {
		if preferred[s.Zone] == nil {
			preferred[s.Zone] = s
		}
	}
	return preferred
}

// canCopy reports whether the shared prefix of a request can be copied from a server that is known
// to have it.
func (c *Core) canCopy(r *request) bool {
	svc := c.service(r.Service)
	if r.Prefix == 0 || r.Shared < minCopyTokens || !svc.recorded.has(r.Prefix) {
		return false
	}
	return slices.ContainsFunc(c.prefixOrder(svc, r), func(s *server) bool {
		return c.knownPrefix(r, s) && c.mayCopyFrom(r, s)
	})
}

// isCopyable reports whether prefixes can be copied from a backend server.
func (c *Core) isCopyable(s *server) bool {
	return s.health.ejectedUntil == 0 && !c.unreachableZones[s.Zone]
}

// mayHaveReplaced reports whether a backend server may recently have become the preferred one
// for a prefix in place of an older one.
func (c *Core) mayHaveReplaced(to, from *server) bool {
	return c.now-to.addedAt < prefixcache.TTL && to.addedAt-from.addedAt >= newServerGap
}

// address returns the address of a copy source, "" for nil.
func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.Address
}
