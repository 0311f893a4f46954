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
	// watchFor is how long a watch waits for news.
	watchFor = 10 * time.Second
	// watchers is how many routers of the fleet hold a watch.
	watchers = 2
	// watchPause is the part of the time within which changes are to be in force for
	// which a router that heard of one waits before it watches again: what comes in
	// quick succession, as when many backend servers are replaced, is heard of
	// together, in a call for all.
	watchPause = 1.0 / 15
	// watchAfter is how long after its start a router may begin to watch: it
	// has heard of the others by then, so that not all of them do at a start
	// of the fleet.
	watchAfter = 2 * time.Second
	// lookEvery is how often a task looks whether it is its turn, lookSoonest
	// how soon at the earliest.
	lookEvery   = 200 * time.Millisecond
	lookSoonest = 20 * time.Millisecond
	// A router that is first reads the platform's revision when what it knows
	// was last verified firstPart of the time within which changes are to be
	// in force ago; the others later, each by turnPart, up to lastPart.
	firstPart = 0.2
	nextPart  = 0.4
	turnPart  = 0.05
	lastPart  = 0.7
	// readAfter is how long after its start a router that is not among the seeds
	// reads the platform itself, unless another has told it everything by then:
	// three ways there and back between zones, and the seeds' own reading. A whole
	// reading of a large platform takes several calls, which all routers would make
	// when all start at once.
	readAfter = 400 * time.Millisecond
	// failuresEach is how many turns further back one more of the pauses after a
	// failure to read lasts as long again, up to mostPauses. So the calls of a
	// platform that is down do not grow as fast as the fleet, and one that serves
	// again is noticed by the first in turn within a second.
	failuresEach = 4
	mostPauses   = 8
)

// newBackoff spreads the retries of all routers after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	b.RandomizationFactor = 0.5
	return b
}

// watch is the task that waits for changes at the platform, while this router
// is one of those that do.
func (d *Dispatcher) watch() {
	wait := newBackoff()
	for d.ctx.Err() == nil {
		asOf := d.asOf()
		if asOf.IsZero() || d.shared.turn.Load() >= watchers || d.now()-clockStart < watchAfter {
			d.pause(lookEvery)
			continue
		}
		n, err := d.watchOnce(asOf)
		if errors.Is(err, errEpochEnded) {
			continue
		}
		if err != nil {
			d.readFailed("watch", err)
			d.pause(wait.NextBackOff())
			continue
		}
		wait.Reset()
		if !n.Empty() || len(n.Skipped) > 0 {
			d.post(heard{Update: n})
			d.pause(time.Duration(watchPause * float64(d.shared.applyWithin.Load())))
		}
	}
}

// read reads everything that is published.
func (d *Dispatcher) read() (catalog.Update, error) {
	known := d.asOf()
	n, err := d.source.Read(d.ctx)
	if err == nil {
		d.noteAnswered("read", known, catalog.Revision{Epoch: n.Epoch, Number: n.AsOf})
	}
	return n, err
}

// errEpochEnded ends a watch from a revision that the platform has no longer.
var errEpochEnded = errors.New("dispatch: the platform came back from a copy")

// watchOnce waits for changes after a revision, and reads everything if they are forgotten.
func (d *Dispatcher) watchOnce(asOf catalog.Revision) (catalog.Update, error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.shared.endWatch.Store(&cancel)
	n, err := d.source.Watch(ctx, asOf, watchFor)
	d.shared.endWatch.Store(nil)
	switch {
	case errors.Is(err, catalog.ErrCompacted):
		return d.read()
	case err != nil && d.asOf().Epoch != asOf.Epoch:
		return n, errEpochEnded
	default:
		return n, err
	}
}

// noteAnswered logs an answer of another epoch than what was known when it was asked for, or
// of an older revision.
func (d *Dispatcher) noteAnswered(what string, known, r catalog.Revision) {
	if known.IsZero() || known.Epoch == r.Epoch && known.Number <= r.Number {
		return
	}
	d.opt.log.Warn("platform_went_back", "what", what, "epoch", r.Epoch, "revision", r.Number,
		"known_epoch", known.Epoch, "as_of", known.Number)
}

func (d *Dispatcher) readFailed(what string, err error) {
	if d.ctx.Err() == nil {
		d.shared.readFails.Add(1)
		d.opt.log.Warn("platform_read_failed", "what", what, "as_of", d.asOf().Number, "error", err)
	}
}

// readAgain logs that the platform can be read again after failures.
func (d *Dispatcher) readAgain() {
	if n := d.shared.readFails.Swap(0); n > 0 {
		d.opt.log.Info("platform_read_again", "failures", n, "as_of", d.asOf().Number)
	}
}

// verify is the task that makes sure that nothing newer is missed: a watch
// that waits proves nothing.
func (d *Dispatcher) verify() {
	wait := newBackoff()
	for d.ctx.Err() == nil {
		if due := d.verifyDue(d.now()); due > 0 {
			d.pause(min(max(due, lookSoonest), lookEvery))
			continue
		}
		begun := d.now()
		if err := d.verifyOnce(begun); err != nil {
			d.readFailed("verify", err)
			d.pause(d.pauseAfterFailure(wait.NextBackOff()))
			continue
		}
		wait.Reset()
		d.readAgain()
	}
}

// pauseAfterFailure stretches a pause by this router's place among those that
// read the platform.
func (d *Dispatcher) pauseAfterFailure(pause time.Duration) time.Duration {
	pauses := 1 + float64(d.shared.turn.Load())/failuresEach
	return time.Duration(min(pauses, mostPauses) * float64(pause))
}

// verifyDue returns in how long from now it is this router's turn to read; now if
// that is not above zero.
func (d *Dispatcher) verifyDue(now time.Duration) time.Duration {
	verified := time.Duration(d.shared.verified.Load())
	switch {
	case verified > 0:
	case !d.asOf().IsZero():
		// Another router told everything; its own bound on its age holds here too.
		verified = clockStart
	case len(d.opt.seeds) == 0 || slices.Contains(d.opt.seeds, d.id.Address):
		return 0
	default:
		return clockStart + readAfter - now
	}
	part := firstPart
	if turn := d.shared.turn.Load(); turn > 0 {
		part = min(nextPart+turnPart*float64(turn), lastPart)
	}
	return verified + time.Duration(part*float64(d.shared.applyWithin.Load())) - now
}

func (d *Dispatcher) verifyOnce(begun time.Duration) error {
	if asOf := d.asOf(); !asOf.IsZero() {
		revision, err := d.source.Revision(d.ctx)
		if err != nil {
			return err
		}
		d.noteAnswered("verify", asOf, revision)
		if revision.Before(asOf) {
			return fmt.Errorf("dispatch: the platform answers with revision %d of epoch %d, which is older than what is known; see to it that it does not go back", revision.Number, revision.Epoch)
		}
		if revision == asOf {
			d.verifiedAt(begun)
			d.post(verifiedHere{})
			return nil
		}
		begun = d.now()
	}
	n, err := d.read()
	if err != nil {
		return err
	}
	applied := make(chan struct{})
	if d.post(heard{Update: n, at: begun, applied: applied}) {
		select {
		case <-applied:
		case <-d.ctx.Done():
		}
	}
	return nil
}

// verifiedAt notes that nothing newer was at the platform at a time.
func (d *Dispatcher) verifiedAt(at time.Duration) {
	for {
		old := d.shared.verified.Load()
		if int64(at) <= old || d.shared.verified.CompareAndSwap(old, int64(at)) {
			return
		}
	}
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

// heard is news of the platform, read by this router or told by another.
type heard struct {
	catalog.Update
	// from is the name of the router that told them, sender its address; ""
	// if read here.
	from, sender string
	// at is when they were the newest, 0 if that is not known.
	at time.Duration
	// applied is closed when they are in force.
	applied chan<- struct{}
}

func (e heard) apply(s *state) {
	if e.applied != nil {
		defer close(e.applied)
	}
	before := s.catalog.AsOf()
	changed := s.catalog.Merge(s.now, e.Update)
	s.logUnusable(&e.Update, e.from)
	s.logOlder(&e)
	asOf := s.catalog.AsOf()
	s.d.shared.asOf.Store(&asOf)
	if e.at > 0 && !e.reach().Before(asOf) {
		s.d.verifiedAt(e.at)
	}
	if changed {
		s.inForce(e.from)
	}
	switch {
	case asOf.Epoch != before.Epoch && !before.IsZero():
		s.entered(before, e.from)
	case before.Before(asOf):
		s.spread(before.Number, e.sender)
	case asOf.IsZero():
		// Who was asked knew nothing either: the next may be asked at once.
		s.askedNews = 0
	case changed && e.Retained != nil && s.talk.Relay:
		s.tellRetained(e.sender)
	}
}

// logOlder logs that what was read holds an older version of the table than the one in force,
// as after the platform came back from a copy. Another router tells only what it has in force.
func (s *state) logOlder(e *heard) {
	if v := s.catalog.View(); v != nil && e.Table != nil && e.from == "" && v.Version().NewerThan(e.Table.Version()) {
		s.d.opt.log.Warn("table_older", "edition", e.Table.Edition, "revision", e.Table.Revision, "epoch", e.Epoch,
			"in_force_edition", v.Edition, "in_force_revision", v.Revision)
	}
}

// reach is the revision up to which the news are complete.
func (e heard) reach() catalog.Revision { return catalog.Revision{Epoch: e.Epoch, Number: e.AsOf} }

// inForce puts the catalog's view in force.
func (s *state) inForce(from string) {
	v := s.catalog.View()
	if v == nil {
		return
	}
	s.d.shared.view.Store(v)
	s.d.opt.log.Info("table_in_force", "revision", v.Revision, "edition", v.Edition, "as_of", s.catalog.AsOf().Number, "epoch", s.catalog.AsOf().Epoch, "from", from,
		"routes", len(v.Routes), "accounts", len(v.Accounts), "backends", len(v.Backends))
	s.noteZones(v, from)
	s.step(admit.TableUpdate{Table: v})
}

// errNeverRead is why a router without a table is not ready.
var errNeverRead = errors.New("dispatch: neither the platform nor another router has been read yet")

// Ready reports whether callers may be sent here.
func (d *Dispatcher) Ready(context.Context) error {
	if d.Table() == nil {
		if lack := d.shared.lack.Load(); lack != nil {
			return *lack
		}
		return errNeverRead
	}
	return nil
}
