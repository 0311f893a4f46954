package admit

import "time"

// An owner that accounts are served by the weights of gives no more places at a backend
// server than it has slots. What runs there without its knowledge counts too: the requests of
// routers that fell silent, and those to which a former owner gave places. It knows of them by
// what the backend server reports.

const (
	// GrantTTL is how long a place may be used after it was given, where accounts are
	// served by weights: no other owner of the backend server gives places so soon.
	GrantTTL = 500 * time.Millisecond
	// settleFor is how long a router that became an owner gives no places, unless the
	// backend server has reported what runs there: the former owner's may not all be known.
	settleFor = 1500 * time.Millisecond
	// ownerLostAfter is how long an owner may stand still and go on as before: after that,
	// another may have taken its place meanwhile.
	ownerLostAfter = 400 * time.Millisecond
	// loadLag is how old a load may be that a backend server reports.
	loadLag = 500 * time.Millisecond
)

// load is what an owner knows of requests that run at a backend server without its knowledge.
type load struct {
	// strangers is how many run.
	strangers int
	// most is how many of those it knows ran at most since the last report, mostBefore
	// between the two before: a report may be a little old.
	most, mostBefore int
	// reportedAt is when it last reported, givenUpAt when one was last given up that may run.
	reportedAt, givenUpAt time.Duration
}

// BackendLoad is how many requests run at a backend server by its own report.
type BackendLoad struct {
	Backend  string
	InFlight int
}

func (e BackendLoad) apply(c *Core) {
	for _, s := range c.held {
		if s.Name == e.Backend && s.generation == c.generation {
			s.owned.reported(e.InFlight, c.now)
			c.serveQueue(s)
		}
	}
}

func (o *owned) reported(inFlight int, now time.Duration) {
	strangers := max(0, inFlight-max(o.load.most, o.load.mostBefore, o.running))
	if now-o.load.givenUpAt < loadLag {
		strangers = max(strangers, o.load.strangers)
	}
	o.load.strangers = strangers
	o.load.most, o.load.mostBefore = o.running, o.load.most
	o.load.reportedAt = now
}

// giveUp takes a request out that may still run: its slot counts as a stranger's until the
// backend server's next report.
func (o *owned) giveUp(key entryKey, now time.Duration) {
	if _, ok := o.entries[key]; !ok {
		return
	}
	o.remove(key)
	o.load.strangers++
	o.load.givenUpAt = now
	o.load.most, o.load.mostBefore = max(0, o.load.most-1), max(0, o.load.mostBefore-1)
}

// hasSlot reports whether this router may have one more request run at a backend server as
// its owner.
func (c *Core) hasSlot(s *server) bool {
	if s.owner != c.opt.self.Address {
		return false
	}
	o := c.ownedOf(s)
	since := s.ownedSince
	if c.stood.to-c.stood.from >= ownerLostAfter {
		since = max(since, c.stood.to)
	}
	settled := c.now-since >= settleFor || o.load.reportedAt > 0 && o.load.reportedAt-since >= heldGrace
	return settled && o.running+o.load.strangers < s.Slots
}
