package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A request for a plain service waits in the queue of one server: the one that is expected to complete
// it first among those asked. Others are asked if that is not within its target. A request that no
// server is expected to complete before its deadline is refused at once.

const (
	// plainRenewAfter is the interval at which a queued request asks again, which renews the
	// estimate and detects an owner that has lost its queue.
	plainRenewAfter = 500 * time.Millisecond
	// plainOverdueAfter is that interval once the response was expected to be complete.
	plainOverdueAfter = 100 * time.Millisecond
	// plainEstimateTTL is how long a response time that an owner stated is used for the choice of
	// a server.
	plainEstimateTTL = 3 * time.Second
	// unplacedFraction is the fraction of its time until the deadline after which a request is
	// refused if no owner has queued it. The rest is left for a retry at another router.
	unplacedFraction = 0.25
	// similarWait and similarWaitFraction are the absolute and the relative difference up to which two
	// expected times count as equal. Without them one of two idle servers would get all requests because
	// of a difference of some milliseconds, which callers do not notice.
	similarWait         = 10 * time.Millisecond
	similarWaitFraction = 0.5
)

// plainEstimate is what this router knows about the waits at a plain server.
type plainEstimate struct {
	// doneAt is when a request that was sent at the last reply would have been complete.
	doneAt time.Duration
	// response is the response time without a wait, as stated at statedAt.
	response, statedAt time.Duration
}

// expected returns the expected time to a response, 0 if unknown.
func (e *plainEstimate) expected(now time.Duration) time.Duration {
	if e.statedAt > 0 && now-e.statedAt < plainEstimateTTL {
		return max(e.doneAt-now, e.response)
	}
	return max(e.doneAt-now, 0)
}

// observeReply records the estimate in an owner's reply.
func (c *Core) observeReply(a *slotRequest, reply *wire.SlotReply) {
	expected := time.Duration(reply.ExpectedMillis) * time.Millisecond
	a.repliedAt, a.doneAt = c.now, 0
	a.unfit = reply.State == wire.SlotDenied && expected > 0
	svc := c.serviceOf(a.server)
	if expected <= 0 || !c.isPlain(svc) {
		return
	}
	a.doneAt = c.now + expected
	e := &a.server.plainEstimate
	e.doneAt = a.doneAt
	if reply.State == wire.SlotGranted {
		e.response, e.statedAt = expected, c.now
		svc.plainResponse.observe(c.now, expected)
	}
}

// isPlainRequest reports whether a request waits as those of plain services with a target do.
func (c *Core) isPlainRequest(r *request) bool {
	return r.Prefix == 0 && r.Target > 0 && c.isPlain(c.service(r.Service))
}

// setPlainWait sets the longest wait of a request for a plain service: its deadline less the response
// time, which may be outdated, so that the wait is long enough for the owners' replies.
func (c *Core) setPlainWait(r *request) {
	if c.isPlainRequest(r) {
		left := r.Deadline - c.now
		r.MaxWait = max(time.Duration(unplacedFraction*float64(left)), left-c.service(r.Service).plainResponse.known(c.now))
	}
}

// busyRetryAfter returns the retry delay of a request that got no slot in time. One that was refused
// since its deadline is too close is not told to return before it.
func (c *Core) busyRetryAfter(r *request) time.Duration {
	delay := c.retryAfter()
	if c.isPlainRequest(r) {
		delay = max(delay, r.Deadline-c.now)
	}
	return delay
}

// advancePlain asks for slots for a request that waits for a plain server.
func (c *Core) advancePlain(r *request) {
	if r.awaitsReply() {
		return
	}
	c.renewPlain(r)
	if r.awaitsReply() || c.waitsForTrial(r) {
		return
	}
	best := c.keepShortestQueue(r)
	if best != nil && (best.doneAt == 0 || best.doneAt <= r.arrivedAt+r.Target) {
		return
	}
	unasked := slices.DeleteFunc(c.eligibleServers(c.service(r.Service), r), func(s *server) bool { return r.slotRequestAt(s.key) != nil })
	mayAsk := len(unasked) > 0 && len(r.slotRequests) < maxSlotRequests
	if mayAsk {
		if s := c.shortestWait(c.healthy(c.service(r.Service), unasked)); s != nil {
			c.requestSlot(r, s, reasonLessBusy)
			return
		}
	}
	if best == nil && !r.MayHaveRun {
		c.refuseUnplaced(r, mayAsk)
	}
}

// refuseUnplaced refuses a request that is in no queue, if all servers that may be asked have stated that
// they cannot serve it in time, or if none has replied for long.
func (c *Core) refuseUnplaced(r *request, mayAsk bool) {
	mayFit := func(a *slotRequest) bool { return !a.unfit }
	if !mayAsk && len(r.slotRequests) > 0 && !slices.ContainsFunc(r.slotRequests, mayFit) {
		c.refuse(r, errBusy.WithRetryAfter(c.busyRetryAfter(r)))
		return
	}
	if c.now-r.arrivedAt >= time.Duration(unplacedFraction*float64(r.Deadline-r.arrivedAt)) {
		c.refuse(r, errBusy.WithRetryAfter(c.retryAfter()))
	}
}

// addPlainEstimate adds the shortest time to a response that a server stated to the refusal of a request
// that was not served in time.
func (c *Core) addPlainEstimate(r *request, a *Refuse) {
	if a.Err.Code != errBusy.Code || !c.isPlainRequest(r) {
		return
	}
	a.Left, a.Asked = r.Deadline-c.now, len(r.slotRequests)
	for _, x := range r.slotRequests {
		if left := x.doneAt - c.now; x.doneAt > 0 && (a.Expected == 0 || left < a.Expected) {
			a.Expected = max(1, left)
		}
	}
}

// renewPlain repeats slot requests that have been queued for long. It drops those that were not answered,
// or whose servers may serve the request earlier by now, so that these are asked again.
func (c *Core) renewPlain(r *request) {
	best := c.keepShortestQueue(r)
	r.slotRequests = slices.DeleteFunc(r.slotRequests, func(a *slotRequest) bool {
		since := c.now - a.repliedAt
		switch {
		case a.state == slotUnanswered:
			return c.now-a.sentAt >= replyTimeout+busyPeriod
		case a.state == slotWithdrawn:
			return best == nil || since >= plainRenewAfter && a.doneAt < best.doneAt
		case a.state == slotDenied && a.unfit:
			return best != nil && since >= plainRenewAfter && a.doneAt < best.doneAt
		case a.state == slotDenied:
			return since >= busyPeriod
		default:
			return false
		}
	})
	for _, a := range r.slotRequests {
		after := plainRenewAfter
		if a.doneAt > 0 && c.now >= a.doneAt {
			after = plainOverdueAfter
		}
		if a.state == slotQueued && c.now-a.sentAt >= after {
			a.sentAt, a.state = c.now, slotRequested
			c.sendSlotRequest(r, a)
		}
	}
}

// keepShortestQueue returns the queued slot request that is expected to be served first, nil if there is
// none. It withdraws the others with an estimate, since each would lengthen the estimates of a queue that
// it does not use.
func (c *Core) keepShortestQueue(r *request) *slotRequest {
	var best *slotRequest
	for _, a := range r.slotRequests {
		if a.state == slotQueued && (best == nil || a.doneAt < best.doneAt) {
			best = a
		}
	}
	for _, a := range r.slotRequests {
		if a.state == slotQueued && a != best && a.doneAt > 0 {
			a.state, a.repliedAt = slotWithdrawn, c.now
			c.send(a.owner, &wire.RequestUpdate{ID: r.ID, Server: a.server.key, Kind: wire.RequestCanceled})
		}
	}
	return best
}

// shortestWait returns that of two random servers with the shorter expected time to a response, so that
// routers with the same information make different choices, and the less busy one if the times are
// similar. It is nil if there are no servers.
func (c *Core) shortestWait(eligible []*server) *server {
	if len(eligible) == 0 {
		return nil
	}
	i, j := c.rng.IntN(len(eligible)), c.rng.IntN(max(1, len(eligible)-1))
	if j >= i && len(eligible) > 1 {
		j++
	}
	a, b := eligible[i], eligible[j]
	x, y := a.plainEstimate.expected(c.now), b.plainEstimate.expected(c.now)
	similar := max(similarWait, time.Duration(similarWaitFraction*float64(min(x, y))))
	if (x - y).Abs() <= similar {
		if c.busier(a, b) {
			return b
		}
		return a
	}
	if x < y {
		return a
	}
	return b
}
