package forward

import (
	"net"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Outcome says what became of a connection that was to be handed on.
type Outcome uint8

// The outcomes.
const (
	// NotTaken: no router looked at the request or ever will; its caller waits for an
	// answer.
	NotTaken Outcome = iota
	// Ended: an answer was passed on, or the caller has left. The connection is closed.
	Ended
	// Unknown: the router that took it was lost before its answer began. The request
	// may have run; its caller waits for an answer.
	Unknown
)

// String returns the outcome as it stands in logs.
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

// outgoing is a stream that was handed on.
type outgoing struct {
	clock  *clock.Clock
	send   Sender
	id     uint64
	to     string
	caller net.Conn
	// answers are what comes back, in order; lost is closed when nothing more can.
	answers chan *wire.ForwardData
	lost    chan struct{}
	once    sync.Once
	// left is closed when the caller has closed its connection, read when it is not
	// read from any more.
	left, read chan struct{}
	number     uint64
	// more is what the caller sent since the stream began, kept until its answer begins:
	// another router may have to be asked.
	more  []byte
	began bool
}

// mostKept bounds what is kept of a request's body.
const mostKept = 128 << 10

// slowCaller bounds one write to a caller.
const slowCaller = 10 * time.Second

// Forward hands a connection on with what was read from it, and passes on what comes
// either way until it ends, or until a time by which the caller has left.
func (f *Forwarder) Forward(caller net.Conn, first []byte, by table.Version, until time.Time) Result {
	did := Result{Read: first}
	for range tries {
		to, ok := f.choose(f.clock.Now(), did.To)
		if !ok {
			break
		}
		did.To = to
		o := f.newOutgoing(caller, to)
		o.send.Send(to, &wire.Forward{Stream: o.id, Edition: by.Edition, Revision: by.Revision, Data: did.Read})
		did.Outcome = o.run(until)
		f.forgetOut(o.id)
		if did.Outcome != NotTaken {
			return did
		}
		did.Read = append(did.Read, o.more...)
		f.noteBusy(to, f.clock.Now())
	}
	return did
}

// Result is what became of a connection that was to be handed on.
type Result struct {
	Outcome Outcome
	// To is the router that was asked last, "" if there was none to ask.
	To string
	// Read is all that has been read of the connection where nobody took it.
	Read []byte
}

func (f *Forwarder) newOutgoing(caller net.Conn, to string) *outgoing {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	o := &outgoing{
		clock: f.clock, send: f.send, id: f.lastID, to: to, caller: caller, answers: make(chan *wire.ForwardData, mostWaiting),
		lost: make(chan struct{}), left: make(chan struct{}), read: make(chan struct{}),
	}
	f.out[o.id] = o
	return o
}

func (f *Forwarder) forgetOut(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.out, id)
}

// take takes in what comes back. It does not wait.
func (o *outgoing) take(m *wire.ForwardData) {
	select {
	case o.answers <- m:
	default:
		o.end()
	}
}

// end ends a stream of which nothing more can come.
func (o *outgoing) end() { o.once.Do(func() { close(o.lost) }) }

// run passes on what comes either way until the stream ends.
func (o *outgoing) run(until time.Time) Outcome {
	// What was read before was bounded in time.
	_ = o.caller.SetReadDeadline(time.Time{})
	go o.readCaller()
	timeout := make(chan struct{})
	timer := o.clock.AfterFunc(o.clock.Until(until), func() { close(timeout) })
	defer timer.Stop()
	for n := uint64(1); ; n++ {
		select {
		case m := <-o.answers:
			if m.Refused && !o.began {
				o.stopReading()
				return NotTaken
			}
			if m.Seq != n || !o.pass(m) {
				return o.broken(true)
			}
			if m.Last {
				_ = o.caller.Close()
				return Ended
			}
			if n%takenEvery == 0 {
				o.send.Send(o.to, &wire.ForwardData{Stream: o.id, Acked: n})
			}
		case <-o.left:
			return o.broken(true)
		case <-o.lost:
			return o.broken(false)
		case <-timeout:
			return o.broken(true)
		}
	}
}

// pass writes what came back to the caller.
func (o *outgoing) pass(m *wire.ForwardData) bool {
	if len(m.Data) == 0 {
		return true
	}
	o.began = true
	if err := o.caller.SetWriteDeadline(time.Now().Add(slowCaller)); err != nil {
		return false
	}
	_, err := o.caller.Write(m.Data)
	return err == nil
}

// broken ends a stream before its end: the router that has it is told, if it can be, and
// an answer that has begun is cut off.
func (o *outgoing) broken(tell bool) Outcome {
	o.stopReading()
	if tell {
		o.number++
		o.send.Send(o.to, &wire.ForwardData{Stream: o.id, Seq: o.number, Last: true})
	}
	if o.began || o.hasLeft() {
		_ = o.caller.Close()
		return Ended
	}
	return Unknown
}

func (o *outgoing) hasLeft() bool {
	select {
	case <-o.left:
		return true
	default:
		return false
	}
}

// stopReading ends the task that reads from the caller.
func (o *outgoing) stopReading() {
	o.once.Do(func() { close(o.lost) })
	_ = o.caller.SetReadDeadline(time.Now())
	<-o.read
	_ = o.caller.SetReadDeadline(time.Time{})
}

// readCaller sends on what the caller still sends: the rest of a body, and that it leaves.
func (o *outgoing) readCaller() {
	defer close(o.read)
	buf := make([]byte, 512)
	for {
		n, err := o.caller.Read(buf)
		if len(o.more) < mostKept {
			o.more = append(o.more, buf[:n]...)
		}
		select {
		case <-o.lost:
			// The stream has ended: the reading was stopped, and the caller has not left.
			return
		default:
		}
		if n > 0 {
			o.number++
			o.send.Send(o.to, &wire.ForwardData{Stream: o.id, Seq: o.number, Data: append([]byte(nil), buf[:n]...)})
			if len(buf) < pieceSize {
				buf = make([]byte, pieceSize)
			}
		}
		if err != nil {
			close(o.left)
			return
		}
	}
}
