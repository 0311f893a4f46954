package node

import (
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/metrics"
)

// work is what a router's time went to since its start.
type work struct {
	// processor is the processor time, 0 where the machine does not tell.
	processor time.Duration
	// requests counts those that came, screened those of them that were refused
	// unseen.
	requests, screened int64
	// events counts the streams' events that were passed on, sends the times that
	// something was sent to a caller, messages those from and to peers.
	events, sends, messages int64
}

func (n *Node) workNow() work {
	passed, p := n.backend.Stats(), n.Peers.Counters()
	return work{
		processor: processorTime(), requests: n.Front.Requests(), screened: n.Dispatch.LoadStats().RefusedEarly,
		events: passed.Events, sends: passed.Flushes, messages: p.MessagesIn.Load() + p.MessagesOut.Load(),
	}
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// gaugeWork copies what the time went to into metrics, and logs it while this
// router refuses what it has no time for.
func (n *Node) gaugeWork() {
	now, before, pace := n.workNow(), n.work, n.Dispatch.LoadStats()
	n.work = now
	n.setGauges(map[string]int64{
		metrics.Passed: now.events, metrics.Sends: now.sends, metrics.Screened: now.screened,
	})
	n.metrics.Gauge(metrics.Processor, now.processor.Seconds())
	n.metrics.Gauge(metrics.Late, pace.Lag.Seconds())
	if pace.AdmitRatio >= 1 {
		return
	}
	n.log.Info("router_work", "processor_ms", (now.processor - before.processor).Milliseconds(), "late_ms", pace.Lag.Milliseconds(),
		"part", pace.AdmitRatio, "can_per_s", int(pace.Rate), "requests", now.requests-before.requests, "refused_unseen", now.screened-before.screened,
		"stream_events", now.events-before.events, "caller_sends", now.sends-before.sends, "peer_messages", now.messages-before.messages)
}
