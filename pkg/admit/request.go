package admit

import (
	"net/http"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Request is a request that waits for its place.
type Request struct {
	// ID is unique at this router.
	ID uint64
	// Service is the service or model.
	Service string
	// Account is whose request it is, "" if nobody's.
	Account string
	// AccountRank and Rank order waiting requests: lower goes first.
	AccountRank, Rank int
	// Prefix is a hash of the prompt's shared parts, 0 if it has none.
	Prefix uint64
	// Prompt, Shared and Output are sizes in tokens, 0 if not stated.
	Prompt, Shared, Output int64
	// Target is the time within which the first event is worth most.
	Target time.Duration
	// Patience is how long it may wait; 0 means until its deadline.
	Patience time.Duration
	// Deadline is when it is worth nothing.
	Deadline time.Duration
	// Avoid lists backend servers that failed it.
	Avoid []string
}

// request is one that this router holds.
type request struct {
	Request
	arrived time.Duration
	// at is the backend server it was sent to, nil while it waits.
	at *server
}

// Arrive is a new request, or a new attempt of one.
type Arrive struct{ Request }

// Cancel takes back a request that waits.
type Cancel struct{ ID uint64 }

// End says that an attempt ended.
type End struct{ ID uint64 }

var errNoServer = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-backend",
	"no backend server of the service takes requests")

func (e Arrive) apply(c *Core) {
	r := &request{Request: e.Request, arrived: c.now}
	s := c.place(r)
	if s == nil {
		c.act(Refuse{ID: r.ID, Err: errNoServer})
		return
	}
	c.requests[r.ID] = r
	r.at = s
	s.running++
	c.act(Start{ID: r.ID, Backend: s.Backend})
}

func (e Cancel) apply(c *Core) { delete(c.requests, e.ID) }

func (e End) apply(c *Core) {
	r, ok := c.requests[e.ID]
	if !ok {
		return
	}
	delete(c.requests, e.ID)
	if r.at != nil {
		r.at.running--
	}
}

// boundedLoad is how much more than the mean a backend server may have under
// way and still be chosen for a prompt it has read before.
const boundedLoad = 1.5

// place chooses a backend server.
func (c *Core) place(r *request) *server {
	var open []*server
	total := 0
	for _, s := range c.services[r.Service] {
		if s.open() && !slices.Contains(r.Avoid, s.Name) {
			open = append(open, s)
			total += s.running
		}
	}
	if len(open) == 0 {
		return nil
	}
	if r.Prefix == 0 {
		return c.leastBusy(open)
	}
	bound := 2 + boundedLoad*float64(total)/float64(len(open))
	var best *server
	most := uint64(0)
	for _, s := range open {
		if float64(s.running) > bound {
			continue
		}
		if w := rendezvous.WeightOf(r.Prefix, s.Name); best == nil || w > most {
			best, most = s, w
		}
	}
	return best
}

func (c *Core) leastBusy(open []*server) *server {
	best := open[0]
	for _, s := range open[1:] {
		if s.running < best.running || s.running == best.running && s.Zone == c.zone && best.Zone != c.zone {
			best = s
		}
	}
	return best
}
