package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a worker took: one with its own id, or with none.
type arrival struct {
	at  time.Time
	id  string
	ran bool
}

// worker is a stand-in of one start of a worker: it takes requests that name its id, and sends the
// others back unrun.
type worker struct {
	id, service string
	// version is that of its software, "" for v1.
	version string
	// events is the length of its streams, 0 for plain answers. pace is the time between events, or
	// the work of a plain request.
	events int
	pace   time.Duration
	// failing is the share of requests that it runs and answers with 500.
	failing float64
	slots   int

	play *play
	ln   net.Listener
	http *http.Server
	mu   sync.Mutex
	seen []arrival
}

// startWorker starts a worker at an address, "" for a free one.
func startWorker(p *play, w *worker, address string) error {
	if address == "" {
		var err error
		if address, err = freeAddress(); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.play, w.ln = p, ln
	w.http = &http.Server{Handler: w, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = w.http.Serve(ln) }()
	return nil
}

func (w *worker) address() string { return w.ln.Addr().String() }

// crash closes the listener and all connections.
func (w *worker) crash() { _ = w.http.Close() }

// entry is what the worker writes to the store about itself.
func (w *worker) entry(state string, coldLeft time.Duration) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address(), "zone": zone, "version": cmp.Or(w.version, "v1"), "slots": w.slots,
		"state": state, "coldLeftMs": coldLeft.Milliseconds(), "seq": 1,
	}
}

func (w *worker) note(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.at = time.Now()
	w.seen = append(w.seen, a)
	what := "runs"
	if !a.ran {
		what = "sends back"
	}
	w.play.record.say("worker %s %s %s", w.id, what, a.id)
}

// arrivals returns what the worker has taken so far.
func (w *worker) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.seen...)
}

// setFailing sets which share of its requests it fails.
func (w *worker) setFailing(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = share
}

// fails draws whether a request fails.
func (w *worker) fails() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.failing
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Yarrowmast-Attempt-Id")
	h := out.Header()
	h.Set("Yarrowmast-Attempt-Id", id)
	h.Set("Yarrowmast-Response-Seal", fmt.Sprintf("%s.%s", w.id, id))
	if expected := r.Header.Get("Yarrowmast-Expect-Instance"); expected != "" && expected != w.id {
		w.note(arrival{id: id})
		h.Set("Yarrowmast-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.note(arrival{id: id, ran: true})
	if w.events == 0 {
		time.Sleep(w.pace)
		if w.fails() {
			out.WriteHeader(http.StatusInternalServerError)
			return
		}
		h.Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(out, "answer to %s\n", id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= w.events; i++ {
		time.Sleep(w.pace)
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s piece %d of %s\n\n", i, cmp.Or(w.version, "v1"), i, id); err != nil {
			return
		}
		_ = control.Flush()
	}
}
