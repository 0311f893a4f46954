// Package hold decides for one router which of its callers' waiting requests
// starts on which lease, and what the owners of pools are told. It is a pure
// state machine: events and the time go in, actions come out.
package hold

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Holder is the state of a router towards its callers.
type Holder struct {
	opt      options
	now      time.Duration
	models   map[string]*model
	requests map[uint64]*request
	leases   map[key]*held
	// byPool lists the leases of each pool, idle or running.
	byPool   map[wire.Pool]*lent
	lenders  map[wire.Pool]Home
	zone     string
	closed   map[string]bool
	limited  map[string]bool
	prefixes *prefixes
	queued   map[string]int
	lastTell time.Duration
	draining bool
	out      []Action
}

// model is what waits and what is free for one model.
type model struct {
	name   string
	home   Home
	seq    uint64
	seen   uint64
	queues map[string]*queue
	// told is the count that the owner believes: the last one sent less the
	// grants since. An account is in dirty if its queue has changed since.
	told    map[string]int
	dirty   map[string]bool
	needAll bool
	rounds  int
	// idle lists standing leases that no request uses.
	idle []*held
}

// lent is the leases of one pool and what is still to be told of them.
type lent struct {
	held  map[key]*held
	ended map[wire.Source][]wire.LeaseUse
}

// key identifies a lease in the whole fleet.
type key struct {
	source wire.Source
	id     uint64
}

// held is a lease at its holder.
type held struct {
	wire.Lease
	source wire.Source
	// ttl is how long a renewal lasts.
	ttl time.Duration
	// state follows the chart in pkg/chart/lease.yaml.
	state chart.State
	// expires is when no request may start on it any more.
	expires  time.Duration
	standing bool
	recalled bool
	request  *request
	started  time.Duration
	tokens   int64
	// owner is who gets the lease back: the grantor, or its successor.
	owner string
}

// New returns the state of a router that holds nothing.
func New(opts ...Option) *Holder {
	h := &Holder{
		opt:      defaults(),
		models:   map[string]*model{},
		requests: map[uint64]*request{},
		leases:   map[key]*held{},
		byPool:   map[wire.Pool]*lent{},
		lenders:  map[wire.Pool]Home{},
		queued:   map[string]int{},
	}
	for _, f := range opts {
		f(&h.opt)
	}
	h.prefixes = newPrefixes(h.opt.prefixes)
	return h
}

// Step takes one event at the time now and returns what to do. The returned
// slice is valid until the next Step.
func (h *Holder) Step(now time.Duration, ev Event) []Action {
	h.now = max(h.now, now)
	h.out = h.out[:0]
	ev.apply(h)
	return h.out
}

// Queued returns how many requests of the account wait here.
func (h *Holder) Queued(account string) int { return h.queued[account] }

// Waiting returns how many requests wait, by model and account.
func (h *Holder) Waiting() map[string]map[string]int {
	all := map[string]map[string]int{}
	for name, m := range h.models {
		for account, q := range m.queues {
			if len(*q) == 0 {
				continue
			}
			if all[name] == nil {
				all[name] = map[string]int{}
			}
			all[name][account] = len(*q)
		}
	}
	return all
}

// Use is what this router does on one backend server.
type Use struct {
	// Running requests, and how long the oldest has run.
	Running int
	Oldest  time.Duration
	// Leases that no request uses now.
	Leases int
}

// Uses returns what this router does on each backend server.
func (h *Holder) Uses() map[string]Use {
	uses := map[string]Use{}
	for _, l := range h.leases {
		u := uses[l.Backend]
		if l.state == chart.Running {
			u.Running++
			u.Oldest = max(u.Oldest, h.now-l.started)
		} else {
			u.Leases++
		}
		uses[l.Backend] = u
	}
	return uses
}

// Leases returns how many leases are held, and how many of them are idle.
func (h *Holder) Leases() (all, idle int) {
	for _, m := range h.models {
		idle += len(m.idle)
	}
	return len(h.leases), idle
}

func (x *lent) takeEnded(s wire.Source) []wire.LeaseUse {
	e := x.ended[s]
	delete(x.ended, s)
	return e
}

func (l *held) key() key { return key{l.source, l.ID} }

func (h *Holder) act(a Action) { h.out = append(h.out, a) }

func (h *Holder) send(to string, msg any) {
	if to != "" {
		h.act(Send{To: to, Msg: msg})
	}
}

func (h *Holder) model(name string) *model {
	m, ok := h.models[name]
	if !ok {
		m = &model{name: name, queues: map[string]*queue{}, told: map[string]int{}, dirty: map[string]bool{}}
		h.models[name] = m
	}
	return m
}

func (m *model) queue(account string) *queue {
	q, ok := m.queues[account]
	if !ok {
		q = &queue{}
		m.queues[account] = q
	}
	return q
}

func (m *model) waiting() bool {
	for _, q := range m.queues {
		if len(*q) > 0 {
			return true
		}
	}
	return false
}

func (h *Holder) enqueue(r *request) {
	m := h.model(r.Model)
	m.queue(r.Account).add(r)
	m.dirty[r.Account] = true
	h.queued[r.Account]++
}

// dequeued keeps the counts after a request left its queue.
func (h *Holder) dequeued(r *request) {
	m := h.model(r.Model)
	m.dirty[r.Account] = true
	if len(*m.queue(r.Account)) == 0 {
		delete(m.queues, r.Account)
	}
	h.queued[r.Account]--
	if h.queued[r.Account] == 0 {
		delete(h.queued, r.Account)
	}
}

func (h *Holder) refuse(r *request, err *verdict.Error) {
	delete(h.requests, r.ID)
	h.act(Refuse{ID: r.ID, Err: err})
}

// move takes a lease along its chart. A transition that the chart lacks
// leaves the lease where it is and reports false.
func (l *held) move(on chart.Event) bool {
	next, err := chart.Lease.Next(l.state, on)
	if err != nil {
		return false
	}
	l.state = next
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
