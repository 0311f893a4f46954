package node

import (
	"context"
	"time"
)

const clockCheckInterval = time.Second

// watchClock runs the detection of machine suspensions. If the detection fails, it logs
// one warning.
func (n *Node) watchClock(ctx context.Context) {
	go n.clock.Run(ctx)
	tick := time.NewTicker(clockCheckInterval)
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
