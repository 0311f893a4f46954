package suspect

import (
	"slices"
	"time"
)

const (
	// earlyBlock is how long a request is blocked after its second crash if isEarlySuspect
	// holds. Two crashes may be a coincidence, so one more attempt follows.
	earlyBlock = 30 * time.Second
	// baseBlock is how long an item is blocked after MaxCrashes crashes. The attempt after
	// the block may crash another server, so each further crash multiplies the block by
	// blockGrowth, up to maxBlock. Blocks do expire, since a new engine version may handle the
	// item.
	baseBlock   = 10 * time.Minute
	blockGrowth = 4
	maxBlock    = 24 * time.Hour
	// baseBlockCompleted is the base for parts that completed shortly before. Much of an account's work
	// may share such a part, and the engines may have been at fault.
	baseBlockCompleted = 30 * time.Second
	// incidentWindow is the maximum time between crashes that count as one incident, such as the
	// loss of a rack. Several attempts of one request may be in flight when it happens. A request that
	// crashed four servers itself did so 60 to 250 ms apart.
	incidentWindow = 150 * time.Millisecond
	// minAttempt is how long an attempt must have been at a server to count for isEarlySuspect. An
	// attempt that fails sooner may have been sent on a connection that was already dead.
	minAttempt = 20 * time.Millisecond
)

// Subject is what a crash accuses in a request.
type Subject struct {
	// Request is the digest of the whole request, 0 if unknown.
	Request Digest
	// Parts are the parts of its prompt that other requests may share.
	Parts []Digest
}

// Status is what the recorded crashes say about a request.
type Status struct {
	// Crashes counts the crashes under the request itself that no blocked part explains, or those under
	// Part.
	Crashes   int
	LastCrash time.Duration
	// BlockedUntil is when the block ends, 0 if the request is not blocked.
	BlockedUntil time.Duration
	// Part is the part for which the request is blocked, 0 if it is blocked for itself or not at all.
	Part Digest
	// Trials are the parts of which only one attempt may run at a time, until one completes.
	Trials []Digest
}

// Blocked reports whether the request must not be sent now.
func (s Status) Blocked(now time.Duration) bool { return now < s.BlockedUntil }

// Status returns the status of a request, the zero Status if no crashes of it are known.
func (t *Tracker) Status(now time.Duration, s Subject) Status {
	if len(t.items) == 0 {
		return Status{}
	}
	status := t.requestStatus(now, s)
	for _, p := range s.Parts {
		t.addPart(now, p, s, &status)
	}
	return status
}

// requestStatus returns the status of a request without regard to its parts.
func (t *Tracker) requestStatus(now time.Duration, s Subject) Status {
	x, ok := t.items[s.Request]
	if !ok || now-x.lastCrash() >= x.retention() {
		return Status{}
	}
	crashes := t.analyze().unexplained(x)
	if len(crashes) == 0 {
		return Status{}
	}
	status := Status{Crashes: len(crashes), LastCrash: crashes[len(crashes)-1].At}
	switch {
	case isRepeated(crashes) && len(crashes) >= x.limit():
		status.BlockedUntil = status.LastCrash + x.blockFor(len(crashes))
	case len(crashes) == MaxCrashes-1 && x.extra == 0 && t.isEarlySuspect(crashes, s):
		status.BlockedUntil = status.LastCrash + earlyBlock
	}
	return status
}

// blockFor returns how long an item with that many crashes, limit() or more, is blocked after the last one.
func (x *item) blockFor(crashes int) time.Duration {
	d := baseBlock
	if x.part && x.extra > 0 {
		d = baseBlockCompleted
	}
	for range crashes - x.limit() {
		d = min(maxBlock, blockGrowth*d)
	}
	return d
}

// isRepeated reports whether crashes are more than one incident.
func isRepeated(crashes []Crash) bool {
	return crashedOnRetry(crashes) || crashes[len(crashes)-1].At-crashes[0].At > incidentWindow
}

// crashedOnRetry reports whether any crash hit an attempt that was sent after the first crash.
func crashedOnRetry(crashes []Crash) bool {
	first := crashes[0].At
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.Sent > first })
}

// isEarlySuspect reports whether a request with MaxCrashes-1 crashes is their likely cause: its
// last attempt was sent after the first crash, ran for at least minAttempt and was unanswered
// when the server crashed, and no crashes of an item that is not its own explain the last one.
func (t *Tracker) isEarlySuspect(crashes []Crash, s Subject) bool {
	first, last := crashes[0], crashes[len(crashes)-1]
	if !last.Unanswered || last.Sent <= first.At || last.At-last.Sent < minAttempt {
		return false
	}
	for _, other := range t.items {
		if other.digest != s.Request && !slices.Contains(s.Parts, other.digest) && other.mayExplain(first, last) {
			return false
		}
	}
	return true
}

// mayExplain reports whether x accounts for the last crash of another item. Either x was in
// flight at that server too and has an earlier crash elsewhere, or x shows that a further
// server crashed at about the same time.
func (x *item) mayExplain(first, last Crash) bool {
	for _, c := range x.crashes {
		switch {
		case c.Server == last.Server:
			if x.crashes[0].Server != last.Server {
				return true
			}
		case c.Server != first.Server && (c.At-last.At).Abs() < incidentWindow:
			return true
		}
	}
	return false
}
