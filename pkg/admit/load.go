package admit

import "time"

// If accounts are scheduled by weight, an owner does not grant more slots than the backend
// server has. It must also count requests that it does not track: those of holders that fell
// silent, and those admitted by a former owner. It learns their number from the load that the
// backend server reports.

const (
	// GrantTTL is how long a granted slot may be used if accounts are scheduled by weight. It
	// is shorter than the time until another owner grants slots.
	GrantTTL = 500 * time.Millisecond
	// takeoverDelay is how long a new owner grants no slots, unless the backend server has
	// reported its load: the new owner may not know all requests in flight.
	takeoverDelay = 1500 * time.Millisecond
	// ownershipLossAfter is the length of a pause of this process after which another router
	// may have taken over ownership.
	ownershipLossAfter = 400 * time.Millisecond
	// maxLoadReportAge is the maximum age of a reported load.
	maxLoadReportAge = 500 * time.Millisecond
)

// load describes the requests at a backend server that its owner does not track.
type load struct {
	// untracked is the number of these requests.
	untracked int
	// peakTracked is the maximum number of tracked requests since the last report,
	// prevPeakTracked that of the period before, since reports lag.
	peakTracked, prevPeakTracked int
	// reportedAt is the time of the last report, abandonedAt when a tracked request was last
	// abandoned.
	reportedAt, abandonedAt time.Duration
}

// BackendLoad reports the number of requests at a backend server according to itself.
type BackendLoad struct {
	Backend  string
	InFlight int
}

func (e BackendLoad) apply(c *Core) {
	for _, s := range c.ownedServers {
		if s.Name == e.Backend && s.isListed {
			s.owned.applyLoadReport(e.InFlight, c.now)
			c.serveQueue(s)
		}
	}
}

func (o *ownerState) applyLoadReport(inFlight int, now time.Duration) {
	untracked := max(0, inFlight-max(o.load.peakTracked, o.load.prevPeakTracked, o.running))
	if now-o.load.abandonedAt < maxLoadReportAge {
		untracked = max(untracked, o.load.untracked)
	}
	o.load.untracked = untracked
	o.load.peakTracked, o.load.prevPeakTracked = o.running, o.load.peakTracked
	o.load.reportedAt = now
}

// abandon stops tracking a request that may still run. It counts as untracked until the next
// report of the backend server.
func (o *ownerState) abandon(key entryKey, now time.Duration) {
	if _, ok := o.entries[key]; !ok {
		return
	}
	o.remove(key)
	o.load.untracked++
	o.load.abandonedAt = now
	o.load.peakTracked, o.load.prevPeakTracked = max(0, o.load.peakTracked-1), max(0, o.load.prevPeakTracked-1)
}

// hasFreeSlot reports whether this router, as the owner of a backend server, may grant one more
// slot there.
func (c *Core) hasFreeSlot(s *server) bool {
	if s.owner != c.opt.self.Address {
		return false
	}
	o := c.ownerStateOf(s)
	since := s.ownedSince
	if c.pause.to-c.pause.from >= ownershipLossAfter {
		since = max(since, c.pause.to)
	}
	settled := c.now-since >= takeoverDelay || o.load.reportedAt > 0 && o.load.reportedAt-since >= syncGrace
	return settled && o.running+o.load.untracked < s.Slots
}
