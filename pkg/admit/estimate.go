package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
)

// slotTimeWeight is the weight of a new sample of the time that requests occupy a slot.
const slotTimeWeight = 0.05

// observeSlotTime averages how long requests occupy a slot of an engine.
func (o *ownerState) observeSlotTime(key entryKey, now time.Duration) {
	e, ok := o.entries[key]
	if !ok {
		return
	}
	took := now - e.startedAt
	if o.slotTime == 0 {
		o.slotTime = took
	}
	o.slotTime += time.Duration(slotTimeWeight * float64(took-o.slotTime))
}

// maxEstimateSteps bounds the processor time of an estimate with many promised requests.
const maxEstimateSteps = 8

// estimate predicts when an engine has capacity for a request that got no slot. It knows what runs
// there, what waits and goes before the request, and which promised requests return until then.
type estimate struct {
	// perToken is the time to process a prompt token, in seconds, own the number of tokens of the
	// request, before that of the requests that go before it.
	perToken    float64
	own, before int64
	// runs holds the running prompts in order of their first events.
	runs []expectedEvent
	// running is the number of tokens in runs, without what the engine has read of its current prompt.
	running int64
	// service is the time to the first event of the request at an idle engine, margin that for the error
	// of the prediction, left what is left of its target, maxAhead the longest time that others may be
	// ahead of a request.
	service, margin, left, maxAhead time.Duration
	// slotsBefore is the number of slots that must become free before the request gets one, slotInterval
	// the mean time between two that do; 0 if that is not known.
	slotsBefore  int
	slotInterval time.Duration
	// fraction is the part of its target that the account may use.
	fraction float64
	// promised returns when the promised requests that are due until then have been processed, given
	// that everything else will be after a time.
	promised func(after time.Duration) time.Duration
	// expected are the promised requests that are due from now on.
	expected returns.Expected
	now      time.Duration
}

// expectedEvent is the first event of a running request. tokens is the number of its prompt tokens that
// are still to be read.
type expectedEvent struct {
	in     time.Duration
	tokens int64
}

func (c *Core) newEstimate(s *server, a *receivedRequest) *estimate {
	o, svc := s.owned, c.serviceOf(s)
	e := &estimate{
		perToken: 1 / s.engine.ReadRate(c.now), own: s.prefillOf(a.SlotRequest, c.now),
		left: a.due - c.now, maxAhead: time.Duration(aheadFraction * float64(svc.shortestTarget.get(c.now))),
		fraction: c.targetFraction(a.Account), promised: func(after time.Duration) time.Duration { return after }, now: c.now,
	}
	alone := s.engine.Predict(c.now, enginemodel.Load{PrefillTokens: e.own})
	e.service, e.margin = alone.Expected, alone.Margin
	e.runs, e.running = c.expectedEvents(s), c.unread(s)
	e.slotsBefore = o.running + 1 - int(float64(s.Slots)*min(1, e.fraction+extraSlotFraction))
	e.slotInterval = o.slotTime / time.Duration(max(1, s.Slots))
	for _, x := range o.queue {
		if x.key() != a.key() && compareInAccount(x, a) <= 0 {
			e.before += s.prefillOf(x.SlotRequest, c.now)
			e.slotsBefore++
		}
	}
	if o.returns != nil {
		e.promised = func(after time.Duration) time.Duration {
			ready, _ := o.returns.Ready(c.now, after, e.perToken, a.context.Key)
			return ready - c.now
		}
		e.expected = o.returns.Expected(c.now, a.context.Key)
	}
	return e
}

// expectedEvents returns when the engine will have read each of its prompts, in the order of their
// grants. Entries that were taken over from another owner state only their tokens.
func (c *Core) expectedEvents(s *server) []expectedEvent {
	var reading []*entry
	for _, x := range s.owned.entries {
		if x.prefill > 0 {
			reading = append(reading, x)
		}
	}
	slices.SortFunc(reading, (*entry).compareGrant)
	events := make([]expectedEvent, 0, len(reading))
	read := s.owned.prefill - c.unread(s)
	ahead := int64(0)
	for _, x := range reading {
		left := max(0, x.prefill-read)
		read -= x.prefill - left
		ahead += left
		took := s.engine.Predict(c.now, enginemodel.Load{PrefillTokens: ahead, Running: x.others}).Expected
		events = append(events, expectedEvent{took, left})
	}
	return events
}

func (e *estimate) duration(tokens int64) time.Duration {
	return time.Duration(e.perToken * float64(tokens) * float64(time.Second))
}

// inTarget returns the time until the request could start so that it meets its target, or until the
// engine has processed everything else.
func (e *estimate) inTarget() time.Duration {
	ahead := e.duration(e.running + e.before)
	if wait := e.untilLittleAhead(ahead); e.fits(wait, min(ahead, e.maxAhead)) {
		return wait
	}
	at, expected := time.Duration(0), e.expected
	for _, run := range e.runs {
		if e.fits(at, ahead+e.expectedWork(&expected, at)) {
			return at
		}
		at = run.in
		ahead -= e.duration(run.tokens)
	}
	if e.fits(at, ahead+e.expectedWork(&expected, at)) {
		return at
	}
	return e.idle()
}

// untilLittleAhead returns the time until no more than maxAhead is left of what is ahead of the request
// now, and of the promised requests that return until then. Otherwise the callers of a burst would all
// be told the same time.
func (e *estimate) untilLittleAhead(ahead time.Duration) time.Duration {
	wait, expected := max(0, ahead-e.maxAhead), e.expected
	// Each step counts the requests that return within the last one.
	for range maxEstimateSteps {
		next := max(0, ahead+e.expectedWork(&expected, wait)-e.maxAhead)
		if next <= wait {
			break
		}
		wait = next
	}
	return wait
}

// expectedWork returns the time to process the promised requests that are due within a time.
func (e *estimate) expectedWork(x *returns.Expected, within time.Duration) time.Duration {
	return e.duration(x.Until(e.now + within))
}

// untilFreeSlot returns the time until a slot is free for the request, after those that wait and go before
// it. It does not count those that are expected back: callers who return early would get their slots.
func (e *estimate) untilFreeSlot() time.Duration {
	return time.Duration(max(0, e.slotsBefore)) * e.slotInterval
}

// fits reports whether the request can start after a time, with others ahead of it.
func (e *estimate) fits(at, ahead time.Duration) bool {
	return ahead <= e.maxAhead && ahead+e.service+e.margin <= time.Duration(e.fraction*float64(e.left-at))
}

// idle returns the time until the engine has processed everything that is before the request.
func (e *estimate) idle() time.Duration {
	last := time.Duration(0)
	if len(e.runs) > 0 {
		last = e.runs[len(e.runs)-1].in
	}
	return e.promised(last + e.duration(e.before))
}
