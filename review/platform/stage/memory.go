package stage

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Memory returns the resident memory of the process in megabytes, 0 if it has ended.
func (r *Router) Memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(text)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// MemoryWatch kills a router that goes over its memory, as the platform does, and starts it again.
type MemoryWatch struct {
	mu     sync.Mutex
	most   int
	killed []time.Time
}

const (
	// memoryInterval is the time between two looks at a router's memory.
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
)

// Run watches a router until ctx is done.
func (w *MemoryWatch) Run(ctx context.Context, r *Router, limit int) {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		used := r.Memory()
		w.mu.Lock()
		w.most = max(w.most, used)
		w.mu.Unlock()
		if used <= limit {
			continue
		}
		r.Kill()
		w.mu.Lock()
		w.killed = append(w.killed, time.Now())
		w.mu.Unlock()
		time.Sleep(restartDelay)
		if ctx.Err() == nil {
			_ = r.Start()
		}
	}
}

// Most returns the most memory that was seen, in megabytes, Killed when the router was killed.
func (w *MemoryWatch) Most() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// Killed returns when the router was killed.
func (w *MemoryWatch) Killed() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.killed...)
}
