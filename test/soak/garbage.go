package main

import (
	"fmt"
	"slices"
	"time"
)

// garbagePeriod is a time in which a worker sends bytes of no event beside a part of its answers, and may be avoided for it.
type garbagePeriod struct {
	Worker   int
	From, To time.Duration
}

// sendGarbage lets a worker send garbage for the time of a fault.
func (f *fleet) sendGarbage(c *checker, s Step) {
	w := f.workers[s.Target]
	w.SendGarbage(1 + stepRand(s).IntN(maxGarbageOneIn))
	time.Sleep(s.Duration)
	w.SendGarbage(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.garbage = append(c.garbage, garbagePeriod{Worker: s.Target, From: s.At, To: s.At + s.Duration + garbageMargin})
}

// garbageMargin is how long routers may avoid a worker after it sent garbage.
const garbageMargin = 3 * time.Second

// checkUnfinished checks that each stream that may be resumed has all its events after its caller's tries, if nothing but garbage
// breaks streams off and a worker of its version serves throughout.
func (c *checker) checkUnfinished() []Violation {
	if !c.onlyGarbage {
		return nil
	}
	tries := map[string][]response{}
	var roots []string
	for _, res := range c.responses {
		switch {
		case res.Kind != ResumableStream || res.RevokedKey:
		case res.Resumes != "":
			tries[res.Resumes] = append(tries[res.Resumes], res)
		default:
			roots = append(roots, res.ID)
			tries[res.ID] = append([]response{res}, tries[res.ID]...)
		}
	}
	var list []Violation
	for _, root := range roots {
		first, last := tries[root][0], tries[root][len(tries[root])-1]
		got := last.After + last.eventCount()
		if got == 0 || got == events || len(tries[root]) <= maxResumptions && last.EndedAt > c.quietAt {
			continue
		}
		if w := c.soundWorker(&first, last.EndedAt); w >= 0 {
			list = append(list, Violation{RuleUnfinished, root, fmt.Sprintf("the stream has %d events of %d after %d tries, although worker %d serves its version", got, events, len(tries[root]), w)})
		}
	}
	return list
}

// soundWorker returns the index of a worker that serves the version of a stream and sends no garbage while its caller tries, -1 if
// there is none.
func (c *checker) soundWorker(first *response, until time.Duration) int {
	for w := range streamWorkers {
		version := versions[w%len(versions)]
		sendsGarbage := slices.ContainsFunc(c.garbage, func(g garbagePeriod) bool { return g.Worker == w && g.From < until && first.SentAt < g.To })
		if first.versions()[version] && !sendsGarbage {
			return w
		}
	}
	return -1
}
