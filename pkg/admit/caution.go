package admit

import (
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A request under which backend servers ended is placed with care: one try of it at a time,
// so that each end is heard of before the next try; from the second end on with nothing new
// beside it, so that an end costs few others; and not at all once three ended. A request
// that only was there is placed like any other as soon as it has run to its end.

const (
	// apartFor bounds for how long a request runs with nothing new beside it. The first
	// events of long prompts take up to a second where nothing is ahead.
	apartFor = 2 * time.Second
	// twinRetryAfter is when the caller of a request may come back of which another try runs:
	// the first events of such tries, and the ends of servers under them, came within
	// 0.2 to 1 s.
	twinRetryAfter = time.Second
)

// The codes of requests that are held back.
const (
	codeEnds = "ends-backends"
	codeTwin = "on-trial"
)

var (
	errEnds = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, codeEnds,
		"backend servers ended while they ran this request; it gets none until the time to come back")
	errTwin = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, codeTwin,
		"backend servers ended while they ran this request, and another try of it runs; come back as told")
)

// caution is with which care a request is placed.
type caution uint8

const (
	// noCaution: no server ended under it, as far as is known.
	noCaution caution = iota
	// oneAtATime: not while another try of it runs.
	oneAtATime
	// alone: nor together with what comes while it has not begun to answer.
	alone
)

// caution returns with which care a request is to be placed. One whose answer had begun, or
// of which another try has begun to answer since, has shown that it can be begun, and goes
// on like any other after a first end: callers may poll with it.
func (c *Core) caution(r *request) caution {
	standing := c.suspects.Status(c.now, r.Digest)
	switch {
	case standing.Crashes == 0:
		return noCaution
	case standing.Crashes > 1:
		return alone
	case r.Resuming || c.answers[r.Digest] > standing.LastCrash:
		return noCaution
	default:
		return oneAtATime
	}
}

// endsRefusal is why a request is refused under which too many backend servers ended, nil
// if it is not.
func (c *Core) endsRefusal(r *request) *verdict.Error {
	if standing := c.suspects.Status(c.now, r.Digest); standing.Blocked(c.now) {
		return errEnds.WithRetryAfter(standing.BlockedUntil - c.now)
	}
	return nil
}

// trial is a try that runs of a request under which servers ended.
type trial struct {
	// holder is the router that holds it, id its id there.
	holder string
	id     uint64
	// until is when it counts no more, since its holder may have been lost.
	until time.Duration
}

// behindTwin reports whether a request waits for another try of it.
func (c *Core) behindTwin(r *request) bool {
	t, ok := c.trials[r.Digest]
	if !ok || r.Digest == 0 || c.now >= t.until || t.holder == c.opt.self.Address && t.id == r.ID {
		return false
	}
	return c.caution(r) > noCaution
}

// beginTrial notes that a try begins of a request under which servers ended.
func (c *Core) beginTrial(r *request) {
	if c.caution(r) == noCaution {
		return
	}
	c.trials[r.Digest] = trial{holder: c.opt.self.Address, id: r.ID, until: c.now + apartFor}
	addBounded(&c.ownNews.begun, uint64(r.Digest))
}

// endTrial notes that a try has ended, or has begun to answer.
func (c *Core) endTrial(r *request, answers bool) {
	t, ok := c.trials[r.Digest]
	if !ok || t.holder != c.opt.self.Address || t.id != r.ID {
		return
	}
	delete(c.trials, r.Digest)
	if !answers {
		addBounded(&c.ownNews.over, uint64(r.Digest))
		return
	}
	c.answers[r.Digest] = c.now
	addBounded(&c.ownNews.answers, uint64(r.Digest))
}

// toldTrials takes in the tries that another router has begun, and those that are over.
func (c *Core) toldTrials(from string, m *wire.SuspectUpdate) {
	for _, d := range m.Retrying[:min(mostTold, len(m.Retrying))] {
		if t, ok := c.trials[suspect.Digest(d)]; !ok || c.now >= t.until {
			c.trials[suspect.Digest(d)] = trial{holder: from, until: c.now + apartFor}
			addBounded(&c.heardNews.begun, d)
		}
	}
	for _, d := range m.Responding[:min(mostTold, len(m.Responding))] {
		if c.dropTrial(from, suspect.Digest(d)) {
			c.answers[suspect.Digest(d)] = c.now
			addBounded(&c.heardNews.answers, d)
		}
	}
	for _, d := range m.Ended[:min(mostTold, len(m.Ended))] {
		if c.dropTrial(from, suspect.Digest(d)) {
			addBounded(&c.heardNews.over, d)
		}
	}
}

// dropTrial forgets a try of a router, and reports whether it was known.
func (c *Core) dropTrial(holder string, d suspect.Digest) bool {
	if t, ok := c.trials[d]; !ok || t.holder != holder {
		return false
	}
	delete(c.trials, d)
	return true
}

// dropTrials forgets the tries of a router that is gone, "" for those that are too old.
func (c *Core) dropTrials(holder string) {
	for d, t := range c.trials {
		if t.holder == holder || c.now >= t.until {
			delete(c.trials, d)
		}
	}
	for d := range c.answers {
		if c.suspects.Status(c.now, d).Crashes == 0 {
			delete(c.answers, d)
		}
	}
}

func (o *owned) setApart(key entryKey, now time.Duration) { o.apart, o.apartUntil = key, now+apartFor }

// join lets others join a request that ran apart.
func (o *owned) join(key entryKey) {
	if o.apart == key {
		o.apart, o.apartUntil = entryKey{}, 0
	}
}

func (o *owned) isApart(now time.Duration) bool { return now < o.apartUntil }
