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
	// loadInterval is the interval of reading the load of an owned backend server.
	loadInterval = time.Second
	// ownedCheckInterval is the interval of checking which backend servers are owned.
	ownedCheckInterval = 200 * time.Millisecond
)

// WithLoadReader makes the router poll the load of the backend servers that it owns.
func WithLoadReader(l LoadReader) Option { return func(o *options) { o.loadReader = l } }

// updateLoadReaders starts and stops readers so that each owned backend server has one.
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
	for name, stop := range s.loadReaders {
		if !owned[name] {
			stop()
			delete(s.loadReaders, name)
		}
	}
}

// startLoadReader starts a goroutine that polls a backend server's load.
func (d *Dispatcher) startLoadReader(b table.Backend) (stop context.CancelFunc) {
	ctx, stop := context.WithCancel(d.ctx)
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
	return stop
}

type loadEvent struct {
	backend  string
	inFlight int
}

func (e loadEvent) apply(s *state) {
	s.step(admit.BackendLoad{Backend: e.backend, InFlight: e.inFlight})
}
