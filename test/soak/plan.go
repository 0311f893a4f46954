package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault names a kind of fault.
type Fault string

// The faults that a plan draws from.
const (
	// Kill kills a router and restarts it.
	Kill Fault = "kill"
	// Pause stops a router's process and resumes it.
	Pause Fault = "pause"
	// Stop terminates a router gracefully and restarts it.
	Stop Fault = "stop"
	// Reload changes a router's settings file, with or without a SIGHUP.
	Reload Fault = "reload"
	// StoreUnavailable to StoreNoChanges change how the store responds to one router.
	StoreUnavailable  Fault = "store-busy"
	StoreUnresponsive Fault = "store-silent"
	StoreReset        Fault = "store-reset"
	StoreNoChanges    Fault = "store-deaf"
	// StoreCompact discards the history of the store.
	StoreCompact Fault = "store-forget"
	// StoreRestore restores the store from a backup that lacks what was written during the fault,
	// after a downtime. What was lost is written again.
	StoreRestore Fault = "store-copy"
	// Configure writes a new version of the configuration.
	Configure Fault = "configure"
	// LinkBlocked, LinkReset and LinkSlow disturb the connections to a worker.
	LinkBlocked Fault = "link-silent"
	LinkReset   Fault = "link-reset"
	LinkSlow    Fault = "link-slow"
	// CallersReset resets the connections of a router's callers.
	CallersReset Fault = "callers-reset"
	// WorkerFails and WorkerRefuses let a worker fail or refuse all requests. WorkerDisconnects
	// and WorkerStalls let it disconnect or stall halfway through a stream.
	WorkerFails       Fault = "worker-fails"
	WorkerRefuses     Fault = "worker-refuses"
	WorkerDisconnects Fault = "worker-cuts"
	WorkerStalls      Fault = "worker-hangs"
	// WorkerRestart crashes a worker and restarts it with the same id and address.
	WorkerRestart Fault = "worker-reborn"
	// EntryCorrupt overwrites a worker's entry with a corrupt one, EntryUnknown writes a corrupt
	// entry under an unknown id.
	EntryCorrupt Fault = "entry-spoilt"
	EntryUnknown Fault = "entry-stray"
	// WorkerReplaced crashes a worker and starts one of another software version under a new id.
	WorkerReplaced Fault = "worker-replaced"
	// Suspend stops a router's process for a time that its monotonic clock does not show.
	Suspend Fault = "suspend"
	// RequestCrashing repeats a request that crashes the workers that run it.
	RequestCrashing Fault = "request-deadly"
)

var faults = []Fault{
	Kill, Pause, Stop, Reload, StoreUnavailable, StoreUnresponsive, StoreReset, StoreNoChanges, StoreCompact, Configure,
	LinkBlocked, LinkReset, LinkSlow, CallersReset, WorkerFails, WorkerRefuses, WorkerDisconnects, WorkerStalls,
}

// entryFaults are drawn from a random source of their own, so that older seeds keep their faults.
var entryFaults = []Fault{WorkerRestart, EntryCorrupt, EntryUnknown}

// Step is one fault of a plan.
type Step struct {
	// At is the time from the start of traffic.
	At, Duration time.Duration
	Fault        Fault
	// Target is the index of the affected router or worker.
	Target int
}

// Bounds of the random faults. Faults may overlap, and end before the plan does.
const (
	meanGap         = 600 * time.Millisecond
	minDuration     = 200 * time.Millisecond
	maxDuration     = 2500 * time.Millisecond
	firstFaultAfter = time.Second
	// suspendGaps is the mean time between suspensions, in units of meanGap.
	suspendGaps = 6
	// restoreGaps is the mean time between restores of the store, in units of meanGap.
	restoreGaps = 8
	// replaceGaps is the mean time between replacements of a worker, in units of meanGap.
	replaceGaps = 5
	// entryGaps is the mean time between entryFaults, in units of meanGap.
	entryGaps = 3
)

// newPlan draws the faults of a run from its seed.
func newPlan(seed uint64, length time.Duration, routers, workers int) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var plan []Step
	at := firstFaultAfter
	for {
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		if at >= length-minDuration {
			break
		}
		s := Step{At: at, Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))), Fault: faults[rng.IntN(len(faults))]}
		s.Duration = min(s.Duration, length-at)
		s.Target = rng.IntN(routers)
		if targetsWorker(s.Fault) {
			s.Target = rng.IntN(workers)
		}
		plan = append(plan, s)
	}
	plan = append(plan, drawEntryFaults(rand.New(rand.NewPCG(seed, 1)), length, workers)...)
	plan = append(plan, drawSuspensions(rand.New(rand.NewPCG(seed, 3)), length, routers)...)
	plan = append(plan, drawRestores(rand.New(rand.NewPCG(seed, 4)), length)...)
	plan = append(plan, drawReplacements(rand.New(rand.NewPCG(seed, 5)), length)...)
	plan = append(plan, drawCrashing(rand.New(rand.NewPCG(seed, 2)), length)...)
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}

// drawEntryFaults draws corrupt entries and worker restarts.
func drawEntryFaults(rng *rand.Rand, length time.Duration, workers int) []Step {
	var plan []Step
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * entryGaps * float64(meanGap))
		if at >= length-minDuration {
			return plan
		}
		s := Step{At: at, Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))), Fault: entryFaults[rng.IntN(len(entryFaults))], Target: rng.IntN(workers)}
		s.Duration = min(s.Duration, length-at)
		plan = append(plan, s)
	}
}

// drawSuspensions draws suspensions of routers.
func drawSuspensions(rng *rand.Rand, length time.Duration, routers int) []Step {
	var plan []Step
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * suspendGaps * float64(meanGap))
		if at >= length-minDuration {
			return plan
		}
		s := Step{At: at, Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))), Fault: Suspend, Target: rng.IntN(routers)}
		s.Duration = min(s.Duration, length-at)
		plan = append(plan, s)
	}
}

// drawRestores draws restores of the store from a backup.
func drawRestores(rng *rand.Rand, length time.Duration) []Step {
	var plan []Step
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * restoreGaps * float64(meanGap))
		if at >= length-minDuration {
			return plan
		}
		s := Step{At: at, Duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))), Fault: StoreRestore}
		s.Duration = min(s.Duration, length-at)
		plan = append(plan, s)
	}
}

// drawReplacements draws replacements of workers that send streams.
func drawReplacements(rng *rand.Rand, length time.Duration) []Step {
	var plan []Step
	for at := firstFaultAfter; ; {
		at += time.Duration(rng.ExpFloat64() * replaceGaps * float64(meanGap))
		if at >= length-minDuration {
			return plan
		}
		plan = append(plan, Step{At: at, Duration: minDuration, Fault: WorkerReplaced, Target: rng.IntN(streamWorkers)})
	}
}

// drawCrashing draws one crashing request, in half of the runs. Target is an index into crashKinds.
func drawCrashing(rng *rand.Rand, length time.Duration) []Step {
	if rng.IntN(2) == 0 || length < 2*firstFaultAfter {
		return nil
	}
	at := firstFaultAfter + time.Duration(rng.Int64N(int64(length-firstFaultAfter)/2))
	return []Step{{At: at, Duration: length - at, Fault: RequestCrashing, Target: rng.IntN(len(crashKinds))}}
}

func targetsWorker(f Fault) bool {
	return slices.Contains([]Fault{
		LinkBlocked, LinkReset, LinkSlow, WorkerFails, WorkerRefuses, WorkerDisconnects, WorkerStalls, WorkerRestart, WorkerReplaced, EntryCorrupt, EntryUnknown,
	}, f)
}
