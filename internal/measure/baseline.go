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

// baseline is a scheduler without a fleet. As central, one of it serves all
// routers and sees everything at once. As local, each router has its own,
// which is fair among its own callers and knows backend servers only by the
// load that they report.
type baseline struct {
	cluster *cluster
	// local says that backend servers are shared with others.
	local bool
	stop  chan struct{}

	mu      sync.Mutex
	nextID  uint64
	servers []*baseServer
	models  map[string]*baseModel
	running map[uint64]*baseRequest
}

type baseServer struct {
	table.Backend
	// used is what was started from here, reported what the server said.
	used     int
	reported int
}

type baseModel struct {
	queue   *fair.Queue
	waiting map[string][]*baseRequest
	mean    float64
}

type baseRequest struct {
	front.Request
	id      uint64
	zone    string
	arrived time.Time
	answer  chan front.Grant
	server  *baseServer
	served  *atomic.Int64
	charged float64
}

const (
	settleEvery   = 50 * time.Millisecond
	firstEstimate = 100
	meanGain      = 0.1
)

// newBaseline returns a central scheduler, or a local one for a router.
func newBaseline(c *cluster, name string) *baseline {
	b := &baseline{
		cluster: c, local: name != "", stop: make(chan struct{}),
		models: map[string]*baseModel{}, running: map[uint64]*baseRequest{},
	}
	for _, s := range c.table.Backends {
		b.servers = append(b.servers, &baseServer{Backend: s})
		if b.models[s.Models[0]] == nil {
			m := &baseModel{queue: fair.New(), waiting: map[string][]*baseRequest{}, mean: firstEstimate}
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

// run settles charges as tokens come; a local one also reads loads.
func (b *baseline) run() {
	settle := time.NewTicker(settleEvery)
	defer settle.Stop()
	load := time.NewTicker(router.DefaultLoadInterval)
	defer load.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-settle.C:
			b.settleAll()
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
			s.reported = max(0, n-s.used)
		}
		b.dispatch(b.models[s.Models[0]])
		b.mu.Unlock()
	}
}

func (b *baseline) settleAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.running {
		b.settle(r, max(r.charged, float64(r.served.Load())))
	}
}

func (b *baseline) settle(r *baseRequest, due float64) {
	b.models[r.Model].queue.Charge(r.Account, due-r.charged)
	r.charged = due
}

// dispatch starts waiting requests while there are free slots, the account
// with the least service first.
func (b *baseline) dispatch(m *baseModel) {
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

func (b *baseline) startOne(m *baseModel, account string) bool {
	for i, r := range m.waiting[account] {
		s := b.roomiest(r)
		if s == nil {
			continue
		}
		m.waiting[account] = append(m.waiting[account][:i:i], m.waiting[account][i+1:]...)
		if len(m.waiting[account]) == 0 {
			m.queue.Deactivate(account)
		}
		r.server = s
		s.used++
		b.running[r.id] = r
		b.settle(r, m.mean)
		r.answer <- front.Grant{
			ID: r.id, Backend: s.Name, Address: s.Address, Served: r.served,
			MayStart: func() bool { return true }, Waited: r.Waited + time.Since(r.arrived),
		}
		return true
	}
	return false
}

func (b *baseline) roomiest(r *baseRequest) *baseServer {
	var best *baseServer
	for _, s := range b.servers {
		if s.Models[0] != r.Model || !b.open(s, r.zone) || s.free() <= 0 {
			continue
		}
		if best == nil || s.free() > best.free() {
			best = s
		}
	}
	return best
}

func (s *baseServer) free() int { return s.Slots - s.used - s.reported }

func (b *baseline) open(s *baseServer, zone string) bool {
	return b.cluster.reachable(zone, s.Zone) && b.cluster.serving(s.Name)
}

// schedulerFor returns the baseline as the scheduler of a router in a zone.
func (b *baseline) schedulerFor(zone string) func(*router.Router) front.Scheduler {
	return func(r *router.Router) front.Scheduler { return &baselineAt{b: b, zone: zone, router: r} }
}

// baselineAt is a baseline as one router uses it.
type baselineAt struct {
	b      *baseline
	zone   string
	router *router.Router
}

// Table implements front.Scheduler.
func (x *baselineAt) Table() *table.Table { return x.router.Table() }

// CheckAdmission implements front.Scheduler: every request is taken.
func (x *baselineAt) CheckAdmission(front.Request) *verdict.Error { return nil }

// Overloaded implements front.Scheduler: these routers queue all they get.
func (x *baselineAt) Overloaded() bool { return false }

// MayForward implements front.Scheduler: nothing is handed on.
func (x *baselineAt) MayForward(front.Request) bool { return false }

// Shedding implements front.Scheduler.
func (x *baselineAt) Shedding() bool { return false }

// SpendRetry implements front.Scheduler.
func (x *baselineAt) SpendRetry(front.Request) bool { return true }

// Claim implements front.Scheduler.
func (x *baselineAt) Claim(context.Context, front.Claim) error { return nil }

// Unclaim implements front.Scheduler.
func (x *baselineAt) Unclaim(front.Claim) {}

// Acquire implements front.Scheduler.
func (x *baselineAt) Acquire(ctx context.Context, req front.Request) (front.Grant, error) {
	b := x.b
	b.mu.Lock()
	m := b.models[req.Model]
	b.nextID++
	r := &baseRequest{Request: req, id: b.nextID, zone: x.zone, arrived: time.Now(), answer: make(chan front.Grant, 1), served: &atomic.Int64{}}
	m.waiting[req.Account] = append(m.waiting[req.Account], r)
	m.queue.Activate(req.Account, true)
	b.dispatch(m)
	b.mu.Unlock()
	select {
	case g := <-r.answer:
		return g, nil
	case <-ctx.Done():
	}
	return front.Grant{}, x.giveUp(ctx, m, r)
}

func (x *baselineAt) giveUp(ctx context.Context, m *baseModel, r *baseRequest) error {
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
func (x *baselineAt) Release(g front.Grant, u front.Usage) {
	b := x.b
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[g.ID]
	if !ok {
		return
	}
	delete(b.running, g.ID)
	r.server.used--
	b.settle(r, float64(u.Tokens))
	m := b.models[r.Model]
	if u.Sent {
		m.mean += meanGain * (float64(u.Tokens) - m.mean)
	}
	b.dispatch(m)
}
