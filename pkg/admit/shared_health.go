package admit

import (
	"math"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The owner of an engine collects the results of all attempts there, and ejects it for all holders, so
// that not every router has to find out by a failure of its own. Each router still ejects by its own
// attempts: the owner may be unreachable, new, or of an older version.
//
// A holder may fail because it alone cannot reach the engine. The engine is therefore ejected only for
// failures of several holders, of which one is in its zone or which are in several zones, and the
// failures of a holder do not count while the engine responds to others.

const (
	// silentThreshold is the number of consecutive attempts without a response from which an engine is
	// ejected.
	silentThreshold = 2
	// sharedEjectThreshold is the failure rate from which an engine is ejected, unless the other
	// engines fail as well.
	sharedEjectThreshold = 0.5
	// minFailedHolders is the number of holders that must have failed.
	minFailedHolders = 2
	// contradictedAfter is the age from which a failure of a holder is contradicted by a response to
	// another one. A response that is reported sooner may have been sent before a crash.
	contradictedAfter = 200 * time.Millisecond
	// holderFailureTTL is how long a failure of a holder counts. A holder that ejected the engine
	// tries it at least every maxEjection.
	holderFailureTTL = 2 * maxEjection
	// trialGrace is how long a trial is kept for holders that have not failed there.
	trialGrace = 100 * time.Millisecond
	// failingPeriod is how long an engine counts as failing after a failed attempt, unless it responds.
	// Holders that ejected it send it trial requests at least as often.
	failingPeriod = maxEjection
)

// sharedHealth is the state of an engine according to the attempts of all holders.
type sharedHealth struct {
	// failureRate is the moving average of failures.
	failureRate float64
	// silent counts consecutive attempts without a response, silentSince is when the first one failed.
	silent      int
	silentSince time.Duration
	// failedAt is when an attempt last failed, 0 after a response.
	failedAt time.Duration
	// holders holds the holders whose last attempt failed.
	holders map[string]holderFailure
	// ejectedUntil is when an ejected engine may get a trial, 0 if it is not ejected. ejections counts
	// consecutive ejections, the first of which was at ejectedAt.
	ejectedUntil, ejectedAt time.Duration
	ejections               int
	// trial is the request that tries the engine, trialAt when it was granted, 0 if there is none.
	trial   entryKey
	trialAt time.Duration
}

// holderFailure is the last failed attempt of a holder.
type holderFailure struct {
	at   time.Duration
	zone string
	// contradicted says that the engine has responded to another holder since.
	contradicted bool
}

// isFailing reports whether attempts fail. A crashed engine has no requests, and would otherwise count as
// idle until the directory no longer lists it.
func (h *sharedHealth) isFailing(now time.Duration) bool {
	return h.ejectedUntil > 0 || h.failedAt > 0 && now-h.failedAt < failingPeriod
}

// recordResponse records that the engine responded to a holder.
func (h *sharedHealth) recordResponse(now time.Duration, holder string) {
	h.failureRate -= failureWeight * h.failureRate
	h.silent, h.failedAt = 0, 0
	delete(h.holders, holder)
	for name, f := range h.holders {
		switch {
		case now-f.at >= holderFailureTTL:
			delete(h.holders, name)
		case now-f.at >= contradictedAfter:
			f.contradicted = true
			h.holders[name] = f
		}
	}
}

// recordFailure records a failed attempt of a holder. It reports whether it counts.
func (h *sharedHealth) recordFailure(now time.Duration, holder, zone string, r Result) bool {
	f, failedBefore := h.holders[holder]
	contradicted := failedBefore && f.contradicted && now-f.at < holderFailureTTL
	if h.holders == nil {
		h.holders = map[string]holderFailure{}
	}
	h.holders[holder] = holderFailure{at: now, zone: zone, contradicted: contradicted}
	if contradicted {
		return false
	}
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.failedAt = now
	switch r {
	case Stalled, Unreachable:
		if h.silent == 0 {
			h.silentSince = now
		}
		h.silent++
	case Failed:
		// The engine responded.
		h.silent = 0
	default:
	}
	return true
}

// isCorroborated reports whether enough holders have failed since a time: several, and not only holders
// of one other zone, which may be unable to reach that of the engine.
func (h *sharedHealth) isCorroborated(since time.Duration, zone string) bool {
	n := 0
	zones := map[string]bool{}
	for _, f := range h.holders {
		if !f.contradicted && f.at >= since {
			n++
			zones[f.zone] = true
		}
	}
	return n >= minFailedHolders && (zones[zone] || len(zones) > 1)
}

// eject ejects the engine, for longer with each consecutive ejection.
func (h *sharedHealth) eject(now time.Duration) {
	if h.ejections == 0 {
		h.ejectedAt = now
	}
	h.ejectedUntil = now + min(maxEjection, time.Duration(float64(minEjection)*math.Pow(2, float64(h.ejections))))
	h.ejections++
	h.trialAt = 0
}

// mayTry reports whether a holder may try an ejected engine now.
func (h *sharedHealth) mayTry(now time.Duration, holder string) bool {
	if now < h.ejectedUntil || h.trialAt > 0 && now-h.trialAt < probeTimeout {
		return false
	}
	_, hasFailed := h.holders[holder]
	return !hasFailed || now-h.ejectedUntil >= trialGrace
}

// sharesHealth reports whether owners eject a backend server for all holders.
func (c *Core) sharesHealth(s *server) bool { return c.serviceOf(s).engine && c.weighted == nil }

// recordEngineResponse records a response of an engine to a holder, which readmits it.
func (c *Core) recordEngineResponse(s *server, holder string) {
	h := &s.owned.health
	h.recordResponse(c.now, holder)
	if h.ejectedUntil == 0 {
		return
	}
	c.emit(EngineReadmitted{Backend: s.Name, After: c.now - h.ejectedAt})
	h.ejectedUntil, h.ejections, h.trialAt = 0, 0, 0
	h.failureRate = min(h.failureRate, sharedEjectThreshold/2)
}

// recordAttemptEnd records the result of an attempt at an engine that its holder reports, and ejects the
// engine if too many fail.
func (c *Core) recordAttemptEnd(s *server, key entryKey, r Result) {
	h := &s.owned.health
	isTrial := h.trialAt > 0 && h.trial == key
	switch r {
	case Succeeded:
		c.recordEngineResponse(s, key.holder)
		return
	case Failed, Broken, Stalled, Unreachable:
		counts := h.recordFailure(c.now, key.holder, c.zoneOf(key.holder), r)
		if !c.sharesHealth(s) {
			return
		}
		if isTrial {
			c.ejectForAll(s, reasonTrial)
		} else if counts && c.now >= h.ejectedUntil {
			if reason := c.sharedFailure(s); reason != "" {
				c.ejectForAll(s, reason)
			}
		}
	case Refused, Unknown:
		if isTrial {
			h.trialAt = 0
		}
	}
}

// sharedFailure returns the reason for ejecting an engine for all holders, "" if there is none.
func (c *Core) sharedFailure(s *server) string {
	h := &s.owned.health
	switch {
	case h.silent >= silentThreshold && h.isCorroborated(h.silentSince, s.Zone):
		return reasonSilent
	case h.failureRate > sharedEjectThreshold && c.othersFailRarely(s) && h.isCorroborated(c.now-holderFailureTTL, s.Zone):
		return reasonErrors
	default:
		return ""
	}
}

// othersFailRarely reports whether the other engines of the service that this router knows, by attempts
// of its own or as their owner, seldom fail. Otherwise the cause is probably elsewhere.
func (c *Core) othersFailRarely(s *server) bool {
	svc := c.serviceOf(s)
	if c.medianFailureRate(svc) > sharedEjectThreshold-ejectMargin {
		return false
	}
	var rates []float64
	for _, x := range c.ownedServers {
		if x != s && x.isListed && c.serviceOf(x) == svc {
			rates = append(rates, x.owned.health.failureRate)
		}
	}
	if len(rates) == 0 {
		return true
	}
	slices.Sort(rates)
	return rates[len(rates)/2] <= sharedEjectThreshold-ejectMargin
}

// ejectForAll ejects an engine for all holders, and denies the slot requests that wait there.
func (c *Core) ejectForAll(s *server, reason string) {
	o := s.owned
	h := &o.health
	h.eject(c.now)
	c.emit(EngineEjected{
		Backend: s.Name, Reason: reason, Holders: len(h.holders), FailureRate: h.failureRate, Count: h.ejections, Period: h.ejectedUntil - c.now,
	})
	for _, a := range o.queue {
		c.denyEjected(s, a)
	}
	clear(o.queue)
	o.queue = o.queue[:0]
}

// denyEjected denies a slot at an ejected engine. It makes no offer: the estimate would count the engine
// as idle.
func (c *Core) denyEjected(s *server, a *receivedRequest) {
	o := s.owned
	c.send(a.from, &wire.SlotReply{ID: a.ID, Server: s.key, State: wire.SlotDenied, Running: o.running, PrefillTokens: o.prefill})
}

// isEjected reports whether the owner of an engine has ejected it for all holders.
func (c *Core) isEjected(s *server) bool {
	return c.ownerStateOf(s).health.ejectedUntil != 0 && c.sharesHealth(s)
}

// handleAtEjected replies to a slot request at an ejected engine. A request that may have run is not used
// for a trial before its target has passed.
func (c *Core) handleAtEjected(s *server, a *receivedRequest) {
	h := &s.owned.health
	mayTry := h.mayTry(c.now, a.from) && (!a.MayHaveRun || c.now >= a.due)
	if !mayTry || !c.tryGrant(s, a) {
		c.denyEjected(s, a)
		return
	}
	h.trial, h.trialAt = a.key(), c.now
}

// Reasons of ejections.
const (
	// reasonSilent: consecutive attempts of several holders got no response.
	reasonSilent = "silent"
	// reasonErrors: most recent attempts failed.
	reasonErrors = "errors"
	// reasonTrial: a trial failed.
	reasonTrial = "trial"
)

// EngineEjected is an action: this router, as the owner of an engine, ejected it for all holders.
type EngineEjected struct {
	Backend, Reason string
	// Holders is the number of holders whose last attempt failed, FailureRate the moving average of
	// failures.
	Holders     int
	FailureRate float64
	// Count is the number of consecutive ejections, Period the time until the next trial.
	Count  int
	Period time.Duration
}

// EngineReadmitted is an action: an ejected engine responded.
type EngineReadmitted struct {
	Backend string
	// After is the time since the first of the consecutive ejections.
	After time.Duration
}

func (EngineEjected) action()    {}
func (EngineReadmitted) action() {}

// EjectedForAll returns the engines that this router has ejected for all holders as their owner, by name.
func (c *Core) EjectedForAll() map[string]Ejection {
	ejected := map[string]Ejection{}
	for _, s := range c.ownedServers {
		if h := &s.owned.health; h.ejectedUntil > 0 && s.isListed && s.owner == c.opt.self.Address {
			ejected[s.Name] = Ejection{FailureRate: h.failureRate, Count: h.ejections}
		}
	}
	return ejected
}

// zoneOf returns the zone of a router, "" if it is not known.
func (c *Core) zoneOf(router string) string {
	if router == c.opt.self.Address {
		return c.opt.self.Zone
	}
	for i := range c.routers {
		if c.routers[i].Address == router {
			return c.routers[i].Zone
		}
	}
	return ""
}

// dropHolderFailure forgets the failures of a holder that is gone.
func (h *sharedHealth) dropHolderFailure(holder string) { delete(h.holders, holder) }
