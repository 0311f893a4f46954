package admit

import (
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A backend server may announce in its responses that it is leaving, or ask the router for a
// backoff during which it wants no requests. Routers follow this regardless of the directory,
// which may be late or unavailable: with the directory away for 13 s, 144 requests reached a server in
// the ten seconds after it had announced that it leaves.

// notice is what an incarnation of a backend server announced. It is kept separately from the
// server, whose directory entry may disappear and return.
type notice struct {
	// leaving says that it announced that it is leaving, markedLeaving that the directory has
	// shown it as leaving since.
	leaving, markedLeaving bool
	// backoffUntil is until when it wants no requests from this router.
	backoffUntil time.Duration
	// unlistedSince is since when the directory does not list it, 0 while it does.
	unlistedSince time.Duration
}

// noticeTTL is how long the notice of an unlisted incarnation is kept. Entries that disappear
// with the directory return much sooner.
const noticeTTL = time.Minute

var errBackoff = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "servers-rest",
	"all backend servers of the service want no requests for a while; come back as told")

// BackendNotice reports what a backend server announced in its response to a request.
type BackendNotice struct {
	// ID is the ID of the request.
	ID uint64
	// Leaving says that the backend server is leaving.
	Leaving bool
	// Backoff is how long it wants no requests from this router, 0 if unset.
	Backoff time.Duration
}

func (e BackendNotice) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.server == nil {
		return
	}
	s := r.server
	if e.Leaving && c.markLeaving(s, "") {
		c.send(s.owner, &wire.Leaving{Servers: []wire.NameHash{s.key}})
	}
	if e.Backoff > 0 {
		c.applyBackoff(s, e.Backoff)
	}
}

// NoticeReceived is an action: a backend server's announcement changed its state at this
// router.
type NoticeReceived struct {
	Backend string
	// From is the router that reported it, "" if it came in a response.
	From    string
	Leaving bool
	Backoff time.Duration
}

func (NoticeReceived) action() {}

// handleLeaving applies another router's list of backend servers that announced that they are
// leaving.
func (c *Core) handleLeaving(from string, m *wire.Leaving) {
	for _, key := range m.Servers {
		if s, ok := c.servers[key]; ok {
			c.markLeaving(s, from)
		}
	}
}

// markLeaving stops new requests to a backend server, and reports whether it was not marked
// before.
func (c *Core) markLeaving(s *server, from string) bool {
	n := c.noticeOf(s)
	if n.leaving {
		return false
	}
	n.leaving = true
	c.emit(NoticeReceived{Backend: s.Name, From: from, Leaving: true})
	c.rerouteWaiting(s)
	return true
}

// applyBackoff stops this router's requests to a backend server for a time.
func (c *Core) applyBackoff(s *server, backoff time.Duration) {
	n := c.noticeOf(s)
	if !s.isBackingOff(c.now) {
		c.emit(NoticeReceived{Backend: s.Name, Backoff: backoff})
	}
	n.backoffUntil = max(n.backoffUntil, c.now+backoff)
	c.rerouteWaiting(s)
}

func (c *Core) noticeOf(s *server) *notice {
	if s.notice == nil {
		s.notice = &notice{}
		c.notices[s.key] = s.notice
	}
	return s.notice
}

// isBackingOff reports whether a backend server wants no requests from this router now.
func (s *server) isBackingOff(now time.Duration) bool {
	return s.notice != nil && now < s.notice.backoffUntil
}

// announcedLeaving reports whether a backend server announced that it is leaving.
func (s *server) announcedLeaving() bool { return s.notice != nil && s.notice.leaving }

// accepts reports whether this router may send a request to a backend server now.
func (c *Core) accepts(s *server) bool { return s.isOpen() && !s.isBackingOff(c.now) }

// rerouteWaiting cancels the slot requests at a backend server, so that the waiting requests
// ask elsewhere.
func (c *Core) rerouteWaiting(s *server) {
	for _, r := range slices.Clone(c.waiting) {
		a := r.slotRequestAt(s.key)
		if a == nil || r.server != nil || !a.isOpen() {
			continue
		}
		a.state = slotDenied
		c.send(a.owner, &wire.RequestUpdate{ID: r.ID, Server: s.key, Kind: wire.RequestCanceled})
		c.advance(r)
	}
	if s.owned != nil {
		c.serveQueue(s)
	}
}

// notifyLeaving notifies a router whose slot request is denied if the backend server announced
// that it is leaving.
func (c *Core) notifyLeaving(s *server, to string) {
	if s.announcedLeaving() && to != c.opt.self.Address {
		c.send(to, &wire.Leaving{Servers: []wire.NameHash{s.key}})
	}
}

// backoffEnd returns when the first of the backend servers that may process a request accepts
// requests again. It returns false unless all reachable ones are backing off.
func (c *Core) backoffEnd(r *request) (time.Duration, bool) {
	earliest := time.Duration(0)
	for _, s := range c.serversFor(c.service(r.Service), r.candidates()) {
		if !c.isReachable(s) {
			continue
		}
		if !s.isBackingOff(c.now) {
			return 0, false
		}
		if earliest == 0 || s.notice.backoffUntil < earliest {
			earliest = s.notice.backoffUntil
		}
	}
	return earliest, earliest > 0
}

// backoffJitter is the maximum random addition to a retry delay, relative to the backoff, so
// that callers do not retry at the same time.
const backoffJitter = 0.25

// backoffRefusal returns the refusal of a request while all backend servers are backing off,
// nil if there is none. A request that may have run waits instead if the backoff ends before
// its deadline.
func (c *Core) backoffRefusal(r *request) *verdict.Error {
	end, all := c.backoffEnd(r)
	if !all || r.MayHaveRun && end < r.Deadline {
		return nil
	}
	left := end - c.now
	jitter := max(minRetryAfter, time.Duration(backoffJitter*float64(left)))
	return errBackoff.WithRetryAfter(left + time.Duration(c.rng.Int64N(int64(jitter))))
}

// applyMark updates the notice from the directory. An incarnation that the directory showed as
// leaving and then as serving again is no longer leaving.
func (n *notice) applyMark(mark table.Mark) {
	n.unlistedSince = 0
	switch {
	case mark != table.Serving:
		n.markedLeaving = n.leaving
	case n.markedLeaving:
		n.leaving, n.markedLeaving = false, false
	}
}

// dropNotices removes the notices of incarnations that have not been listed for noticeTTL.
func (c *Core) dropNotices() {
	for key, n := range c.notices {
		s, ok := c.servers[key]
		switch {
		case ok && s.isListed:
		case n.unlistedSince == 0:
			n.unlistedSince = c.now
		case c.now-n.unlistedSince >= noticeTTL && c.now >= n.backoffUntil:
			delete(c.notices, key)
		}
	}
}

// Notices returns the names of the backend servers that announced that they are leaving, and
// the remaining backoff of those that are backing off.
func (c *Core) Notices() (leaving []string, backingOff map[string]time.Duration) {
	backingOff = map[string]time.Duration{}
	for _, s := range c.sortedServers {
		if s.notice == nil || !s.isListed {
			continue
		}
		if s.notice.leaving {
			leaving = append(leaving, s.Name)
		}
		if s.isBackingOff(c.now) {
			backingOff[s.Name] = s.notice.backoffUntil - c.now
		}
	}
	return leaving, backingOff
}
