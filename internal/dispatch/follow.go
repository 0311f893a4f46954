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
)

const (
	// watchTimeout is how long a watch waits for news.
	watchTimeout = 10 * time.Second
	// watcherCount is how many routers of the fleet hold a watch.
	watcherCount = 2
	// watchPauseFraction is the part of the time within which changes are to be in force for
	// which a router that heard of one waits before it watches again: what comes in
	// quick succession, as when many backend servers are replaced, is heard of
	// together, in a call for all.
	watchPauseFraction = 1.0 / 15
	// watchDelay is how long after its start a router may begin to watch: it
	// has heard of the others by then, so that not all of them do at a start
	// of the fleet.
	watchDelay = 2 * time.Second
	// maxPollWait is how often a task looks whether it is its turn, lookSoonest
	// how soon at the earliest.
	maxPollWait = 200 * time.Millisecond
	minPollWait = 20 * time.Millisecond
	// A router that is first reads the platform's revision when what it knows
	// was last verified firstVerifyFraction of the time within which changes are to be
	// in force ago; the others later, each by turnPart, up to lastPart.
	firstVerifyFraction = 0.2
	baseVerifyFraction  = 0.4
	rankVerifyFraction  = 0.05
	maxVerifyFraction   = 0.7
	// nonSeedReadDelay is how long after its start a router that is not among the seeds
	// reads the platform itself, unless another has told it everything by then:
	// three ways there and back between zones, and the seeds' own reading. A whole
	// reading of a large platform takes several calls, which all routers would make
	// when all start at once.
	nonSeedReadDelay = 400 * time.Millisecond
	// ranksPerDelay is how many turns further back one more of the pauses after a
	// failure to read lasts as long again, up to mostPauses. So the calls of a
	// platform that is down do not grow as fast as the fleet, and one that serves
	// again is noticed by the first in turn within a second.
	ranksPerDelay  = 4
	maxDelayFactor = 8
)

// newBackoff spreads the retries of all routers after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	b.RandomizationFactor = 0.5
	return b
}

// watchPlatform is the task that waits for changes at the platform, while this router
// is one of those that do.
func (d *Dispatcher) watchPlatform() {
	wait := newBackoff()
	for d.ctx.Err() == nil {
		asOf := d.asOf()
		if asOf.IsZero() || d.shared.readerRank.Load() >= watcherCount || d.now()-clockStart < watchDelay {
			d.sleep(maxPollWait)
			continue
		}
		n, err := d.watchOnce(asOf)
		if errors.Is(err, errEpochChanged) {
			continue
		}
		if err != nil {
			d.recordReadFailure("watch", err)
			d.sleep(wait.NextBackOff())
			continue
		}
		wait.Reset()
		if !n.Empty() || len(n.Skipped) > 0 {
			d.post(updateEvent{Update: n})
			d.sleep(time.Duration(watchPauseFraction * float64(d.shared.applyWithin.Load())))
		}
	}
}

// readPlatform reads everything that is published.
func (d *Dispatcher) readPlatform() (catalog.Update, error) {
	known := d.asOf()
	n, err := d.source.Read(d.ctx)
	if err == nil {
		d.warnIfOlder("read", known, catalog.Revision{Epoch: n.Epoch, Number: n.AsOf})
	}
	return n, err
}

// errEpochChanged ends a watch from a revision that the platform has no longer.
var errEpochChanged = errors.New("dispatch: the platform came back from a copy")

// watchOnce waits for changes after a revision, and reads everything if they are forgotten.
func (d *Dispatcher) watchOnce(asOf catalog.Revision) (catalog.Update, error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.shared.cancelWatch.Store(&cancel)
	n, err := d.source.Watch(ctx, asOf, watchTimeout)
	d.shared.cancelWatch.Store(nil)
	switch {
	case errors.Is(err, catalog.ErrCompacted):
		return d.readPlatform()
	case err != nil && d.asOf().Epoch != asOf.Epoch:
		return n, errEpochChanged
	default:
		return n, err
	}
}

// warnIfOlder logs an answer of another epoch than what was known when it was asked for, or
// of an older revision.
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

// recordReadSuccess logs that the platform can be read again after failures.
func (d *Dispatcher) recordReadSuccess() {
	if n := d.shared.readFailures.Swap(0); n > 0 {
		d.opt.log.Info("platform_read_again", "failures", n, "as_of", d.asOf().Number)
	}
}

// verifyPlatform is the task that makes sure that nothing newer is missed: a watch
// that waits proves nothing.
func (d *Dispatcher) verifyPlatform() {
	wait := newBackoff()
	for d.ctx.Err() == nil {
		if due := d.verifyDue(d.now()); due > 0 {
			d.sleep(min(max(due, minPollWait), maxPollWait))
			continue
		}
		begun := d.now()
		if err := d.verifyOnce(begun); err != nil {
			d.recordReadFailure("verify", err)
			d.sleep(d.retryDelay(wait.NextBackOff()))
			continue
		}
		wait.Reset()
		d.recordReadSuccess()
	}
}

// retryDelay stretches a pause by this router's place among those that
// read the platform.
func (d *Dispatcher) retryDelay(pause time.Duration) time.Duration {
	pauses := 1 + float64(d.shared.readerRank.Load())/ranksPerDelay
	return time.Duration(min(pauses, maxDelayFactor) * float64(pause))
}

// verifyDue returns in how long from now it is this router's turn to read; now if
// that is not above zero.
func (d *Dispatcher) verifyDue(now time.Duration) time.Duration {
	verified := time.Duration(d.shared.lastVerified.Load())
	switch {
	case verified > 0:
	case !d.asOf().IsZero():
		// Another router told everything; its own bound on its age holds here too.
		verified = clockStart
	case len(d.opt.seeds) == 0 || slices.Contains(d.opt.seeds, d.id.Address):
		return 0
	default:
		return clockStart + nonSeedReadDelay - now
	}
	part := firstVerifyFraction
	if turn := d.shared.readerRank.Load(); turn > 0 {
		part = min(baseVerifyFraction+rankVerifyFraction*float64(turn), maxVerifyFraction)
	}
	return verified + time.Duration(part*float64(d.shared.applyWithin.Load())) - now
}

func (d *Dispatcher) verifyOnce(begun time.Duration) error {
	if asOf := d.asOf(); !asOf.IsZero() {
		revision, err := d.source.Revision(d.ctx)
		if err != nil {
			return err
		}
		d.warnIfOlder("verify", asOf, revision)
		if revision.Before(asOf) {
			return fmt.Errorf("dispatch: the platform answers with revision %d of epoch %d, which is older than what is known; see to it that it does not go back", revision.Number, revision.Epoch)
		}
		if revision == asOf {
			d.recordVerified(begun)
			d.post(verifiedEvent{})
			return nil
		}
		begun = d.now()
	}
	n, err := d.readPlatform()
	if err != nil {
		return err
	}
	applied := make(chan struct{})
	if d.post(updateEvent{Update: n, at: begun, applied: applied}) {
		select {
		case <-applied:
		case <-d.ctx.Done():
		}
	}
	return nil
}

// recordVerified notes that nothing newer was at the platform at a time.
func (d *Dispatcher) recordVerified(readAt time.Duration) {
	for {
		old := d.shared.lastVerified.Load()
		if int64(readAt) <= old || d.shared.lastVerified.CompareAndSwap(old, int64(readAt)) {
			return
		}
	}
}

// sleep waits; it reports false if the router ends meanwhile.
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

// updateEvent is news of the platform, read by this router or told by another.
type updateEvent struct {
	catalog.Update
	// senderName is the name of the router that told them, senderAddress its address; ""
	// if read here.
	senderName, senderAddress string
	// at is when they were the newest, 0 if that is not known.
	at time.Duration
	// applied is closed when they are in force.
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
	if e.at > 0 && !e.revision().Before(asOf) {
		s.d.recordVerified(e.at)
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
		// Who was asked knew nothing either: the next may be asked at once.
		s.updateRequestedAt = 0
	case changed && e.Retained != nil && s.peerPlan.Relay:
		s.broadcastRetained(e.senderAddress)
	}
}

// logOlderTable logs that what was read holds an older version of the table than the one in force,
// as after the platform came back from a copy. Another router tells only what it has in force.
func (s *state) logOlderTable(e *updateEvent) {
	if v := s.catalog.View(); v != nil && e.Table != nil && e.senderName == "" && v.Version().NewerThan(e.Table.Version()) {
		s.d.opt.log.Warn("table_older", "edition", e.Table.Edition, "revision", e.Table.Revision, "epoch", e.Epoch,
			"in_force_edition", v.Edition, "in_force_revision", v.Revision)
	}
}

// revision is the revision up to which the news are complete.
func (e updateEvent) revision() catalog.Revision {
	return catalog.Revision{Epoch: e.Epoch, Number: e.AsOf}
}

// applyTable puts the catalog's view in force.
func (s *state) applyTable(from string) {
	v := s.catalog.View()
	if v == nil {
		return
	}
	s.d.shared.table.Store(v)
	s.d.opt.log.Info("table_in_force", "revision", v.Revision, "edition", v.Edition, "as_of", s.catalog.AsOf().Number, "epoch", s.catalog.AsOf().Epoch, "from", from,
		"routes", len(v.Routes), "accounts", len(v.Accounts), "backends", len(v.Backends))
	s.logZoneChanges(v, from)
	s.step(admit.TableUpdate{Table: v})
}

// errNoData is why a router without a table is not ready.
var errNoData = errors.New("dispatch: neither the platform nor another router has been read yet")

// Ready reports whether callers may be sent here.
func (d *Dispatcher) Ready(context.Context) error {
	if d.Table() == nil {
		if lack := d.shared.noTableReason.Load(); lack != nil {
			return *lack
		}
		return errNoData
	}
	return nil
}
