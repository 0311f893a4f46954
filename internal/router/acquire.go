package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Errors at admission. The requests have not run.
var (
	errQueueFull = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "queue-full",
		"too many requests of this client account wait here; come back later")
	errDraining = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "draining",
		"this entry instance is stopping; send the request again")
	errStopped = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stopped",
		"this entry instance stopped while the request waited")
	errNoTable = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "no-table",
		"this entry instance has no table yet")
	errNoAccount = verdict.New(verdict.PhaseAdmit, http.StatusForbidden, "wrong-key",
		"the client account is no longer in the table")
)

// acquireResult is the core's reply to a request for a slot.
type acquireResult struct {
	grant front.Grant
	err   *verdict.Error
}

// Table implements front.Scheduler.
func (r *Router) Table() *table.Table { return r.snapshot.table.Load() }

// Acquire implements front.Scheduler.
func (r *Router) Acquire(ctx context.Context, req front.Request) (front.Grant, error) {
	reply := make(chan acquireResult, 1)
	pending := &acquire{req: req, deadline: r.deadline(req.Deadline), reply: reply}
	if !r.post(pending) {
		return front.Grant{}, errStopped
	}
	select {
	case a := <-reply:
		return a.result()
	case <-r.ctx.Done():
		return front.Grant{}, errStopped
	case <-ctx.Done():
	}
	r.post(cancel{pending})
	select {
	case a := <-reply:
		if a.err == nil {
			r.Release(a.grant, front.Usage{})
		}
	case <-r.ctx.Done():
	}
	return front.Grant{}, ctx.Err()
}

func (a acquireResult) result() (front.Grant, error) {
	if a.err != nil {
		return front.Grant{}, a.err
	}
	return a.grant, nil
}

// deadline converts a wall time to the router's clock.
func (r *Router) deadline(t time.Time) time.Duration {
	return r.now() + clock.System().Until(t)
}

// Release implements front.Scheduler.
func (r *Router) Release(g front.Grant, u front.Usage) {
	r.post(release{id: g.ID, usage: u})
}

// CheckAdmission implements front.Scheduler. It admits every request.
func (r *Router) CheckAdmission(front.Request) *verdict.Error { return nil }

// SpendRetry implements front.Scheduler.
func (r *Router) SpendRetry(front.Request) bool {
	reply := make(chan bool, 1)
	if !r.post(spendRetry{reply}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-r.ctx.Done():
		return false
	}
}

// Resume implements front.Scheduler. Backend servers of one model run one software version here.
func (r *Router) Resume(_ context.Context, req front.Resumption) (front.Continuation, error) {
	return front.Continuation{Service: req.Service}, nil
}

// StreamBegan implements front.Scheduler. Nothing needs to be remembered, as any backend server may go on
// with a stream.
func (r *Router) StreamBegan(front.StreamStart) {}

type spendRetry struct{ reply chan<- bool }

func (e spendRetry) apply(c *core) { e.reply <- c.budget.Spend() }

type acquire struct {
	req      front.Request
	deadline time.Duration
	reply    chan<- acquireResult
	id       uint64
}

func (e *acquire) apply(c *core) {
	if err := c.admit(e); err != nil {
		e.reply <- acquireResult{err: err}
		return
	}
	if e.req.Attempt == 0 {
		c.budget.Earn()
	}
	c.nextID++
	e.id = c.nextID
	c.waiting[e.id] = e.reply
	c.runHolder(hold.Arrive{
		ID: e.id, Account: e.req.Account, Model: e.req.Model, Priority: e.req.Priority,
		Deadline: e.deadline, Waited: e.req.Waited,
		Prefix: uint32(e.req.Prefix),
	})
}

// retryAfter is the time until a refused request is expected to find room.
const retryAfter = 2 * time.Second

func (c *core) admit(e *acquire) *verdict.Error {
	if c.draining {
		return errDraining.WithReturn(returns.Elsewhere(e.deadline-c.now, rand.Float64()))
	}
	if c.table == nil {
		return errNoTable.WithRetryAfter(time.Second)
	}
	a, ok := c.table.Account(e.req.Account)
	if !ok {
		return errNoAccount
	}
	if c.holder.Queued(a.Name) >= a.Limits.Queued {
		return errQueueFull.WithReturn(returns.Decide(returns.Refusal{Ready: retryAfter, Remaining: e.deadline - c.now}, rand.Float64()))
	}
	return nil
}

type cancel struct{ pending *acquire }

func (e cancel) apply(c *core) {
	if _, waits := c.waiting[e.pending.id]; !waits || e.pending.id == 0 {
		return
	}
	c.runHolder(hold.Cancel{ID: e.pending.id})
	c.reply(e.pending.id, acquireResult{err: errStopped})
}

// reply sends the result of a request that has not got one yet.
func (c *core) reply(id uint64, a acquireResult) {
	reply, ok := c.waiting[id]
	if !ok {
		return
	}
	delete(c.waiting, id)
	reply <- a
}

// startRequest replies to a request with the grant of its lease.
func (c *core) startRequest(s hold.Start) {
	b, ok := c.table.Backend(s.Lease.Backend)
	if !ok {
		b = table.Backend{Name: s.Lease.Backend}
	}
	served := &atomic.Int64{}
	c.served[s.ID] = served
	c.reply(s.ID, acquireResult{grant: front.Grant{
		ID: s.ID, Backend: b.Name, Address: b.Address, Software: b.Software(), Served: served, Waited: s.Waited,
		MayStart: func() bool { return c.r.now() < s.Expires },
	}})
}

type release struct {
	id    uint64
	usage front.Usage
}

func (e release) apply(c *core) {
	delete(c.served, e.id)
	c.runHolder(hold.Finished{ID: e.id, Tokens: e.usage.Tokens, Sent: e.usage.Sent, Unreachable: e.usage.Unreachable})
}
