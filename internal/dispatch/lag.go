package dispatch

import (
	"encoding/binary"
	"os"
	"time"
)

// lagEvery is the interval at which it is measured how late this process
// learns of what came to its sockets.
const lagInterval = 50 * time.Millisecond

// measureLag is the task that writes to a pipe and sees how late the other end
// hears of it: a process with too little time still runs its timers, but looks
// at its sockets late.
func (d *Dispatcher) measureLag() {
	r, w, err := os.Pipe()
	if err != nil {
		d.opt.log.Warn("lag_not_measured", "error", err)
		return
	}
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		d.writeLagProbes(w)
	}()
	defer func() { _ = r.Close() }()
	var buf [8]byte
	for {
		if _, err := r.Read(buf[:]); err != nil {
			return
		}
		sent := time.Duration(binary.LittleEndian.Uint64(buf[:]))
		d.post(lagEvent{time.Since(d.steadyStart) - sent})
	}
}

// writeLag writes the time into the pipe until the dispatcher ends.
func (d *Dispatcher) writeLagProbes(w *os.File) {
	defer func() { _ = w.Close() }()
	tick := time.NewTicker(lagInterval)
	defer tick.Stop()
	var buf [8]byte
	for {
		select {
		case <-d.ctx.Done():
			return
		case due := <-tick.C:
			at := due.Sub(d.steadyStart)
			binary.LittleEndian.PutUint64(buf[:], uint64(at))
			if _, err := w.Write(buf[:]); err != nil {
				return
			}
		}
	}
}

// lagEvent says how late this process heard of something.
type lagEvent struct{ by time.Duration }

func (e lagEvent) apply(s *state) { s.observeDelay(e.by) }
