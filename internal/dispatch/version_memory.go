package dispatch

import (
	"errors"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/origin"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A router that starts does not know which software versions were listed before, and streams that began at
// them may still be taken up. It is told by a router that knows, or reads the platform's history.

const (
	// historyReadDelay is how long a router of the first rank waits to be told before it reads the history,
	// unless it is one of those that read the platform first.
	historyReadDelay = 500 * time.Millisecond
	// historyRetryDelay is the time until a router of the first rank repeats a failed read.
	historyRetryDelay = 200 * time.Millisecond
)

// versionMemory is what a router knows of the software versions that were listed lately.
type versionMemory struct {
	origin.Memory
	// window is for how long a stream may be taken up after its version was last listed.
	window time.Duration
	// restoredAt is when this router learned that the platform was restored from a backup, 0 if never. The backup may
	// lack versions that were listed before.
	restoredAt time.Duration
	// reading says that the history is being read, readDue when it may be read, 0 if it need not be.
	reading bool
	readDue time.Duration
	// told is what another router told before this one was current.
	told toldVersions
	// seniors are the versions to which streams are pinned.
	seniors origin.Seniors
}

// mayLack reports whether versions may have been listed within the window that a restored platform does not tell of.
func (m *versionMemory) mayLack(now time.Duration) bool {
	return m.restoredAt > 0 && now-m.restoredAt < m.window
}

// isLearning reports whether this router may know more of the versions listed lately within moments.
func (m *versionMemory) isLearning() bool {
	return m.reading || m.readDue > 0 || m.told.msg != nil || m.IsEmpty()
}

// toldVersions is what a router told of the versions that were listed lately; msg is nil if nothing.
type toldVersions struct {
	msg *wire.ListedVersions
	// seniors are those of the same revision, nil if they were not told.
	seniors *wire.SeniorVersions
	from    string
	at      time.Duration
}

// resumptionWindow returns for how long a stream may be taken up after its version was last listed: the
// longest that the table's routes hold one, and the time until no router begins one there.
func resumptionWindow(t *table.Table, applyWithin time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Stream || r.Repeat != table.RepeatResume {
			continue
		}
		if r.Timeout == 0 {
			return admit.SoftwareTTL
		}
		longest = max(longest, r.Timeout)
	}
	if longest == 0 {
		return admit.SoftwareTTL
	}
	return min(longest+applyWithin, admit.SoftwareTTL)
}

// updateVersionMemory notes whether what this router knows is the newest, and finds out which versions were
// listed before.
func (s *state) updateVersionMemory() {
	m := &s.versions
	if m.Observe(s.now, s.lastVerified(), s.applyWithin(), s.catalog.AsOf()) {
		m.readDue = s.now + s.historyDelay(historyReadDelay)
		if s.d.shared.readEverything.Load() {
			m.readDue = s.now
		}
	}
	if told := m.told; told.msg != nil && m.Current() {
		m.told = toldVersions{}
		if s.now-told.at < s.applyWithin() {
			s.learnVersions(&told)
		}
	}
	s.requestHistory()
}

// applyWithin is the time within which changes at the platform must be applied.
func (s *state) applyWithin() time.Duration { return time.Duration(s.d.shared.applyWithin.Load()) }

// historyDelay scales a delay by this router's rank among the platform's readers.
func (s *state) historyDelay(base time.Duration) time.Duration {
	return retryDelay(s.d.shared.readerRank.Load(), base)
}

// knowsWindow reports whether this router has known all versions that were listed for long enough.
func (s *state) knowsWindow() bool { return s.versions.Span(s.now) >= s.versions.window }

// knowsSince reports whether this router knows everything that changed after a revision that another one knows.
func (s *state) knowsSince(epoch, number uint64) bool {
	return epoch == s.catalog.AsOf().Epoch && s.catalog.HasHistorySince(number)
}

// requestHistory lets the platform's history be read if that is due and of use.
func (s *state) requestHistory() {
	m := &s.versions
	if s.d.opt.history == 0 || m.reading || m.readDue == 0 || s.now < m.readDue || !m.Current() {
		return
	}
	if s.knowsWindow() {
		m.readDue = 0
		return
	}
	select {
	case s.d.historyRequests <- historyRequest{asOf: s.catalog.AsOf(), knownTo: m.KnownTo()}:
		m.reading = true
	default:
	}
}

// readHistories reads the platform's history whenever it is requested.
func (d *Dispatcher) readHistories() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case request := <-d.historyRequests:
			start := d.now()
			h, err := readHistory(d.ctx, d.source, request)
			d.post(historyEvent{changeHistory: h, asOf: request.asOf, startedAt: start, err: err})
		}
	}
}

// historyEvent is the end of a read of the platform's history.
type historyEvent struct {
	changeHistory
	// asOf is the revision that was known at startedAt.
	asOf      catalog.Revision
	startedAt time.Duration
	err       error
}

func (e historyEvent) apply(s *state) {
	m := &s.versions
	m.reading = false
	switch {
	case errors.Is(e.err, errHistoryTooLong):
		m.readDue = 0
	case e.err != nil:
		m.readDue = s.now + s.historyDelay(historyRetryDelay)
	case !m.Current() || s.catalog.AsOf().Epoch != e.asOf.Epoch:
		// The router fell behind meanwhile; it reads again.
		return
	default:
		m.readDue = 0
		s.applyHistory(&e)
	}
	if e.err != nil && s.d.ctx.Err() == nil {
		s.d.opt.log.Warn("version_history_failed", "as_of", e.asOf.Number, "epoch", e.asOf.Epoch, "calls", e.calls, "error", e.err)
	}
	s.settleQueries()
}

// applyHistory takes in the versions that were listed within the platform's history.
func (s *state) applyHistory(e *historyEvent) {
	m, since := &s.versions, s.now-s.d.opt.history
	if e.isWhole {
		since = min(since, s.now-admit.SoftwareTTL)
	}
	versions, unknown := catalog.ListedVersions(e.Servers, m.ListedAfter(since))
	mayLackEntry := e.unaccounted >= catalog.EntryNumbers && !s.knowsWindow()
	if unknown > 0 || mayLackEntry {
		m.RecordUnknown(e.startedAt + m.window)
	}
	s.step(admit.SoftwareListed{Versions: versions})
	m.Extend(since)
	m.seniors.Record(s.now, s.seniorsSince(e))
	s.d.opt.log.Info("version_history", "from", "", "as_of", e.AsOf, "epoch", e.Epoch, "after", e.After, "whole", e.isWhole, "versions", len(versions),
		"unknown", unknown, "unaccounted", e.unaccounted, "span_ms", m.Span(s.now).Milliseconds(), "window_ms", m.window.Milliseconds(), "calls", e.calls, "took_ms", (s.now - e.startedAt).Milliseconds())
	s.broadcastVersions("")
}

// handleListedVersions takes in what another router knows of the versions that were listed lately.
func (s *state) handleListedVersions(told toldVersions) {
	if !s.versions.Current() {
		s.versions.told = told
		return
	}
	s.learnVersions(&told)
}

// learnVersions takes in what another router knows, if nothing is missing between its revision and the
// changes known here.
func (s *state) learnVersions(told *toldVersions) {
	from, m := told.from, told.msg
	span := time.Duration(m.SpanMillis) * time.Millisecond
	isMore := !s.knowsWindow() && span > s.versions.Span(s.now)
	namesUnknown := m.UnknownMillis == 0 && span >= s.versions.window && s.versions.UnknownLeft(s.now) > 0
	if !s.knowsSince(m.Epoch, m.AsOf) || !isMore && !namesUnknown {
		return
	}
	versions := make([]catalog.ServiceVersion, len(m.Versions))
	for i, v := range m.Versions {
		versions[i] = catalog.ServiceVersion{Service: v.Service, Version: table.CanonicalVersion(v.Version)}
	}
	s.step(admit.SoftwareListed{Versions: versions})
	if namesUnknown {
		s.versions.ForgetUnknown()
	}
	if m.UnknownMillis > 0 {
		s.versions.RecordUnknown(s.now + time.Duration(m.UnknownMillis)*time.Millisecond)
	}
	s.versions.Extend(s.now - span)
	s.versions.seniors.Record(s.now, told.seniorVersions())
	s.d.opt.log.Info("version_history", "from", from, "as_of", m.AsOf, "epoch", m.Epoch, "versions", len(versions), "unknown_ms", m.UnknownMillis,
		"span_ms", s.versions.Span(s.now).Milliseconds(), "window_ms", s.versions.window.Milliseconds())
	s.settleQueries()
	if s.peerPlan.Relay {
		s.broadcastVersions(from)
	}
}

// listedVersions returns what this router knows of the versions that were listed lately, nil if that is too
// little for another one.
func (s *state) listedVersions() *wire.ListedVersions {
	if !s.versions.Current() || !s.knowsWindow() {
		return nil
	}
	asOf := s.catalog.AsOf()
	return &wire.ListedVersions{
		Epoch: asOf.Epoch, AsOf: asOf.Number, SpanMillis: s.versions.Span(s.now).Milliseconds(), Versions: s.core.RecentSoftware(),
		UnknownMillis: s.versions.UnknownLeft(s.now).Milliseconds(),
	}
}

// broadcastVersions tells other routers but one which versions were listed lately.
func (s *state) broadcastVersions(except string) {
	if m := s.listedVersions(); m != nil {
		s.broadcast(s.seniorVersions(s.catalog.AsOf()), except)
		s.broadcast(m, except)
	}
}

// sendVersions tells a router that was heard for the first time which versions were listed lately.
func (s *state) sendVersions(to string) {
	if m := s.listedVersions(); m != nil && s.introducesRouters() {
		s.d.transport.Send(to, s.seniorVersions(s.catalog.AsOf()))
		s.d.transport.Send(to, m)
	}
}
