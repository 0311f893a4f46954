package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"github.com/yarrowmast/yarrowmast/internal/config"
)

const (
	// heapFraction is the fraction of the memory for the Go runtime. The rest is for kernel
	// buffers and the executable.
	heapFraction = 0.7
	// The live heap of a router is small, so a high GC percentage saves processor time on
	// machines with more memory. The memory limit applies in any case.
	gcPercentPerMB = 1
	minGCPercent   = 75
	maxGCPercent   = 400
	megabyte       = 1 << 20
)

// applyMachineLimits sets the processor and memory limits of the Go runtime.
func applyMachineLimits(m config.Machine) {
	if m.Processors > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(m.Processors))))
	}
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(m.MemoryMB) * megabyte))
		debug.SetGCPercent(gcPercentFor(m.MemoryMB))
	}
}

// gcPercentFor returns the GC percentage for a memory size in megabytes.
func gcPercentFor(memoryMB int64) int {
	return int(min(max(gcPercentPerMB*memoryMB, minGCPercent), maxGCPercent))
}
