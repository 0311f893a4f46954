package main

import (
	"math/rand/v2"
	"time"
)

// plannedStop is one stop of a router in the series at the end of a run.
type plannedStop struct {
	Router int
	// Overlaps says that the previous router may still be stopping. It begins After from the signal to the
	// previous router if so, and after that router serves again if not.
	Overlaps bool
	After    time.Duration
	// Down is the time between the end of the process and the start of the next one.
	Down time.Duration
}

// Bounds of the random stops.
const (
	// overlapOneIn is how rarely a stop overlaps the previous one. At most two overlap.
	overlapOneIn = 2
	maxStopGap   = 600 * time.Millisecond
	maxStopDown  = 200 * time.Millisecond
)

// drawStops draws a series in which each router is stopped once.
func drawStops(seed uint64, routers int) []plannedStop {
	rng := rand.New(rand.NewPCG(seed, stopStream))
	var stops []plannedStop
	for i, router := range rng.Perm(routers) {
		overlaps := rng.IntN(overlapOneIn) == 0
		stops = append(stops, plannedStop{
			Router:   router,
			Overlaps: overlaps && i > 0 && !stops[i-1].Overlaps,
			After:    time.Duration(rng.Int64N(int64(maxStopGap))),
			Down:     time.Duration(rng.Int64N(int64(maxStopDown))),
		})
	}
	return stops
}
