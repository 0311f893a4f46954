package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

const (
	// watchTimeout is the longest duration of one watch.
	watchTimeout = 10 * time.Second
	// watcherCount is the number of routers in the fleet that watch the platform.
	watcherCount = 2
	// watchPauseFraction of the apply time is the pause between watches, so that one call
	// collects changes that follow each other quickly.
	watchPauseFraction = 1.0 / 15
	// watchDelay is the time after the start before a router may watch. By then it knows
	// the other routers and its rank.
	watchDelay = 2 * time.Second
)

// watchPlatform waits for changes at the platform while this router's rank makes it a watcher.
func (d *Dispatcher) watchPlatform() {
	wait := newBackoff()
	for d.ctx.Err() == nil {
		asOf := d.asOf()
		if asOf.IsZero() || d.shared.readerRank.Load() >= watcherCount || d.now()-clockStart < watchDelay {
			d.sleep(maxPollWait)
			continue
		}
		update, err := d.watchOnce(asOf)
		if errors.Is(err, errEpochChanged) {
			continue
		}
		if err != nil {
			d.recordReadFailure("watch", err)
			d.sleep(wait.NextBackOff())
			continue
		}
		wait.Reset()
		if !update.Empty() || len(update.Skipped) > 0 {
			d.post(updateEvent{Update: update})
			d.sleep(time.Duration(watchPauseFraction * float64(d.shared.applyWithin.Load())))
		}
	}
}

// errEpochChanged ends a watch on a revision of an earlier epoch.
var errEpochChanged = errors.New("dispatch: the platform was restored from a backup")

// watchOnce waits for changes after a revision. It reads everything if the platform no longer
// keeps them.
func (d *Dispatcher) watchOnce(asOf catalog.Revision) (catalog.Update, error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.shared.cancelWatch.Store(&cancel)
	update, err := d.source.Watch(ctx, asOf, watchTimeout)
	d.shared.cancelWatch.Store(nil)
	switch {
	case errors.Is(err, catalog.ErrCompacted):
		return d.readPlatform()
	case err != nil && d.asOf().Epoch != asOf.Epoch:
		return update, errEpochChanged
	default:
		return update, err
	}
}
