// Package judge records events of callers and stand-ins, to check what the routers cannot see
// themselves: how often each request ran, which requests waited, and which slots were idle meanwhile.
package judge

import (
	"sync"
	"time"
)

// Request is the state of one caller's request.
type Request struct {
	Account string
	Model   string
	// Zone is the availability zone of the router that received it.
	Zone string
	// NotRepeatable reports whether it must not run twice.
	NotRepeatable bool
	// Runs counts how often a stand-in started it.
	Runs  int
	ended bool
}

// Server is the state of one backend server.
type Server struct {
	Name  string
	Model string
	Zone  string
	Slots int
	// InFlight counts the requests that run or wait there, MaxInFlight is its maximum.
	InFlight    int
	MaxInFlight int
	// Draining reports whether operators marked it leaving or stopping.
	Draining bool
	// LastArrival is the arrival time of the last request.
	DrainingSince time.Time
	LastArrival   time.Time
}

// Point is the state of an account at a time: the tokens served so far, and whether requests wait.
type Point struct {
	At      time.Duration
	Tokens  float64
	Waiting bool
}

// Recorder is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	start    time.Time
	requests map[string]*Request
	servers  map[string]*Server
	// waiting and waitingByAccount count the requests that were sent and have not started.
	waiting          map[modelZone]int
	waitingByAccount map[string]int
	served           map[string]float64
	points           map[string][]Point
	partitioned      map[string]bool
	lastAdvance      time.Time
	busy             float64
	available        float64
	recording        bool
	cutStreams       int
}

type modelZone struct{ model, zone string }

// New returns a recorder, which measures nothing before SetRecording(true).
func New() *Recorder {
	now := time.Now()
	return &Recorder{
		start: now, lastAdvance: now,
		requests: map[string]*Request{}, servers: map[string]*Server{}, waiting: map[modelZone]int{},
		waitingByAccount: map[string]int{}, served: map[string]float64{}, points: map[string][]Point{}, partitioned: map[string]bool{},
	}
}

// AddServer adds a backend server.
func (rec *Recorder) AddServer(s Server) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.servers[s.Name] = &s
}

// SetRecording starts or ends the measured period.
func (rec *Recorder) SetRecording(on bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	rec.recording = on
}

// SetPartitioned records whether a zone is partitioned from the others.
func (rec *Recorder) SetPartitioned(zone string, partitioned bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	rec.partitioned[zone] = partitioned
}

// MarkDraining records that operators marked a backend server leaving or stopping.
func (rec *Recorder) MarkDraining(server string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	s := rec.servers[server]
	if s.Draining {
		return
	}
	s.Draining = true
	s.DrainingSince = time.Now()
	s.LastArrival = s.DrainingSince
}

// RequestSent records that a caller sent a request.
func (rec *Recorder) RequestSent(id string, r Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	rec.requests[id] = &r
	rec.addWaiting(&r, 1)
}

// RequestEnded records that the request ended for the caller, with any result.
func (rec *Recorder) RequestEnded(id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	r := rec.requests[id]
	if r != nil && !r.ended {
		r.ended = true
		if r.Runs == 0 {
			rec.addWaiting(r, -1)
		}
	}
}

// RequestArrived records that a request arrived at a backend server.
func (rec *Recorder) RequestArrived(server string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	s := rec.servers[server]
	s.InFlight++
	s.LastArrival = time.Now()
	if rec.recording {
		s.MaxInFlight = max(s.MaxInFlight, s.InFlight)
	}
}

// RequestStarted records that a backend server started to run a request.
func (rec *Recorder) RequestStarted(id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	r := rec.requests[id]
	if r == nil {
		return
	}
	r.Runs++
	if r.Runs == 1 && !r.ended {
		rec.addWaiting(r, -1)
	}
}

// TokensServed records tokens served for a request.
func (rec *Recorder) TokensServed(id string, tokens int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.requests[id]
	if r == nil {
		return
	}
	rec.served[r.Account] += float64(tokens)
	rec.addPoint(r.Account)
}

// StreamCut records that a stream ended early. Only streams of draining backend servers count.
func (rec *Recorder) StreamCut(server string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.servers[server].Draining {
		rec.cutStreams++
	}
}

// RequestLeft records that a request left a backend server.
func (rec *Recorder) RequestLeft(server string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	rec.servers[server].InFlight--
}

func (rec *Recorder) addWaiting(r *Request, n int) {
	rec.waiting[modelZone{r.Model, r.Zone}] += n
	rec.waitingByAccount[r.Account] += n
	rec.addPoint(r.Account)
}

func (rec *Recorder) addPoint(account string) {
	if !rec.recording {
		return
	}
	p := Point{At: time.Since(rec.start), Tokens: rec.served[account], Waiting: rec.waitingByAccount[account] > 0}
	rec.points[account] = append(rec.points[account], p)
}

// advance adds the time since its last call to the busy and available slot-seconds.
func (rec *Recorder) advance() {
	now := time.Now()
	elapsed := now.Sub(rec.lastAdvance).Seconds()
	rec.lastAdvance = now
	if !rec.recording {
		return
	}
	for _, s := range rec.servers {
		if s.Draining || !rec.hasWaiting(s) {
			continue
		}
		rec.available += elapsed * float64(s.Slots)
		rec.busy += elapsed * float64(min(s.InFlight, s.Slots))
	}
}

// hasWaiting reports whether requests wait that the server could run.
func (rec *Recorder) hasWaiting(s *Server) bool {
	for p, n := range rec.waiting {
		if n > 0 && p.model == s.Model && (p.zone == s.Zone || !rec.partitioned[p.zone] && !rec.partitioned[s.Zone]) {
			return true
		}
	}
	return false
}

// Result is the summary of what was recorded.
type Result struct {
	// Utilisation is busy over available slot-seconds while requests waited; 1 if none did.
	Utilisation float64
	// Overload is the maximum of requests in flight over slots.
	Overload float64
	// RunTwice counts non-repeatable requests that ran more than once.
	RunTwice int
	// CutStreams counts streams that a planned stop ended early.
	CutStreams int
	// NewWorkAfterLeave is the longest time from a mark to the last arrival.
	NewWorkAfterLeave time.Duration
	// Points are the states over time, by account.
	Points map[string][]Point
}

// Runs returns how often a request ran.
func (rec *Recorder) Runs(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if r := rec.requests[id]; r != nil {
		return r.Runs
	}
	return 0
}

// SlotSeconds returns the busy and the available slot-seconds so far.
func (rec *Recorder) SlotSeconds() (busy, available float64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	return rec.busy, rec.available
}

// Result returns the summary so far.
func (rec *Recorder) Result() Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.advance()
	f := Result{Utilisation: 1, Points: rec.points, CutStreams: rec.cutStreams}
	if rec.available > 0 {
		f.Utilisation = rec.busy / rec.available
	}
	for _, s := range rec.servers {
		f.Overload = max(f.Overload, float64(s.MaxInFlight)/float64(s.Slots))
		if s.Draining {
			f.NewWorkAfterLeave = max(f.NewWorkAfterLeave, s.LastArrival.Sub(s.DrainingSince))
		}
	}
	for _, r := range rec.requests {
		if r.NotRepeatable && r.Runs > 1 {
			f.RunTwice++
		}
	}
	return f
}
