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

// incoming is a stream that another router handed on.
type incoming struct {
	f    *Forwarder
	send Sender
	key  inKey
	pipe net.Conn
	// pieces are what the caller sent, in order; ended is closed with the stream.
	pieces chan *wire.ForwardData
	ended  chan struct{}
	once   sync.Once
	// taken is how many pieces of the answer have reached the caller, room a sign that
	// it has grown.
	taken atomic.Uint64
	room  chan struct{}
}

const (
	// window is how many pieces of an answer may be on their way to the caller: what a
	// caller that reads slowly makes two routers hold. takenEvery is how often the router
	// that has the caller says how many have reached it.
	window     = mostWaiting / 2
	takenEvery = window / 2
)

// accept takes a connection that another router hands on, unless there is no time for it
// here either.
func (f *Forwarder) accept(in peer.Inbound, m *wire.Forward, send Sender, front Server) {
	if !front.AcceptsForwarded(table.Version{Edition: m.Edition, Revision: m.Revision}) {
		send.Send(in.From, &wire.ForwardData{Stream: m.Stream, Response: true, Seq: 1, Refused: true, Last: true})
		return
	}
	near, far := net.Pipe()
	i := &incoming{
		f: f, send: send, key: inKey{in.From, in.Incarnation, m.Stream}, pipe: near,
		pieces: make(chan *wire.ForwardData, mostWaiting), ended: make(chan struct{}),
		room: make(chan struct{}, 1),
	}
	f.mu.Lock()
	f.in[i.key] = i
	f.mu.Unlock()
	go i.write(m.Data)
	go i.read()
	go front.ServeForwarded(far)
}

// take takes in what the caller sent. It does not wait.
func (i *incoming) take(m *wire.ForwardData) {
	if m.Acked > 0 {
		i.taken.Store(m.Acked)
		select {
		case i.room <- struct{}{}:
		default:
		}
		return
	}
	select {
	case i.pieces <- m:
	default:
		i.close()
	}
}

// close ends the stream, as if the caller had left.
func (i *incoming) close() {
	i.once.Do(func() {
		close(i.ended)
		_ = i.pipe.Close()
		i.f.mu.Lock()
		delete(i.f.in, i.key)
		i.f.mu.Unlock()
	})
}

// write passes on what the caller sent.
func (i *incoming) write(first []byte) {
	if _, err := i.pipe.Write(first); err != nil {
		return
	}
	for n := uint64(1); ; n++ {
		select {
		case m := <-i.pieces:
			if m.Last || m.Seq != n {
				i.close()
				return
			}
			if _, err := i.pipe.Write(m.Data); err != nil {
				return
			}
		case <-i.ended:
			return
		}
	}
}

// read sends back what is answered, collected for a while after the first piece.
func (i *incoming) read() {
	buf := make([]byte, pieceSize)
	for number := uint64(1); i.waitForRoom(number); number++ {
		n, err := i.pipe.Read(buf)
		m := &wire.ForwardData{Stream: i.key.stream, Response: true, Seq: number, Data: append([]byte(nil), buf[:n]...), Last: err != nil}
		select {
		case <-i.ended:
			// The caller has left, or its router: nobody waits for more.
			return
		default:
		}
		i.send.Send(i.key.from, m)
		if err != nil {
			i.close()
			return
		}
		i.pause()
	}
}

// waitForRoom waits until a piece may be sent back, and reports false if the stream ends
// meanwhile.
func (i *incoming) waitForRoom(number uint64) bool {
	for number > i.taken.Load()+window {
		select {
		case <-i.room:
		case <-i.ended:
			return false
		}
	}
	return true
}

// pause lets more of the answer come.
func (i *incoming) pause() {
	wait := i.f.gather()
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-i.ended:
	}
}
