package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

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
