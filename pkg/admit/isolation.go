package admit

import (
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A request under which backend servers crashed is isolated, so that it crashes few others.
// After the first crash only one attempt of it runs at a time, so that its result is known
// before the next one. After the second, no new request joins it at its backend server until it
// begins to respond. After the third it is refused for a while. A request that was merely in
// flight during a crash is no longer isolated once it completes.

const (
	// exclusiveFor bounds how long a request runs without new neighbors. First events of long
	// prompts take up to a second on an idle engine.
	exclusiveFor = 2 * time.Second
	// trialRetryAfter is the retry delay of a request while another attempt of it runs. Such
	// attempts responded, or crashed their servers, after 0.2 to 1 s.
	trialRetryAfter = time.Second
)

// Codes of the refusals of suspect requests.
const (
	codeCrashes     = "ends-backends"
	codePartCrashes = "part-ends-backends"
	codeOnTrial     = "on-trial"
)

var (
	errCrashes = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, codeCrashes,
		"backend servers ended while they ran this request; it gets none until the time to come back")
	errPartCrashes = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, codePartCrashes,
		"backend servers ended while they ran requests with a part of this prompt; it gets none until the time to come back")
	errOnTrial = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, codeOnTrial,
		"backend servers ended while they ran this request, or others with a part of its prompt, and another try runs; come back as told")
)

// isolation is the level of isolation of a request.
type isolation uint8

const (
	// notIsolated: no known crash requires isolation.
	notIsolated isolation = iota
	// oneAtATime: no other attempt of the request runs in the fleet.
	oneAtATime
	// exclusive: also, no new request joins it until it begins to respond.
	exclusive
)

// isolation returns the level that a request requires.
func (c *Core) isolation(r *request) isolation {
	status := c.suspects.Status(c.now, r.subject(r.Digest))
	level := c.requestIsolation(r, status)
	if len(status.Trials) > 0 {
		return max(level, oneAtATime)
	}
	return level
}

// requestIsolation returns the level that a request requires without regard to its parts. After a single
// crash it needs none if an attempt of it has begun to respond, which shows that it does not crash every
// backend server.
func (c *Core) requestIsolation(r *request, status suspect.Status) isolation {
	switch {
	case status.Crashes == 0 || status.Part != 0:
		return notIsolated
	case status.Crashes > 1:
		return exclusive
	case r.Resuming || c.answeredAt[r.Digest] > status.LastCrash:
		return notIsolated
	default:
		return oneAtATime
	}
}

// crashRefusal returns the refusal of a request under which too many backend servers crashed, or under a part
// of whose prompt they did, nil if it may be sent.
func (c *Core) crashRefusal(r *request) *verdict.Error {
	status := c.suspects.Status(c.now, r.subject(r.Digest))
	switch {
	case !status.Blocked(c.now):
		return nil
	case status.Part != 0:
		return errPartCrashes.WithRetryAfter(status.BlockedUntil - c.now)
	default:
		return errCrashes.WithRetryAfter(status.BlockedUntil - c.now)
	}
}

// trial is a running attempt of a suspect request, or of one with a suspect part.
type trial struct {
	// holder is the router that runs the attempt, id the request's ID there.
	holder string
	id     uint64
	// expiresAt bounds the trial, since its holder may have been lost.
	expiresAt time.Duration
}

// suspectItems returns the items of a request of which only one attempt may run at a time.
func (c *Core) suspectItems(r *request) []suspect.Digest {
	status := c.suspects.Status(c.now, r.subject(r.Digest))
	if r.Digest != 0 && c.requestIsolation(r, status) > notIsolated {
		return append(status.Trials, r.Digest)
	}
	return status.Trials
}

// waitsForTrial reports whether a request has to wait for another attempt with one of its items.
func (c *Core) waitsForTrial(r *request) bool {
	if len(c.trials) == 0 {
		return false
	}
	return slices.ContainsFunc(c.suspectItems(r), func(d suspect.Digest) bool {
		t, ok := c.trials[d]
		return ok && c.now < t.expiresAt && !c.isTrialOf(t, r)
	})
}

// isTrialOf reports whether a trial is that of a request of this router.
func (c *Core) isTrialOf(t trial, r *request) bool {
	return t.holder == c.opt.self.Address && t.id == r.ID
}

// beginTrials records the start of an attempt with suspect items.
func (c *Core) beginTrials(r *request) {
	r.trials = c.suspectItems(r)
	for _, d := range r.trials {
		c.trials[d] = trial{holder: c.opt.self.Address, id: r.ID, expiresAt: c.now + exclusiveFor}
		appendBounded(&c.ownUpdates.started, uint64(d))
	}
}

// answerTrial ends the trial of a request that has begun to respond. Trials of its parts go on: what crashes
// with the first tokens may have sent an event.
func (c *Core) answerTrial(r *request) {
	if !c.endTrial(r, r.Digest) {
		return
	}
	c.answeredAt[r.Digest] = c.now
	appendBounded(&c.ownUpdates.answered, uint64(r.Digest))
}

// endTrials ends the trials of an attempt that has ended.
func (c *Core) endTrials(r *request) {
	for _, d := range r.trials {
		if c.endTrial(r, d) {
			appendBounded(&c.ownUpdates.ended, uint64(d))
		}
	}
}

// endTrial removes the trial of one item, and reports whether it was that of the request.
func (c *Core) endTrial(r *request, d suspect.Digest) bool {
	t, ok := c.trials[d]
	if !ok || !c.isTrialOf(t, r) {
		return false
	}
	delete(c.trials, d)
	return true
}

// handleTrials applies the trials that another router reports as started, answered or ended.
func (c *Core) handleTrials(from string, m *wire.SuspectUpdate) {
	for _, d := range m.Retrying[:min(maxPerMessage, len(m.Retrying))] {
		if t, ok := c.trials[suspect.Digest(d)]; !ok || c.now >= t.expiresAt {
			c.trials[suspect.Digest(d)] = trial{holder: from, expiresAt: c.now + exclusiveFor}
			appendBounded(&c.relayUpdates.started, d)
		}
	}
	for _, d := range m.Responding[:min(maxPerMessage, len(m.Responding))] {
		if c.dropTrial(from, suspect.Digest(d)) {
			c.answeredAt[suspect.Digest(d)] = c.now
			appendBounded(&c.relayUpdates.answered, d)
		}
	}
	for _, d := range m.Ended[:min(maxPerMessage, len(m.Ended))] {
		if c.dropTrial(from, suspect.Digest(d)) {
			appendBounded(&c.relayUpdates.ended, d)
		}
	}
}

// dropTrial removes a trial of a router, and reports whether it was known.
func (c *Core) dropTrial(holder string, d suspect.Digest) bool {
	if t, ok := c.trials[d]; !ok || t.holder != holder {
		return false
	}
	delete(c.trials, d)
	return true
}

// dropTrials removes expired trials and those of a lost router, "" for none.
func (c *Core) dropTrials(holder string) {
	for d, t := range c.trials {
		if t.holder == holder || c.now >= t.expiresAt {
			delete(c.trials, d)
		}
	}
	for d := range c.answeredAt {
		if c.suspects.Crashes(d) == 0 {
			delete(c.answeredAt, d)
		}
	}
}

func (o *ownerState) setExclusive(key entryKey, now time.Duration) {
	o.exclusive, o.exclusiveUntil = key, now+exclusiveFor
}

// clearExclusive lets new requests join one that ran exclusively.
func (o *ownerState) clearExclusive(key entryKey) {
	if o.exclusive == key {
		o.exclusive, o.exclusiveUntil = entryKey{}, 0
	}
}

func (o *ownerState) isExclusive(now time.Duration) bool { return now < o.exclusiveUntil }
