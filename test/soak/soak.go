package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
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
			case ReleaseAndLoss:
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

// apply injects a fault and ends it after its duration.
func (f *fleet) apply(s Step, changes *sync.Mutex) {
	if targetsWorker(s.Fault) {
		f.applyToWorker(s)
		return
	}
	r := f.routers[s.Target]
	switch s.Fault {
	case Kill:
		f.restart(r, syscall.SIGKILL, s.Duration)
	case Stop:
		f.restart(r, syscall.SIGTERM, s.Duration)
	case Pause:
		r.signal(syscall.SIGSTOP)
		time.Sleep(s.Duration)
		r.signal(syscall.SIGCONT)
	case Suspend:
		r.suspend(s.Duration)
	case Reload:
		_ = f.writeSettings(r)
		if s.Duration > (minDuration+maxDuration)/2 {
			r.signal(syscall.SIGHUP)
		}
	case Configure:
		changes.Lock()
		defer changes.Unlock()
		f.publishConfig()
	case StoreRestore:
		f.restoreStore(s, changes)
	case StoreCompact:
		f.store.Compact()
	case CallersReset:
		r.proxy.reset()
	default:
		r.endpoint.SetMode(endpointModes[s.Fault], 0)
		time.Sleep(s.Duration)
		r.endpoint.SetMode(standin.Healthy, 0)
	}
}

var endpointModes = map[Fault]standin.Mode{
	StoreUnavailable: standin.Unavailable, StoreUnresponsive: standin.Unresponsive, StoreReset: standin.Reset, StoreNoChanges: standin.NoChanges,
}

// restart stops a router's process with a signal and starts a new one, unless another fault is
// already restarting it.
func (f *fleet) restart(r *router, sig syscall.Signal, down time.Duration) {
	if !r.restarting.TryLock() {
		return
	}
	defer r.restarting.Unlock()
	r.signal(sig)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if r.awaitExit(ctx) != nil {
		r.signal(syscall.SIGKILL)
		_ = r.awaitExit(context.Background())
	}
	time.Sleep(down / 2)
	_ = f.start(r)
}

func (f *fleet) applyToWorker(s Step) {
	w, link := f.workers[s.Target], f.links[s.Target]
	switch s.Fault {
	case LinkBlocked:
		link.blocked.Store(true)
		time.Sleep(s.Duration)
		link.blocked.Store(false)
	case LinkSlow:
		link.slow.Store(true)
		time.Sleep(s.Duration)
		link.slow.Store(false)
	case LinkReset:
		link.reset()
	case WorkerDisconnects:
		w.DisconnectAfter(events / 2)
	case WorkerStalls:
		w.StallAfter(events / 2)
	case WorkerRestart:
		f.restartWorker(s.Target)
	case WorkerReplaced:
		f.replaceWorker(s)
	case EntryCorrupt:
		f.store.PutCorrupt(w.ID, w, serviceOf(s.Target), link.address(), slots, stepRand(s))
		time.Sleep(s.Duration)
		f.republishEntry(s.Target)
	case EntryUnknown:
		id := fmt.Sprintf("stray-%d", s.At)
		f.store.PutCorrupt(id, w, serviceOf(s.Target), link.address(), slots, stepRand(s))
		time.Sleep(s.Duration)
		f.removeEntry(id)
	case WorkerFails, WorkerRefuses:
		w.SetErrors(s.Fault == WorkerFails, s.Fault == WorkerRefuses)
		time.Sleep(s.Duration)
		w.SetErrors(false, false)
	}
}

const (
	// maxGarbageOneIn is how rarely at most a worker that sends garbage does so.
	maxGarbageOneIn = 4
	// commentOneIn is how rarely a worker sends a comment beside an event.
	commentOneIn = 40
)

// A restored store is unavailable for minDowntime to maxDowntime. Operators and workers write what
// was lost again within rewriteWithin.
const (
	minDowntime   = 50 * time.Millisecond
	maxDowntime   = 400 * time.Millisecond
	rewriteWithin = 1200 * time.Millisecond
)

// restoreStore restores the store from a backup, which loses what was written during the fault.
// Operators and workers write it again, each after a random delay.
func (f *fleet) restoreStore(s Step, changes *sync.Mutex) {
	rng := stepRand(s)
	backup := f.store.Backup()
	time.Sleep(s.Duration)
	f.store.Restore(backup, minDowntime+time.Duration(rng.Int64N(int64(maxDowntime-minDowntime))), nil)
	var writers sync.WaitGroup
	write := func(do func()) {
		after := time.Duration(rng.Int64N(int64(rewriteWithin)))
		writers.Go(func() {
			time.Sleep(after)
			do()
		})
	}
	write(func() {
		changes.Lock()
		defer changes.Unlock()
		f.republishConfig()
	})
	for i := range f.workers {
		write(func() { f.republishEntry(i) })
	}
	write(f.removeRestored)
	for n := range f.released {
		write(func() { f.republishReleased(n) })
	}
	writers.Wait()
}

// stepRand returns a random source for the details of a fault, determined by the step alone.
func stepRand(s Step) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(s.At), uint64(s.Target)))
}

// restartWorker crashes and restarts a worker, and publishes its entry again.
func (f *fleet) restartWorker(i int) {
	if err := f.workers[i].Restart(time.Now().UnixMilli()); err != nil {
		// Another process took the port. The worker stays down, and awaitServing may fail at the end.
		return
	}
	f.republishEntry(i)
}

// endWorkerFaults ends the faults that wait for a stream to reach an event, so that none strikes after the last fault.
func (f *fleet) endWorkerFaults() {
	for _, w := range f.workers {
		w.DisconnectAfter(0)
		w.StallAfter(0)
	}
}

// replaceWorker crashes a worker and starts one of another version under a new id. The old entry goes after
// the new one has come.
func (f *fleet) replaceWorker(s Step) {
	oldID := f.startOtherVersion(s, f.workers[s.Target].Version)
	if oldID == "" {
		return
	}
	time.Sleep(s.Duration)
	f.removeEntry(oldID)
}

// startOtherVersion replaces the process of a worker if it runs a version, and returns the id of the former one. Two faults may
// replace the same worker at once.
func (f *fleet) startOtherVersion(s Step, version string) (oldID string) {
	f.replaceMu.Lock()
	defer f.replaceMu.Unlock()
	w := f.workers[s.Target]
	if w.Version != version {
		return ""
	}
	oldID = w.ID
	w.Close()
	w.SetID(fmt.Sprintf("i-%d-%d", s.Target, s.At.Milliseconds()))
	w.SetVersion(versions[(slices.Index(versions, w.Version)+1)%len(versions)])
	f.restartWorker(s.Target)
	return oldID
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
