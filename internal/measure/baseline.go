package measure

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/router"
	"github.com/yarrowmast/yarrowmast/pkg/fair"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// baseline is a scheduler to compare the fleet with. A central one serves all routers and knows the
// whole state. A local one serves one router, shares only among its own callers, and knows the use
// of backend servers by other routers from the load that they report.
type baseline struct {
	cluster *cluster
	// local reports whether other schedulers use the same backend servers.
	local bool
	stop  chan struct{}

	mu      sync.Mutex
	nextID  uint64
	servers []*baselineServer
	models  map[string]*baselineModel
	running map[uint64]*baselineRequest
}

type baselineServer struct {
	table.Backend
	// started counts the requests that run by this scheduler, reportedLoad those of others
	// according to the server.
	started      int
	reportedLoad int
}

type baselineModel struct {
	queue      *fair.Queue
	waiting    map[string][]*baselineRequest
	meanTokens float64
}

type baselineRequest struct {
	front.Request
	id      uint64
	zone    string
	arrived time.Time
	granted chan front.Grant
	server  *baselineServer
	served  *atomic.Int64
	charged float64
}

const (
	chargeInterval = 50 * time.Millisecond
	initialMean    = 100
	meanWeight     = 0.1
)

// newBaseline returns a central scheduler, or a local one for a router.
func newBaseline(c *cluster, name string) *baseline {
	b := &baseline{
		cluster: c, local: name != "", stop: make(chan struct{}),
		models: map[string]*baselineModel{}, running: map[uint64]*baselineRequest{},
	}
	for _, s := range c.table.Backends {
		b.servers = append(b.servers, &baselineServer{Backend: s})
		if b.models[s.Models[0]] == nil {
			m := &baselineModel{queue: fair.New(), waiting: map[string][]*baselineRequest{}, meanTokens: initialMean}
			for _, a := range c.table.Accounts {
				m.queue.SetWeight(a.Name, a.Weight)
			}
			b.models[s.Models[0]] = m
		}
	}
	go b.run()
	return b
}

func (b *baseline) close() { close(b.stop) }

// run updates charges by the tokens served, and reads loads if the scheduler is local.
func (b *baseline) run() {
	charge := time.NewTicker(chargeInterval)
	defer charge.Stop()
	load := time.NewTicker(router.DefaultLoadInterval)
	defer load.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-charge.C:
			b.chargeAll()
		case <-load.C:
			b.readLoads()
		}
	}
}

func (b *baseline) readLoads() {
	if !b.local {
		return
	}
	loads := backend.NewLoadReader(b.cluster.fabric.Dialer("", ""))
	defer loads.Close()
	for _, s := range b.servers {
		n, err := loads.Load(context.Background(), s.Backend)
		b.mu.Lock()
		if err == nil {
			s.reportedLoad = max(0, n-s.started)
		}
		b.dispatch(b.models[s.Models[0]])
		b.mu.Unlock()
	}
}

func (b *baseline) chargeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.running {
		b.charge(r, max(r.charged, float64(r.served.Load())))
	}
}

func (b *baseline) charge(r *baselineRequest, total float64) {
	b.models[r.Model].queue.Charge(r.Account, total-r.charged)
	r.charged = total
}

// dispatch starts waiting requests while there are free slots, first for the account with the
// least service.
func (b *baseline) dispatch(m *baselineModel) {
	for {
		next, ok := m.queue.Min()
		if !ok {
			return
		}
		if !b.startOne(m, next.Name) {
			return
		}
	}
}

func (b *baseline) startOne(m *baselineModel, account string) bool {
	for i, r := range m.waiting[account] {
		s := b.mostFree(r)
		if s == nil {
			continue
		}
		m.waiting[account] = append(m.waiting[account][:i:i], m.waiting[account][i+1:]...)
		if len(m.waiting[account]) == 0 {
			m.queue.Deactivate(account)
		}
		r.server = s
		s.started++
		b.running[r.id] = r
		b.charge(r, m.meanTokens)
		r.granted <- front.Grant{
			ID: r.id, Backend: s.Name, Address: s.Address, Served: r.served,
			MayStart: func() bool { return true }, Waited: r.Waited + time.Since(r.arrived),
		}
		return true
	}
	return false
}

func (b *baseline) mostFree(r *baselineRequest) *baselineServer {
	var best *baselineServer
	for _, s := range b.servers {
		if s.Models[0] != r.Model || !b.available(s, r.zone) || s.free() <= 0 {
			continue
		}
		if best == nil || s.free() > best.free() {
			best = s
		}
	}
	return best
}

func (s *baselineServer) free() int { return s.Slots - s.started - s.reportedLoad }

func (b *baseline) available(s *baselineServer, zone string) bool {
	return b.cluster.reachable(zone, s.Zone) && b.cluster.serving(s.Name)
}

// schedulerFor returns a constructor of the scheduler for a router in a zone.
func (b *baseline) schedulerFor(zone string) func(*router.Router) front.Scheduler {
	return func(r *router.Router) front.Scheduler { return &baselineScheduler{b: b, zone: zone, router: r} }
}

// baselineScheduler implements front.Scheduler for one router.
type baselineScheduler struct {
	b      *baseline
	zone   string
	router *router.Router
}

// Table implements front.Scheduler.
func (x *baselineScheduler) Table() *table.Table { return x.router.Table() }

// CheckAdmission implements front.Scheduler. It admits every request.
func (x *baselineScheduler) CheckAdmission(front.Request) *verdict.Error { return nil }

// Overloaded implements front.Scheduler.
func (x *baselineScheduler) Overloaded() bool { return false }

// MayForward implements front.Scheduler. It forwards nothing.
func (x *baselineScheduler) MayForward(front.Request) bool { return false }

// Shedding implements front.Scheduler.
func (x *baselineScheduler) Shedding() bool { return false }

// Resume implements front.Scheduler.
func (x *baselineScheduler) Resume(_ context.Context, r front.Resumption) (front.Continuation, error) {
	return front.Continuation{Service: r.Service}, nil
}

// StreamBegan implements front.Scheduler.
func (x *baselineScheduler) StreamBegan(front.StreamStart) {}

// SpendRetry implements front.Scheduler.
func (x *baselineScheduler) SpendRetry(front.Request) bool { return true }

// Claim implements front.Scheduler.
func (x *baselineScheduler) Claim(context.Context, front.Claim) error { return nil }

// Unclaim implements front.Scheduler.
func (x *baselineScheduler) Unclaim(front.Claim) {}

// Acquire implements front.Scheduler.
func (x *baselineScheduler) Acquire(ctx context.Context, req front.Request) (front.Grant, error) {
	b := x.b
	b.mu.Lock()
	m := b.models[req.Model]
	b.nextID++
	r := &baselineRequest{Request: req, id: b.nextID, zone: x.zone, arrived: time.Now(), granted: make(chan front.Grant, 1), served: &atomic.Int64{}}
	m.waiting[req.Account] = append(m.waiting[req.Account], r)
	m.queue.Activate(req.Account, true)
	b.dispatch(m)
	b.mu.Unlock()
	select {
	case g := <-r.granted:
		return g, nil
	case <-ctx.Done():
	}
	return front.Grant{}, x.cancel(ctx, m, r)
}

func (x *baselineScheduler) cancel(ctx context.Context, m *baselineModel, r *baselineRequest) error {
	b := x.b
	b.mu.Lock()
	for i, w := range m.waiting[r.Account] {
		if w == r {
			m.waiting[r.Account] = append(m.waiting[r.Account][:i:i], m.waiting[r.Account][i+1:]...)
		}
	}
	if len(m.waiting[r.Account]) == 0 {
		m.queue.Deactivate(r.Account)
	}
	b.mu.Unlock()
	if r.server != nil {
		x.Release(front.Grant{ID: r.id}, front.Usage{})
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.PhaseQueue, http.StatusGatewayTimeout, "deadline", "the deadline passed")
	}
	return ctx.Err()
}

// Release implements front.Scheduler.
func (x *baselineScheduler) Release(g front.Grant, u front.Usage) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[g.ID]
	if !ok {
		return
	}
	delete(b.running, g.ID)
	r.server.started--
	b.charge(r, float64(u.Tokens))
	m := b.models[r.Model]
	if u.Sent {
		m.meanTokens += meanWeight * (float64(u.Tokens) - m.meanTokens)
	}
	b.dispatch(m)
}
