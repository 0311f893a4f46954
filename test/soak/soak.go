package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// Run is one soak run.
type Run struct {
	// Binary is the path of the router binary.
	Binary string
	Seed   uint64
	// Duration is how long faults are injected. With 0 accounts compete, and nothing else happens.
	Duration time.Duration
	// Routers is the size of the fleet.
	Routers int
	// Only are the faults that are injected, all if it is empty.
	Only []Fault
	// FaultsOnly leaves the competition and the planned stops at the end out.
	FaultsOnly bool
	// Steady leaves the floods of competing accounts out, and the worker that is lost beside them.
	Steady bool
	// Plant is the rule that is violated on purpose, "" for none.
	Plant string
	// Log is called once for each fault.
	Log func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	// ByStatus counts responses by status; 0 stands for no response.
	ByStatus map[int]int
	// Offered counts the connections that an overloaded router offered to others, Forwarded those of them that
	// another router answered.
	Offered, Forwarded int
	// Garbled counts the answers beside which workers sent bytes of no event.
	Garbled int
	// OutOfStep counts the streams that callers took up at routers out of step.
	OutOfStep *stepCounts
	// Stops counts the requests during the planned stops.
	Stops      stopOutcomes
	Violations []Violation
	// Logs is the glob pattern of the routers' log files, which are removed after a run without
	// violations.
	Logs string
}

const (
	// readyTimeout is how long routers may take to serve, at the start and after the last fault.
	readyTimeout = 20 * time.Second
	// quietPeriod is how long callers send requests after the last fault.
	quietPeriod = 2 * time.Second
	// drainFraction and revokeFraction are the fractions of a run after which a worker is marked
	// draining and a key is revoked.
	drainFraction  = 0.4
	revokeFraction = 0.3
	// drainingWorker is the index of the worker that is marked draining.
	drainingWorker = 0
	// drainLimit is how long a draining worker may still receive new requests.
	drainLimit = 6 * time.Second
)

// Play executes the run.
func (r *Run) Play() (Report, error) {
	dir, err := os.MkdirTemp("", "yarrowmast-soak-")
	if err != nil {
		return Report{}, err
	}
	small := drawSmallRouter(r.Seed, r.Routers)
	if small != noRouter {
		r.Log("r-%d has %g processors", small, smallProcessors)
	}
	f, err := newFleet(r.Binary, dir, r.Routers, small)
	defer f.close()
	if err != nil {
		return Report{}, err
	}
	rep := Report{Seed: r.Seed, ByStatus: map[int]int{}, Logs: f.logPattern()}
	c := &checker{}
	t := &traffic{fleet: f, checker: c, seed: r.Seed, plant: r.Plant}
	if err := r.awaitServing(t, "start"); err != nil {
		return rep, err
	}
	t.start = time.Now()
	if err := r.play(f, c, t, &rep); err != nil {
		return rep, err
	}
	r.Log("%d workers crashed under a request", f.crashes.Load())
	plan := r.plan()
	c.checkCrashes(f.crashes.Load(), plan, r.Routers)
	rep.Garbled = f.garbled()
	rep.OutOfStep = &f.steps
	r.Log("%d workers crashed under a part", f.part.crashes)
	c.checkPart(&f.part, t.start, plan, r.Routers)
	rep.Stops = c.checkStops(small)
	rep.Violations = c.evaluate(f.runs())
	for _, res := range c.responses {
		rep.Requests++
		rep.ByStatus[res.Status]++
	}
	if rep.Offered, rep.Forwarded, err = countForwarded(rep.Logs); err != nil {
		return rep, err
	}
	if len(rep.Violations) == 0 {
		_ = os.RemoveAll(dir)
	}
	return rep, nil
}

// plan returns the faults of the run.
func (r *Run) plan() []Step {
	return onlyFaults(newPlan(r.Seed, r.Duration, r.Routers, workers), r.Only)
}

// play injects faults under traffic, checks that the fleet serves again and, unless there are to be faults only, lets
// accounts compete and stops all routers in series.
func (r *Run) play(f *fleet, c *checker, t *traffic, rep *Report) error {
	if r.Duration == 0 {
		return r.compete(f, c, t)
	}
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		t.run(ctx)
	}()
	plan := r.plan()
	c.endsNoServer, c.onlyGarbage = endsNoServer(plan), isOnly(plan, WorkerGarbage)
	rep.Faults = len(plan)
	r.injectFaults(f, c, t, plan)
	f.endWorkerFaults()
	if err := r.awaitServing(t, "end"); err != nil {
		c.report(RuleRecovery, "-", err.Error())
	} else {
		f.checkRestore(c, r.Plant)
	}
	c.mu.Lock()
	c.quietAt = time.Since(t.start)
	c.mu.Unlock()
	time.Sleep(quietPeriod)
	stop()
	tasks.Wait()
	if r.FaultsOnly {
		return nil
	}
	if err := r.compete(f, c, t); err != nil {
		return err
	}
	r.stopInSeries(f, c, t)
	return nil
}

// injectFaults injects the planned faults, revokes a key and, unless workers only send garbage, drains a worker.
func (r *Run) injectFaults(f *fleet, c *checker, t *traffic, plan []Step) {
	var tasks sync.WaitGroup
	at := func(when time.Duration, do func()) {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			time.Sleep(time.Until(t.start.Add(when)))
			do()
		}()
	}
	var changes sync.Mutex
	for _, s := range plan {
		at(s.At, func() {
			r.Log("%6.1f s  %s %d for %.1f s", time.Since(t.start).Seconds(), s.Fault, s.Target, s.Duration.Seconds())
			switch s.Fault {
			case RequestCrashing:
				t.sendCrashing(s)
			case PartCrashing:
				t.sendCrashingPart(s)
			case ReleaseAndLoss, ForgottenLoss, MixedLoss:
				t.releaseAndLose(s)
			case RouterOutOfStep:
				t.outOfStep(s, r.Log)
			case WorkerGarbage:
				f.sendGarbage(c, s)
			default:
				f.apply(s, &changes)
			}
		})
	}
	at(time.Duration(revokeFraction*float64(r.Duration)), func() {
		changes.Lock()
		defer changes.Unlock()
		f.firstKeyRevoked = r.Plant != RuleRevokedKey
		f.publishConfig()
		c.mu.Lock()
		c.revokedAt = time.Since(t.start)
		c.mu.Unlock()
	})
	if c.onlyGarbage {
		// Streams go on at the other worker of their version.
		tasks.Wait()
		return
	}
	at(time.Duration(drainFraction*float64(r.Duration)), func() {
		if r.Plant != RuleLeaving {
			f.publishEntry(drainingWorker, standin.Draining)
		}
		time.Sleep(drainLimit)
		before := len(f.workers[drainingWorker].Runs())
		time.Sleep(time.Second)
		if more := f.workers[drainingWorker].Runs()[before:]; len(more) > 0 {
			c.report(RuleLeaving, more[0].ID, fmt.Sprintf("%d requests arrived more than %s after the worker was marked draining", len(more), drainLimit))
		}
	})
	tasks.Wait()
}

// awaitServing waits until every router responds 200 to a request of each kind.
func (r *Run) awaitServing(t *traffic, when string) error {
	if r.Plant == RuleRecovery && when == "end" {
		for _, w := range t.fleet.workers[streamWorkers:] {
			t.fleet.store.Deregister(w.ID)
		}
	}
	timeout := readyTimeout
	if r.Plant == RuleRecovery {
		timeout /= 4
	}
	limit := time.Now().Add(timeout)
	failures := make([]error, len(t.fleet.routers))
	var probes sync.WaitGroup
	for i := range t.fleet.routers {
		probes.Go(func() { failures[i] = t.awaitRouter(i, when, limit) })
	}
	probes.Wait()
	return errors.Join(failures...)
}

// awaitRouter waits until a router responds 200 to a request of each kind.
func (t *traffic) awaitRouter(i int, when string, limit time.Time) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	router := t.fleet.routers[i]
	for _, kind := range kinds {
		for n := 0; ; n++ {
			res := response{ID: fmt.Sprintf("%s-%d-%s-%d", when, i, kind, n), Kind: kind}
			t.send(client, router.proxy.address(), &res)
			if res.Status == http.StatusOK {
				break
			}
			if time.Now().After(limit) {
				return fmt.Errorf("soak: %s did not serve %s requests at the %s: status %d", router.name, kind, when, res.Status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
