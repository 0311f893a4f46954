package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
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
	// maxPollWait and minPollWait bound the sleep between checks of whether this router
	// should read the platform.
	maxPollWait = 200 * time.Millisecond
	minPollWait = 20 * time.Millisecond
)

// newBackoff returns a jittered backoff for platform reads.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	b.RandomizationFactor = 0.5
	return b
}

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

// readPlatform reads everything that is published.
func (d *Dispatcher) readPlatform() (catalog.Update, error) {
	known := d.asOf()
	update, err := d.source.Read(d.ctx)
	if err == nil {
		d.warnIfOlder("read", known, catalog.Revision{Epoch: update.Epoch, Number: update.AsOf})
		if !known.IsZero() && update.Epoch > known.Epoch {
			d.addRemovals(known, &update)
		}
	}
	return update, err
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

// warnIfOlder logs a response whose revision is of another epoch than the known one, or older.
func (d *Dispatcher) warnIfOlder(what string, known, r catalog.Revision) {
	if known.IsZero() || known.Epoch == r.Epoch && known.Number <= r.Number {
		return
	}
	d.opt.log.Warn("platform_went_back", "what", what, "epoch", r.Epoch, "revision", r.Number,
		"known_epoch", known.Epoch, "as_of", known.Number)
}

func (d *Dispatcher) recordReadFailure(what string, err error) {
	if d.ctx.Err() == nil {
		d.shared.readFailures.Add(1)
		d.opt.log.Warn("platform_read_failed", "what", what, "as_of", d.asOf().Number, "error", err)
	}
}

// recordReadSuccess logs the first successful read after failures.
func (d *Dispatcher) recordReadSuccess() {
	if n := d.shared.readFailures.Swap(0); n > 0 {
		d.opt.log.Info("platform_read_again", "failures", n, "as_of", d.asOf().Number)
	}
}

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
func (d *Dispatcher) isSeed() bool { return slices.Contains(d.opt.seeds, d.id.Address) }

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
	case len(d.opt.seeds) == 0 || d.isSeed():
		return 0
	default:
		return clockStart + firstReadDelay(d.shared.readerRank.Load(), readSpread(d.id.Address)) - now
	}
	fraction := verifyFraction(d.shared.readerRank.Load())
	return verified + time.Duration(fraction*float64(d.shared.applyWithin.Load())) - now
}

func (d *Dispatcher) verifyOnce(start time.Duration) error {
	readsVersions := d.shared.versionsMissing.Load() && d.versionsDue(start) <= 0
	if readsVersions {
		d.shared.versionsReadAt.Store(int64(start))
	}
	if asOf := d.asOf(); !asOf.IsZero() && !readsVersions {
		revision, err := d.source.Revision(d.ctx)
		if err != nil {
			return err
		}
		d.warnIfOlder("verify", asOf, revision)
		if revision.Before(asOf) {
			return fmt.Errorf("dispatch: the platform returned revision %d of epoch %d, which is older than the known revision; check whether an old backup was restored", revision.Number, revision.Epoch)
		}
		if revision == asOf {
			d.recordVerified(start)
			d.post(verifiedEvent{})
			return nil
		}
		start = d.now()
		if update, ok := d.readChanges(asOf, revision); ok {
			d.applyRead(update, start)
			return nil
		}
	}
	update, err := d.readPlatform()
	if err != nil {
		return err
	}
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

// sleep reports false if the dispatcher is closed before the time is over.
func (d *Dispatcher) sleep(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// updateEvent is an update of the platform's data, read by this router or sent by another.
type updateEvent struct {
	catalog.Update
	// senderName and senderAddress identify the router that sent the update. They are empty
	// if this router read it.
	senderName, senderAddress string
	// readAt is when the update was the newest, 0 if unknown.
	readAt time.Duration
	// applied is closed once the update is applied.
	applied chan<- struct{}
}

func (e updateEvent) apply(s *state) {
	if e.applied != nil {
		defer close(e.applied)
	}
	before := s.catalog.AsOf()
	changed := s.catalog.Merge(s.now, e.Update)
	s.logUnusable(&e.Update, e.senderName)
	s.logOlderTable(&e)
	asOf := s.catalog.AsOf()
	s.d.shared.asOf.Store(&asOf)
	s.d.shared.versionsMissing.Store(s.catalog.VersionsMissing())
	if e.readAt > 0 && !e.revision().Before(asOf) {
		s.d.recordVerified(e.readAt)
	}
	if changed {
		s.applyTable(e.senderName)
	}
	switch {
	case asOf.Epoch != before.Epoch && !before.IsZero():
		s.handleNewEpoch(before, e.senderName)
	case before.Before(asOf):
		s.broadcastUpdate(before.Number, e.senderAddress)
	case asOf.IsZero():
		// The sender knew nothing either, so another router may be asked at once.
		s.updateRequestedAt = 0
	case changed && e.Retained != nil && s.peerPlan.Relay:
		s.broadcastRetained(e.senderAddress)
	}
}

// logOlderTable logs that the platform published an older table than the one in force, for
// example after it was restored from a backup. Updates of other routers are not checked.
func (s *state) logOlderTable(e *updateEvent) {
	if v := s.catalog.View(); v != nil && e.Table != nil && e.senderName == "" && v.Version().NewerThan(e.Table.Version()) {
		s.d.opt.log.Warn("table_older", "edition", e.Table.Edition, "revision", e.Table.Revision, "epoch", e.Epoch,
			"in_force_edition", v.Edition, "in_force_revision", v.Revision)
	}
}

// revision returns the revision up to which the update is complete.
func (e updateEvent) revision() catalog.Revision {
	return catalog.Revision{Epoch: e.Epoch, Number: e.AsOf}
}

// applyTable applies the catalog's current view.
func (s *state) applyTable(from string) {
	v := s.catalog.View()
	if v == nil {
		return
	}
	s.d.shared.table.Store(v)
	change := s.catalog.LastChange()
	s.logTable(v, from, change)
	s.step(admit.TableUpdate{Table: v, Partial: !change.All, Changed: change.Names})
}

// logTable logs the table in force, and which backend servers changed with it. Lines on backend
// servers alone are limited, as they come and go at a rate that grows with the fleet.
func (s *state) logTable(v *table.Table, from string, change catalog.Change) {
	if !change.All && !s.tableLimiter.allow(s.now) {
		s.tablesNotLogged++
		return
	}
	s.d.opt.log.Info("table_in_force", "revision", v.Revision, "edition", v.Edition, "as_of", s.catalog.AsOf().Number, "epoch", s.catalog.AsOf().Epoch, "from", from,
		"routes", len(v.Routes), "accounts", len(v.Accounts), "backends", v.BackendCount(),
		"changed_backends", len(change.Names), "lines_left_out", s.tablesNotLogged)
	s.tablesNotLogged = 0
	s.logZoneChanges(v, from)
}

// errNoData explains why a router without a table is not ready.
var errNoData = errors.New("dispatch: no data received yet from the platform or another router")

// Ready returns why the router cannot serve callers, nil if it can.
func (d *Dispatcher) Ready(context.Context) error {
	if d.Table() == nil {
		if reason := d.shared.noTableReason.Load(); reason != nil {
			return *reason
		}
		return errNoData
	}
	return nil
}
