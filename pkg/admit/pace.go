package admit

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Pace is which part of the requests that come a router can work on, learned
// from how late it hears of what came to its sockets: a router without time to
// spare sends what it cannot do to others, before it has spent time on it.
type Pace struct {
	part float64
	// late is the lateness, faded.
	late time.Duration
}

const (
	// lateLimit is the lateness from which a router takes in less. A request takes
	// the way to an owner and back, and is late each time that this router hears
	// of it; the shortest patience is 50 ms.
	lateLimit = 12 * time.Millisecond
	// lateWeight is the weight of one more lateness.
	lateWeight = 0.3
	// late2 and late3 are the latenesses from which the part falls faster.
	late2 = 25 * time.Millisecond
	late3 = 60 * time.Millisecond
	// slower, slower2 and slower3 change the part at each step from each of these
	// on, faster where the router is in time.
	slower  = 0.97
	slower2 = 0.9
	slower3 = 0.7
	faster  = 0.03
	// leastPace is what is tried at least, so that it is learned when there is
	// time again.
	leastPace = 0.02
)

// NewPace returns the pace of a router that keeps up.
func NewPace() *Pace { return &Pace{part: 1} }

// Step takes in a lateness. It is due every 50 ms.
func (p *Pace) Step(late time.Duration) {
	p.late += time.Duration(lateWeight * float64(late-p.late))
	switch {
	case p.late > late3:
		p.part *= slower3
	case p.late > late2:
		p.part *= slower2
	case p.late > lateLimit:
		p.part *= slower
	default:
		p.part += faster
	}
	p.part = min(1, max(leastPace, p.part))
}

// Part returns the part of the requests that can be worked on.
func (p *Pace) Part() float64 { return p.part }

// Late returns the lateness.
func (p *Pace) Late() time.Duration { return p.late }

// Keep returns which part of each account's requests here is worked on if only
// a part of all can be: as much of each up to a level that is the same for
// all. Accounts that are not listed are not bounded.
func (c *Core) Keep(now time.Duration, part float64) map[wire.Key]float64 {
	if part >= 1 {
		return nil
	}
	total := 0.0
	asks := make([]float64, 0, len(c.accounts.by))
	for _, a := range c.accounts.by {
		if asked := a.asked.get(now); asked >= 1 {
			asks = append(asks, asked)
			total += asked
		}
	}
	level := fill(asks, part*total)
	parts := map[wire.Key]float64{}
	for key, a := range c.accounts.by {
		if asked := a.asked.get(now); asked > level {
			parts[key] = level / asked
		}
	}
	return parts
}

// fill returns the level up to which asks add up to a total.
func fill(asks []float64, total float64) float64 {
	slices.Sort(asks)
	for i, ask := range asks {
		each := total / float64(len(asks)-i)
		if ask >= each {
			return each
		}
		total -= ask
	}
	return unbounded
}
