package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is a request that a plain worker ran, and its body, which it has entered.
type Entry struct {
	Arrival
	Body string
}

// Desk is a stand-in of a plain worker that speaks on its sockets itself, so that it can send more
// after a whole answer.
type Desk struct {
	ID, Zone string
	// Work is the time that a request takes.
	Work time.Duration

	service string
	store   *Store
	ln      net.Listener
	mu      sync.Mutex
	seq     int
	runs    []Entry
	// every is the number of answers of which one is followed by a second one, 0 for none. answers
	// counts the answers since it was set, extras the second answers that were sent.
	every, answers, extras int
	conns                  map[net.Conn]bool
	stop                   chan struct{}
}

// StartDesk starts a plain worker that keeps itself in the store.
func StartDesk(store *Store, id, zone, service string, work time.Duration) (*Desk, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("desk: %w", err)
	}
	d := &Desk{ID: id, Zone: zone, Work: work, service: service, store: store, ln: ln, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	go d.accept()
	d.writeEntry()
	go d.beat()
	return d, nil
}

func (d *Desk) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.writeEntry()
		case <-d.stop:
			return
		}
	}
}

func (d *Desk) writeEntry() {
	d.mu.Lock()
	d.seq++
	entry := map[string]any{
		"service": d.service, "address": d.ln.Addr().String(), "zone": d.Zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": d.seq,
	}
	d.mu.Unlock()
	d.store.Put("servers/"+d.ID, entry)
}

// SetExtra makes a second answer follow one of so many answers from now on, late: where the next one
// is due. With 0 there is none.
func (d *Desk) SetExtra(every int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.every, d.answers = every, 0
}

// Runs returns the requests that the worker ran.
func (d *Desk) Runs() []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Entry(nil), d.runs...)
}

// Extras returns how many second answers the worker sent.
func (d *Desk) Extras() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.extras
}

// Close ends the worker.
func (d *Desk) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.stop)
	_ = d.ln.Close()
	for c := range d.conns {
		_ = c.Close()
	}
}

func (d *Desk) accept() {
	for {
		c, err := d.ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
		go d.serve(c)
	}
}

// serve answers the requests of a connection in order.
func (d *Desk) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	owed := false
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if owed {
			// The answer too many: that of a worker that is full, as the platform's examples show it.
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nYarrowmast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			d.mu.Lock()
			d.extras++
			d.mu.Unlock()
		}
		if !d.answer(c, r, string(body)) {
			return
		}
		owed = d.owesExtra()
	}
}

// owesExtra counts an answer, and reports whether a second one follows.
func (d *Desk) owesExtra() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	return d.every > 0 && d.answers%d.every == 0
}

func (d *Desk) answer(c net.Conn, r *http.Request, entered string) bool {
	id := r.Header.Get("Yarrowmast-Attempt-Id")
	if expected := r.Header.Get("Yarrowmast-Expect-Instance"); expected != "" && expected != d.ID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nYarrowmast-Attempt-Id: %s\r\nYarrowmast-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, d.ID)
		return err == nil
	}
	d.mu.Lock()
	d.runs = append(d.runs, Entry{Arrival{id, time.Now()}, entered})
	d.mu.Unlock()
	time.Sleep(d.Work)
	body := "entered " + id + "\n"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nYarrowmast-Attempt-Id: %s\r\nYarrowmast-Response-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, d.ID, id, len(body), body)
	return err == nil
}
