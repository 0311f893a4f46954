package hold

import "time"

// Limits of prefix affinity.
const (
	// maxPrefixes is the number of prefixes that a router remembers.
	maxPrefixes = 4096
	// scanDepth is the number of an account's waiting requests to examine.
	scanDepth = 32
	// maxReorder is how much later a request may have arrived and still
	// overtake the first one for its prefix.
	maxReorder = 500 * time.Millisecond
)

// prefixAffinity remembers which backend server last served each prompt prefix
// for this router. If the server has dropped the prefix from its cache, the
// cost is a cache miss.
type prefixAffinity struct {
	enabled bool
	servers map[uint32]string
	// ring contains the prefixes in order of insertion.
	ring [maxPrefixes]uint32
	next int
}

func newPrefixAffinity(on bool) *prefixAffinity {
	return &prefixAffinity{enabled: on, servers: map[uint32]string{}}
}

func (p *prefixAffinity) put(prefix uint32, server string) {
	if !p.enabled || prefix == 0 {
		return
	}
	if _, known := p.servers[prefix]; !known {
		delete(p.servers, p.ring[p.next])
		p.ring[p.next] = prefix
		p.next = (p.next + 1) % maxPrefixes
	}
	p.servers[prefix] = server
}

// pick returns the request to run on the server: the account's first request if
// it has no prefix or the server has the prefix, else a request close behind
// whose prefix the server has, else one whose prefix no server has.
func (p *prefixAffinity) pick(q queue, server string) *request {
	head := q[0]
	if !p.enabled || head.Prefix == 0 || p.servers[head.Prefix] == server {
		return head
	}
	candidate := head
	for _, r := range q[:min(len(q), scanDepth)] {
		if r.sortTime > head.sortTime+maxReorder {
			continue
		}
		cachedAt, known := p.servers[r.Prefix]
		if cachedAt == server {
			return r
		}
		if !known && candidate == head {
			candidate = r
		}
	}
	return candidate
}
