package admit

import "time"

// The time to a first event that a holder reports begins when it sends the request. What passes between the
// routers before and after is lost from the target too: the slot request and the reply each wait in a socket
// until a router has processor time. The owner measures it with each reported first event, which makes the
// same two ways as the reply and the slot request.

const (
	// transferWeight is the weight of a new sample.
	transferWeight = 0.1
	// maxTransfer bounds a sample. A holder that was paused takes longer, which says nothing about the
	// next request.
	maxTransfer = 100 * time.Millisecond
)

// observeTransfer adds the time between a grant and the report of its first event that was not spent at the
// backend server.
func (c *Core) observeTransfer(holder string, e *entry, took time.Duration) {
	if e.ahead == 0 || took <= 0 {
		return
	}
	sample := min(max(0, c.now-e.startedAt-took), maxTransfer)
	c.transfers[holder] += time.Duration(transferWeight * float64(sample-c.transfers[holder]))
}
