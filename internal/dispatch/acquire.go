package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

var errGone = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stopping", "this entry instance is stopping; send the request again")

// decision is what became of an attempt.
type decision struct {
	id      uint64
	backend table.Backend
	err     *verdict.Error
	waited  time.Duration
}

// attempt is a request that a caller's task waits for.
type attempt struct {
	request front.Request
	at      time.Time
	answer  chan decision
	arrived time.Duration
}

// Acquire implements front.Scheduler.
func (d *Dispatcher) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	a := &attempt{request: r, at: time.Now(), answer: make(chan decision, 1)}
	if !d.post(arrive{a}) {
		return front.Grant{}, errGone
	}
	select {
	case got := <-a.answer:
		return d.grant(r, got)
	case <-ctx.Done():
		d.post(abandon{a})
		return front.Grant{}, ctx.Err()
	case <-d.ctx.Done():
		return front.Grant{}, errGone
	}
}

func (d *Dispatcher) grant(r front.Request, got decision) (front.Grant, error) {
	if got.err != nil {
		return front.Grant{}, got.err
	}
	return front.Grant{
		ID: got.id, Backend: got.backend.Name, Address: got.backend.Address,
		MayStart: func() bool { return true }, Served: &atomic.Int64{}, Waited: r.Waited + got.waited,
	}, nil
}

// Release implements front.Scheduler.
func (d *Dispatcher) Release(g front.Grant, u front.Usage) { d.post(ended{g, u}) }

type arrive struct{ *attempt }

func (e arrive) apply(s *state) {
	s.nextID++
	id := s.nextID
	e.arrived = s.now
	s.waiting[id] = e.attempt
	r := &e.request
	s.step(admit.Arrive{Request: admit.Request{
		ID: id, Service: r.Model, Account: r.Account, AccountRank: r.AccountRank, Rank: r.Rank, Prefix: r.Prefix,
		Prompt: r.Prompt, Shared: r.Shared, Output: r.Output, Target: r.Target, Patience: r.Patience,
		Deadline: s.now + r.Deadline.Sub(e.at), Avoid: r.Avoid,
	}})
}

// reply tells the caller's task of the decision. If it has left meanwhile,
// the place is given back.
func (s *state) reply(id uint64, got decision) {
	a, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	got.id = id
	got.waited = s.now - a.arrived
	a.answer <- got
}

// abandon takes back an attempt whose caller has left.
type abandon struct{ *attempt }

func (e abandon) apply(s *state) {
	for id, a := range s.waiting {
		if a == e.attempt {
			delete(s.waiting, id)
			s.step(admit.Cancel{ID: id})
			return
		}
	}
	select {
	case got := <-e.answer:
		if got.err == nil {
			s.step(admit.End{ID: got.id})
		}
	default:
	}
}

type ended struct {
	front.Grant
	front.Usage
}

func (e ended) apply(s *state) { s.step(admit.End{ID: e.Grant.ID}) }
