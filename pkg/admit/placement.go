package admit

import (
	"slices"
	"time"
)

// A holder places a prompt at the first backend server in its order, as long as that one's backlog is
// not far above what is usual: bounded loads. Beyond that, the shared prefix is copied to the next
// server in the order. A large prompt, which takes a good part of its target to process anywhere, goes
// where it is processed first.

const (
	// maxLoadFactor is how many times its share of the fleet's backlog a backend server may have
	// before the next one in the order is asked instead.
	maxLoadFactor = 1.25
	// usualWaitFraction of its target is how long a request may wait for a backlog before it
	// matters whether the server has more of it than others.
	usualWaitFraction = 0.25
	// largePromptFraction of its target is the prefill time of its own part from which a prompt is
	// large.
	largePromptFraction = 0.5
	// backlogTTL is how long a reported backlog counts.
	backlogTTL = time.Second
	// backlogInterval is how long the mean backlog of a service is used before it is computed again.
	backlogInterval = 20 * time.Millisecond
)

// backlogs summarizes the backlogs of a service's backend servers that owners reported.
type backlogs struct {
	computedAt time.Duration
	// mean is the mean of the known backlogs, in tokens, for a server of weight 1.
	mean float64
}

// meanBacklog returns the mean backlog of the servers whose owners reported one recently.
func (c *Core) meanBacklog(svc *service) float64 {
	b := &svc.backlogs
	if b.computedAt > 0 && c.now-b.computedAt < backlogInterval {
		return b.mean
	}
	sum, weights := 0.0, 0.0
	for _, s := range svc.servers {
		if tokens, known := c.backlog(svc, s); known {
			sum += tokens
			weights += classWeight(s.orderClass)
		}
	}
	b.computedAt, b.mean = c.now, 0
	if weights > 0 {
		b.mean = sum / weights
	}
	return b.mean
}

// backlog returns how many prompt tokens a backend server still has to process: what its owner
// reported less what it has processed since. It is unknown without a recent report.
func (c *Core) backlog(svc *service, s *server) (tokens float64, known bool) {
	age := c.now - s.reportedAt
	if s.reportedAt == 0 || age > backlogTTL {
		return 0, false
	}
	processed := age.Seconds() * c.averageReadRate(svc) * classWeight(s.orderClass)
	return max(0, float64(s.reported.prefill)-processed), true
}

// placement are the bounds for one request.
type placement struct {
	c    *Core
	svc  *service
	r    *request
	mean float64
	// usual is the backlog, in tokens, that a server of weight 1 processes within
	// usualWaitFraction of the request's target.
	usual float64
}

func (c *Core) placementOf(svc *service, r *request) placement {
	return placement{c, svc, r, c.meanBacklog(svc), usualWaitFraction * r.targetOrDefault().Seconds() * c.averageReadRate(svc)}
}

func (r *request) targetOrDefault() time.Duration {
	if r.Target == 0 {
		return defaultTarget
	}
	return r.Target
}

// backlogOf returns the backlog of a server, the mean one if it is unknown.
func (p *placement) backlogOf(s *server) float64 {
	if tokens, known := p.c.backlog(p.svc, s); known {
		return tokens
	}
	return p.mean * classWeight(s.orderClass)
}

// isOverloaded reports whether a server has a larger backlog than its bound.
func (p *placement) isOverloaded(s *server) bool {
	return p.backlogOf(s) > max(maxLoadFactor*p.mean, p.usual)*classWeight(s.orderClass)
}

// isLarge reports whether a prompt takes a good part of its target to process even where its shared
// prefix is cached.
func (p *placement) isLarge() bool {
	own := float64(max(0, p.r.Prompt-p.r.Shared))
	return own > largePromptFraction*p.r.targetOrDefault().Seconds()*p.c.averageReadRate(p.svc)
}

// next returns the first server in the order that is neither busy nor overloaded, and the one with
// the least backlog if all are.
func (p *placement) next(eligible []*server) *server {
	for _, s := range eligible {
		if p.c.now >= s.busyUntil && !p.isOverloaded(s) {
			return s
		}
	}
	return p.c.leastBacklog(p, eligible)
}

// leastBacklog returns the first of the servers with the least backlog relative to their speed.
func (c *Core) leastBacklog(p *placement, eligible []*server) *server {
	return slices.MinFunc(eligible, func(a, b *server) int {
		x, y := p.backlogOf(a)/classWeight(a.orderClass), p.backlogOf(b)/classWeight(b.orderClass)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
}

// soonest returns the server at which a large prompt is processed first, according to backlog, prefill
// and speed. Busy servers and those without memory for it count only if no other is left. Ties go to
// the first in the order.
func (p *placement) soonest(eligible []*server) *server {
	canCopy := p.c.canCopy(p.r)
	var best *server
	bestTime, bestFits := 0.0, false
	for _, s := range eligible {
		prefill := float64(p.r.Prompt)
		if canCopy || p.c.knownPrefix(p.r, s) {
			prefill -= float64(p.r.Shared)
		}
		needed := (p.backlogOf(s) + prefill) / classWeight(s.orderClass)
		fits := p.fits(s) && p.c.now >= s.busyUntil
		if best == nil || fits && !bestFits || fits == bestFits && needed < bestTime {
			best, bestTime, bestFits = s, needed, fits
		}
	}
	return best
}

// fits reports whether a server is likely to have memory for a prompt beside its running requests.
func (p *placement) fits(s *server) bool {
	capacity := p.svc.cacheTokens
	if capacity == 0 {
		return true
	}
	used := float64(s.running(p.c.now)) * p.svc.sizes.meanOwn
	return used+float64(p.r.Prompt+p.r.Output) <= float64(capacity)
}
