package forward

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// incoming is a stream that another router forwarded to this one.
type incoming struct {
	forwarder *Forwarder
	sender    Sender
	key       streamKey
	pipe      net.Conn
	// fromCaller holds the caller's messages in order. done is closed when the stream ends.
	fromCaller chan *wire.ForwardData
	done       chan struct{}
	once       sync.Once
	// acked is the number of response messages that have reached the caller. ackReceived
	// signals that it has grown.
	acked       atomic.Uint64
	ackReceived chan struct{}
}

const (
	// window is the maximum number of response messages in flight to the caller. It bounds
	// what both routers buffer for a slow reader. The router that holds the caller's
	// connection acknowledges every ackInterval messages.
	window      = maxQueued / 2
	ackInterval = window / 2
)

// accept starts serving a forwarded connection, or refuses it if the server has no capacity.
func (f *Forwarder) accept(in peer.Inbound, m *wire.Forward, sender Sender, server Server) {
	if !server.AcceptsForwarded(table.Version{Edition: m.Edition, Revision: m.Revision}) {
		sender.Send(in.From, &wire.ForwardData{Stream: m.Stream, Response: true, Seq: 1, Refused: true, Last: true})
		return
	}
	local, remote := net.Pipe()
	i := &incoming{
		forwarder: f, sender: sender, key: streamKey{in.From, in.Incarnation, m.Stream}, pipe: local,
		fromCaller: make(chan *wire.ForwardData, maxQueued), done: make(chan struct{}),
		ackReceived: make(chan struct{}, 1),
	}
	f.mu.Lock()
	f.incoming[i.key] = i
	f.mu.Unlock()
	go i.writeToServer(m.Data)
	go i.readFromServer()
	go server.ServeForwarded(remote)
}

// receive queues a message from the caller or records an acknowledgement. It does not block.
func (i *incoming) receive(m *wire.ForwardData) {
	if m.Acked > 0 {
		i.acked.Store(m.Acked)
		select {
		case i.ackReceived <- struct{}{}:
		default:
		}
		return
	}
	select {
	case i.fromCaller <- m:
	default:
		i.close(QueueFull)
	}
}

// close ends the stream as if the caller had disconnected. why is empty if the response is complete.
func (i *incoming) close(why Reason) {
	i.once.Do(func() {
		if why != "" && why != CallerClosed {
			i.forwarder.log.Warn("forwarded_stream_ended", "from", i.key.from, "stream", i.key.id, "reason", string(why))
		}
		if why.notifiesPeer() {
			i.sender.Send(i.key.from, &wire.ForwardData{Stream: i.key.id, Response: true, Seq: abortSeq, Last: true})
		}
		close(i.done)
		_ = i.pipe.Close()
		i.forwarder.mu.Lock()
		delete(i.forwarder.incoming, i.key)
		i.forwarder.mu.Unlock()
	})
}

// writeToServer writes the caller's bytes to the server.
func (i *incoming) writeToServer(first []byte) {
	if _, err := i.pipe.Write(first); err != nil {
		return
	}
	for seq := uint64(1); ; seq++ {
		select {
		case m := <-i.fromCaller:
			if m.Seq != seq {
				i.close(OutOfOrder)
				return
			}
			if m.Last {
				i.close(CallerClosed)
				return
			}
			if _, err := i.pipe.Write(m.Data); err != nil {
				return
			}
		case <-i.done:
			return
		}
	}
}

// readFromServer sends the response back, batched after the first message.
func (i *incoming) readFromServer() {
	buf := make([]byte, chunkSize)
	for seq := uint64(1); i.waitForWindow(seq); seq++ {
		n, err := i.pipe.Read(buf)
		m := &wire.ForwardData{Stream: i.key.id, Response: true, Seq: seq, Data: append([]byte(nil), buf[:n]...), Last: err != nil}
		select {
		case <-i.done:
			// The caller or its router is gone, so nobody needs the rest.
			return
		default:
		}
		i.sender.Send(i.key.from, m)
		if err != nil {
			i.close("")
			return
		}
		i.waitBatch()
	}
}

// waitForWindow waits until message seq may be sent. It returns false if the stream ends
// first.
func (i *incoming) waitForWindow(seq uint64) bool {
	for seq > i.acked.Load()+window {
		select {
		case <-i.ackReceived:
		case <-i.done:
			return false
		}
	}
	return true
}

// waitBatch waits for more response bytes to collect.
func (i *incoming) waitBatch() {
	delay := i.forwarder.batchDelay()
	if delay <= 0 {
		return
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-i.done:
	}
}
