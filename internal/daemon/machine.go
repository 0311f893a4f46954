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
	// growthEach is by how many percent the heap may grow between two collections
	// for each megabyte of memory, within leastGrowth and mostGrowth. A router keeps
	// 10 to 20 MB alive, so that a fifth of its processor time went to collections at
	// 75 percent. 62 routers, most with 184 MB, took 69.7 s of it on a loaded day at 2
	// for each megabyte and 72.0 s at 1, with 149 and 113 GB s of memory. The limit on
	// the heap holds in any case.
	growthEach  = 1
	leastGrowth = 75
	mostGrowth  = 400
	megabyte    = 1 << 20
)

// useMachine keeps the process within what it may use of its machine.
func useMachine(m config.Machine) {
	if m.Processors > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(m.Processors))))
	}
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(m.MemoryMB) * megabyte))
		debug.SetGCPercent(growthFor(m.MemoryMB))
	}
}

// growthFor returns by how many percent the heap may grow between two collections on a
// machine with so much memory, in megabytes.
func growthFor(memoryMB int64) int {
	return int(min(max(growthEach*memoryMB, leastGrowth), mostGrowth))
}
