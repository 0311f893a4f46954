package node

import (
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/metrics"
)

// workCounters count the work of a router since its start.
type workCounters struct {
	// processorTime is 0 if the system does not report it.
	processorTime time.Duration
	// refusedEarly counts requests refused before their body was read.
	requests, refusedEarly int64
	// events counts forwarded stream events, flushes writes to callers, messages those
	// received from and sent to other routers.
	events, flushes, messages int64
	// invalidStreams counts streams that were broken off for bytes that are no event of them.
	invalidStreams int64
}

func (n *Node) currentWork() workCounters {
	forwarded, p := n.backend.Stats(), n.Peers.Counters()
	return workCounters{
		processorTime: processorTime(), requests: n.Front.Requests(), refusedEarly: n.Dispatch.LoadStats().RefusedEarly,
		events: forwarded.Events, flushes: forwarded.Flushes, messages: p.MessagesIn.Load() + p.MessagesOut.Load(),
		invalidStreams: forwarded.InvalidStreams,
	}
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// updateWorkGauges copies the work counters into metrics. While the router sheds load, it
// also logs the work since the last call.
func (n *Node) updateWorkGauges() {
	now, before, load := n.currentWork(), n.lastWork, n.Dispatch.LoadStats()
	n.lastWork = now
	n.setGauges(map[string]int64{
		metrics.StreamEvents: now.events, metrics.CallerWrites: now.flushes, metrics.RefusedEarly: now.refusedEarly,
		metrics.InvalidStreams: now.invalidStreams,
	})
	n.metrics.Gauge(metrics.ProcessorSeconds, now.processorTime.Seconds())
	n.metrics.Gauge(metrics.LagSeconds, load.Lag.Seconds())
	if load.AdmittedFraction >= 1 {
		return
	}
	n.log.Info("router_work", "processor_ms", (now.processorTime - before.processorTime).Milliseconds(), "late_ms", load.Lag.Milliseconds(),
		"part", load.AdmittedFraction, "can_per_s", int(load.Rate), "requests", now.requests-before.requests, "refused_unseen", now.refusedEarly-before.refusedEarly,
		"stream_events", now.events-before.events, "caller_sends", now.flushes-before.flushes, "peer_messages", now.messages-before.messages)
}
