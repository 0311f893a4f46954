package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

const (
	// crashPart is the prompt part that crashes workers. All streams share commonPart.
	crashPart, commonPart = "dead01", "50a1"
	// partInterval is the time between two requests with the crashing part.
	partInterval = 60 * time.Millisecond
	// crashesBeforeContact is the number of crashes after which routers have partContact to stop sending
	// requests with the part; at most maxLateParts may reach workers later.
	crashesBeforeContact = 5
	partContact          = 3 * time.Second
	maxLateParts         = 3
)

// partCrashes are the ways in which workers crash on the part.
var partCrashes = []standin.PartCrash{
	{Part: crashPart, Delay: 20 * time.Millisecond},
	{Part: crashPart, Delay: 80 * time.Millisecond},
	{Part: crashPart, Delay: 20 * time.Millisecond, Events: 1},
	{Part: crashPart, Delay: 20 * time.Millisecond, Partial: true},
}

// partRecord is what became of requests with the crashing part.
type partRecord struct {
	mu      sync.Mutex
	crashes int
	// fifthAt is when the fifth worker crashed, zero before.
	fifthAt time.Time
	// late counts the requests that reached workers later than partContact after it.
	late int
}

func (p *partRecord) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes++; p.crashes == crashesBeforeContact {
		p.fifthAt = time.Now()
	}
}

func (p *partRecord) run() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fifthAt.IsZero() && time.Since(p.fifthAt) > partContact {
		p.late++
	}
}

// parts returns the parts of a stream's prompt. Those of all callers share the first, and the second by kind, but for streams
// of released services, which begin at either worker.
func (r *response) parts() []string {
	if r.Kind.isReleased() {
		return []string{r.ID}
	}
	second := "50b" + string(r.Kind)
	if r.Crashing {
		second = crashPart
	}
	return []string{commonPart, second, r.ID}
}

// sendCrashingPart sends requests with the crashing part to all routers in turn and restarts the workers that
// crash.
func (t *traffic) sendCrashingPart(s Step) {
	crash := partCrashes[s.Target]
	crash.OnRun, crash.OnCrash = t.fleet.part.run, t.fleet.part.crash
	for _, w := range t.fleet.workers[:streamWorkers] {
		w.CrashOnPart(crash)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	until, seen := time.Now().Add(s.Duration), 0
	for n := 0; time.Now().Before(until); n++ {
		res := response{ID: fmt.Sprintf("part-%x-%d", t.seed, n), Kind: ResumableStream, Body: fmt.Sprint("page ", n), Crashing: true}
		requests.Go(func() { t.send(client, t.fleet.routers[n%len(t.fleet.routers)].proxy.address(), &res) })
		t.fleet.part.mu.Lock()
		crashes := t.fleet.part.crashes
		t.fleet.part.mu.Unlock()
		if crashes > seen {
			seen = crashes
			requests.Go(func() {
				time.Sleep(restartDelay)
				t.fleet.restartCrashed()
			})
		}
		time.Sleep(partInterval)
	}
	requests.Wait()
	time.Sleep(restartDelay)
	t.fleet.restartCrashed()
}

// checkPart records a violation if too many requests with the crashing part reached workers late. Each router
// that is restarted or resumed after the fifth crash, or shortly before, may send one more before it learns of
// the crashes.
func (c *checker) checkPart(p *partRecord, start time.Time, plan []Step, routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	recent := slices.DeleteFunc(slices.Clone(plan), func(s Step) bool {
		return start.Add(s.At + s.Duration + partContact).Before(p.fifthAt)
	})
	if allowed := maxLateParts + routerLosses(recent, routers); p.late > allowed {
		c.report(RulePart, "-", fmt.Sprintf("%d requests with a part that had crashed %d workers reached workers late, %d allowed; %d crashed in all", p.late, crashesBeforeContact, allowed, p.crashes))
	}
}
