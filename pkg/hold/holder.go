// Package hold decides for one router which waiting request starts on which
// lease, and which demands and reports it sends to the owners of pools. It is a
// pure state machine: events and times are its input, actions its output.
package hold

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Holder is the state of a router that holds leases.
type Holder struct {
	opt      options
	now      time.Duration
	models   map[string]*model
	requests map[uint64]*request
	leases   map[leaseKey]*lease
	// byPool contains the leases of each pool, idle or running.
	byPool     map[wire.Pool]*poolLeases
	poolOwners map[wire.Pool]PoolOwner
	zone       string
	closed     map[string]bool
	limited    map[string]bool
	prefixes   *prefixAffinity
	queued     map[string]int
	lastReport time.Duration
	draining   bool
	out        []Action
}

// model contains the waiting requests and idle leases of one model.
type model struct {
	name      string
	poolOwner PoolOwner
	seq       uint64
	seen      uint64
	queues    map[string]*queue
	// reported is the count that the owner currently assumes: the last one
	// sent, less the grants since. dirty contains the accounts whose queue has
	// changed since.
	reported map[string]int
	dirty    map[string]bool
	fullDue  bool
	rounds   int
	// idle contains the standing leases that no request uses.
	idle []*lease
}

// poolLeases contains the leases of one pool and the uses to report.
type poolLeases struct {
	leases map[leaseKey]*lease
	ended  map[wire.Source][]wire.LeaseUse
}

// leaseKey identifies a lease in the whole fleet.
type leaseKey struct {
	source wire.Source
	id     uint64
}

// lease is a granted lease at its holder.
type lease struct {
	wire.Lease
	source wire.Source
	// ttl is the duration of a renewal.
	ttl time.Duration
	// state follows the state chart in pkg/chart/lease.yaml.
	state chart.State
	// expires is when requests can no longer start on the lease.
	expires  time.Duration
	standing bool
	recalled bool
	request  *request
	started  time.Duration
	tokens   int64
	// owner is the router to return the lease to: the one that granted it, or
	// its successor.
	owner string
}

// New returns a Holder without leases.
func New(opts ...Option) *Holder {
	h := &Holder{
		opt:        defaults(),
		models:     map[string]*model{},
		requests:   map[uint64]*request{},
		leases:     map[leaseKey]*lease{},
		byPool:     map[wire.Pool]*poolLeases{},
		poolOwners: map[wire.Pool]PoolOwner{},
		queued:     map[string]int{},
	}
	for _, f := range opts {
		f(&h.opt)
	}
	h.prefixes = newPrefixAffinity(h.opt.prefixes)
	return h
}

// Step applies one event at the time now and returns the actions to execute.
// The returned slice is valid until the next Step.
func (h *Holder) Step(now time.Duration, ev Event) []Action {
	h.now = max(h.now, now)
	h.out = h.out[:0]
	ev.apply(h)
	return h.out
}

// Queued returns the number of waiting requests of the account.
func (h *Holder) Queued(account string) int { return h.queued[account] }

// Waiting returns the number of waiting requests, by model and account.
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

// BackendUsage is this router's use of one backend server.
type BackendUsage struct {
	// Running is the number of running requests, Oldest the age of the oldest.
	Running int
	Oldest  time.Duration
	// Leases is the number of leases that no request uses.
	Leases int
}

// Usage returns this router's use of each backend server.
func (h *Holder) Usage() map[string]BackendUsage {
	uses := map[string]BackendUsage{}
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

// Leases returns the number of held leases and how many of them are idle.
func (h *Holder) Leases() (all, idle int) {
	for _, m := range h.models {
		idle += len(m.idle)
	}
	return len(h.leases), idle
}

func (x *poolLeases) takeEnded(s wire.Source) []wire.LeaseUse {
	e := x.ended[s]
	delete(x.ended, s)
	return e
}

func (l *lease) key() leaseKey { return leaseKey{l.source, l.ID} }

func (h *Holder) emit(a Action) { h.out = append(h.out, a) }

func (h *Holder) send(to string, msg any) {
	if to != "" {
		h.emit(Send{To: to, Msg: msg})
	}
}

func (h *Holder) model(name string) *model {
	m, ok := h.models[name]
	if !ok {
		m = &model{name: name, queues: map[string]*queue{}, reported: map[string]int{}, dirty: map[string]bool{}}
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

// afterDequeue updates the counts after a request has left its queue.
func (h *Holder) afterDequeue(r *request) {
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
	h.emit(Refuse{ID: r.ID, Err: err})
}

// transition applies an event to the lease's state. It reports whether the
// state chart allows the event; if not, the state stays.
func (l *lease) transition(on chart.Event) bool {
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
