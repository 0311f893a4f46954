// Package judge watches callers and stand-ins at once, and so knows what the
// routers cannot: which request really ran where, who waited, and which slots
// were idle meanwhile.
package judge

import (
	"sync"
	"time"
)

// Request is what is known of one request of a caller.
type Request struct {
	Account string
	Model   string
	// Zone is the availability zone of the router it was sent to.
	Zone string
	// NotRepeatable says that it must not run twice.
	NotRepeatable bool
	// Runs is how often a stand-in began it.
	Runs  int
	ended bool
}

// Server is what is known of one backend server.
type Server struct {
	Name  string
	Model string
	Zone  string
	Slots int
	// InFlight is what runs or queues there now, Most the greatest ever.
	InFlight    int
	MaxInFlight int
	// Draining says that operators marked it leaving or stopping.
	Draining bool
	// DrainingSince and LastStart give how long new work went on coming.
	DrainingSince time.Time
	LastArrival   time.Time
}

// Point is an account's state at a moment: its cumulative service and whether
// it has work waiting.
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
	// waiting counts requests that were sent and have not begun, by model
	// and zone and by account.
	waiting   map[place]int
	accounts  map[string]int
	served    map[string]float64
	points    map[string][]Point
	cut       map[string]bool
	last      time.Time
	busy      float64
	available float64
	counting  bool
	cutShort  int
}

type place struct{ model, zone string }

// New returns a judge that counts nothing until Count is called.
func New() *Recorder {
	now := time.Now()
	return &Recorder{
		start: now, last: now,
		requests: map[string]*Request{}, servers: map[string]*Server{}, waiting: map[place]int{},
		accounts: map[string]int{}, served: map[string]float64{}, points: map[string][]Point{}, cut: map[string]bool{},
	}
}

// AddServer makes a backend server known.
func (j *Recorder) AddServer(s Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.servers[s.Name] = &s
}

// SetRecording starts or ends the time that is measured.
func (j *Recorder) SetRecording(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	j.counting = on
}

// SetPartitioned says whether a zone is cut off from the others.
func (j *Recorder) SetPartitioned(zone string, cut bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	j.cut[zone] = cut
}

// MarkDraining says that operators marked a backend server leaving or stopping.
func (j *Recorder) MarkDraining(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	s := j.servers[server]
	if s.Draining {
		return
	}
	s.Draining = true
	s.DrainingSince = time.Now()
	s.LastArrival = s.DrainingSince
}

// RequestSent says that a caller sent a request.
func (j *Recorder) RequestSent(id string, r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	j.requests[id] = &r
	j.wait(&r, 1)
}

// RequestEnded says that the caller has its answer, whatever it is.
func (j *Recorder) RequestEnded(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	r := j.requests[id]
	if r != nil && !r.ended {
		r.ended = true
		if r.Runs == 0 {
			j.wait(r, -1)
		}
	}
}

// RequestArrived says that a request reached a backend server.
func (j *Recorder) RequestArrived(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	s := j.servers[server]
	s.InFlight++
	s.LastArrival = time.Now()
	if j.counting {
		s.MaxInFlight = max(s.MaxInFlight, s.InFlight)
	}
}

// RequestStarted says that a backend server began a request.
func (j *Recorder) RequestStarted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	r := j.requests[id]
	if r == nil {
		return
	}
	r.Runs++
	if r.Runs == 1 && !r.ended {
		j.wait(r, -1)
	}
}

// TokensServed says that a request was served tokens.
func (j *Recorder) TokensServed(id string, tokens int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		return
	}
	j.served[r.Account] += float64(tokens)
	j.point(r.Account)
}

// StreamCut says that a request's stream ended before its end. It counts if
// the backend server was marked for a planned stop.
func (j *Recorder) StreamCut(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.servers[server].Draining {
		j.cutShort++
	}
}

// RequestLeft says that a request left a backend server.
func (j *Recorder) RequestLeft(server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	j.servers[server].InFlight--
}

func (j *Recorder) wait(r *Request, n int) {
	j.waiting[place{r.Model, r.Zone}] += n
	j.accounts[r.Account] += n
	j.point(r.Account)
}

func (j *Recorder) point(account string) {
	if !j.counting {
		return
	}
	p := Point{At: time.Since(j.start), Tokens: j.served[account], Waiting: j.accounts[account] > 0}
	j.points[account] = append(j.points[account], p)
}

// advance adds the time since the last event to the slots' account.
func (j *Recorder) advance() {
	now := time.Now()
	dt := now.Sub(j.last).Seconds()
	j.last = now
	if !j.counting {
		return
	}
	for _, s := range j.servers {
		if s.Draining || !j.workFor(s) {
			continue
		}
		j.available += dt * float64(s.Slots)
		j.busy += dt * float64(min(s.InFlight, s.Slots))
	}
}

// workFor reports whether work waits that the server could do.
func (j *Recorder) workFor(s *Server) bool {
	for p, n := range j.waiting {
		if n > 0 && p.model == s.Model && (p.zone == s.Zone || !j.cut[p.zone] && !j.cut[s.Zone]) {
			return true
		}
	}
	return false
}

// Result is what the judge saw.
type Result struct {
	// Utilisation is 1 if no work ever waited.
	Utilisation float64
	// Overload is the greatest in flight over the slots.
	Overload float64
	// RunTwice counts requests not to be repeated that ran again.
	RunTwice int
	// CutStreams counts streams that a planned stop cut.
	CutStreams int
	// NewWorkAfterLeave is the longest time from a mark to the last start.
	NewWorkAfterLeave time.Duration
	// Points are the accounts' states over time.
	Points map[string][]Point
}

// Runs reports how often a request ran.
func (j *Recorder) Runs(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil {
		return r.Runs
	}
	return 0
}

// SlotSeconds returns the busy and the available slot-seconds so far.
func (j *Recorder) SlotSeconds() (busy, available float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	return j.busy, j.available
}

// Result returns what was seen so far.
func (j *Recorder) Result() Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.advance()
	f := Result{Utilisation: 1, Points: j.points, CutStreams: j.cutShort}
	if j.available > 0 {
		f.Utilisation = j.busy / j.available
	}
	for _, s := range j.servers {
		f.Overload = max(f.Overload, float64(s.MaxInFlight)/float64(s.Slots))
		if s.Draining {
			f.NewWorkAfterLeave = max(f.NewWorkAfterLeave, s.LastArrival.Sub(s.DrainingSince))
		}
	}
	for _, r := range j.requests {
		if r.NotRepeatable && r.Runs > 1 {
			f.RunTwice++
		}
	}
	return f
}
