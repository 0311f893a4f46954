package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

const (
	// releases is the number of services of which a worker of another version may join, once each.
	releases = 8
	// releaseStreams is the number of streams that begin while a router is out of step, releaseTries how often each is taken up.
	releaseStreams = 10
	releaseTries   = 8
	// releasePause is how long a caller waits after an attempt that was refused or that nobody answered.
	releasePause = 100 * time.Millisecond
	// A router is out of step for minOutOfStep to maxOutOfStep, in half of the cases for less than shortOutOfStep.
	minOutOfStep   = 100 * time.Millisecond
	maxOutOfStep   = 3 * time.Second
	shortOutOfStep = time.Second
	// maxSeries is the longest series of such times, maxSeriesGap the longest time between two.
	maxSeries    = 3
	maxSeriesGap = 400 * time.Millisecond
	// maxJoinDelay bounds the time from the begin until a worker joins, healingMargin that between the end and the time at which a
	// caller takes a stream up as it ends.
	maxJoinDelay  = 50 * time.Millisecond
	healingMargin = 60 * time.Millisecond
)

// releaseKind returns the kind of the streams of a service that a worker of another version joins.
func releaseKind(n int) Kind { return Kind(fmt.Sprint(releasePrefix, n)) }

func releaseService(n int) string { return fmt.Sprint("released-", n) }

// drawOutOfStep draws series of times in which one router or two are out of step. Target is the number of the service that is
// released meanwhile.
func drawOutOfStep(rng *rand.Rand, length time.Duration) []Step {
	var plan []Step
	for _, first := range drawSteps(rng, length, outOfStepGaps, func() Step { return Step{} }) {
		at := first.At
		for range 1 + rng.IntN(maxSeries) {
			s := Step{At: at, Duration: minOutOfStep + time.Duration(rng.Int64N(int64(maxOutOfStep-minOutOfStep))), Fault: RouterOutOfStep, Target: len(plan)}
			if rng.IntN(2) == 0 {
				s.Duration = minOutOfStep + time.Duration(rng.Int64N(int64(shortOutOfStep-minOutOfStep)))
			}
			if at+s.Duration > length || len(plan) == releases {
				return plan
			}
			plan = append(plan, s)
			at += s.Duration + time.Duration(rng.Int64N(int64(maxSeriesGap)))
		}
	}
	return plan
}

// releaseWorkers are the workers of one service that is released: the one that serves from the start, and the one that joins.
type releaseWorkers struct {
	mu   sync.Mutex
	list []*standin.Worker
}

// startReleaseWorker starts a worker of a version for a service, and writes its entry.
func (f *fleet) startReleaseWorker(n int, version string) error {
	r := &f.released[n]
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := standin.StartWorker(fmt.Sprintf("released-%d-%d", n, len(r.list)), events, eventInterval)
	if err != nil {
		return err
	}
	w.Version, w.TagEvents = version, true
	r.list = append(r.list, w)
	f.store.Register(w, releaseService(n), w.Address(), standin.Ready, slots)
	return nil
}

// republishReleased writes the entries of the workers of a service again.
func (f *fleet) republishReleased(n int) {
	r := &f.released[n]
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.list {
		f.store.Register(w, releaseService(n), w.Address(), standin.Ready, slots)
	}
}

// stepCounts counts what became of streams that callers took up at routers out of step.
type stepCounts struct {
	mu                            sync.Mutex
	TakenUp, WentOn, Refused, Off int
	// Others counts the streams that began at the version that joined.
	Others int
}

func (c *stepCounts) count(res *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case res.Resumes == "":
		if res.versions()[versions[1]] {
			c.Others++
		}
		return
	case res.eventCount() > 0:
		c.WentOn++
	case res.Status == http.StatusServiceUnavailable:
		c.Refused++
	default:
		c.Off++
	}
	c.TakenUp++
}

// separation is what a step puts out of step, and how.
type separation struct {
	// Targets are the indexes of the routers out of step, Others those of the rest.
	Targets, Others []int
	// Paused says that they are paused, and not cut off.
	Paused bool
	// JoinAfter is the time until a worker of another version joins.
	JoinAfter time.Duration
}

func (s separation) String() string {
	if s.Paused {
		return fmt.Sprint("paused ", s.Targets)
	}
	return fmt.Sprint("cut off ", s.Targets)
}

// drawSeparation draws what a step puts out of step, from one router to half of them; the step determines it.
func drawSeparation(s Step, routers int) separation {
	rng := stepRand(s)
	order, count := rng.Perm(routers), 1+rng.IntN(routers/2)
	return separation{Targets: order[:count], Others: order[count:], Paused: rng.IntN(2) == 0, JoinAfter: time.Duration(rng.Int64N(int64(maxJoinDelay)))}
}

// outOfStep pauses routers, or cuts them off from the store and from the others, while a worker of another version joins and
// streams begin through other routers. These break off, and their callers take them up at a router that is out of step.
func (t *traffic) outOfStep(s Step, log func(format string, args ...any)) {
	sep := drawSeparation(s, len(t.fleet.routers))
	log("          service %d: %s, %.2f s", s.Target, sep, s.Duration.Seconds())
	back := t.fleet.putOutOfStep(sep)
	until := time.Now().Add(s.Duration)
	var tasks sync.WaitGroup
	for n := range releaseStreams {
		rng := rand.New(rand.NewPCG(t.seed, uint64(outOfStepStream<<32|s.Target<<8|n)))
		tasks.Go(func() {
			time.Sleep(sep.JoinAfter + time.Duration(rng.Int64N(int64(s.Duration))))
			t.takeUpOutOfStep(rng, sep, s, n, until)
		})
	}
	time.Sleep(sep.JoinAfter)
	_ = t.fleet.startReleaseWorker(s.Target, versions[1])
	time.Sleep(time.Until(until))
	back()
	tasks.Wait()
}

// putOutOfStep pauses routers or cuts them off, and returns a function that ends it.
func (f *fleet) putOutOfStep(sep separation) (back func()) {
	var targets []*router
	for _, i := range sep.Targets {
		targets = append(targets, f.routers[i])
	}
	if !sep.Paused {
		return f.cutOff(targets)
	}
	for _, r := range targets {
		r.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, r := range targets {
			r.signal(syscall.SIGCONT)
		}
	}
}

// takeUpOutOfStep begins a stream at one of the other routers, leaves it, and takes it up at routers out of step: at once, at
// some time until they are back, or as they come back.
func (t *traffic) takeUpOutOfStep(rng *rand.Rand, sep separation, s Step, n int, until time.Time) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	kind := releaseKind(s.Target)
	first := response{ID: fmt.Sprintf("%x-%s-%x", t.seed, kind, n), Kind: kind, SentAt: time.Since(t.start), Left: true}
	t.sendAndCheck(client, t.randomOf(rng, sep.Others), &first)
	t.fleet.steps.count(&first)
	switch left := max(time.Until(until), 1); rng.IntN(3) {
	case 0:
		time.Sleep(left - healingMargin + time.Duration(rng.Int64N(int64(2*healingMargin))))
	case 1:
		time.Sleep(time.Duration(rng.Int64N(int64(left))))
	}
	last := first
	for i := 1; i <= releaseTries && last.brokeOff(); i++ {
		next := response{
			ID: fmt.Sprintf("%s-r%d", first.ID, i), Kind: kind, SentAt: time.Since(t.start),
			Resumes: first.ID, After: last.After + last.eventCount(), Left: rng.IntN(2) == 0,
		}
		t.sendAndCheck(client, t.randomOf(rng, sep.Targets), &next)
		t.fleet.steps.count(&next)
		if next.eventCount() == 0 {
			next.After, next.Body, next.Complete = last.After+last.eventCount(), "", false
			time.Sleep(releasePause)
		}
		last = next
	}
}

// randomOf returns one of the routers with the given indexes.
func (t *traffic) randomOf(rng *rand.Rand, indexes []int) *router {
	return t.fleet.routers[indexes[rng.IntN(len(indexes))]]
}

// releasePrefix is what the kinds of streams of released services begin with.
const releasePrefix = "released"

func (k Kind) isReleased() bool { return strings.HasPrefix(string(k), releasePrefix) }
