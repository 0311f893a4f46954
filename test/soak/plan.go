package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of trouble.
type Fault string

// The faults that a plan draws from.
const (
	// Kill ends a router and starts it again.
	Kill Fault = "kill"
	// Pause stops a router's process for a while.
	Pause Fault = "pause"
	// Stop ends a router as planned and starts it again.
	Stop Fault = "stop"
	// Reload changes a router's settings file, with or without a signal.
	Reload Fault = "reload"
	// StoreBusy to StoreDeaf have the store treat a router badly.
	StoreBusy   Fault = "store-busy"
	StoreSilent Fault = "store-silent"
	StoreReset  Fault = "store-reset"
	StoreDeaf   Fault = "store-deaf"
	// StoreForget has the store forget its history.
	StoreForget Fault = "store-forget"
	// StoreCopy has the store be away and come back from a copy, which lacks what was
	// written while the fault lasted, in a new era. What was lost is written again.
	StoreCopy Fault = "store-copy"
	// Configure writes a new version of the configuration.
	Configure Fault = "configure"
	// LinkSilent, LinkReset and LinkSlow harm the way to a worker.
	LinkSilent Fault = "link-silent"
	LinkReset  Fault = "link-reset"
	LinkSlow   Fault = "link-slow"
	// CallersReset resets the connections of a router's callers.
	CallersReset Fault = "callers-reset"
	// WorkerFails has a worker fail what it is sent, WorkerRefuses refuse it,
	// WorkerCuts break a stream off, WorkerHangs fall silent in one.
	WorkerFails   Fault = "worker-fails"
	WorkerRefuses Fault = "worker-refuses"
	WorkerCuts    Fault = "worker-cuts"
	WorkerHangs   Fault = "worker-hangs"
	// WorkerReborn has a worker crash and start again under its id and address.
	WorkerReborn Fault = "worker-reborn"
	// EntrySpoilt has another writer spoil a worker's entry, EntryStray write one that
	// is spoilt under an id of its own.
	EntrySpoilt Fault = "entry-spoilt"
	EntryStray  Fault = "entry-stray"
	// Suspend stops a router's process for a while, which its steady clock does not show.
	Suspend Fault = "suspend"
	// RequestDeadly has a caller send a request under which workers end, again and again.
	RequestDeadly Fault = "request-deadly"
)

var faults = []Fault{
	Kill, Pause, Stop, Reload, StoreBusy, StoreSilent, StoreReset, StoreDeaf, StoreForget, Configure,
	LinkSilent, LinkReset, LinkSlow, CallersReset, WorkerFails, WorkerRefuses, WorkerCuts, WorkerHangs,
}

// writerFaults are drawn beside the others, from numbers of their own, so that the faults
// of a seed that was kept stay what they were.
var writerFaults = []Fault{WorkerReborn, EntrySpoilt, EntryStray}

// Step is one fault of a plan.
type Step struct {
	// At is the time from the start of traffic, For how long the fault lasts.
	At, For time.Duration
	Fault   Fault
	// Target is the number of the router or worker that is struck.
	Target int
}

// The bounds of what is drawn. Faults overlap, and end before the plan does.
const (
	meanGap   = 600 * time.Millisecond
	shortest  = 200 * time.Millisecond
	longest   = 2500 * time.Millisecond
	calmStart = time.Second
	// suspendGaps is how many times meanGap lies between suspensions.
	suspendGaps = 6
	// copyGaps is how many times meanGap lies between returns of the store from a copy.
	copyGaps = 8
	// writerGaps is how many times meanGap lies between the faults of writers.
	writerGaps = 3
)

// newPlan draws the faults of a run from its seed.
func newPlan(seed uint64, length time.Duration, routers, workers int) []Step {
	rng := rand.New(rand.NewPCG(seed, 0))
	var plan []Step
	at := calmStart
	for {
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		if at >= length-shortest {
			break
		}
		s := Step{At: at, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))), Fault: faults[rng.IntN(len(faults))]}
		s.For = min(s.For, length-at)
		s.Target = rng.IntN(routers)
		if strikesWorker(s.Fault) {
			s.Target = rng.IntN(workers)
		}
		plan = append(plan, s)
	}
	plan = append(plan, drawWriters(rand.New(rand.NewPCG(seed, 1)), length, workers)...)
	plan = append(plan, drawSuspensions(rand.New(rand.NewPCG(seed, 3)), length, routers)...)
	plan = append(plan, drawCopies(rand.New(rand.NewPCG(seed, 4)), length)...)
	plan = append(plan, drawDeadly(rand.New(rand.NewPCG(seed, 2)), length)...)
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}

// drawWriters draws the faults of writers and of workers that start again.
func drawWriters(rng *rand.Rand, length time.Duration, workers int) []Step {
	var plan []Step
	for at := calmStart; ; {
		at += time.Duration(rng.ExpFloat64() * writerGaps * float64(meanGap))
		if at >= length-shortest {
			return plan
		}
		s := Step{At: at, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))), Fault: writerFaults[rng.IntN(len(writerFaults))], Target: rng.IntN(workers)}
		s.For = min(s.For, length-at)
		plan = append(plan, s)
	}
}

// drawSuspensions draws when the machines of routers are suspended.
func drawSuspensions(rng *rand.Rand, length time.Duration, routers int) []Step {
	var plan []Step
	for at := calmStart; ; {
		at += time.Duration(rng.ExpFloat64() * suspendGaps * float64(meanGap))
		if at >= length-shortest {
			return plan
		}
		s := Step{At: at, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))), Fault: Suspend, Target: rng.IntN(routers)}
		s.For = min(s.For, length-at)
		plan = append(plan, s)
	}
}

// drawCopies draws when the store comes back from a copy.
func drawCopies(rng *rand.Rand, length time.Duration) []Step {
	var plan []Step
	for at := calmStart; ; {
		at += time.Duration(rng.ExpFloat64() * copyGaps * float64(meanGap))
		if at >= length-shortest {
			return plan
		}
		s := Step{At: at, For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))), Fault: StoreCopy}
		s.For = min(s.For, length-at)
		plan = append(plan, s)
	}
}

// drawDeadly draws when one request under which workers end is sent, in half of the runs.
// Its kind is that of Target.
func drawDeadly(rng *rand.Rand, length time.Duration) []Step {
	if rng.IntN(2) == 0 || length < 2*calmStart {
		return nil
	}
	at := calmStart + time.Duration(rng.Int64N(int64(length-calmStart)/2))
	return []Step{{At: at, For: length - at, Fault: RequestDeadly, Target: rng.IntN(len(crashKinds))}}
}

func strikesWorker(f Fault) bool {
	return slices.Contains([]Fault{
		LinkSilent, LinkReset, LinkSlow, WorkerFails, WorkerRefuses, WorkerCuts, WorkerHangs, WorkerReborn, EntrySpoilt, EntryStray,
	}, f)
}
