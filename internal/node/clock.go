package node

import (
	"context"
	"time"
)

// clockLook is the interval at which is looked whether suspensions are still counted.
const clockLook = time.Second

// watchClock is the task that has the clock look for suspensions, and tells once if it
// cannot count them.
func (n *Node) watchClock(ctx context.Context) {
	go n.clock.Run(ctx)
	tick := time.NewTicker(clockLook)
	defer tick.Stop()
	for {
		if err := n.clock.Fault(); err != nil {
			n.log.Warn("clock_fault", "error", err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
