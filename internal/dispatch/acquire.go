package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

var errDraining = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "draining",
	"this entry instance is stopping; send the request again")

var errStopping = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stopping",
	"this entry instance is stopping; send the request again")

// decision is the outcome of an attempt.
type decision struct {
	id        uint64
	start     admit.Start
	err       *verdict.Error
	waited    time.Duration
	decidedAt time.Duration
	// tokens counts the tokens of a started request.
	tokens *atomic.Int64
	// pinned is the software to which the request is pinned, if it was started at another, nil otherwise.
	pinned *table.Software
}

// attempt is a request that waits for a decision.
type attempt struct {
	request front.Request
	// digest identifies the request across attempts, 0 if unknown.
	digest    suspect.Digest
	arrivedAt time.Time
	result    chan decision
	// isRepeated says that the request has arrived before, and was started at software to which it is not pinned.
	isRepeated bool
}

// Acquire implements front.Scheduler.
func (d *Dispatcher) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	dec, err := d.decide(ctx, &attempt{request: r})
	if err == nil && dec.pinned != nil {
		// A version joined while the request waited.
		d.post(returnSlotEvent{dec.id})
		r.Software, r.Waited = dec.pinned, r.Waited+dec.waited
		dec, err = d.decide(ctx, &attempt{request: r, isRepeated: true})
	}
	if err != nil {
		return front.Grant{}, err
	}
	return d.grant(r, dec)
}

// returnSlotEvent returns a slot that was granted and is not used.
type returnSlotEvent struct{ id uint64 }

func (e returnSlotEvent) apply(s *state) {
	delete(s.tokenCounts, e.id)
	s.step(admit.Cancel{ID: e.id})
}

// decide waits for the decision on an attempt. Its error is that of ctx, or that this router stops.
func (d *Dispatcher) decide(ctx context.Context, a *attempt) (decision, error) {
	r := &a.request
	a.arrivedAt, a.result = d.opt.clock.Now(), make(chan decision, 1)
	// The digest is needed even for first attempts: a backend server may crash under
	// another attempt of the same request while this one waits.
	if r.Digest != nil {
		a.digest = suspect.Digest(r.Digest())
	}
	if !d.post(arriveEvent{a}) {
		return decision{}, errStopping
	}
	select {
	case dec := <-a.result:
		return dec, nil
	case <-ctx.Done():
		d.post(cancelEvent{a})
		return decision{}, ctx.Err()
	case <-d.ctx.Done():
		return decision{}, errStopping
	}
}

type arriveEvent struct{ *attempt }

func (e arriveEvent) apply(s *state) {
	s.nextID++
	id := s.nextID
	s.waiting[id] = e.attempt
	if s.d.opt.weighted && s.d.Draining() {
		s.reply(id, decision{err: s.drainingError(e.attempt)})
		return
	}
	if r := &e.request; r.Attempt == 0 && !e.isRepeated {
		s.retryBudget.CountRequest(s.now, r.Model)
	}
	s.step(admit.Arrive{Request: s.admitRequest(id, e.attempt)})
}

// admitRequest returns what the admission decision needs to know about an attempt.
func (s *state) admitRequest(id uint64, a *attempt) admit.Request {
	r := &a.request
	return admit.Request{
		ID:          id,
		Service:     r.Model,
		Account:     r.Account,
		Route:       r.Route,
		Regions:     r.Regions,
		Software:    s.softwareFor(r),
		Continues:   r.Continues,
		AccountRank: r.AccountRank,
		Rank:        r.Rank,
		Priority:    r.Priority,
		Prefix:      r.Prefix,
		Prompt:      r.Prompt,
		Shared:      r.Shared,
		Output:      r.Output,
		Target:      r.Target,
		MaxWait:     r.MaxWait,
		Deadline:    s.now + r.Deadline.Sub(a.arrivedAt),
		Retry:       r.Attempt > 0,
		MayHaveRun:  r.MayHaveRun,
		Resuming:    r.Resuming,
		Avoid:       r.Avoid,
		Digest:      a.digest,
		Parts:       partDigests(r.Parts),
		Key:         r.Key,
	}
}

// reply sends a decision to the waiting caller.
func (s *state) reply(id uint64, dec decision) {
	a, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	dec.id, dec.decidedAt = id, s.now
	if dec.err == nil {
		dec.pinned = s.pinnedElsewhere(&a.request, dec.start.Backend.Software())
	}
	a.result <- dec
}

// cancelEvent cancels an attempt whose caller disconnected, whether it still waits or was just
// granted a slot.
type cancelEvent struct{ *attempt }

func (e cancelEvent) apply(s *state) {
	for id, a := range s.waiting {
		if a == e.attempt {
			delete(s.waiting, id)
			s.step(admit.Cancel{ID: id})
			return
		}
	}
	select {
	case dec := <-e.result:
		delete(s.tokenCounts, dec.id)
		s.step(admit.Cancel{ID: dec.id})
	default:
	}
}

// drainEvent refuses all waiting requests, if accounts are scheduled by weight.
type drainEvent struct{}

func (drainEvent) apply(s *state) {
	if !s.d.opt.weighted {
		return
	}
	for id, a := range s.waiting {
		s.step(admit.Cancel{ID: id})
		s.reply(id, decision{err: s.drainingError(a)})
	}
}
