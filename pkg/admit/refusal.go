package admit

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// minRetryAfter is the least retry delay of a request that got no slot; a random part of up
	// to the same length is added. An engine processes a medium-sized prompt in that time.
	minRetryAfter = 60 * time.Millisecond
	// retryAfterNoServer is the retry delay if the service has no backend server.
	retryAfterNoServer = 250 * time.Millisecond
	// retryAfterClosed is the retry delay if operators have closed the zones.
	retryAfterClosed = time.Second
	// retryAfterNoRegion is the retry delay if the allowed regions have no backend server of the
	// service, which only operators can change.
	retryAfterNoRegion = time.Second
	// retryAfterNoVersion is the retry delay of a stream that began at a software version of which no
	// backend server takes requests. One that starts takes seconds.
	retryAfterNoVersion = time.Second
)

// Refusals of requests that have not run.
var (
	errNoServer = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-backend",
		"no backend server of the service takes requests")
	errZoneClosed = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "zone-closed",
		"operators have closed the availability zones of the service's backend servers; come back as told")
	errBusy = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "busy",
		"no backend server could answer in time; come back as told")
	errDeadline = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "deadline",
		"the deadline passed while the request waited for a backend server")
)

// refusal returns why a request must not wait any longer, nil if it may.
func (c *Core) refusal(r *request) *verdict.Error {
	switch {
	case c.now >= r.Deadline:
		return errDeadline
	case !r.MayHaveRun && !c.anyReachable(r), r.Software != nil && !c.hasOpenServer(r):
		return c.noServerError(r)
	}
	if err := cmp.Or(c.crashRefusal(r), c.backoffRefusal(r)); err != nil {
		return err
	}
	switch {
	case !r.MayHaveRun && r.MaxWait > 0 && c.now-r.arrivedAt >= c.maxWait(r):
		if c.waitsForTrial(r) {
			return errOnTrial.WithRetryAfter(trialRetryAfter + c.retryAfter())
		}
		return c.busyError(r)
	case c.isHopeless(r):
		return c.busyError(r)
	default:
		return nil
	}
}

// anyReachable reports whether any backend server that may process a request takes new requests
// and is reachable from this router.
func (c *Core) anyReachable(r *request) bool {
	return slices.ContainsFunc(c.serversFor(c.service(r.Service), r.candidates()), c.isReachable)
}

// hasOpenServer reports whether any backend server that may process a request takes new requests.
func (c *Core) hasOpenServer(r *request) bool {
	return slices.ContainsFunc(c.serversFor(c.service(r.Service), r.candidates()), (*server).isOpen)
}

// isReachable reports whether a backend server takes new requests and its zone is reachable.
func (c *Core) isReachable(s *server) bool { return s.isOpen() && !c.unreachableZones[s.Zone] }

// updateUnreachableZones marks the zones that have known routers of which none is live.
// Requests to their backend servers would fail only after a connection timeout, once per router
// and backend server.
func (c *Core) updateUnreachableZones() {
	c.unreachableZones = map[string]bool{}
	for zone, known := range c.routersByZone {
		c.unreachableZones[zone] = known > 0 && zone != c.opt.self.Zone
	}
	for i := range c.routers {
		delete(c.unreachableZones, c.routers[i].Zone)
	}
}

// noServerError returns the refusal of a request for which no backend server takes new requests.
func (c *Core) noServerError(r *request) *verdict.Error {
	svc := c.service(r.Service)
	allowed := c.serversFor(svc, candidateSet{regions: r.Regions})
	switch {
	case r.Software != nil && !c.hasOpenServer(r):
		return errNoVersion.WithRetryAfter(retryAfterNoVersion)
	case slices.ContainsFunc(allowed, func(s *server) bool { return s.zoneClosed }):
		return errZoneClosed.WithRetryAfter(retryAfterClosed)
	case len(allowed) == 0 && len(svc.servers) > 0:
		return errNoRegion.WithRetryAfter(retryAfterNoRegion)
	case len(allowed) < len(svc.servers):
		return errNoRegion.WithRetryAfter(retryAfterNoServer)
	default:
		return errNoServer.WithRetryAfter(retryAfterNoServer)
	}
}

// maxWait returns how long a request may wait here. While a reply may have arrived without
// having been processed yet, the request waits longer: a granted slot would otherwise be lost.
func (c *Core) maxWait(r *request) time.Duration {
	if !r.awaitsReply() {
		return r.MaxWait
	}
	return r.MaxWait + lagFactor*c.lag
}

// retryAfter returns a random retry delay for a refused request.
func (c *Core) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(c.rng.Int64N(int64(minRetryAfter)))
}
