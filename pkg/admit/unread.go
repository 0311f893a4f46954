package admit

import (
	"cmp"
	"time"
)

// An engine reads prompts one after the other. Its owner learns that one has been read from the first event
// of the response; until then the part that has been read is estimated from the read rate. Otherwise a
// request behind a long prompt would be expected later by up to the time of reading all of it.

// reading is the prompt that an engine reads.
type reading struct {
	// head is the entry that was granted first of those without a first event, nil if unknown.
	head *entry
	// since is when the engine began to read it, 0 if unknown.
	since time.Duration
}

// unread returns the number of prompt tokens that a backend server still has to read.
func (c *Core) unread(s *server) int64 {
	o := s.owned
	head := o.readingHead(c.now)
	if head == nil || !c.serviceOf(s).engine {
		return o.prefill
	}
	read := s.engine.ReadRate(c.now) * max(0, c.now-o.reading.since).Seconds()
	return o.prefill - min(head.prefill, int64(min(read, maxTokens)))
}

// maxTokens bounds a number of tokens, so that it fits in an int64.
const maxTokens = 1e15

// readingHead returns the entry whose prompt the engine reads, nil if there is none.
func (o *ownerState) readingHead(now time.Duration) *entry {
	if o.reading.since == 0 {
		o.reading.since = now
	}
	if o.reading.head != nil || o.prefill == 0 {
		return o.reading.head
	}
	for _, e := range o.entries {
		if e.prefill > 0 && (o.reading.head == nil || e.compareGrant(o.reading.head) < 0) {
			o.reading.head = e
		}
	}
	return o.reading.head
}

// compareGrant orders entries by the time of their grant. Of those granted at once, the first has the least
// tokens ahead.
func (e *entry) compareGrant(x *entry) int {
	return cmp.Or(cmp.Compare(e.startedAt, x.startedAt), cmp.Compare(e.ahead, x.ahead), cmp.Compare(e.prefill, x.prefill))
}

// leave forgets the head if it is this entry. When the engine began with the next one is not known.
func (r *reading) leave(e *entry) {
	if r.head == e {
		*r = reading{}
	}
}
