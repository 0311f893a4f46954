package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A stream that nobody remembers goes on only if what this router knows is no older than the request that takes it
// up. A router that heard nothing for a moment does not notice that by itself, so that it verifies its revision
// after the request came. One verification serves all requests that came before it began.

const (
	// A router begins verifications that requests wait for at intervals of verifyIntervalPerRouter for each router of
	// the fleet, which makes 800 a second for the whole fleet at most, and of minVerifyInterval at least.
	verifyIntervalPerRouter = 1250 * time.Microsecond
	minVerifyInterval       = 50 * time.Millisecond
	// failedVerifyPause is the least time between a verification that failed and the next one.
	failedVerifyPause = 200 * time.Millisecond
	// verifyTimeout bounds the wait for a verification, the interval between two and twice the own lag are added.
	verifyTimeout = 80 * time.Millisecond
	// askToVerifyAfter is how long a router waits for its own verification before it asks others, maxVerifiers
	// how many it asks. All ask the same ones, so that one verification serves many.
	askToVerifyAfter = verifyTimeout / 2
	maxVerifiers     = 3
	// verifyRequestTTL is how long a request of another router matters.
	verifyRequestTTL = time.Second
)

// verifyRequest is the request of another router to verify the revision after it came.
type verifyRequest struct {
	from peer.Inbound
	msg  *wire.VerifyRequest
	at   time.Duration
}

// verifications are the requests for verifications that are not answered yet.
type verifications struct {
	// requests are those of other routers by address.
	requests map[string]verifyRequest
	// askedAt is when other routers were last asked.
	askedAt time.Duration
	// done counts the verifications that this router made because they were requested.
	done int64
}

// verifyInterval returns the least interval between two verifications that are requested.
func (d *Dispatcher) verifyInterval() time.Duration {
	return max(minVerifyInterval, verifyIntervalPerRouter*time.Duration(d.shared.routerCount.Load()))
}

// requestVerification lets the platform be read unless what is known was verified at a time or later.
func (d *Dispatcher) requestVerification(at time.Duration) {
	d.shared.verifyWanted.Store(max(d.shared.verifyWanted.Load(), int64(at)))
	select {
	case d.verifyRequests <- struct{}{}:
	default:
	}
}

// needsVerification reports whether a verification that was requested is still to be made.
func (d *Dispatcher) needsVerification() bool {
	return d.shared.lastVerified.Load() < d.shared.verifyWanted.Load()
}

// verifyOnRequest verifies the revision whenever that is requested.
func (d *Dispatcher) verifyOnRequest() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.verifyRequests:
		}
		if !d.needsVerification() {
			continue
		}
		start := d.now()
		err := d.verifyChanges(start)
		if err != nil {
			d.recordReadFailure("verify on request", err)
		} else {
			d.recordReadSuccess()
		}
		d.post(verifyEndedEvent{startedAt: start, err: err})
		d.sleep(start + d.verifyPause(err) - d.now())
	}
}

// verifyChanges verifies the revision for requests. A read of everything is left to verifyPlatform, which spreads
// these reads over the routers.
func (d *Dispatcher) verifyChanges(start time.Duration) error {
	known := d.asOf()
	if known.IsZero() {
		return errChangesUnknown
	}
	return d.verifyRevision(known, start)
}

// verifyPause returns the least time from the begin of a verification to that of the next one.
func (d *Dispatcher) verifyPause(err error) time.Duration {
	if err != nil {
		return max(failedVerifyPause, d.verifyInterval())
	}
	return d.verifyInterval()
}

// verifyEndedEvent is the end of a verification that was requested.
type verifyEndedEvent struct {
	startedAt time.Duration
	err       error
}

func (e verifyEndedEvent) apply(s *state) {
	s.verifications.done++
	if e.err != nil {
		for _, q := range s.origins.queries {
			q.verifyFailed = q.verifyFailed || q.startedAt <= e.startedAt
		}
	}
	s.useVerification()
}

// useVerification decides on what waited for a verification, if there is a new one.
func (s *state) useVerification() {
	s.answerVerifyRequests()
	s.settleQueries()
}

// lastVerified returns when what this router knows was last known to be the newest, 0 if never.
func (s *state) lastVerified() time.Duration { return time.Duration(s.d.shared.lastVerified.Load()) }

// askToVerify asks other routers to verify the revision, which this one cannot do itself.
func (s *state) askToVerify() {
	if s.verifications.askedAt > 0 && s.now-s.verifications.askedAt < s.d.verifyInterval() {
		return
	}
	s.verifications.askedAt = s.now
	asOf := s.catalog.AsOf()
	msg := &wire.VerifyRequest{Stamp: s.stamp(), Epoch: asOf.Epoch, After: asOf.Number}
	for _, to := range s.verifiers() {
		s.d.transport.Send(to, msg)
	}
}

// verifiers returns the routers that are asked to verify the revision: the first reader of each of a few zones.
func (s *state) verifiers() []string {
	var list []string
	for _, zone := range rendezvous.Owners(readerKey, s.origins.zones, maxVerifiers) {
		list = append(list, rendezvous.Owners(readerKey, s.origins.routersByZone[zone], 1)...)
	}
	return list
}

// handleVerifyRequest verifies the revision for another router.
func (s *state) handleVerifyRequest(from peer.Inbound, m *wire.VerifyRequest) {
	s.recordStamp(from, m.Stamp)
	s.verifications.requests[from.From] = verifyRequest{from, m, s.now}
	s.d.requestVerification(s.now)
}

// answerVerifyRequests tells routers that the revision was verified since they asked, after what they lack.
func (s *state) answerVerifyRequests() {
	for address, r := range s.verifications.requests {
		switch {
		case s.lastVerified() >= r.at:
			s.answerVerifyRequest(address, &r)
		case s.now-r.at < verifyRequestTTL:
			continue
		}
		delete(s.verifications.requests, address)
	}
}

func (s *state) answerVerifyRequest(address string, r *verifyRequest) {
	if asOf := s.catalog.AsOf(); r.msg.Epoch != asOf.Epoch || r.msg.After < asOf.Number {
		s.sendUpdateSince(r.from, &wire.PlatformUpdateRequest{Epoch: r.msg.Epoch, After: r.msg.After})
	}
	s.sendVerified([]string{address})
}
