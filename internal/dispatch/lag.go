package dispatch

import (
	"encoding/binary"
	"os"
	"time"
)

// lagInterval is the interval of lag measurements.
const lagInterval = 50 * time.Millisecond

// measureLag measures the delay between writing to a pipe and reading from it. A process that
// lacks processor time still runs its timers, but polls its sockets late.
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

// writeLagProbes writes the time into the pipe until the dispatcher is closed.
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

// lagEvent is a lag measurement.
type lagEvent struct{ lag time.Duration }

func (e lagEvent) apply(s *state) { s.observeLag(e.lag) }
