package dispatch

import (
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// watchFor is how long a watch waits for news.
const watchFor = 10 * time.Second

// follow is the task that reads the platform.
func (d *Dispatcher) follow() {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 50 * time.Millisecond
	wait.MaxInterval = time.Second
	after := uint64(0)
	for d.ctx.Err() == nil {
		n, err := d.next(after)
		if err == nil {
			wait.Reset()
			after = max(after, n.AsOf)
			d.post(heard{n})
			continue
		}
		if d.ctx.Err() == nil {
			d.log.Warn("platform_read_failed", "after", after, "error", err)
		}
		if !d.pause(wait.NextBackOff()) {
			return
		}
	}
}

// next reads everything at first, and then what changes.
func (d *Dispatcher) next(after uint64) (catalog.News, error) {
	if after == 0 {
		return d.source.Read(d.ctx)
	}
	n, err := d.source.Watch(d.ctx, after, watchFor)
	if errors.Is(err, catalog.ErrForgotten) {
		return d.source.Read(d.ctx)
	}
	return n, err
}

// pause waits; it reports false if the router ends meanwhile.
func (d *Dispatcher) pause(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// heard is news of the platform.
type heard struct{ catalog.News }

func (e heard) apply(s *state) {
	if !s.catalog.Merge(s.now, e.News) {
		return
	}
	v := s.catalog.View()
	if v == nil {
		return
	}
	s.d.view.Store(v)
	s.d.log.Info("table_in_force", "revision", v.Revision, "edition", v.Edition, "as_of", s.catalog.AsOf(),
		"routes", len(v.Routes), "accounts", len(v.Accounts), "backends", len(v.Backends))
	s.step(admit.View{Table: v})
}
