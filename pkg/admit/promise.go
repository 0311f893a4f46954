package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// maxPromisesPerTick bounds the refusals that a router reports in one tick. Further ones are not
	// reported: their callers are not recognized when they return.
	maxPromisesPerTick = 256
	// maxOrdersPerTick bounds the orders of preference that are computed for refusals before admission
	// in one tick. Others are cached.
	maxOrdersPerTick = 8
)

// returnOffer is an owner's estimate.
type returnOffer struct {
	// at is when the caller should return. none says that the request cannot be served before its
	// deadline.
	at   time.Duration
	none bool
}

// promisedReturn is a refusal that is to be reported to the owner of the preferred backend server.
type promisedReturn struct {
	server         *server
	key            uint64
	account        wire.NameHash
	tokens         int64
	arrivedAt, due time.Duration
	deadline       time.Duration
}

// handleReturnOffer keeps an owner's estimate until the request is refused.
func (c *Core) handleReturnOffer(m *wire.ReturnOffer) {
	if a := c.requests[m.ID].slotRequestAt(m.Server); a != nil {
		a.offer = &returnOffer{at: c.now + time.Duration(m.RetryMillis)*time.Millisecond, none: m.RetryMillis < 0}
	}
}

// bestOffer returns the offer of the preferred backend server, where the request will be recognized,
// or the earliest one, nil if there is none. An offer that the request cannot be served counts only if
// all do.
func (c *Core) bestOffer(r *request) *returnOffer {
	preferred := c.preferredServer(c.service(r.Service), r)
	var best *returnOffer
	for _, a := range r.slotRequests {
		switch {
		case a.offer == nil:
		case a.server == preferred && r.Prefix != 0 && !a.offer.none:
			return a.offer
		case best == nil || best.none || !a.offer.none && a.offer.at < best.at:
			best = a.offer
		}
	}
	return best
}

// isHopeless reports whether each engine that was asked for a slot said that the request cannot be
// served before its deadline, and no other is to be asked.
func (c *Core) isHopeless(r *request) bool {
	if r.MayHaveRun || c.weighted != nil || !r.allOffersNone() {
		return false
	}
	return len(r.slotRequests) >= maxSlotRequests || len(c.unaskedServers(r)) == 0
}

// allOffersNone reports whether each engine that was asked for a slot said that the request cannot be
// served before its deadline.
func (r *request) allOffersNone() bool {
	return len(r.slotRequests) > 0 && !slices.ContainsFunc(r.slotRequests, func(a *slotRequest) bool {
		return a.state == slotRequested || a.offer == nil || !a.offer.none
	})
}

// busyError returns the refusal of a request that got no slot in time.
func (c *Core) busyError(r *request) *verdict.Error {
	offer := c.bestOffer(r)
	if offer == nil {
		return errBusy.WithRetryAfter(c.busyRetryAfter(r))
	}
	left := r.Deadline - c.now
	if offer.none && len(c.unaskedServers(r)) > 0 {
		// A retry may ask engines that have capacity, at a time that its caller honors.
		return errBusy.WithReturn(returns.Decide(returns.Refusal{Ready: left / 2, Remaining: left}, c.rng.Float64()))
	}
	if offer.none {
		return errBusy.WithReturn(returns.Decide(returns.Refusal{Ready: -1, Remaining: left}, 0))
	}
	after := offer.at - c.now
	if after < minRetryAfter {
		// The estimate was too early, for all that waited with this request.
		after = c.retryAfter()
	}
	what := returns.Later
	if after+c.timeAlone(r) <= r.arrivedAt+r.Target-c.now {
		what = returns.InTarget
	}
	return errBusy.WithReturn(what, after)
}

// timeAlone returns the time to the first event of a request at an idle average engine that has its shared
// prefix.
func (c *Core) timeAlone(r *request) time.Duration {
	load := enginemodel.Load{PrefillTokens: max(0, r.Prompt-r.Shared)}
	return c.service(r.Service).average.Predict(c.now, load).Expected
}

// promiseReturn remembers a refusal that told its caller when to return.
func (c *Core) promiseReturn(r *request, err *verdict.Error) {
	if err.Return == returns.InTarget || err.Return == returns.Later {
		c.addPromise(r, c.now+err.RetryAfter)
	}
}

func (c *Core) addPromise(r *request, due time.Duration) {
	svc := c.service(r.Service)
	// Without a shared prefix no backend server is preferred, and the request may return to any.
	if r.Key == 0 || r.Prefix == 0 || !svc.engine || c.weighted != nil || len(c.promises) >= maxPromisesPerTick {
		return
	}
	s := c.preferredServer(svc, r)
	if s == nil {
		return
	}
	c.promises = append(c.promises, promisedReturn{
		server: s, key: r.Key, account: r.account, tokens: max(0, r.Prompt-r.Shared), arrivedAt: r.arrivedAt, due: due, deadline: r.Deadline,
	})
}

// sendPromises reports the refusals since the last tick to the owners of the preferred backend
// servers. Those whose callers were to return in the meantime, as after a pause, are dropped.
func (c *Core) sendPromises() {
	if len(c.promises) == 0 {
		return
	}
	byOwner := map[string]*wire.ReturnPromise{}
	var owners []string
	for i := range c.promises {
		p := &c.promises[i]
		if p.due <= c.now {
			continue
		}
		m, ok := byOwner[p.server.owner]
		if !ok {
			m = &wire.ReturnPromise{}
			byOwner[p.server.owner] = m
			owners = append(owners, p.server.owner)
		}
		m.Promises = append(m.Promises, wire.Promise{
			Server: p.server.key, Key: p.key, Account: p.account, Tokens: p.tokens, ElapsedMillis: (c.now - p.arrivedAt).Milliseconds(),
			DueMillis: (p.due - c.now).Milliseconds(), DeadlineMillis: (p.deadline - c.now).Milliseconds(),
		})
	}
	c.promises = c.promises[:0]
	for _, owner := range owners {
		c.send(owner, byOwner[owner])
	}
}

// Refusal is a request that was refused before it reached Step, and whose caller was told when to
// return. Times are those of Step.
type Refusal struct {
	Service, Account         string
	Regions                  table.RegionSet
	Prefix, Key              uint64
	Prompt, Shared           int64
	ArrivedAt, Due, Deadline time.Duration
}

// EarlyRefusals reports refusals to the owners of the preferred backend servers.
type EarlyRefusals struct{ List []Refusal }

func (e EarlyRefusals) apply(c *Core) {
	orders := c.work.Orders
	for i := range e.List {
		x := &e.List[i]
		r := &request{arrivedAt: x.ArrivedAt, account: wire.HashName(x.Account), Request: Request{
			Service: x.Service, Regions: x.Regions, Prefix: x.Prefix, Key: x.Key, Prompt: x.Prompt, Shared: x.Shared, Deadline: x.Deadline,
		}}
		if c.work.Orders-orders >= maxOrdersPerTick && !c.service(r.Service).hasOrder(r) {
			continue
		}
		c.addPromise(r, x.Due)
	}
}

// hasOrder reports whether the order of preference for a request is cached.
func (svc *service) hasOrder(r *request) bool {
	_, ok := svc.orders[orderKey{r.Prefix, r.candidates()}]
	return ok
}
