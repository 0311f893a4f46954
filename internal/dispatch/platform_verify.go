package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// verifyPlatform confirms at intervals that the known revision is the newest. A pending watch
// does not prove that.
func (d *Dispatcher) verifyPlatform() {
	wait := newBackoff()
	for d.ctx.Err() == nil {
		if due := d.verifyDue(d.now()); due > 0 {
			d.sleep(min(max(due, minPollWait), maxPollWait))
			continue
		}
		start := d.now()
		if err := d.verifyOnce(start); err != nil {
			d.recordReadFailure("verify", err)
			d.waitForRetry(wait.NextBackOff())
			continue
		}
		wait.Reset()
		d.recordReadSuccess()
	}
}

// waitForRetry waits after a failed read. It ends early if the delay becomes shorter, since routers of
// lower ranks were lost, or if another router has verified the revision.
func (d *Dispatcher) waitForRetry(base time.Duration) {
	failedAt := d.now()
	for d.ctx.Err() == nil && d.verifyDue(d.now()) <= 0 {
		left := failedAt + d.retryDelay(base) - d.now()
		if left <= 0 {
			return
		}
		d.sleep(min(left, maxPollWait))
	}
}

// retryDelay scales a delay by this router's rank.
func (d *Dispatcher) retryDelay(base time.Duration) time.Duration {
	return retryDelay(d.shared.readerRank.Load(), base)
}

// isSeed reports whether other routers know this one from their settings.
func (d *Dispatcher) isSeed() bool { return slices.Contains(*d.shared.seeds.Load(), d.id.Address) }

// verifyDue returns the time until this router must verify its revision. Values up to 0 mean
// now.
func (d *Dispatcher) verifyDue(now time.Duration) time.Duration {
	due := d.revisionDue(now)
	if d.shared.versionsMissing.Load() {
		due = min(due, d.versionsDue(now))
	}
	return due
}

// revisionDue returns the time until this router must make sure that the revision known is the newest.
func (d *Dispatcher) revisionDue(now time.Duration) time.Duration {
	verified := time.Duration(d.shared.lastVerified.Load())
	switch {
	case verified > 0:
	case !d.asOf().IsZero():
		// Another router sent everything. Its data is fresh enough to count as verified at
		// the start.
		verified = clockStart
	case len(*d.shared.seeds.Load()) == 0 || d.isSeed():
		return 0
	default:
		return clockStart + firstReadDelay(d.shared.readerRank.Load(), readSpread(d.id.Address)) - now
	}
	fraction := verifyFraction(d.shared.readerRank.Load())
	return verified + time.Duration(fraction*float64(d.shared.applyWithin.Load())) - now
}

// verifyOnce confirms that the known revision is the newest, or reads what has changed. It reads everything
// if nothing is known or versions are missing and due.
func (d *Dispatcher) verifyOnce(start time.Duration) error {
	readsVersions := d.shared.versionsMissing.Load() && d.versionsDue(start) <= 0
	if readsVersions {
		d.shared.versionsReadAt.Store(int64(start))
	}
	if asOf := d.asOf(); !asOf.IsZero() && !readsVersions {
		err := d.verifyRevision(asOf, start)
		if !errors.Is(err, errChangesUnknown) {
			return err
		}
		start = d.now()
	}
	return d.readAll(start)
}

// errChangesUnknown means that the platform no longer tells what changed since the known revision.
var errChangesUnknown = errors.New("dispatch: the platform does not tell what changed since the known revision; everything must be read")

// verifyRevision compares the known revision with that of the platform, and reads what has changed since. It
// returns errChangesUnknown if that takes a read of everything.
func (d *Dispatcher) verifyRevision(known catalog.Revision, start time.Duration) error {
	newest, err := d.source.Revision(d.ctx)
	if err != nil {
		return err
	}
	d.warnIfOlder("verify", known, newest)
	if newest.Before(known) {
		return fmt.Errorf("dispatch: the platform returned revision %d of epoch %d, which is older than the known revision; check whether an old backup was restored", newest.Number, newest.Epoch)
	}
	if newest == known {
		d.recordVerified(start)
		d.post(verifiedEvent{})
		return nil
	}
	start = d.now()
	if update, ok := d.readChanges(known, newest); ok {
		d.applyRead(update, start)
		return nil
	}
	return errChangesUnknown
}

// readAll reads and applies everything that is published, which is the newest as of start.
func (d *Dispatcher) readAll(start time.Duration) error {
	update, err := d.readPlatform()
	if err != nil {
		return err
	}
	d.shared.readEverything.Store(true)
	d.applyRead(update, start)
	return nil
}

// readChanges reads what changed after a known revision, up to a newer one at least. It returns false if
// everything has to be read: the platform no longer has the changes, or does not return all of them. A
// full read takes calls and time that grow with the platform's contents.
func (d *Dispatcher) readChanges(known, newest catalog.Revision) (catalog.Update, bool) {
	if known.Epoch != newest.Epoch {
		return catalog.Update{}, false
	}
	update, err := d.source.Watch(d.ctx, known, 0)
	return update, err == nil && update.AsOf >= newest.Number
}

// applyRead applies what was read from the platform, which was the newest at a time, and waits until it
// is applied.
func (d *Dispatcher) applyRead(update catalog.Update, start time.Duration) {
	applied := make(chan struct{})
	if d.post(updateEvent{Update: update, readAt: start, applied: applied}) {
		select {
		case <-applied:
		case <-d.ctx.Done():
		}
	}
}

// recordVerified records that the known revision was the newest at a time. An earlier time than
// the recorded one is ignored.
func (d *Dispatcher) recordVerified(at time.Duration) {
	for {
		old := d.shared.lastVerified.Load()
		if int64(at) <= old || d.shared.lastVerified.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}
