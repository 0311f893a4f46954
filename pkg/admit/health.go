package admit

import (
	"math"
	"slices"
	"time"
)

// Result is how an attempt ended, as far as it speaks of the backend server.
type Result uint8

// The results of attempts.
const (
	// Answered: the answer came whole and was no failure.
	Answered Result = iota
	// Failed: the backend server answered with a failure of its own.
	Failed
	// Broken: the connection broke, or what came was no answer.
	Broken
	// Stalled: nothing came for too long.
	Stalled
	// Unreachable: no byte of the request could be sent.
	Unreachable
	// Refused: the backend server did not take the request.
	Refused
	// Unknown: it says nothing, as when the caller left.
	Unknown
)

// health is what attempts tell of a backend server.
type health struct {
	// bad is the part of recent attempts that failed, of which older ones
	// count less.
	bad float64
	// slow is how many times longer first events take than predicted.
	slow float64
	seen float64
	// out is until when it gets no work but a trial; 0 if it is trusted.
	out time.Duration
	// strikes is how often in a row it was put out.
	strikes int
	// trial says that a trial is under way since then.
	trial time.Duration
	// full is until when it takes no more, as it said itself.
	full time.Duration
}

const (
	// badFade is the weight of one more attempt.
	badFade = 0.15
	// badLimit is the part of failures from which a backend server is put
	// out, if others of its service fail less.
	badLimit = 0.3
	// badMargin is by how much more it must fail than the middle one.
	badMargin = 0.2
	slowFade  = 0.1
	// slowest bounds what is put down to a backend server being slow.
	slowest = 8
	// outFirst is for how long one is put out first, outMost at most.
	outFirst = 500 * time.Millisecond
	outMost  = 4 * time.Second
	// trialFor is how long a trial may take before another is made.
	trialFor = time.Second
	// fullFor is how long one that said it is full gets nothing new.
	fullFor = 30 * time.Millisecond
)

func (h *health) slowness() float64 {
	if h.slow == 0 {
		return 1
	}
	return min(max(h.slow, 1), slowest)
}

func (h *health) first(took, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(took.Seconds()/predicted.Seconds(), slowest)
	if h.slow == 0 {
		h.slow = 1
	}
	h.slow += slowFade * (ratio - h.slow)
	h.trust()
}

func (h *health) trust() {
	h.out, h.strikes, h.trial = 0, 0, 0
}

func (h *health) started(now time.Duration) {
	if h.out > 0 && now >= h.out {
		h.trial = now
	}
}

func (h *health) ended(now time.Duration, r Result) {
	switch r {
	case Answered:
		h.count(0)
		if h.out > 0 && h.trial > 0 {
			h.trust()
			h.bad = min(h.bad, badLimit/2)
		}
	case Failed:
		h.count(1)
		if h.trial > 0 {
			h.putOut(now)
		}
	case Broken:
		h.count(1)
	case Stalled, Unreachable:
		h.count(1)
		h.putOut(now)
	case Refused:
		h.full = now + fullFor
	case Unknown:
	}
}

func (h *health) count(bad float64) {
	h.bad += badFade * (bad - h.bad)
	h.seen++
}

// putOut gives it no work for a while, longer each time in a row.
func (h *health) putOut(now time.Duration) {
	if now < h.out {
		return
	}
	h.out = now + min(outMost, time.Duration(float64(outFirst)*math.Pow(2, float64(h.strikes))))
	h.strikes++
	h.trial = 0
}

// mayTake reports whether it may get a request now.
func (h *health) mayTake(now time.Duration) bool {
	if now < h.full {
		return false
	}
	if h.out == 0 {
		return true
	}
	return now >= h.out && (h.trial == 0 || now-h.trial >= trialFor)
}

// healthy returns those of the backend servers that can be expected to
// answer. If that were fewer than half, something else is the matter, and all
// are used that are not known to be full.
func (c *Core) healthy(s *service, open []*server) []*server {
	limit := max(badLimit, c.middle(s)+badMargin)
	var good, rest []*server
	for _, sv := range open {
		h := &sv.health
		if h.out == 0 && h.bad > limit {
			h.putOut(c.now)
		}
		switch {
		case h.mayTake(c.now):
			good = append(good, sv)
		case c.now >= h.full:
			rest = append(rest, sv)
		}
	}
	if len(good) > 0 {
		return good
	}
	return rest
}

// middleFor is how long the middle part of failures is taken for unchanged: a
// single attempt moves it by little.
const middleFor = 50 * time.Millisecond

// middle returns the part of failures of the middle one of a service's
// backend servers.
func (c *Core) middle(s *service) float64 {
	if s.middleAt > 0 && c.now-s.middleAt < middleFor {
		return s.middle
	}
	all := make([]float64, 0, len(s.servers))
	for _, sv := range s.servers {
		all = append(all, sv.health.bad)
	}
	s.middle, s.middleAt = 0, c.now
	if len(all) > 0 {
		slices.Sort(all)
		s.middle = all[len(all)/2]
	}
	return s.middle
}

// Ejection is a backend server that gets no work but trials.
type Ejection struct {
	// FailureRate is the part of recent attempts that failed.
	FailureRate float64
	// Count is how often in a row it was put out.
	Count int
}

// Ejected returns the backend servers that this router does not trust now,
// by name.
func (c *Core) Ejected() map[string]Ejection {
	list := map[string]Ejection{}
	for _, s := range c.ordered {
		if s.health.out > 0 && s.generation == c.generation {
			list[s.Name] = Ejection{FailureRate: s.health.bad, Count: s.health.strikes}
		}
	}
	return list
}
