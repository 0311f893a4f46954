package admit

import (
	"math"
	"slices"
	"time"
)

// Result is the outcome of an attempt with regard to the backend server.
type Result uint8

// Results of attempts.
const (
	// Succeeded: a complete response that is not a server error.
	Succeeded Result = iota
	// Failed: the backend server responded with an error of its own.
	Failed
	// Broken: the connection broke, or the response was malformed.
	Broken
	// Stalled: the backend server sent nothing for too long.
	Stalled
	// Unreachable: no byte of the request could be sent.
	Unreachable
	// Refused: the backend server did not accept the request.
	Refused
	// Unknown: no information, for example because the caller disconnected.
	Unknown
)

// health is the state of a backend server according to attempts of this router.
type health struct {
	// failureRate is the moving average of failures.
	failureRate float64
	seen        float64
	// ejectedUntil is when an ejected backend server may get a probe, 0 if it is not ejected.
	ejectedUntil time.Duration
	// ejections counts consecutive ejections.
	ejections int
	// probedAt is when the current probe started, 0 if there is none.
	probedAt time.Duration
	// fullUntil is until when it gets no requests because it refused one.
	fullUntil time.Duration
}

const (
	// failureWeight is the weight of a new sample.
	failureWeight = 0.15
	// ejectThreshold is the failure rate from which a backend server is ejected, unless others
	// of its service fail as often.
	ejectThreshold = 0.3
	// ejectMargin is by how much its failure rate must exceed the median of its service.
	ejectMargin = 0.2
	// minEjection is the duration of the first ejection, which doubles with each consecutive
	// one up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// probeTimeout is the time after which another probe may be sent.
	probeTimeout = time.Second
	// fullPeriod is how long a backend server that refused a request gets no other.
	fullPeriod = 30 * time.Millisecond
)

func (h *health) readmit() {
	h.ejectedUntil, h.ejections, h.probedAt = 0, 0, 0
}

func (h *health) recordStart(now time.Duration) {
	if h.ejectedUntil > 0 && now >= h.ejectedUntil {
		h.probedAt = now
	}
}

func (h *health) recordEnd(now time.Duration, r Result) {
	switch r {
	case Succeeded:
		h.record(0)
		if h.ejectedUntil > 0 && h.probedAt > 0 {
			h.readmit()
			h.failureRate = min(h.failureRate, ejectThreshold/2)
		}
	case Failed:
		h.record(1)
		if h.probedAt > 0 {
			h.eject(now)
		}
	case Broken:
		h.record(1)
	case Stalled, Unreachable:
		h.record(1)
		h.eject(now)
	case Refused:
		h.fullUntil = now + fullPeriod
	case Unknown:
	}
}

func (h *health) record(failure float64) {
	h.failureRate += failureWeight * (failure - h.failureRate)
	h.seen++
}

// eject ejects a backend server, for longer with each consecutive ejection.
func (h *health) eject(now time.Duration) {
	if now < h.ejectedUntil {
		return
	}
	h.ejectedUntil = now + min(maxEjection, time.Duration(float64(minEjection)*math.Pow(2, float64(h.ejections))))
	h.ejections++
	h.probedAt = 0
}

// mayReceive reports whether it may get a request or a probe now.
func (h *health) mayReceive(now time.Duration) bool {
	if now < h.fullUntil {
		return false
	}
	if h.ejectedUntil == 0 {
		return true
	}
	return now >= h.ejectedUntil && (h.probedAt == 0 || now-h.probedAt >= probeTimeout)
}

// healthy ejects backend servers that fail too often and returns the others. If none is left,
// it returns all that are not full, since the cause is probably elsewhere.
func (c *Core) healthy(svc *service, eligible []*server) []*server {
	limit := max(ejectThreshold, c.medianFailureRate(svc)+ejectMargin)
	var good, rest []*server
	for _, s := range eligible {
		h := &s.health
		if h.ejectedUntil == 0 && h.failureRate > limit {
			h.eject(c.now)
		}
		switch {
		case h.mayReceive(c.now):
			good = append(good, s)
		case c.now >= h.fullUntil:
			rest = append(rest, s)
		}
	}
	if len(good) > 0 {
		return good
	}
	return rest
}

// medianTTL is how long a median is cached. A single attempt changes it little.
const medianTTL = 50 * time.Millisecond

// medianFailureRate returns the median failure rate of a service's backend servers.
func (c *Core) medianFailureRate(svc *service) float64 {
	if svc.medianAt > 0 && c.now-svc.medianAt < medianTTL {
		return svc.median
	}
	svc.median, svc.medianAt = 0, c.now
	if len(svc.servers) == 0 || 2*len(svc.failed) <= len(svc.servers) {
		// Most have not failed.
		return 0
	}
	all := make([]float64, 0, len(svc.servers))
	for _, s := range svc.servers {
		all = append(all, s.health.failureRate)
	}
	slices.Sort(all)
	svc.median = all[len(all)/2]
	return svc.median
}

// recordFailure remembers that a backend server has a failure rate.
func (c *Core) recordFailure(s *server) {
	if s.health.failureRate == 0 || !s.isListed {
		return
	}
	for _, m := range s.Models {
		c.service(m).failed[s] = true
	}
}

// Ejection describes an ejected backend server, which gets only probes.
type Ejection struct {
	// FailureRate is the moving average of failures.
	FailureRate float64
	// Count is the number of consecutive ejections.
	Count int
}

// Ejected returns the backend servers that this router has ejected, by name.
func (c *Core) Ejected() map[string]Ejection {
	ejected := map[string]Ejection{}
	for _, s := range c.sortedServers {
		if s.health.ejectedUntil > 0 && s.isListed {
			ejected[s.Name] = Ejection{FailureRate: s.health.failureRate, Count: s.health.ejections}
		}
	}
	return ejected
}
