package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// targetPart of its target is what a request's first event may be
	// predicted to take where it is started; the rest is for what was not
	// foreseen.
	targetPart = 0.8
	// behindPart of its target is what a long prompt, whose own reading takes
	// longer than that, may wait behind others.
	behindPart = 0.25
	// queueAtService is how many requests for each slot a plain service may
	// have, since it has a queue of its own.
	queueAtService = 1.5
	// smallShared is the part of a prompt up to which reading its shared
	// parts again matters little.
	smallShared = 0.25
	// spillAfter is the part of its patience after which a request may go
	// where its shared parts must be read again.
	spillAfter = 0.7
	// spillPart of what it may use otherwise is left to a request that goes
	// where its shared parts must be read again: only where one backend server
	// is much less busy than another is that worth its while.
	spillPart = 0.5
	// defaultTarget is used where none is stated.
	defaultTarget = time.Second
	// comeBackSoon is when to come back where nothing is known.
	comeBackSoon = 250 * time.Millisecond
)

// tryStart starts a request if a backend server has a place for it.
func (c *Core) tryStart(s *service, r *request) bool {
	sv, why := c.place(s, r)
	if sv == nil {
		return false
	}
	r.at = sv
	r.started = c.now
	r.unread = c.toRead(sv, r)
	r.ahead = sv.unread() + r.unread
	sv.own.running++
	sv.own.unread += r.unread
	if r.Prefix != 0 {
		c.noteKnown(sv, r, why)
	}
	if r.Account != "" {
		c.account(r.Account).begun.add(c.now, r.cost)
	}
	sv.health.started(c.now)
	c.act(Start{
		ID: r.ID, Backend: sv.Backend, Why: why, Waited: c.now - r.arrived,
		Ahead: r.ahead, Expected: s.line.predict(r.ahead), Running: sv.running(),
	})
	return true
}

// mostCopies bounds what is told of copies at once.
const mostCopies = 64

// noteKnown remembers where a prompt's beginning was read, and has the others
// told where that is not the place that all would look first.
func (c *Core) noteKnown(sv *server, r *request, why string) {
	sv.known.note(r.Prefix, c.now)
	if why != whyFirst && len(c.copies) < mostCopies {
		c.copies = append(c.copies, wire.Copy{Prefix: r.Prefix, Server: wire.KeyOf(sv.Name)})
	}
}

// place chooses a backend server, nil if none has a place.
func (c *Core) place(s *service, r *request) (*server, string) {
	open := c.healthy(s, s.openServers(r))
	if len(open) == 0 {
		return nil, ""
	}
	if r.Prefix == 0 {
		return c.leastBusy(s, r, open)
	}
	return c.byPrefix(s, r, open)
}

// byPrefix takes the backend servers in the order that the prompt's beginning
// gives, which is the same at every router: the first, or else another that
// has read it, or else, when the request can wait no longer, the next that has
// a place. So a prompt that is asked for rarely is read at one, and one that
// is asked for often at as many as it takes.
func (c *Core) byPrefix(s *service, r *request, open []*server) (*server, string) {
	slices.SortFunc(open, func(a, b *server) int {
		return cmp.Compare(rendezvous.WeightOf(r.Prefix, b.Name), rendezvous.WeightOf(r.Prefix, a.Name))
	})
	part := c.partFor(r)
	for i, sv := range open {
		known := i == 0 || sv.known.has(r.Prefix, c.now)
		allowed := part
		if !known {
			if !c.maySpill(r) {
				continue
			}
			allowed *= spillPart
		}
		if c.hasPlace(s, sv, r, allowed) {
			return sv, whyPlaced(i, known)
		}
	}
	return nil, ""
}

// Why a backend server was chosen.
const (
	whyFirst = "prefix"
	whyCopy  = "copy"
	whySpill = "spill"
	whyIdle  = "less-busy"
)

func whyPlaced(order int, known bool) string {
	switch {
	case order == 0:
		return whyFirst
	case known:
		return whyCopy
	default:
		return whySpill
	}
}

// maySpill reports whether a request may go to a backend server that has to
// read its shared parts anew: if they are a small part of the prompt, or if it
// has waited for nearly as long as it may.
func (c *Core) maySpill(r *request) bool {
	if float64(r.Shared) < smallShared*float64(r.Prompt) {
		return true
	}
	return r.Patience > 0 && c.now-r.arrived >= time.Duration(spillAfter*float64(r.Patience))
}

// leastBusy takes the less busy of two that are drawn, so that routers which
// know the same do not all choose the same; one of the own zone wins a tie.
func (c *Core) leastBusy(s *service, r *request, open []*server) (*server, string) {
	part := c.partFor(r)
	var free []*server
	for _, sv := range open {
		if c.hasPlace(s, sv, r, part) {
			free = append(free, sv)
		}
	}
	if len(free) == 0 {
		return nil, ""
	}
	a, b := free[c.rng.IntN(len(free))], free[c.rng.IntN(len(free))]
	if c.busier(a, b) {
		a = b
	}
	return a, whyIdle
}

// busier reports whether a is busier than b.
func (c *Core) busier(a, b *server) bool {
	x := float64(a.running()) / float64(a.Slots)
	y := float64(b.running()) / float64(b.Slots)
	if x != y {
		return x > y
	}
	return a.Zone != c.opt.zone && b.Zone == c.opt.zone
}

// partFor is the part of its target that a request of the account may use:
// the more the account had beyond its share, the less.
func (c *Core) partFor(r *request) float64 {
	if r.Account == "" {
		return 1
	}
	return overPart(c.accounts.over(r.Account, c.now))
}

const (
	// evenUpTo is up to how many times the level an account is treated as
	// one that has its share.
	evenUpTo = 0.9
	// overSlope is how fast an account's part falls beyond that.
	overSlope = 2.0
	// leastPart is what is left to an account far beyond its share, where
	// places would else be idle.
	leastPart = 0.25
)

func overPart(over float64) float64 {
	if over <= evenUpTo {
		return 1
	}
	return max(leastPart, 1-overSlope*(over-evenUpTo))
}

// hasPlace reports whether a request can be started at a backend server so
// that its answer begins in time.
func (c *Core) hasPlace(s *service, sv *server, r *request, part float64) bool {
	if !s.engine {
		return float64(sv.running()) < float64(sv.Slots)*queueAtService
	}
	if float64(sv.running()) >= float64(sv.Slots)*min(1, part+0.25) {
		return false
	}
	target := r.Target
	if target == 0 {
		target = defaultTarget
	}
	slow := sv.health.slowness()
	ahead := sv.unread()
	own := c.toRead(sv, r)
	allowed := time.Duration(targetPart*part*float64(target)) - (c.now - r.arrived)
	if time.Duration(slow*float64(s.line.predict(ahead+own))) <= allowed {
		return true
	}
	behind := time.Duration(behindPart * part * float64(target))
	return time.Duration(slow*s.line.slope()*float64(ahead)*float64(time.Second)) <= behind
}

// toRead returns how many tokens of the prompt the backend server has to
// read, if it keeps the shared parts that were sent to it lately.
func (c *Core) toRead(sv *server, r *request) int64 {
	if r.Prefix != 0 && sv.known.has(r.Prefix, c.now) {
		return r.Prompt - r.Shared
	}
	return r.Prompt
}

// comeBack returns when a request that was refused may find a place.
func (c *Core) comeBack(*service, *request) time.Duration {
	return comeBackSoon + time.Duration(c.rng.Int64N(int64(comeBackSoon)))
}
