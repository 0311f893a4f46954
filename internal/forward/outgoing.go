package forward

import (
	"net"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Outcome is the result of forwarding a connection.
type Outcome uint8

// The outcomes.
const (
	// NotTaken means that no router has processed or will process the request. The caller
	// still waits for a response.
	NotTaken Outcome = iota
	// Ended means that a response was relayed or the caller disconnected. The connection is
	// closed.
	Ended
	// Unknown means that the stream ended before the response began. The request may have run,
	// and the caller still waits for a response.
	Unknown
)

// String returns the outcome as written in logs.
func (o Outcome) String() string {
	switch o {
	case Ended:
		return "ended"
	case Unknown:
		return "unknown"
	default:
		return "not-taken"
	}
}

// outgoing is a stream that this router forwarded to a peer.
type outgoing struct {
	clock  *clock.Clock
	sender Sender
	id     uint64
	to     string
	caller net.Conn
	// responses holds the messages from the peer in order. done is closed when no more can
	// arrive.
	responses chan *wire.ForwardData
	done      chan struct{}
	once      sync.Once
	// reason is why done was closed.
	reason Reason
	// doubt receives why messages to the peer may be lost, or the peer gone. The response may still arrive.
	doubt chan Reason
	// conn is the number of the connection that the response arrives on, 0 before its first message. It
	// is guarded by Forwarder.mu.
	conn uint64
	// callerClosed is closed when the caller closes its connection, readDone when readCaller
	// returns.
	callerClosed, readDone chan struct{}
	seq                    uint64
	// buffered is what the caller sent since the stream began. It is needed to offer the
	// request to another peer.
	buffered  []byte
	responded bool
	// relayed is the number of messages written to the caller, relayedAt when the last one was.
	relayed   uint64
	relayedAt time.Time
}

// maxBuffered bounds outgoing.buffered, in bytes.
const maxBuffered = 128 << 10

// callerWriteTimeout bounds one write to a caller.
const callerWriteTimeout = 10 * time.Second

// doubtTimeout is how long a response may take to begin once messages to its router may be lost.
const doubtTimeout = 300 * time.Millisecond

// Forward offers a connection and the bytes read from it so far to peers: to some of the zone, and
// then to one of another zone if not much time has passed. If one accepts, Forward relays bytes both
// ways until the connection ends or the deadline passes.
func (f *Forwarder) Forward(caller net.Conn, head []byte, version table.Version, deadline time.Time) Result {
	result := Result{Read: head}
	start := f.clock.Now()
	for attempt := range attemptLimit + 1 {
		now := f.clock.Now()
		to, ok := "", false
		if attempt < attemptLimit {
			to, ok = f.choosePeer(now, result.To, false)
		}
		if !ok && !result.Remote && now.Sub(start) <= remoteWithin {
			to, ok = f.choosePeer(now, result.To, true)
			result.Remote = ok
		}
		if !ok {
			break
		}
		result.To = to
		o := f.newOutgoing(caller, to)
		o.sender.Send(to, &wire.Forward{Stream: o.id, Edition: version.Edition, Revision: version.Revision, Data: result.Read})
		end := o.run(deadline)
		result.Outcome, result.Reason = end.outcome, end.reason
		result.Messages, result.Idle = o.relayed, f.clock.Since(o.relayedAt)
		f.removeOutgoing(o.id)
		if result.Outcome == Ended {
			return result
		}
		result.Read = append(result.Read, o.buffered...)
		if result.Outcome == Unknown {
			return result
		}
		f.markBusy(to, f.clock.Now())
	}
	return result
}

// Result describes a forwarded connection.
type Result struct {
	Outcome Outcome
	// To is the peer that was tried last, "" if there was none. Remote says that a router of
	// another zone was tried.
	To     string
	Remote bool
	// Reason is why the last message of the response has not arrived. Callers may close their connections
	// before that, once they have the whole response.
	Reason Reason
	// Messages is the number of messages of the response that reached the caller, Idle the time since the
	// last one, or since the connection was offered.
	Messages uint64
	Idle     time.Duration
	// Read holds all bytes read from the connection, unless the outcome is Ended.
	Read []byte
}

func (f *Forwarder) newOutgoing(caller net.Conn, to string) *outgoing {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	o := &outgoing{
		clock: f.clock, sender: f.sender, id: f.lastID, to: to, caller: caller, responses: make(chan *wire.ForwardData, maxQueued),
		done: make(chan struct{}), doubt: make(chan Reason, 1), callerClosed: make(chan struct{}), readDone: make(chan struct{}), relayedAt: f.clock.Now(),
	}
	f.outgoing[o.id] = o
	return o
}

func (f *Forwarder) removeOutgoing(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.outgoing, id)
}

// receive queues a message from the peer. It does not block.
func (o *outgoing) receive(m *wire.ForwardData) {
	select {
	case o.responses <- m:
	default:
		o.end(QueueFull)
	}
}

// end marks that no more messages can arrive from the peer. Those that have arrived still count.
func (o *outgoing) end(why Reason) {
	o.once.Do(func() {
		o.reason = why
		close(o.done)
	})
}

// suspect gives the response doubtTimeout to begin.
func (o *outgoing) suspect(why Reason) {
	select {
	case o.doubt <- why:
	default:
	}
}

// ending is how a stream ended.
type ending struct {
	outcome Outcome
	reason  Reason
}

// run relays bytes both ways until the stream ends.
func (o *outgoing) run(deadline time.Time) ending {
	// Clear the deadline under which the head was read.
	_ = o.caller.SetReadDeadline(time.Time{})
	go o.readCaller()
	timeout := make(chan struct{})
	timer := o.clock.AfterFunc(o.clock.Until(deadline), func() { close(timeout) })
	defer timer.Stop()
	doubted := Reason("")
	doubtTimer := time.NewTimer(doubtTimeout)
	doubtTimer.Stop()
	defer doubtTimer.Stop()
	for {
		select {
		case m := <-o.responses:
			if e, ended := o.relay(m); ended {
				return e
			}
		case <-o.callerClosed:
			return ending{o.abort(true), CallerClosed}
		case doubted = <-o.doubt:
			doubtTimer.Reset(doubtTimeout)
		case <-doubtTimer.C:
			// Of a response that has begun, the end of its connection tells.
			if o.relayed == 0 {
				return o.finish(true, doubted)
			}
		case <-o.done:
			return o.finish(o.reason == QueueFull, o.reason)
		case <-timeout:
			return o.finish(true, DeadlinePassed)
		}
	}
}

// finish relays the messages that have arrived, and ends the stream early unless they complete the
// response.
func (o *outgoing) finish(notify bool, why Reason) ending {
	for {
		select {
		case m := <-o.responses:
			if e, ended := o.relay(m); ended {
				return e
			}
		default:
			return ending{o.abort(notify), why}
		}
	}
}

// relay passes a message of the response on to the caller. It reports whether that ends the stream.
func (o *outgoing) relay(m *wire.ForwardData) (e ending, ended bool) {
	switch {
	case m.Refused && !o.responded:
		o.stopReading()
		return ending{NotTaken, PeerRefused}, true
	case m.Seq == abortSeq:
		return ending{o.abort(false), PeerAborted}, true
	case m.Seq != o.relayed+1:
		return ending{o.abort(true), OutOfOrder}, true
	case !o.writeToCaller(m):
		return ending{o.abort(true), CallerStuck}, true
	}
	o.relayed++
	o.relayedAt = o.clock.Now()
	switch {
	case m.Last && !o.responded:
		return ending{o.abort(false), PeerAborted}, true
	case m.Last:
		_ = o.caller.Close()
		return ending{Ended, ""}, true
	case o.relayed%ackInterval == 0:
		o.sender.Send(o.to, &wire.ForwardData{Stream: o.id, Acked: o.relayed})
	}
	return ending{}, false
}

// writeToCaller writes response bytes to the caller.
func (o *outgoing) writeToCaller(m *wire.ForwardData) bool {
	if len(m.Data) == 0 {
		return true
	}
	o.responded = true
	if err := o.caller.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return false
	}
	_, err := o.caller.Write(m.Data)
	return err == nil
}

// abort ends the stream early and notifies the peer if requested. A response that has begun is
// cut off.
func (o *outgoing) abort(notify bool) Outcome {
	o.stopReading()
	if notify {
		o.seq++
		o.sender.Send(o.to, &wire.ForwardData{Stream: o.id, Seq: o.seq, Last: true})
	}
	if o.responded || o.callerHasClosed() {
		_ = o.caller.Close()
		return Ended
	}
	return Unknown
}

func (o *outgoing) callerHasClosed() bool {
	select {
	case <-o.callerClosed:
		return true
	default:
		return false
	}
}

// stopReading stops readCaller and waits for it to return.
func (o *outgoing) stopReading() {
	o.once.Do(func() { close(o.done) })
	_ = o.caller.SetReadDeadline(time.Now())
	<-o.readDone
	_ = o.caller.SetReadDeadline(time.Time{})
}

// readCaller sends the caller's remaining bytes to the peer and detects that the caller
// disconnects.
func (o *outgoing) readCaller() {
	defer close(o.readDone)
	buf := make([]byte, 512)
	for {
		n, err := o.caller.Read(buf)
		if len(o.buffered) < maxBuffered {
			o.buffered = append(o.buffered, buf[:n]...)
		}
		select {
		case <-o.done:
			// stopReading interrupted the read; the caller has not disconnected.
			return
		default:
		}
		if n > 0 {
			o.seq++
			o.sender.Send(o.to, &wire.ForwardData{Stream: o.id, Seq: o.seq, Data: append([]byte(nil), buf[:n]...)})
			if len(buf) < chunkSize {
				buf = make([]byte, chunkSize)
			}
		}
		if err != nil {
			close(o.callerClosed)
			return
		}
	}
}
