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
	loadInterval = time.Second
	// ownedEvery is the interval at which is looked which backend servers are owned.
	ownedCheckInterval = 200 * time.Millisecond
)

// WithLoadReader makes the router poll the load of the backend servers that it owns.
func WithLoadReader(l LoadReader) Option { return func(o *options) { o.loadReader = l } }

// followLoads starts and ends the readers, one for each backend server that is owned.
func (s *state) updateLoadReaders() {
	if s.d.opt.loadReader == nil || s.now-s.ownedCheckedAt < ownedCheckInterval {
		return
	}
	s.ownedCheckedAt = s.now
	owned := make(map[string]bool, len(s.loadReaders))
	for _, b := range s.core.OwnedBackends() {
		owned[b.Name] = true
		if _, ok := s.loadReaders[b.Name]; !ok {
			s.loadReaders[b.Name] = s.d.startLoadReader(b)
		}
	}
	for name, end := range s.loadReaders {
		if !owned[name] {
			end()
			delete(s.loadReaders, name)
		}
	}
}

// readLoads starts the task that reads a backend server's load.
func (d *Dispatcher) startLoadReader(b table.Backend) (end context.CancelFunc) {
	ctx, end := context.WithCancel(d.ctx)
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		for ctx.Err() == nil {
			n, err := d.opt.loadReader.Load(ctx, b)
			if err != nil {
				d.opt.log.Debug("load_unreadable", "backend", b.Name, "error", err)
			} else {
				d.post(loadEvent{b.Name, n})
			}
			select {
			case <-time.After(loadInterval):
			case <-ctx.Done():
			}
		}
	}()
	return end
}

type loadEvent struct {
	backend  string
	inFlight int
}

func (e loadEvent) apply(s *state) {
	s.step(admit.BackendLoad{Backend: e.backend, InFlight: e.inFlight})
}
