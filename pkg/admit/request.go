package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Request is a request to be admitted.
type Request struct {
	// ID is unique at this router.
	ID uint64
	// Service is the name of the service or model.
	Service string
	// Account is the name of the client account, "" if there is none. Route is the name of the
	// route, "" if there is none.
	Account, Route string
	// Regions are the regions in which the request may be processed, according to the rows of the
	// route and the account when it came. Later tables may restrict it further.
	Regions table.RegionSet
	// AccountRank and Rank order waiting requests. Lower values go first.
	AccountRank, Rank int
	// Prefix is a hash of the shared prompt prefix, 0 if there is none.
	Prefix uint64
	// Prompt, Shared (the shared prefix) and Output are sizes in tokens, 0 if unknown.
	Prompt, Shared, Output int64
	// Target is the desired time to the first event of the response.
	Target time.Duration
	// MaxWait bounds the wait for a slot. 0 means until Deadline.
	MaxWait time.Duration
	// Deadline is when the request expires.
	Deadline time.Duration
	// Retry says that an earlier attempt was sent to a backend server.
	Retry bool
	// MayHaveRun says that an earlier attempt may have run. The request can no longer be
	// refused as not run, so that it waits for a slot until its deadline.
	MayHaveRun bool
	// Avoid lists backend servers at which it failed.
	Avoid []string
	// Resuming says that an earlier attempt began to respond.
	Resuming bool
	// Software is the only software that the request may run on, nil for any.
	Software *table.Software
	// Continues says that the request continues a stream that its caller had begun to receive from
	// the fleet. Like one that may have run, it goes before requests that begin.
	Continues bool
	// Priority orders the requests of one account, from 0 to 9, if accounts are scheduled by
	// weight. Higher values go first.
	Priority int
	// Digest identifies the request across attempts, 0 if unknown.
	Digest suspect.Digest
	// Parts are the parts of its prompt that other requests may share.
	Parts []suspect.Digest
	// Key identifies the request across the attempts of its caller, 0 if unknown.
	Key uint64
}

// request is a request that this router holds.
type request struct {
	Request
	account   wire.NameHash
	arrivedAt time.Duration
	// cost is what the request is charged to its account, in tokens.
	cost float64
	// slotRequests are the slot requests sent to owners.
	slotRequests []*slotRequest
	// server is the backend server to which it was sent, nil while it waits.
	server *server
	// startedAt is when it was sent.
	startedAt time.Duration
	// prefill is the number of prompt tokens still to be processed, 0 after the first event.
	prefill int64
	// readsPrefix says that its backend server lacked the shared prefix at the start,
	// prefixRecorded that the prefix has been recorded as cached there.
	readsPrefix, prefixRecorded bool
	// position orders it among the requests of its account, if accounts are scheduled by
	// weight.
	position time.Duration
	// charged is what has been charged to its account so far, in tokens.
	charged int64
	// trials are the suspect items of which this attempt is the only one that runs.
	trials []suspect.Digest
}

// slotRequest is a slot request that this router sent to the owner of a backend server.
type slotRequest struct {
	server *server
	owner  string
	sentAt time.Duration
	reason string
	// source is the backend server from which to copy the shared prefix, nil if no copy is
	// needed or possible.
	source *server
	// sourceKnown says that the source was known to have the prefix. Otherwise the engine may have
	// to process it, and the owner counts the whole prompt.
	sourceKnown bool
	state       slotState
	// margin is what the owner stated for the first event.
	margin time.Duration
	// offer is the owner's estimate of when the caller should return, nil if it sent none.
	offer *returnOffer
	// isolation is the level required when the slot was requested.
	isolation isolation
	// repliedAt is when the owner last replied, doneAt when it then expected the response of a plain
	// service, 0 if unknown. unfit says that it denied the request since that is after the deadline.
	repliedAt, doneAt time.Duration
	unfit             bool
}

type slotState uint8

const (
	slotRequested slotState = iota
	slotQueued
	slotDenied
	slotUnanswered
	// slotWithdrawn: another plain server is expected to serve the request earlier.
	slotWithdrawn
)

// outputCost is the cost of an output token relative to a prompt token.
const outputCost = 2

// Arrive adds a request, or a new attempt of one.
type Arrive struct{ Request }

// Cancel withdraws a request that waits, or one that was started but will not be sent.
type Cancel struct{ ID uint64 }

// FirstEvent reports the first event of a response.
type FirstEvent struct{ ID uint64 }

// AttemptEnd reports the end of an attempt.
type AttemptEnd struct {
	ID     uint64
	Result Result
	// Digest identifies the request across attempts, 0 if unknown.
	Digest suspect.Digest
	// Disconnected says that the backend server broke the connection while the request was in
	// flight.
	Disconnected bool
	// Completed says that the request completed. Unframed says that only the end of the connection marked the
	// end of the response, so that it may be incomplete.
	Completed, Unframed bool
	// Tokens is the number of tokens used.
	Tokens int64
	// LongestPause is the longest pause between two events of the response, PauseTarget that which its
	// route desires, 0 if the pauses were not measured.
	LongestPause, PauseTarget time.Duration
}

func (e Arrive) apply(c *Core) {
	r := &request{Request: e.Request, arrivedAt: c.now}
	r.cost = Cost(r.Prompt, r.Output)
	c.service(r.Service).sizes.observe(r)
	c.restrictRegions(r)
	c.setPlainWait(r)
	if r.Account != "" {
		r.account = wire.HashName(r.Account)
		// What is refused at once takes nothing from the account's share.
		if !r.Retry && c.crashRefusal(r) == nil {
			c.accounts.get(r.account).addDemand(c.now, r.cost)
		}
	}
	c.requests[r.ID] = r
	if c.weighted != nil {
		if err := c.weighted.enqueue(r, c.now, c.rng.Float64); err != nil {
			delete(c.requests, r.ID)
			c.emit(Refuse{ID: r.ID, Err: err})
			return
		}
	}
	c.waiting = append(c.waiting, r)
	c.advance(r)
}

func (e Cancel) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok {
		return
	}
	if r.server == nil {
		c.discard(r)
		return
	}
	c.endTrials(r)
	c.chargeUsage(r, 0)
	c.release(r, Unknown)
}

func (e FirstEvent) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.server == nil {
		return
	}
	c.recordPrefix(r)
	if r.prefill == 0 {
		return
	}
	r.prefill = 0
	c.confirmAlive(r.server, r.startedAt)
	c.answerTrial(r)
	c.notifyOwner(r, &wire.RequestUpdate{Kind: wire.RequestFirstEvent, FirstEventMillis: (c.now - r.startedAt).Milliseconds()})
}

func (e AttemptEnd) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.server == nil {
		return
	}
	r.server.health.recordEnd(c.now, e.Result)
	c.recordFailure(r.server)
	c.recordOutcome(r, e)
	c.endTrials(r)
	if r.account != 0 && (e.Result == Refused || e.Result == Unreachable) {
		c.accounts.get(r.account).started.add(c.now, -r.cost)
	}
	c.chargeUsage(r, e.Tokens)
	c.reportKeptPauses(r, e)
	c.release(r, e.Result)
}

// chargeUsage corrects the account's charge to the tokens that the request used.
func (c *Core) chargeUsage(r *request, tokens int64) {
	if c.weighted != nil {
		c.weighted.recordEnd(r, tokens, c.now)
	}
}

// recordOutcome updates the crash records of the request and the liveness of its backend
// server.
func (c *Core) recordOutcome(r *request, e AttemptEnd) {
	switch {
	case e.Disconnected:
		c.crashUnconfirmedNear(r.server, c.now)
		c.recordCrash(r.server, r.subject(e.Digest), suspect.Crash{At: c.now, Sent: r.startedAt, Unanswered: r.prefill > 0})
	case e.Result == Unreachable:
		c.crashUnconfirmed(r.server)
	case e.Result == Succeeded || e.Result == Failed || e.Result == Refused:
		c.confirmAlive(r.server, r.startedAt)
	case e.Result == Stalled || e.Result == Unknown:
		c.recordStall(r, r.subject(e.Digest))
	}
	switch {
	case e.Completed && e.Unframed:
		c.deferCompletion(r, r.subject(e.Digest))
	case e.Completed:
		c.markCompleted(r.subject(e.Digest))
	}
}

// release frees the slot of a request.
func (c *Core) release(r *request, result Result) {
	delete(c.requests, r.ID)
	delete(r.server.requests, r.ID)
	c.notifyOwner(r, &wire.RequestUpdate{Kind: wire.RequestEnded, Result: uint8(result)})
	if s := r.server; !s.isListed && len(s.requests) == 0 {
		c.forget(s)
	}
}

// notifyOwner sends a state change of a request to the owner of its backend server.
func (c *Core) notifyOwner(r *request, n *wire.RequestUpdate) {
	n.ID, n.Server = r.ID, r.server.key
	c.send(r.server.owner, n)
}

// startRequest sends a request to a backend server.
func (c *Core) startRequest(r *request, s *server, a Start) {
	r.server = s
	r.startedAt = c.now
	s.requests[r.ID] = r
	c.removeWaiting(r)
	c.cancelSlotRequests(r, s)
	if r.account != 0 {
		c.accounts.get(r.account).started.add(c.now, r.cost)
	}
	if c.weighted != nil {
		c.weighted.dequeue(r, c.now)
		c.weighted.recordStart(r, c.now)
	}
	c.beginTrials(r)
	s.health.recordStart(c.now)
	a.ID, a.Backend, a.Waited = r.ID, s.Backend, c.now-r.arrivedAt
	c.emit(a)
}

// cancelSlotRequests withdraws the open slot requests at other backend servers.
func (c *Core) cancelSlotRequests(r *request, chosen *server) {
	for _, a := range r.slotRequests {
		if a.server != chosen && a.isOpen() {
			c.send(a.owner, &wire.RequestUpdate{ID: r.ID, Server: a.server.key, Kind: wire.RequestCanceled})
		}
	}
}

// isOpen reports whether the owner may still grant the slot.
func (a *slotRequest) isOpen() bool {
	return a.state == slotQueued || a.state == slotRequested
}

func (c *Core) removeWaiting(r *request) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *request) bool { return w == r })
}

// discard removes a waiting request.
func (c *Core) discard(r *request) {
	delete(c.requests, r.ID)
	c.removeWaiting(r)
	c.cancelSlotRequests(r, nil)
	if c.weighted != nil {
		c.weighted.dequeue(r, c.now)
	}
}

func (c *Core) refuse(r *request, err *verdict.Error) {
	c.promiseReturn(r, err)
	c.discard(r)
	a := Refuse{ID: r.ID, Err: err, Waited: c.now - r.arrivedAt}
	if err.Code == codeCrashes || err.Code == codePartCrashes || err.Code == codeOnTrial {
		status := c.suspects.Status(c.now, r.subject(r.Digest))
		a.Crashes, a.Part = status.Crashes, status.Part
	}
	c.addPlainEstimate(r, &a)
	c.emit(a)
}
