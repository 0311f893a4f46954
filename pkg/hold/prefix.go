package hold

import "time"

// Bounds of looking for a prefix.
const (
	// prefixesKept is how many prefixes a router remembers.
	prefixesKept = 4096
	// lookAhead is how many waiting requests of an account are looked at.
	lookAhead = 32
	// passedOver is how much later a request may have come and still go
	// first for its prefix, so that none waits for long.
	passedOver = 500 * time.Millisecond
)

// prefixes remembers which server last served a prompt's prefix from here. It
// is a guess: a server that dropped the prefix costs a miss and nothing else.
type prefixes struct {
	on bool
	at map[uint32]string
	// ring lists the prefixes in the order in which they were first put.
	ring [prefixesKept]uint32
	next int
}

func newPrefixes(on bool) *prefixes {
	return &prefixes{on: on, at: map[uint32]string{}}
}

func (p *prefixes) put(prefix uint32, server string) {
	if !p.on || prefix == 0 {
		return
	}
	if _, known := p.at[prefix]; !known {
		delete(p.at, p.ring[p.next])
		p.ring[p.next] = prefix
		p.next = (p.next + 1) % prefixesKept
	}
	p.at[prefix] = server
}

// pick returns the request to run on the server: the account's next one, or
// one soon behind it whose prefix the server holds, or else one that no other
// server holds.
func (p *prefixes) pick(q queue, server string) *request {
	head := q[0]
	if !p.on || head.Prefix == 0 || p.at[head.Prefix] == server {
		return head
	}
	free := head
	for _, r := range q[:min(len(q), lookAhead)] {
		if r.turn > head.turn+passedOver {
			continue
		}
		at, known := p.at[r.Prefix]
		if at == server {
			return r
		}
		if !known && free == head {
			free = r
		}
	}
	return free
}
