package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// RuleCutByStop is the guarantee that planned stops of routers cut no request.
const RuleCutByStop = "cut-by-stop"

const (
	// stopTime is how long requests may continue after a stop signal. A router ends those that are open a
	// tenth of drainFor before drainFor has passed.
	drainFor = 4 * time.Second
	stopTime = drainFor - drainFor/10
	// transitTime is how long before the end of its connection a request may have been sent and yet be in
	// transit. It is far longer than loopback takes, to allow for a busy machine.
	transitTime = 200 * time.Millisecond
)

// stopRequest is what a caller observed of a request while routers were stopped in series.
type stopRequest struct {
	response
	// Router is the index of the router that the caller connected to.
	Router int
	// Read reports whether the process had begun to read the request when it closed the connection.
	Read bool
	// Cause is the error that ended the connection.
	Cause string
}

// stopTimes are the times of one planned stop, from the start of traffic.
type stopTimes struct {
	Router               int
	SignaledAt, ExitedAt time.Duration
}

// overran reports whether the process was still there when its time to stop had passed, and a request was
// open then.
func (s stopTimes) overran(r *stopRequest) bool {
	limit := s.SignaledAt + stopTime
	return s.ExitedAt >= limit && r.SentAt <= limit && r.EndedAt >= limit
}

// isAnswered reports whether the caller got a whole answer, or a refusal which says that the request did not run.
func (r *stopRequest) isAnswered() bool {
	switch r.Status {
	case http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return r.Complete
	default:
		return false
	}
}

// mayBeInTransit reports whether the connection may have been closed while idle, with the request in transit.
func (r *stopRequest) mayBeInTransit() bool {
	return r.Status == 0 && !r.Read && r.EndedAt-r.SentAt <= transitTime
}

// stopOutcomes counts the requests of the planned stops.
type stopOutcomes struct {
	// Answered and Refused have an answer, InTransit may have been in transit when their connection
	// was closed while idle, Overran were open when a router's time to stop had passed. Cut are all others.
	Answered, Refused, InTransit, Overran, Cut int
}

func (c *checker) addStopRequest(r stopRequest) {
	c.add(r.response)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopRequests = append(c.stopRequests, r)
}

func (c *checker) addStop(s stopTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, s)
}

// checkStops records a violation for each request that a planned stop cut. small is the index of the small
// router, or noRouter.
func (c *checker) checkStops(small int) stopOutcomes {
	outcomes, violations := evaluateStops(c.stopRequests, c.stops, small)
	for _, v := range violations {
		c.report(v.Rule, v.Request, v.Detail)
	}
	return outcomes
}

// evaluateStops checks that planned stops cut no request. Through a small router a request may have reached any
// other.
func evaluateStops(requests []stopRequest, stops []stopTimes, small int) (stopOutcomes, []Violation) {
	var n stopOutcomes
	var list []Violation
	for i := range requests {
		r := &requests[i]
		switch {
		case r.isAnswered() && r.Status == http.StatusOK:
			n.Answered++
		case r.isAnswered():
			n.Refused++
		case r.mayBeInTransit():
			n.InTransit++
		case isOverrun(r, stops, small):
			n.Overran++
		default:
			n.Cut++
			list = append(list, Violation{RuleCutByStop, r.ID, r.cutDetail(stops)})
		}
	}
	return n, list
}

// isOverrun reports whether a request was open when the time of a router that had it had passed.
func isOverrun(r *stopRequest, stops []stopTimes, small int) bool {
	for _, s := range stops {
		if (s.Router == r.Router || r.Router == small) && s.overran(r) {
			return true
		}
	}
	return false
}

// cutDetail describes how a request was cut.
func (r *stopRequest) cutDetail(stops []stopTimes) string {
	detail := fmt.Sprintf("a %s request to r-%d ended with status %d after %s, %s", r.Kind, r.Router, r.Status, (r.EndedAt - r.SentAt).Round(time.Millisecond), r.Cause)
	if r.Status != 0 && r.Complete {
		detail += " " + strings.TrimSpace(r.Body)
	}
	if r.Read {
		detail += ", which the process had begun to read"
	}
	for _, s := range stops {
		if s.Router == r.Router {
			detail += fmt.Sprintf("; the router was told to stop %s before, and ended %s after", (r.EndedAt - s.SignaledAt).Round(time.Millisecond), (s.ExitedAt - r.EndedAt).Round(time.Millisecond))
		}
	}
	return detail
}
