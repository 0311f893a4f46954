package dispatch

import (
	"errors"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// A platform that was restored from a backup lists neither what the backup lacks nor what was removed
// since. Its history tells the two apart: it has the removals.
const (
	// removalLookback is the number of revisions whose history is asked for; a platform that no
	// longer has them is asked for removalLookbackStep times fewer.
	removalLookback     = 64
	removalLookbackStep = 4
)

// addRemovals adds to the first full update of a new epoch what was removed recently, according to the
// platform's history. Without it, what the update lacks is retained for a while.
func (d *Dispatcher) addRemovals(known catalog.Revision, u *catalog.Update) {
	upTo := min(known.Number, u.AsOf)
	for back := uint64(removalLookback); back > 0; back /= removalLookbackStep {
		since := catalog.Revision{Epoch: u.Epoch, Number: max(1, upTo-min(back, upTo))}
		changes, err := d.source.Watch(d.ctx, since, 0)
		if errors.Is(err, catalog.ErrCompacted) {
			continue
		}
		if err != nil {
			d.opt.log.Warn("platform_read_failed", "what", "removals", "as_of", since.Number, "error", err)
			return
		}
		u.AddRemovals(&changes)
		return
	}
}
