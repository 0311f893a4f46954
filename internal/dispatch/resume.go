package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/origin"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// originTimeout bounds the wait for the replies of other routers, twice the own lag is added.
	originTimeout = 80 * time.Millisecond
	// maxAskAll is the size of a fleet up to which all routers are asked what began a stream, queriedPerZone
	// how many are in each zone of a larger one: its replicas, and one more for a router lost since.
	maxAskAll      = 12
	queriedPerZone = 3
	// Retry delays of a stream that cannot go on: some routers that may know what began it did not reply,
	// or nobody knows, which no retry changes.
	retryAfterNoReply = 300 * time.Millisecond
	// startPeriod is the time after its start in which a router may not know all others yet.
	startPeriod       = time.Second
	retryAfterUnknown = time.Second
)

// Refusals of requests that take up a stream. They have not run.
var (
	errOriginUnknown = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stream-unknown",
		"nobody remembers which software version began the stream, and it may go on at no other; begin it anew")
	errServiceChanged = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "stream-service",
		"the route no longer leads to the service that began the stream; begin it anew")
)

// resumeOutcome is the decision on a stream that its caller takes up.
type resumeOutcome string

// The decisions, for logs and the status.
const (
	// resumeRecorded: the fleet remembers what began it.
	resumeRecorded resumeOutcome = "recorded"
	// resumeSoleVersion: it is not remembered, but could have begun at one version only.
	resumeSoleVersion resumeOutcome = "sole-version"
	// resumePinned: it is not remembered, but was pinned to the version that was senior throughout.
	resumePinned resumeOutcome = "pinned"
	// resumeUnknown: it is not remembered, and may have begun at several versions.
	resumeUnknown resumeOutcome = "unknown"
	// resumeNoReply: it is not remembered, and not all routers that may know more replied.
	resumeNoReply resumeOutcome = "no-reply"
	// resumeService: the route no longer leads to the service that began it.
	resumeService resumeOutcome = "service-changed"
)

// originQuery is a stream that a caller takes up and for which other routers are asked.
type originQuery struct {
	front.Resumption
	key       origin.Key
	startedAt time.Duration
	result    chan<- resumeResult
	// asked is the number of routers that were asked, waiting are those that have not replied.
	asked   int
	waiting map[string]bool
	// joined are the routers of which this one knows all changes since the revision that they know.
	joined map[string]bool
	// doubtful says that a router remembers the stream, but not what began it.
	doubtful bool
	// mixed says that a router knows of several versions of a service, memory is the longest time for
	// which all versions have been known to one of those that replied, and then to this one.
	mixed  bool
	memory time.Duration
	// verifyDue is until when it waits for a verification, 0 if it does not yet. verifyFailed says that this
	// router could not make one after it came, verifications how many had been made on request before.
	verifyDue     time.Duration
	verifyFailed  bool
	verifications int64
}

type resumeResult struct {
	front.Continuation
	err *verdict.Error
}

// Resume implements front.Scheduler.
func (d *Dispatcher) Resume(ctx context.Context, r front.Resumption) (front.Continuation, error) {
	result := make(chan resumeResult, 1)
	if !d.post(resumeEvent{&originQuery{Resumption: r, key: origin.KeyOf(r.Account, r.Resumes), result: result, waiting: map[string]bool{}}}) {
		return front.Continuation{}, errStopping
	}
	select {
	case x := <-result:
		if x.err != nil {
			return front.Continuation{}, x.err
		}
		return x.Continuation, nil
	case <-ctx.Done():
		return front.Continuation{}, ctx.Err()
	case <-d.ctx.Done():
		return front.Continuation{}, errStopping
	}
}

type resumeEvent struct{ *originQuery }

func (e resumeEvent) apply(s *state) {
	q := e.originQuery
	q.startedAt, q.verifications = s.now, s.verifications.done
	if o, known := s.origins.store.Get(s.now, q.key); known && q.Resumes != "" {
		if !o.Software.Unknown {
			s.continueAt(q, o, "")
			return
		}
		q.doubtful = true
	}
	s.askForOrigin(q, s.originCandidates(q.key))
}

// askForOrigin asks other routers what began a stream.
func (s *state) askForOrigin(q *originQuery, routers []string) {
	s.origins.lastSeq++
	msg := &wire.OriginQuery{Seq: s.origins.lastSeq, Key: uint64(q.key)}
	for _, service := range q.Services {
		msg.Services = append(msg.Services, wire.HashName(service))
	}
	q.joined = map[string]bool{}
	for _, to := range routers {
		q.waiting[to] = true
		s.d.transport.Send(to, msg)
	}
	q.asked = len(q.waiting)
	s.origins.queries[msg.Seq] = q
	s.settle(msg.Seq, q)
}

// originCandidates returns the routers that may remember a stream, wherever it began.
func (s *state) originCandidates(key origin.Key) []string {
	live := s.roster.Live(s.now)
	if len(live) < maxAskAll {
		return live
	}
	var list []string
	for _, zone := range s.origins.zones {
		list = append(list, rendezvous.OwnersHashed(uint64(key), s.origins.routersByZone[zone], queriedPerZone)...)
	}
	return list
}

// answerOriginQuery tells another router what this one knows of a stream.
func (s *state) answerOriginQuery(from string, m *wire.OriginQuery) {
	s.updateVersionMemory()
	asOf := s.catalog.AsOf()
	s.d.transport.Send(from, &wire.OriginBasis{Seq: m.Seq, UpMillis: (s.now - s.startedAt).Milliseconds(), Epoch: asOf.Epoch, AsOf: asOf.Number})
	reply := &wire.OriginReply{Seq: m.Seq, MemoryMillis: s.versions.Span(s.now).Milliseconds(), Mixed: s.versions.UnknownLeft(s.now) > 0}
	var o origin.Origin
	if o, reply.Known = s.origins.store.Get(s.now, origin.Key(m.Key)); reply.Known {
		reply.Origin = originMessage(origin.Key(m.Key), o)
	}
	for _, service := range m.Services {
		reply.Mixed = reply.Mixed || s.core.MixesSoftware(service)
	}
	s.d.transport.Send(from, reply)
}

// handleOriginBasis records what the reply that follows goes by.
func (s *state) handleOriginBasis(from string, m *wire.OriginBasis) {
	s.versions.RecordStart(from, s.now-time.Duration(m.UpMillis)*time.Millisecond)
	if q, ok := s.origins.queries[m.Seq]; ok && q.waiting[from] && s.knowsSince(m.Epoch, m.AsOf) {
		q.joined[from] = true
	}
}

func (s *state) handleOriginReply(from string, m *wire.OriginReply) {
	q, ok := s.origins.queries[m.Seq]
	if !ok || !q.waiting[from] {
		return
	}
	delete(q.waiting, from)
	q.mixed = q.mixed || m.Mixed
	if q.joined[from] {
		q.memory = max(q.memory, time.Duration(m.MemoryMillis)*time.Millisecond)
	}
	remembered := m.Known && uint64(q.key) == m.Origin.Key && q.Resumes != ""
	q.doubtful = q.doubtful || remembered && m.Origin.Unknown
	switch {
	case remembered && !q.doubtful:
		delete(s.origins.queries, m.Seq)
		s.continueAt(q, originOf(&m.Origin), from)
	default:
		s.settle(m.Seq, q)
	}
}

// settle decides on a stream that nobody remembers once all routers that were asked have replied, or did not in time. It
// waits for the versions that were listed lately if this router is about to learn them, and for a verification if the
// stream could go on with one.
func (s *state) settle(seq uint64, q *originQuery) {
	isLate := s.now-q.startedAt >= originTimeout+2*s.estimator.Lag()
	if !isLate && (len(q.waiting) > 0 || s.versions.isLearning() && !s.remembersWindow(q)) {
		return
	}
	if s.awaitsVerification(q) {
		return
	}
	delete(s.origins.queries, seq)
	s.continueUnrecorded(q)
}

// settleQueries decides on the streams that need not wait any more.
func (s *state) settleQueries() {
	if len(s.origins.queries) == 0 {
		return
	}
	s.updateVersionMemory()
	for seq, q := range s.origins.queries {
		s.settle(seq, q)
	}
}

// awaitsVerification reports whether a stream waits until what this router knows is verified.
func (s *state) awaitsVerification(q *originQuery) bool {
	if _, outcome := s.onlyOrigin(q); outcome == "" || s.isVerifiedFor(q) {
		return false
	}
	if q.verifyDue == 0 {
		q.verifyDue = s.now + verifyTimeout + s.d.verifyInterval() + 2*s.estimator.Lag()
	}
	if s.now >= q.verifyDue || q.verifyFailed && s.coversOutage(q) {
		return false
	}
	s.d.requestVerification(q.startedAt)
	if left := q.verifyDue - s.now; q.verifyFailed || left <= s.d.verifyInterval()+verifyTimeout-askToVerifyAfter {
		s.askToVerify()
	}
	return true
}

// isVerifiedFor reports whether what this router knows was the newest after a request came.
func (s *state) isVerifiedFor(q *originQuery) bool { return s.lastVerified() >= q.startedAt }

// continueAt decides on a stream of which a router remembers what began it. from is that router, "" for
// this one.
func (s *state) continueAt(q *originQuery, o origin.Origin, from string) {
	for _, service := range q.Services {
		if wire.HashName(service) == o.Service {
			s.finishResumption(q, resumeRecorded, front.Continuation{Service: service, Software: &o.Software, Recorded: true}, from)
			return
		}
	}
	s.refuseResumption(q, resumeService, errServiceChanged.WithRetryAfter(retryAfterUnknown))
}

// continueUnrecorded decides on a stream of which nobody who replied remembers what began it. It may go on if it can have
// begun at one version only.
func (s *state) continueUnrecorded(q *originQuery) {
	only, outcome := s.onlyOrigin(q)
	may := outcome != ""
	switch {
	case outcome == resumePinned && s.isVerifiedFor(q), outcome == resumeSoleVersion && s.coversResumption(q):
		s.finishResumption(q, outcome, front.Continuation{Service: q.Service, Software: &only}, "")
	case may || len(q.waiting) > 0 || s.now-clockStart < startPeriod:
		s.refuseResumption(q, resumeNoReply, errOriginUnknown.WithRetryAfter(retryAfterNoReply))
	default:
		s.refuseResumption(q, resumeUnknown, errOriginUnknown.WithRetryAfter(retryAfterUnknown))
	}
}

// onlyOrigin returns the only version at which a stream can have begun, as far as this router and those that replied know,
// and the outcome if that is all there is to know, "" if there may be several.
func (s *state) onlyOrigin(q *originQuery) (only table.Software, outcome resumeOutcome) {
	if s.versions.UnknownLeft(s.now) > 0 {
		return table.Software{}, ""
	}
	sole, isSole := s.soleSoftware(q.Services, q.Service)
	switch {
	case isSole && !q.mixed:
		return sole, resumeSoleVersion
	case isSole:
		return table.Software{}, ""
	}
	if pinned, isPinned := s.pinnedOrigin(q); isPinned {
		return pinned, resumePinned
	}
	return table.Software{}, ""
}

// coversResumption reports whether all versions are known that can have begun a stream. What a restored platform lacks
// is known to the routers that had read it, all of which must have replied then.
func (s *state) coversResumption(q *originQuery) bool {
	isComplete := !s.versions.mayLack(s.now) || s.askedAll(q)
	return s.isVerifiedFor(q) && s.remembersWindow(q) && isComplete || s.coversOutage(q)
}

// remembersWindow reports whether a router has known for long enough what was listed, up to its last verification.
func (s *state) remembersWindow(q *originQuery) bool {
	return max(q.memory, s.versions.Span(s.now)) >= s.versions.window
}

// coversOutage reports whether every router of the fleet replied, which need not know what the platform lists now: none
// of them begins a stream at a version that it has not read. Without a history a platform cannot tell what came before
// all of them started.
func (s *state) coversOutage(q *originQuery) bool {
	return s.askedAll(q) && (s.d.opt.history == 0 || s.versions.Reach(s.now) >= s.versions.window)
}

// soleSoftware returns what the backend servers of a service run, and whether those of each service run
// one version only.
func (s *state) soleSoftware(services []string, service string) (sole table.Software, isSole bool) {
	for _, name := range services {
		software, ok := s.core.SoleSoftware(name)
		if !ok {
			return table.Software{}, false
		}
		if name == service {
			sole, isSole = software, true
		}
	}
	return sole, isSole
}

// resolveSoftware returns the software that a request is bound to, nil if it is not. A version that is not
// known is the only one that its service runs.
func (s *state) resolveSoftware(r *front.Request) *table.Software {
	if r.Software == nil || !r.Software.Unknown {
		return r.Software
	}
	if sole, isSole := s.core.SoleSoftware(r.Model); isSole {
		return &sole
	}
	return r.Software
}

// askedAll reports whether every router of the fleet replied to a query.
func (s *state) askedAll(q *originQuery) bool {
	return len(q.waiting) == 0 && q.asked+1 >= int(s.d.shared.routerCount.Load()) && s.roster.HeardAllSeeds()
}

func (s *state) refuseResumption(q *originQuery, outcome resumeOutcome, err *verdict.Error) {
	s.logResumption(q, outcome, &front.Continuation{}, "")
	q.result <- resumeResult{err: err}
}

func (s *state) finishResumption(q *originQuery, outcome resumeOutcome, c front.Continuation, from string) {
	s.logResumption(q, outcome, &c, from)
	q.result <- resumeResult{Continuation: c}
}

// verifiedAge returns for how long what this router knows has not been verified, in milliseconds, -1 if it never was.
func (s *state) verifiedAge() int64 {
	if s.lastVerified() == 0 {
		return -1
	}
	return (s.now - s.lastVerified()).Milliseconds()
}

func (s *state) logResumption(q *originQuery, outcome resumeOutcome, c *front.Continuation, from string) {
	s.origins.outcomes[outcome]++
	senior := s.versions.seniors.Within(s.now, s.versions.window)[q.Service]
	version := ""
	if c.Software != nil {
		version = c.Software.String()
	}
	s.d.opt.log.Info("stream_resumed", "request", q.Request, "resumes", q.Resumes, "outcome", string(outcome), "service", c.Service, "version", version,
		"from", from, "asked", q.asked, "no_reply", len(q.waiting), "mixed", q.mixed, "senior", senior.Software.String(), "pinned_share", senior.PinnedShare(), "verified_ms", s.verifiedAge(), "verified_after", s.isVerifiedFor(q),
		"verifications", s.verifications.done-q.verifications, "memory_ms", max(q.memory, s.versions.Span(s.now)).Milliseconds(),
		"window_ms", s.versions.window.Milliseconds(), "unknown_ms", s.versions.UnknownLeft(s.now).Milliseconds(), "took_ms", (s.now - q.startedAt).Milliseconds())
}
