package admit

import (
	"slices"
	"time"
)

// When engines crash, all requests that ran there move to others at once. They can no longer be refused,
// but if one engine takes many of them its first events come long after their targets, and those of
// all others there as well. Until its target has passed, a request that may have run therefore gets
// a slot only where it is expected to meet it. It waits in the queues of the others that it asked.

// admitsRepeat reports whether an engine can take a request that may have run. After its target any free
// slot will do.
func (c *Core) admitsRepeat(svc *service, s *server, a *receivedRequest, prefill int64) bool {
	o := s.owned
	switch {
	case o.running >= s.Slots:
		return false
	case o.prefill == 0 || c.now >= a.due:
		return true
	default:
		usable := (c.usableTarget(a) - c.transfers[a.from]).Seconds()
		return c.expectedWithMargin(s, a, prefill) <= usable || c.admitsLongPrompt(svc, s, a, prefill, 1)
	}
}

// isSpill reports whether the owner should deny a slot request rather than queue it. A request that may
// have run cannot be refused, and waits at every engine that it asked.
func (c *Core) isSpill(r *request, reason string) bool {
	if r.MayHaveRun && c.weighted == nil && c.service(r.Service).engine {
		return false
	}
	return reason == reasonSpill || reason == reasonBalance
}

// maxRepeatRequests bounds the slot requests of a request that may have run. With 4, up to 21 repeats of
// TestRepeatsAfterCrashSpread go to one engine, with 8 up to 16.
const maxRepeatRequests = 8

// unweightedLimit returns the maximum number of slot requests of a request if accounts are scheduled by
// demand.
func (c *Core) unweightedLimit(r *request) int {
	if r.MayHaveRun && c.service(r.Service).engine {
		return maxRepeatRequests
	}
	return maxSlotRequests
}

// renewDeniedAfter is the interval at which a request that may have run asks again where it was denied.
// It cannot be refused, and would otherwise wait for its deadline once all its slot requests are denied.
const renewDeniedAfter = 100 * time.Millisecond

// renewDenied drops denied slot requests of a request that may have run, so that it can ask again, there
// or elsewhere.
func (c *Core) renewDenied(r *request) {
	if !r.MayHaveRun || !c.service(r.Service).engine {
		return
	}
	r.slotRequests = slices.DeleteFunc(r.slotRequests, func(a *slotRequest) bool {
		switch a.state {
		case slotDenied:
			return c.now-a.repliedAt >= renewDeniedAfter
		case slotUnanswered:
			return !c.isUnresponsive(a.owner)
		default:
			return false
		}
	})
}
