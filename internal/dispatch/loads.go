package dispatch

import (
	"context"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// LoadReader reads the number of running requests that a backend server reports.
type LoadReader interface {
	Load(ctx context.Context, b table.Backend) (inFlight int, err error)
}

const (
	// loadEvery is the interval at which the owner of a backend server reads its load.
	loadEvery = time.Second
	// ownedEvery is the interval at which is looked which backend servers are owned.
	ownedEvery = 200 * time.Millisecond
)

// WithLoadReader makes the router poll the load of the backend servers that it owns.
func WithLoadReader(l LoadReader) Option { return func(o *options) { o.loads = l } }

// followLoads starts and ends the readers, one for each backend server that is owned.
func (s *state) followLoads() {
	if s.d.opt.loads == nil || s.now-s.ownedAt < ownedEvery {
		return
	}
	s.ownedAt = s.now
	owned := make(map[string]bool, len(s.loads))
	for _, b := range s.core.OwnedBackends() {
		owned[b.Name] = true
		if _, ok := s.loads[b.Name]; !ok {
			s.loads[b.Name] = s.d.readLoads(b)
		}
	}
	for name, end := range s.loads {
		if !owned[name] {
			end()
			delete(s.loads, name)
		}
	}
}

// readLoads starts the task that reads a backend server's load.
func (d *Dispatcher) readLoads(b table.Backend) (end context.CancelFunc) {
	ctx, end := context.WithCancel(d.ctx)
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		for ctx.Err() == nil {
			n, err := d.opt.loads.Load(ctx, b)
			if err != nil {
				d.opt.log.Debug("load_unreadable", "backend", b.Name, "error", err)
			} else {
				d.post(loadRead{b.Name, n})
			}
			select {
			case <-time.After(loadEvery):
			case <-ctx.Done():
			}
		}
	}()
	return end
}

type loadRead struct {
	backend  string
	inFlight int
}

func (e loadRead) apply(s *state) {
	s.step(admit.BackendLoad{Backend: e.backend, InFlight: e.inFlight})
}
