package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that reached a worker and was not meant for another one.
type Arrival struct {
	ID string
	At time.Time
}

// Worker is a stand-in of a model worker.
type Worker struct {
	// ID is the worker's id, Zone its availability zone, Version that of its software.
	ID, Zone, Version string
	// FirstEvent is the time to the first event, Gap that between events, Events their number.
	FirstEvent, Gap time.Duration
	Events          int
	// FallsOverAt is the number of requests in a second at which the worker falls over while it is
	// cold, 0 for never. The first second after it has turned cold does not count.
	FallsOverAt int
	// CrashOn is the part of a prompt that ends the worker as it begins to answer, "" for none. OnCrash is
	// told the request. OnArrival, if set, is told each request that has the part.
	CrashOn            string
	OnCrash, OnArrival func(id string)

	service  string
	slots    int
	store    *Store
	ln       net.Listener
	http     *http.Server
	mu       sync.Mutex
	seq      int
	coldFrom time.Time
	coldTill time.Time
	arrivals []Arrival
	served   map[string]int
	unlisted bool
	fellOver time.Time
	running  int
	queued   int
	slotFree *sync.Cond
	stop     chan struct{}
}

// heartbeat is the time between two writes of a worker's entry.
const heartbeat = 1200 * time.Millisecond

// maxQueued is the number of requests that wait at a worker.
const maxQueued = 67

// StartWorker starts a worker that keeps itself in the store.
func StartWorker(store *Store, id, zone, service, version string, slots int) (*Worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("worker: %w", err)
	}
	w := &Worker{
		ID: id, Zone: zone, Version: version, served: map[string]int{}, FirstEvent: 30 * time.Millisecond, Gap: 10 * time.Millisecond, Events: 10,
		service: service, slots: slots, store: store, ln: ln, stop: make(chan struct{}),
	}
	w.slotFree = sync.NewCond(&w.mu)
	w.http = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.http.Serve(ln) }()
	w.writeEntry()
	go w.beat()
	return w, nil
}

// Address returns the IP address and port.
func (w *Worker) Address() string { return w.ln.Addr().String() }

func (w *Worker) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.writeEntry()
		case <-w.stop:
			return
		}
	}
}

// writeEntry writes the worker's entry, as every heartbeat does.
func (w *Worker) writeEntry() bool {
	w.mu.Lock()
	if w.unlisted {
		w.mu.Unlock()
		return false
	}
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.Address(), "zone": w.Zone, "version": w.Version, "slots": w.slots, "state": "ready",
		"coldLeftMs": w.coldLeft().Milliseconds(), "stage": "both", "seq": w.seq,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	}
	w.mu.Unlock()
	return w.store.Put("servers/"+w.ID, entry)
}

// coldLeft returns for how long the worker stays cold. The caller holds w.mu.
func (w *Worker) coldLeft() time.Duration { return max(0, time.Until(w.coldTill)) }

// TurnCold makes the worker cold for a time. Its health answers tell so from now on. It writes its
// entry at once, and reports whether the store took it.
func (w *Worker) TurnCold(d time.Duration) bool {
	w.mu.Lock()
	w.coldFrom = time.Now()
	w.coldTill = w.coldFrom.Add(d)
	w.mu.Unlock()
	return w.writeEntry()
}

// Unlist removes the worker's entry, as before a planned end of which it says nothing else. It serves on.
func (w *Worker) Unlist() {
	w.mu.Lock()
	w.unlisted = true
	w.mu.Unlock()
	w.store.Delete("servers/" + w.ID)
}

// Served returns how many events the worker sent for a request.
func (w *Worker) Served(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served[id]
}

// Arrivals returns the requests that arrived.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// FellOver returns when the worker fell over, zero if it did not.
func (w *Worker) FellOver() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fellOver
}

// Close ends the worker.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
	default:
		close(w.stop)
		_ = w.http.Close()
	}
}

// ServeHTTP answers health checks, reports and requests.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.answerHealth(out)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		w.mu.Lock()
		report := map[string]any{"stage": "both", "busy": false, "seq": 1, "waiting": w.queued, "running": w.running, "kvUsed": 0, "kvTotal": 700000, "handles": 0}
		w.mu.Unlock()
		answer(out, report)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Yarrowmast-Attempt-Id")
	out.Header().Set("Yarrowmast-Attempt-Id", id)
	if expected := r.Header.Get("Yarrowmast-Expect-Instance"); expected != "" && expected != w.ID {
		out.Header().Set("Yarrowmast-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.arrive(id) {
		panic(http.ErrAbortHandler)
	}
	deadly := w.CrashOn != "" && strings.Contains(r.Header.Get("Yarrowmast-Prompt-Prefix"), w.CrashOn)
	if deadly {
		w.OnArrival(id)
	}
	if !w.acquire() {
		out.Header().Set("Yarrowmast-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	if deadly {
		time.Sleep(w.FirstEvent)
		w.crash(id)
		panic(http.ErrAbortHandler)
	}
	w.run(out, r, id)
}

func (w *Worker) answerHealth(out http.ResponseWriter) {
	w.mu.Lock()
	left := w.coldLeft()
	w.mu.Unlock()
	out.Header().Set("Yarrowmast-Instance-Id", w.ID)
	if left > 0 {
		out.Header().Set("Yarrowmast-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	out.WriteHeader(http.StatusOK)
}

// crash ends the worker because of a request, once. Its entry is not written again.
func (w *Worker) crash(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
		return
	default:
	}
	close(w.stop)
	_ = w.http.Close()
	go w.OnCrash(id)
}

// arrive records a request. It returns false if the worker has fallen over.
func (w *Worker) arrive(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fellOver.IsZero() {
		return false
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, Arrival{id, now})
	if w.FallsOverAt == 0 || w.coldLeft() == 0 {
		return true
	}
	recent := 0
	for _, a := range w.arrivals {
		if now.Sub(a.At) < time.Second && a.At.Sub(w.coldFrom) >= time.Second {
			recent++
		}
	}
	if recent < w.FallsOverAt {
		return true
	}
	w.fellOver = now
	close(w.stop)
	go func() { _ = w.http.Close() }()
	return false
}

// acquire waits for a slot. It returns false if the queue is full.
func (w *Worker) acquire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots && w.queued >= maxQueued {
		return false
	}
	w.queued++
	for w.running >= w.slots {
		w.slotFree.Wait()
	}
	w.queued--
	w.running++
	return true
}

func (w *Worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.slotFree.Signal()
}

// run answers a request with a stream of events.
func (w *Worker) run(out http.ResponseWriter, r *http.Request, id string) {
	h := out.Header()
	h.Set("Yarrowmast-Response-Seal", "seal."+w.ID+"."+id)
	h.Set("Yarrowmast-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(out)
	pause := w.FirstEvent
	for i := first + 1; i <= w.Events; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		pause = w.Gap
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", i, id, i, w.Events)
		_ = control.Flush()
		w.mu.Lock()
		w.served[id]++
		w.mu.Unlock()
	}
}
