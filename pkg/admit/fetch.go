package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// leastFetch is the least number of shared tokens that is worth copying from
// another backend server: a copy takes some milliseconds however short it is,
// in which an engine reads about as many tokens.
const leastFetch = 64

// joinsApart is how much later than another a backend server must have joined to
// count as new beside it: at a start of the platform all join within a moment.
const joinsApart = time.Second

// sourceFor returns the backend server from which the shared parts of a
// request's prompt can be copied to another one, nil if there is none. Those
// that come before it in the order of the prompt's beginning most likely keep
// them, also one that is leaving; then those that are known to have read them;
// then those after it in the order, if it is new and they were there before.
func (c *Core) sourceFor(r *request, to *server) *server {
	if r.Prefix == 0 || r.Shared < leastFetch {
		return nil
	}
	own := rendezvous.WeightOf(r.Prefix, to.Name)
	var best *server
	most := sourceRank{}
	for _, s := range c.service(r.Service).servers {
		if s == to || s.health.out != 0 {
			continue
		}
		weight := rendezvous.WeightOf(r.Prefix, s.Name)
		rank := sourceRank{before: weight > own, copied: s.copies.has(r.Prefix, c.now), weight: weight}
		if !rank.before && !rank.copied && !c.tookOver(to, s) {
			continue
		}
		if best == nil || rank.above(most) {
			best, most = s, rank
		}
	}
	return best
}

// canCopy reports whether the shared parts of a request's prompt can be copied
// from the first backend server for them, so that they need not be read again.
func (c *Core) canCopy(r *request) bool {
	if r.Shared < leastFetch {
		return false
	}
	first := firstFor(c.service(r.Service), r.Prefix)
	return first != nil && first.health.out == 0
}

// tookOver reports whether a backend server may have become the first for a
// prompt lately in place of another one that was there before.
func (c *Core) tookOver(to, from *server) bool {
	return c.now-to.joined < recentFor && to.joined-from.joined >= joinsApart
}

// sourceRank is how likely a backend server keeps what another one lacks.
type sourceRank struct {
	before, copied bool
	weight         uint64
}

func (a sourceRank) above(b sourceRank) bool {
	switch {
	case a.before != b.before:
		return a.before
	case a.copied != b.copied:
		return a.copied
	default:
		return a.weight > b.weight
	}
}

// address returns where a source is reached, "" without one.
func (s *server) address() string {
	if s == nil {
		return ""
	}
	return s.Address
}
