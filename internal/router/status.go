package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// statusInterval is the interval between updates of the status.
const statusInterval = 250 * time.Millisecond

// snapshot is the state that other goroutines may read.
type snapshot struct {
	table  atomic.Pointer[table.Table]
	reader atomic.Bool
	status atomic.Pointer[Status]

	mu     sync.Mutex
	counts map[string]int64
}

// Status is the state of one router, for operators.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Table is the revision in force, 0 if there is none.
	Table uint64 `json:"table"`
	// RefusedTable is the newest rejected revision, 0 if there is none; Refusal
	// is the reason.
	RefusedTable uint64 `json:"refused_table,omitempty"`
	Refusal      string `json:"refusal,omitempty"`
	Reader       bool   `json:"table_reader"`
	Draining     bool   `json:"draining"`
	// Members is the zone as this router sees it.
	Members []member.Status `json:"members"`
	// Pools lists the owned pools, Accounts the state of each account, by pool.
	Pools    []string                        `json:"pools"`
	Accounts map[string][]pool.AccountStatus `json:"accounts"`
	// Owner is the sum of the owned pools' counts.
	Owner pool.Stats `json:"owner"`
	// Waiting is the number of waiting requests, by model and account.
	Waiting map[string]map[string]int `json:"waiting"`
	// Backends is the use of each backend server of the table.
	Backends map[string]BackendStatus `json:"backends"`
	// TableAgeMillis is how long the table has been in force here.
	TableAgeMillis int64 `json:"table_age_ms"`
	// Leases and IdleLeases are the numbers of held and of idle leases.
	Leases     int `json:"leases"`
	IdleLeases int `json:"idle_leases"`
	// Counts contains the router's counters, by name.
	Counts map[string]int64 `json:"counts"`
}

// BackendStatus is one router's use of a backend server.
type BackendStatus struct {
	Mark    string `json:"mark"`
	Running int    `json:"running"`
	// OldestMillis is the age of the oldest running request.
	OldestMillis int64 `json:"oldest_ms"`
	// Leases is the number of held leases that no request uses.
	Leases int `json:"leases"`
}

func (c *core) backendStatus() map[string]BackendStatus {
	all := map[string]BackendStatus{}
	if c.table != nil {
		for _, b := range c.table.Backends {
			all[b.Name] = BackendStatus{Mark: string(b.Mark)}
		}
	}
	for name, u := range c.holder.Usage() {
		b := all[name]
		b.Running, b.Leases, b.OldestMillis = u.Running, u.Leases, u.Oldest.Milliseconds()
		all[name] = b
	}
	return all
}

func (r *Router) count(name string) {
	r.snapshot.mu.Lock()
	defer r.snapshot.mu.Unlock()
	if r.snapshot.counts == nil {
		r.snapshot.counts = map[string]int64{}
	}
	r.snapshot.counts[name]++
}

func (r *Router) counts() map[string]int64 {
	r.snapshot.mu.Lock()
	defer r.snapshot.mu.Unlock()
	all := make(map[string]int64, len(r.snapshot.counts))
	for k, v := range r.snapshot.counts {
		all[k] = v
	}
	return all
}

// Status returns the last published status.
func (r *Router) Status() Status {
	if s := r.snapshot.status.Load(); s != nil {
		return *s
	}
	return Status{Name: r.id.Name, Zone: r.id.Zone, Incarnation: r.id.Incarnation}
}

// State returns the status for the admin listener.
func (r *Router) State() any { return r.Status() }

// Overloaded returns false: this scheduler queues requests instead of refusing
// them when it is overloaded.
func (r *Router) Overloaded() bool { return false }

// MayForward implements front.Scheduler. Requests are never forwarded.
func (r *Router) MayForward(front.Request) bool { return false }

// Shedding implements front.Scheduler. This scheduler does not shed load.
func (r *Router) Shedding() bool { return false }

// Draining reports whether the router is stopping.
func (r *Router) Draining() bool { return r.Status().Draining }

func (c *core) snapshotIfDue() {
	if c.now-c.lastSnapshot < statusInterval {
		return
	}
	c.lastSnapshot = c.now
	s := &Status{
		Name: c.r.id.Name, Zone: c.r.id.Zone, Incarnation: c.r.id.Incarnation,
		Table: c.sync.Revision(), Reader: c.sync.Reader(), Draining: c.draining,
		Members: c.members.Statuses(), Waiting: c.holder.Waiting(), Backends: c.backendStatus(), Counts: c.r.counts(),
		Accounts: map[string][]pool.AccountStatus{},
	}
	if bad := c.sync.LastRejected(); bad != nil {
		s.RefusedTable = bad.Revision
		s.Refusal = bad.Err.Error()
	}
	if c.table != nil {
		s.TableAgeMillis = (c.now - c.tableSince).Milliseconds()
	}
	s.Leases, s.IdleLeases = c.holder.Leases()
	for p, o := range c.owners {
		s.Pools = append(s.Pools, p.String())
		s.Accounts[p.String()] = o.Accounts()
		s.Owner.Add(o.Stats())
	}
	c.r.snapshot.status.Store(s)
}

// Drain makes the router leave: it hands over its pools, returns its idle
// leases and refuses the waiting requests. Running requests continue.
func (r *Router) Drain() {
	done := make(chan struct{})
	if !r.post(drain{done}) {
		return
	}
	select {
	case <-done:
	case <-r.ctx.Done():
	}
}

// TotalWaiting returns the number of waiting requests.
func (s *Status) TotalWaiting() int {
	n := 0
	for _, accounts := range s.Waiting {
		for _, k := range accounts {
			n += k
		}
	}
	return n
}

// TotalRunning returns the number of running requests.
func (s *Status) TotalRunning() int {
	n := 0
	for _, b := range s.Backends {
		n += b.Running
	}
	return n
}
