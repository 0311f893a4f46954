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

// statusEvery is the interval at which the status for operators is renewed.
const statusEvery = 250 * time.Millisecond

// snapshot is what other tasks may read of the core.
type snapshot struct {
	table  atomic.Pointer[table.Table]
	reader atomic.Bool
	status atomic.Pointer[Status]

	mu     sync.Mutex
	counts map[string]int64
}

// Status is one router's state, for operators.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Table is the revision in force, 0 before there is one.
	Table uint64 `json:"table"`
	// RefusedTable is the newest refused edit, 0 if none; Refusal says why.
	RefusedTable uint64 `json:"refused_table,omitempty"`
	Refusal      string `json:"refusal,omitempty"`
	Reader       bool   `json:"table_reader"`
	Draining     bool   `json:"draining"`
	// Members is the zone as this router sees it.
	Members []member.Status `json:"members"`
	// Pools lists the owned pools, Accounts what their owner knows of each
	// account, by pool.
	Pools    []string                        `json:"pools"`
	Accounts map[string][]pool.AccountStatus `json:"accounts"`
	// Owner counts what the owners of pools did here.
	Owner pool.Stats `json:"owner"`
	// Waiting counts waiting requests by model and account.
	Waiting map[string]map[string]int `json:"waiting"`
	// Backends is what is done on each backend server of the table.
	Backends map[string]BackendStatus `json:"backends"`
	// TableAgeMillis is how long the table has been in force here.
	TableAgeMillis int64 `json:"table_age_ms"`
	// Leases and IdleLeases count what is held.
	Leases     int `json:"leases"`
	IdleLeases int `json:"idle_leases"`
	// Counts are the router's counters by name.
	Counts map[string]int64 `json:"counts"`
}

// BackendStatus is one backend server as one router uses it.
type BackendStatus struct {
	Mark    string `json:"mark"`
	Running int    `json:"running"`
	// OldestMillis is how long the oldest request has run.
	OldestMillis int64 `json:"oldest_ms"`
	// Leases are held and not used.
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

// Status returns the state as it was a moment ago.
func (r *Router) Status() Status {
	if s := r.snapshot.status.Load(); s != nil {
		return *s
	}
	return Status{Name: r.id.Name, Zone: r.id.Zone, Incarnation: r.id.Incarnation}
}

// State is Status for the admin listener.
func (r *Router) State() any { return r.Status() }

// Overloaded is false: these routers queue what they cannot do.
func (r *Router) Overloaded() bool { return false }

// MayForward implements front.Scheduler: nothing is handed on.
func (r *Router) MayForward(front.Request) bool { return false }

// Shedding implements front.Scheduler; it does not measure that.
func (r *Router) Shedding() bool { return false }

// Draining reports whether the router is stopping.
func (r *Router) Draining() bool { return r.Status().Draining }

func (c *core) snapshotIfDue() {
	if c.now-c.snapped < statusEvery {
		return
	}
	c.snapped = c.now
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
		s.TableAgeMillis = (c.now - c.tableAt).Milliseconds()
	}
	s.Leases, s.IdleLeases = c.holder.Leases()
	for p, o := range c.owners {
		s.Pools = append(s.Pools, p.String())
		s.Accounts[p.String()] = o.Accounts()
		s.Owner.Add(o.Stats())
	}
	c.r.snapshot.status.Store(s)
}

// Drain makes the router leave: it owns nothing more, hands its leases back
// and refuses what waits. What runs goes on.
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

// TotalWaiting returns how many requests wait.
func (s *Status) TotalWaiting() int {
	n := 0
	for _, accounts := range s.Waiting {
		for _, k := range accounts {
			n += k
		}
	}
	return n
}

// TotalRunning returns how many requests run.
func (s *Status) TotalRunning() int {
	n := 0
	for _, b := range s.Backends {
		n += b.Running
	}
	return n
}
