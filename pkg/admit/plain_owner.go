package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/concurrency"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A plain service is one that is not an engine. The owner of a plain server limits its requests in
// flight to what the response times allow, and queues the others for as long as their deadlines allow.
// This applies from the first request for which the holder stated a deadline; holders do so for routes
// with a target. Before, a server gets a fixed number of requests per slot.

const (
	// failingThreshold is the number of consecutive attempts without a response from which a plain
	// server gets one request at a time, and queues none.
	failingThreshold = 3
	// censoredFactor is the multiple of the expected response time from which an attempt that ended
	// without a result counts as a response: the server was too slow for the caller's deadline.
	censoredFactor = 2
	// marginFactor is the number of mean deviations by which a response is expected before its target,
	// maxMarginFraction the most that this takes of the target. In an overload all requests start as
	// late as they may: with two deviations, one response of ten misses its target.
	marginFactor      = 4
	maxMarginFraction = 0.2
)

// plainState is what the owner of a plain server has learned about it.
type plainState struct {
	limit *concurrency.Limit
	// failures counts consecutive attempts without a response.
	failures int
	// denied counts the requests that were denied since they could not be served in time.
	denied int64
}

// isPlain reports whether a service is plain. Services whose accounts are scheduled by weight have their
// own limits.
func (c *Core) isPlain(svc *service) bool { return !svc.engine && c.weighted == nil }

// isManagedPlain reports whether the owner state has a learned limit.
func (o *ownerState) isManagedPlain() bool { return o.plain != nil }

// managesPlain reports whether a slot request is for a plain server with a learned limit, or is the first
// one there.
func (c *Core) managesPlain(s *server, a *receivedRequest) bool {
	return c.isPlain(c.serviceOf(s)) && (c.ownerStateOf(s).isManagedPlain() || a.context.DeadlineMillis > 0)
}

// plainStateOf returns the state of a plain server that this router owns. It starts anew if the number
// of slots changes.
func (c *Core) plainStateOf(s *server) *plainState {
	o := c.ownerStateOf(s)
	if !o.isManagedPlain() || o.plain.limit.Slots() != max(1, s.Slots) {
		o.plain = &plainState{limit: concurrency.New(s.Slots)}
	}
	return o.plain
}

func (p *plainState) isFailing() bool { return p.failures >= failingThreshold }

// canAdmitPlain reports whether a plain server can take one more request.
func (c *Core) canAdmitPlain(s *server) bool {
	running := s.owned.running
	if !s.owned.isManagedPlain() {
		return float64(running) < concurrency.InitialPerSlot*float64(s.Slots)
	}
	p := c.plainStateOf(s)
	if p.isFailing() {
		return running == 0
	}
	return running < p.limit.Value()
}

// handlePlainRequest replies to a slot request at a plain server.
func (c *Core) handlePlainRequest(s *server, a *receivedRequest) {
	o := c.ownerStateOf(s)
	c.plainStateOf(s)
	if e, ok := o.entries[a.key()]; ok {
		if c.now-e.startedAt < plainRenewAfter {
			// The request was repeated while the grant was on its way.
			return
		}
		// The holder was restarted and uses the ID again.
		o.remove(a.key())
	}
	o.dequeue(a.key())
	if a.Spill || a.WaitMillis <= 0 {
		if len(o.queue) > 0 || !c.tryGrantPlain(s, a) {
			c.reply(s, a, wire.SlotDenied)
		}
		return
	}
	o.queue = append(o.queue, a)
	c.servePlainQueue(s)
	if at := slices.Index(o.queue, a); at >= 0 {
		c.replyPlain(s, a, wire.SlotQueued, at)
	}
}

// servePlainQueue grants slots to queued requests in order. It denies those that can no longer be served
// before their deadlines.
func (c *Core) servePlainQueue(s *server) {
	o, p := s.owned, c.plainStateOf(s)
	e := p.limit.Estimate(c.now)
	c.sortPlainQueue(s, o.queue, &e)
	fastest := p.limit.Fastest(c.now)
	mayWait := !p.isFailing() && (!s.isWarming(c.now) || c.isSoleOwner(s))
	left := o.queue[:0]
	for _, a := range o.queue {
		switch {
		case c.now >= a.expiresAt || !s.isOpen():
			c.notifyLeaving(s, a.from)
			c.reply(s, a, wire.SlotDenied)
		case o.running > 0 && !a.MayHaveRun && c.now+fastest > a.deadline():
			c.denyPlain(s, a, len(left))
		case c.tryGrantPlain(s, a):
		case !a.MayHaveRun && !mayWait:
			c.reply(s, a, wire.SlotDenied)
		case !a.MayHaveRun && !c.fitsDeadline(s, a, &e, len(left)):
			c.denyPlain(s, a, len(left))
		default:
			left = append(left, a)
		}
	}
	clear(o.queue[len(left):])
	o.queue = left
}

func (c *Core) tryGrantPlain(s *server, a *receivedRequest) bool {
	if !c.tryGrant(s, a) {
		return false
	}
	s.owned.entries[a.key()].inFlight = s.owned.running
	return true
}

// denyPlain denies a request that cannot be served in time behind as many others.
func (c *Core) denyPlain(s *server, a *receivedRequest, ahead int) {
	s.owned.plain.denied++
	c.plainDenied++
	c.replyPlain(s, a, wire.SlotDenied, ahead)
}

// replyPlain replies to a slot request with the expected time until its response is complete, if it
// queues behind as many others.
func (c *Core) replyPlain(s *server, a *receivedRequest, state wire.SlotState, ahead int) {
	e := s.owned.plain.limit.Estimate(c.now)
	wait, response := c.estimatePlain(s, &e, ahead)
	c.send(a.from, &wire.SlotReply{ID: a.ID, Server: s.key, State: state, Running: s.owned.running, PrefillTokens: s.owned.prefill, ExpectedMillis: (wait + response).Milliseconds()})
}

// estimatePlain returns the expected wait behind as many queued requests, and the response time after
// it. Both are 0 without samples.
func (c *Core) estimatePlain(s *server, e *concurrency.Estimate, ahead int) (wait, response time.Duration) {
	running := s.owned.running
	wait = e.Wait(running, ahead)
	if s.isWarming(c.now) && s.owned.plain.limit.Known() {
		wait = max(wait, time.Duration(float64(ahead+1)/s.warmupRate*float64(time.Second)))
	}
	return wait, e.Response(running + ahead + 1)
}

// fitsDeadline reports whether a request that queues behind as many others is expected to be served
// before its deadline.
func (c *Core) fitsDeadline(s *server, a *receivedRequest, e *concurrency.Estimate, ahead int) bool {
	wait, response := c.estimatePlain(s, e, ahead)
	return c.now+wait < a.expiresAt && c.now+wait+response <= a.deadline()
}

// deadline returns when the caller's deadline passes. Without a context only the longest wait is known.
func (a *receivedRequest) deadline() time.Duration {
	if a.context.DeadlineMillis == 0 {
		return a.expiresAt + maxResponse
	}
	return a.expiresAt + time.Duration(a.context.DeadlineMillis-a.WaitMillis)*time.Millisecond
}

// maxResponse is the response time that the longest wait of a request leaves if its deadline is unknown.
const maxResponse = time.Hour

// sortPlainQueue orders the slot requests at a plain server: those that may have run go first, then by
// rank. Within a rank, requests that can still meet their targets go before the others, by the latest
// start that does so; the others follow by deadline.
func (c *Core) sortPlainQueue(s *server, queue []*receivedRequest, e *concurrency.Estimate) {
	slices.SortStableFunc(queue, func(a, b *receivedRequest) int {
		return cmp.Or(comparePlainRank(a, b), compareDue(a, b))
	})
	margin := marginFactor * s.owned.plain.limit.Margin()
	for from := 0; from < len(queue); {
		to := from + 1
		for to < len(queue) && comparePlainRank(queue[from], queue[to]) == 0 {
			to++
		}
		c.moveLateBack(s, queue[from:to], from, e, margin)
		from = to
	}
}

// moveLateBack moves the requests that miss their targets behind the others of their rank. It counts
// only those before a request that meet theirs: serving one that is late anyway would make the next one
// late, too.
func (c *Core) moveLateBack(s *server, group []*receivedRequest, ahead int, e *concurrency.Estimate, margin time.Duration) {
	running, response := s.owned.running, e.Response(math.MaxInt)
	var late []*receivedRequest
	inTarget := group[:0]
	for _, a := range group {
		wait := e.Wait(running, ahead+len(inTarget))
		most := time.Duration(maxMarginFraction * float64(a.TargetMillis) * float64(time.Millisecond))
		if c.now+wait+response+min(margin, max(0, most)) <= a.due {
			inTarget = append(inTarget, a)
		} else {
			late = append(late, a)
		}
	}
	slices.SortStableFunc(late, func(a, b *receivedRequest) int { return cmp.Compare(a.deadline(), b.deadline()) })
	copy(group[len(inTarget):], late)
}

func comparePlainRank(a, b *receivedRequest) int {
	return cmp.Or(trueFirst(a.MayHaveRun, b.MayHaveRun), compareRank(a, b))
}

// observePlainEnd updates what is known about a plain server with the end of an attempt.
func (c *Core) observePlainEnd(s *server, key entryKey, result Result) {
	e, ok := s.owned.entries[key]
	if !ok || !s.owned.isManagedPlain() {
		return
	}
	p, sample := c.plainStateOf(s), concurrency.Sample{Took: c.now - e.startedAt, InFlight: e.inFlight}
	switch result {
	case Succeeded:
		p.failures = 0
		p.limit.Observe(c.now, sample)
	case Refused:
		if e.inFlight > 0 {
			p.limit.Reject(c.now, e.inFlight)
		}
	case Broken, Stalled, Unreachable:
		p.failures++
	case Failed:
		p.failures = 0
	case Unknown:
		now := p.limit.Estimate(c.now)
		if sample.Took > censoredFactor*now.Response(e.inFlight) && p.limit.Known() {
			p.limit.Observe(c.now, sample)
		}
	}
}

// expectedFirst returns the expected time to the first event of a request that was granted a slot, or to
// the complete response of a plain service.
func (c *Core) expectedFirst(s *server, granted *entry) time.Duration {
	if s.owned.isManagedPlain() {
		e := c.plainStateOf(s).limit.Estimate(c.now)
		return e.Response(s.owned.running)
	}
	return granted.predicted.Expected
}
