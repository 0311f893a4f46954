package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// Run is one run of the soak.
type Run struct {
	// Binary is the router program.
	Binary string
	Seed   uint64
	// Length is for how long faults are drawn.
	Length time.Duration
	// Plant is the rule that is broken on purpose, "" for none.
	Plant string
	// Log is called with a line for each fault.
	Log func(format string, args ...any)
}

// Report is how a run ended.
type Report struct {
	Seed     uint64
	Faults   int
	Requests int
	// By counts the answers by their status, 0 for none.
	By       map[int]int
	Breaches []Violation
	// Logs is where the routers' logs are; they are removed after a run without
	// a breach.
	Logs string
}

const (
	// readyWithin is how long routers may take to serve at the start, and again
	// after the last fault.
	readyWithin = 20 * time.Second
	// calmEnd is for how long requests go on after the last fault.
	calmEnd = 2 * time.Second
	// leavesAt and revokesAt are the parts of a run after which a worker leaves
	// and a key is taken away.
	leavesAt  = 0.4
	revokesAt = 0.3
	// leavingWorker is the one that leaves.
	leavingWorker = 0
	// leftWithin is how long a worker that leaves may still get new requests.
	leftWithin = 6 * time.Second
)

// Play plays one run.
func (r *Run) Play() (Report, error) {
	dir, err := os.MkdirTemp("", "yarrowmast-soak-")
	if err != nil {
		return Report{}, err
	}
	f, err := newFleet(r.Binary, dir)
	defer f.close()
	if err != nil {
		return Report{}, err
	}
	rep := Report{Seed: r.Seed, By: map[int]int{}, Logs: f.logs()}
	j := &checker{}
	t := &traffic{fleet: f, judge: j, seed: r.Seed, start: time.Now(), plant: r.Plant}
	if err := r.awaitServing(t, "start"); err != nil {
		return rep, err
	}
	r.play(f, j, t, &rep)
	r.Log("%d workers ended under a request", f.endsUnder.Load())
	j.checkCrashes(f.endsUnder.Load(), newPlan(r.Seed, r.Length, routers, workers))
	rep.Breaches = j.evaluate(f.runs())
	for _, a := range j.responses {
		rep.Requests++
		rep.By[a.Status]++
	}
	if len(rep.Breaches) == 0 {
		_ = os.RemoveAll(dir)
	}
	return rep, nil
}

// play lets callers and faults go on together, and looks that the fleet serves
// again afterwards.
func (r *Run) play(f *fleet, j *checker, t *traffic, rep *Report) {
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		t.run(ctx)
	}()
	plan := newPlan(r.Seed, r.Length, routers, workers)
	rep.Faults = len(plan)
	r.strike(f, j, t, plan)
	if err := r.awaitServing(t, "end"); err != nil {
		j.report(RuleRecovery, "-", err.Error())
	} else {
		f.checkRestore(j, r.Plant)
	}
	time.Sleep(calmEnd)
	stop()
	tasks.Wait()
}

// strike plays the plan, and the planned work beside it.
func (r *Run) strike(f *fleet, j *checker, t *traffic, plan []Step) {
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
			r.Log("%6.1f s  %s %d for %.1f s", time.Since(t.start).Seconds(), s.Fault, s.Target, s.For.Seconds())
			if s.Fault == RequestDeadly {
				t.sendCrashing(s)
				return
			}
			f.apply(s, &changes)
		})
	}
	at(time.Duration(revokesAt*float64(r.Length)), func() {
		changes.Lock()
		defer changes.Unlock()
		f.revoked = r.Plant != RuleRevokedKey
		f.configure()
		j.mu.Lock()
		j.revokedAt = time.Since(t.start)
		j.mu.Unlock()
	})
	at(time.Duration(leavesAt*float64(r.Length)), func() {
		if r.Plant != RuleLeaving {
			f.enter(leavingWorker, standin.Draining)
		}
		time.Sleep(leftWithin)
		before := len(f.workers[leavingWorker].Runs())
		time.Sleep(time.Second)
		if more := f.workers[leavingWorker].Runs()[before:]; len(more) > 0 {
			j.report(RuleLeaving, more[0].ID, fmt.Sprintf("%d requests %s after the worker's mark", len(more), leftWithin))
		}
	})
	tasks.Wait()
}

// apply begins a fault and ends it after its time.
func (f *fleet) apply(s Step, changes *sync.Mutex) {
	if strikesWorker(s.Fault) {
		f.strikeWorker(s)
		return
	}
	r := f.routers[s.Target]
	switch s.Fault {
	case Kill:
		f.restart(r, syscall.SIGKILL, s.For)
	case Stop:
		f.restart(r, syscall.SIGTERM, s.For)
	case Pause:
		r.signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		r.signal(syscall.SIGCONT)
	case Suspend:
		r.suspend(s.For)
	case Reload:
		_ = f.write(r)
		if s.For > (shortest+longest)/2 {
			r.signal(syscall.SIGHUP)
		}
	case Configure:
		changes.Lock()
		defer changes.Unlock()
		f.configure()
	case StoreCopy:
		f.storeFromCopy(s, changes)
	case StoreForget:
		f.store.Compact()
	case CallersReset:
		r.front.reset()
	default:
		r.door.SetMode(modes[s.Fault], 0)
		time.Sleep(s.For)
		r.door.SetMode(standin.Healthy, 0)
	}
}

var modes = map[Fault]standin.Mode{
	StoreBusy: standin.Unavailable, StoreSilent: standin.Unresponsive, StoreReset: standin.Reset, StoreDeaf: standin.NoChanges,
}

// restart ends a router's process by a signal and starts another, unless one of
// the faults does so already.
func (f *fleet) restart(r *router, by syscall.Signal, down time.Duration) {
	if !r.restarting.TryLock() {
		return
	}
	defer r.restarting.Unlock()
	r.signal(by)
	ctx, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	if r.await(ctx) != nil {
		r.signal(syscall.SIGKILL)
		_ = r.await(context.Background())
	}
	time.Sleep(down / 2)
	_ = f.start(r)
}

func (f *fleet) strikeWorker(s Step) {
	w, link := f.workers[s.Target], f.links[s.Target]
	switch s.Fault {
	case LinkSilent:
		link.silent.Store(true)
		time.Sleep(s.For)
		link.silent.Store(false)
	case LinkSlow:
		link.slow.Store(true)
		time.Sleep(s.For)
		link.slow.Store(false)
	case LinkReset:
		link.reset()
	case WorkerCuts:
		w.DisconnectAfter(events / 2)
	case WorkerHangs:
		w.StallAfter(events / 2)
	case WorkerReborn:
		f.reborn(s.Target)
	case EntrySpoilt:
		f.store.PutCorrupt(w.ID, w, serviceOf(s.Target), link.address(), slots, f.draws(s))
		time.Sleep(s.For)
		f.enterAgain(s.Target)
	case EntryStray:
		stray := fmt.Sprintf("stray-%d", s.At)
		f.store.PutCorrupt(stray, w, serviceOf(s.Target), link.address(), slots, f.draws(s))
		time.Sleep(s.For)
		f.store.Deregister(stray)
	case WorkerFails, WorkerRefuses:
		w.SetErrors(s.Fault == WorkerFails, s.Fault == WorkerRefuses)
		time.Sleep(s.For)
		w.SetErrors(false, false)
	}
}

// The times of a return from a copy: for how long the store is away, and within what time
// operators and workers write again what they wrote.
const (
	leastAway  = 50 * time.Millisecond
	mostAway   = 400 * time.Millisecond
	againAfter = 1200 * time.Millisecond
)

// storeFromCopy has the store lose what is written during a fault. Operators and workers
// write it again a moment later, each at a time of its own.
func (f *fleet) storeFromCopy(s Step, changes *sync.Mutex) {
	rng := f.draws(s)
	held := f.store.Backup()
	time.Sleep(s.For)
	f.store.Restore(held, leastAway+time.Duration(rng.Int64N(int64(mostAway-leastAway))), nil)
	var writers sync.WaitGroup
	write := func(do func()) {
		after := time.Duration(rng.Int64N(int64(againAfter)))
		writers.Go(func() {
			time.Sleep(after)
			do()
		})
	}
	write(func() {
		changes.Lock()
		defer changes.Unlock()
		f.configureAgain()
	})
	for i := range f.workers {
		write(func() { f.enterAgain(i) })
	}
	writers.Wait()
}

// draws returns what draws the details of a fault, the same for a seed each time.
func (f *fleet) draws(s Step) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(s.At), uint64(s.Target)))
}

// reborn has a worker crash and start again, and write so.
func (f *fleet) reborn(i int) {
	if err := f.workers[i].Restart(time.Now().UnixMilli()); err != nil {
		// Its port was taken meanwhile: it stays down, which the end of the run shows.
		return
	}
	f.enterAgain(i)
}

// awaitServing waits until every router answers a request of each kind.
func (r *Run) awaitServing(t *traffic, when string) error {
	if r.Plant == RuleRecovery && when == "end" {
		for _, w := range t.fleet.workers[engines:] {
			t.fleet.store.Deregister(w.ID)
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	within := readyWithin
	if r.Plant == RuleRecovery {
		within /= 4
	}
	end := time.Now().Add(within)
	for i, router := range t.fleet.routers {
		for _, kind := range kinds {
			for n := 0; ; n++ {
				a := response{ID: fmt.Sprintf("%s-%d-%s-%d", when, i, kind, n), Kind: kind}
				t.ask(client, router.front.address(), &a)
				if a.Status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					return fmt.Errorf("soak: %s does not serve %s requests at the %s: status %d", router.name, kind, when, a.Status)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}
