package admit

import (
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// A backend server says in its answers that it leaves, or for how long it wants no
// request from the router that it answers. That is obeyed whatever the directory says,
// which may be away or late: with the directory away for 13 s, 144 requests reached a
// server in the ten seconds after it had said that it leaves.

// word is what a start of a backend server says of itself. It is kept beside the server,
// whose entry may lapse and come back.
type word struct {
	// leaving says that it leaves, marked that the directory has said so since.
	leaving, marked bool
	// restUntil is until when it wants no request from this router.
	restUntil time.Duration
	// unlisted is since when the directory does not list it, 0 while it does.
	unlisted time.Duration
}

// wordKept is for how long the word of a start is kept that the directory does not list:
// far longer than entries lapse while the directory is away and come back.
const wordKept = time.Minute

// errResting is a refusal that has not run.
var errResting = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "servers-rest",
	"all backend servers of the service want no requests for a while; come back as told")

// BackendNotice is what the backend server of a request says of itself in its answer.
type BackendNotice struct {
	// ID is the request's.
	ID uint64
	// Leaving says that it leaves.
	Leaving bool
	// Backoff is for how long it wants no request from this router, 0 if it does not say.
	Backoff time.Duration
}

func (e BackendNotice) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok || r.at == nil {
		return
	}
	s := r.at
	if e.Leaving && c.learnLeaving(s, "") {
		c.send(s.owner, &wire.Leaving{Servers: []wire.NameHash{s.key}})
	}
	if e.Backoff > 0 {
		c.learnRest(s, e.Backoff)
	}
}

// NoticeReceived is an action: what this router has begun to believe of a backend server by the
// server's own word.
type NoticeReceived struct {
	Backend string
	// From is the router that told of it, "" if the server said it in an answer.
	From    string
	Leaving bool
	Backoff time.Duration
}

func (NoticeReceived) action() {}

// toldLeaving takes in which backend servers another router knows to leave.
func (c *Core) toldLeaving(from string, m *wire.Leaving) {
	for _, key := range m.Servers {
		if s, ok := c.servers[key]; ok {
			c.learnLeaving(s, from)
		}
	}
}

// learnLeaving has a backend server get nothing new, and reports whether that is news.
func (c *Core) learnLeaving(s *server, from string) bool {
	w := c.wordOf(s)
	if w.leaving {
		return false
	}
	w.leaving = true
	c.act(NoticeReceived{Backend: s.Name, From: from, Leaving: true})
	c.turnAway(s)
	return true
}

// learnRest has a backend server get nothing from this router for a while.
func (c *Core) learnRest(s *server, rest time.Duration) {
	w := c.wordOf(s)
	if !s.rests(c.now) {
		c.act(NoticeReceived{Backend: s.Name, Backoff: rest})
	}
	w.restUntil = max(w.restUntil, c.now+rest)
	c.turnAway(s)
}

func (c *Core) wordOf(s *server) *word {
	if s.word == nil {
		s.word = &word{}
		c.words[s.key] = s.word
	}
	return s.word
}

// rests reports whether a backend server wants no request from this router now.
func (s *server) rests(now time.Duration) bool { return s.word != nil && now < s.word.restUntil }

// saysLeaving reports whether a backend server leaves by its own word.
func (s *server) saysLeaving() bool { return s.word != nil && s.word.leaving }

// takes reports whether this router may send a backend server a request now.
func (c *Core) takes(s *server) bool { return s.open() && !s.rests(c.now) }

// turnAway has requests that wait for a place at a backend server look for another one.
func (c *Core) turnAway(s *server) {
	for _, r := range slices.Clone(c.waiting) {
		a := r.askOf(s.key)
		if a == nil || r.at != nil || !a.waits() {
			continue
		}
		a.state = askDenied
		c.send(a.owner, &wire.RequestUpdate{ID: r.ID, Server: s.key, Kind: wire.RequestCanceled})
		c.advance(r)
	}
	if s.owned != nil {
		c.serveQueue(s)
	}
}

// tellLeaving tells a router that asked for a place why it gets none, if by the backend
// server's own word.
func (c *Core) tellLeaving(s *server, to string) {
	if s.saysLeaving() && to != c.opt.self.Address {
		c.send(to, &wire.Leaving{Servers: []wire.NameHash{s.key}})
	}
}

// restEnds returns when the first of a service's backend servers takes requests again,
// if all that take requests otherwise rest.
func (c *Core) restEnds(sv *service) (time.Duration, bool) {
	soonest := time.Duration(0)
	for _, s := range sv.servers {
		if !c.reaches(s) {
			continue
		}
		if !s.rests(c.now) {
			return 0, false
		}
		if soonest == 0 || s.word.restUntil < soonest {
			soonest = s.word.restUntil
		}
	}
	return soonest, soonest > 0
}

// restSpread is the part of a rest by which callers come back later than it ends, drawn
// by chance, so that they do not come together.
const restSpread = 0.25

// restRefusal is why a request is refused while all rest, nil if it is not: one that may
// have run waits if it can be sent before its deadline.
func (c *Core) restRefusal(r *request) *verdict.Error {
	ends, all := c.restEnds(c.service(r.Service))
	if !all || r.MayHaveRun && ends < r.Deadline {
		return nil
	}
	left := ends - c.now
	spread := max(minRetryAfter, time.Duration(restSpread*float64(left)))
	return errResting.WithRetryAfter(left + time.Duration(c.rng.Int64N(int64(spread))))
}

// noteRow takes in what the directory says of a start beside its own word. A start that
// the directory has shown as leaving and then as serving again has taken its word back.
func (w *word) noteRow(mark table.Mark) {
	w.unlisted = 0
	switch {
	case mark != table.Serving:
		w.marked = w.leaving
	case w.marked:
		w.leaving, w.marked = false, false
	}
}

// dropWords drops what starts said that have not been listed for long.
func (c *Core) dropWords() {
	for key, w := range c.words {
		s, ok := c.servers[key]
		switch {
		case ok && s.generation == c.generation:
		case w.unlisted == 0:
			w.unlisted = c.now
		case c.now-w.unlisted >= wordKept && c.now >= w.restUntil:
			delete(c.words, key)
		}
	}
}

// Notices are the backend servers that leave, and those that rest with how long they do
// still, by their own word.
func (c *Core) Notices() (leaving []string, resting map[string]time.Duration) {
	resting = map[string]time.Duration{}
	for _, s := range c.ordered {
		if s.word == nil || s.generation != c.generation {
			continue
		}
		if s.word.leaving {
			leaving = append(leaving, s.Name)
		}
		if s.rests(c.now) {
			resting[s.Name] = s.word.restUntil - c.now
		}
	}
	return leaving, resting
}
