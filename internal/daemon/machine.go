package daemon

import (
	"math"
	"runtime"
	"runtime/debug"

	"github.com/yarrowmast/yarrowmast/internal/config"
)

const (
	// heapPart of the memory is what the garbage collector keeps to; the rest
	// is for stacks, buffers of the kernel and the program itself.
	heapPart = 0.7
	// collectAt is how much the heap may grow between two collections, in
	// percent, where memory is bounded.
	collectAt = 75
	megabyte  = 1 << 20
)

// useMachine keeps the process within what it may use of its machine.
func useMachine(m config.Machine) {
	if m.Processors > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(m.Processors))))
	}
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(m.MemoryMB) * megabyte))
		debug.SetGCPercent(collectAt)
	}
}
