package admit

import (
	"net/http"
	"slices"
	"time"

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

// caution returns with which care a request is to be placed. One whose answer had begun
// has shown that it can be begun, and goes on elsewhere like any other after a first end.
func (c *Core) caution(r *request) wire.Caution {
	switch ends := c.suspects.Standing(c.now, r.Digest).Ends; {
	case ends == 0 || ends == 1 && r.Answering:
		return wire.NoCaution
	case ends == 1:
		return wire.OneAtATime
	default:
		return wire.Alone
	}
}

// endsRefusal is why a request is refused under which too many backend servers ended, nil
// if it is not.
func (c *Core) endsRefusal(r *request) *verdict.Error {
	if standing := c.suspects.Standing(c.now, r.Digest); standing.Barred(c.now) {
		return errEnds.After(standing.Until - c.now)
	}
	return nil
}

// orderKey is by what the backend servers are ordered for a request: for one that is placed
// with care the order is the same at every router.
func (c *Core) orderKey(r *request) uint64 {
	if r.Prefix == 0 && c.caution(r) > wire.NoCaution {
		return uint64(r.Digest)
	}
	return r.Prefix
}

// behindTwin reports whether a request waits for another try of it to end.
func (r *request) behindTwin() bool {
	return slices.ContainsFunc(r.asks, func(a *ask) bool { return a.state == askBehindTwin })
}

// runsTwin reports whether a request that is to be placed with care must wait for another
// try of it.
func (o *owned) runsTwin(m *wire.Ask) bool {
	if m.Caution == wire.NoCaution || m.Digest == 0 {
		return false
	}
	for _, e := range o.entries {
		if e.digest == m.Digest {
			return true
		}
	}
	return false
}

func (o *owned) setApart(key entryKey, now time.Duration) { o.apart, o.apartUntil = key, now+apartFor }

// join lets others join a request that ran apart.
func (o *owned) join(key entryKey) {
	if o.apart == key {
		o.apart, o.apartUntil = entryKey{}, 0
	}
}

func (o *owned) isApart(now time.Duration) bool { return now < o.apartUntil }
