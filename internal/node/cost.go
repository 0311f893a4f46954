package node

import (
	"context"
	"fmt"
	"runtime/metrics"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// costInterval is the interval of the log line that says what the router's upkeep costs.
const costInterval = 10 * time.Second

// costs are the counters of a router at a time.
type costs struct {
	at                 time.Time
	processorTime      time.Duration
	messages, bytes    int64
	receivedMsgs, read int64
	calls              int64
	sent               [wire.KindCount]peer.KindCount
}

// runCosts logs the costs periodically until ctx is done.
func (n *Node) runCosts(ctx context.Context) {
	before := n.currentCosts()
	for {
		n.clock.Sleep(ctx, costInterval)
		if ctx.Err() != nil {
			return
		}
		now := n.currentCosts()
		n.logCosts(&before, &now)
		before = now
	}
}

func (n *Node) currentCosts() costs {
	p := n.Peers.Counters()
	return costs{
		at: n.clock.Now(), processorTime: processorTime(), messages: p.MessagesOut.Load(), bytes: p.BytesOut.Load(),
		receivedMsgs: p.MessagesIn.Load(), read: p.BytesIn.Load(), calls: n.Dispatch.Status().Calls, sent: p.SentByKind(),
	}
}

// logCosts logs what the router spent between two times, so that yarrowctl costs can sum it up by role
// and by kind of message.
func (n *Node) logCosts(before, now *costs) {
	st := n.Dispatch.Status()
	n.log.Info("router_cost", "role", st.Role(), "period_ms", now.at.Sub(before.at).Milliseconds(),
		"processor_ms", (now.processorTime - before.processorTime).Milliseconds(), "memory_kb", memoryInUse()>>10,
		"members", len(st.Live)+1, "owned", len(st.Owned), "peers", n.Peers.Connections(),
		"messages", now.messages-before.messages, "bytes", now.bytes-before.bytes,
		"messages_in", now.receivedMsgs-before.receivedMsgs, "bytes_in", now.read-before.read,
		"calls", now.calls-before.calls, "sent", sentSince(&before.sent, &now.sent))
}

// sentSince lists the messages and bytes sent by kind, such as "RouterState:120:4310,Roster:2:960".
func sentSince(before, now *[wire.KindCount]peer.KindCount) string {
	var parts []string
	for kind := range now {
		if m := now[kind].Messages - before[kind].Messages; m > 0 {
			parts = append(parts, fmt.Sprintf("%v:%d:%d", wire.Kind(kind), m, now[kind].Bytes-before[kind].Bytes))
		}
	}
	return strings.Join(parts, ",")
}

// memoryInUse returns the memory that the Go runtime holds, in bytes.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
