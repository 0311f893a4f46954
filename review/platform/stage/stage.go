package stage

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Stage is one play of a case.
type Stage struct {
	// Root is the root of the repository, Dir a temporary folder, Trouble whether the disruption is played.
	Root, Dir string
	Trouble   bool
	Store     *Store
	Start     time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*Router
	workers []*Worker
	desks   []*Desk
}

// New begins a play whose record is written into the folder of the case.
func New(root, folder string, trouble bool) (*Stage, error) {
	dir, err := os.MkdirTemp("", "yarrowmast-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	s := &Stage{Root: root, Dir: dir, Trouble: trouble, Store: store, Start: time.Now(), record: record}
	s.Note("trouble played: %v", trouble)
	return s, nil
}

// Note writes a line into the record, with the time since the start.
func (s *Stage) Note(format string, args ...any) {
	s.NoteAt(time.Now(), format, args...)
}

// NoteAt writes a line on what happened at a time.
func (s *Stage) NoteAt(at time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", at.Sub(s.Start).Seconds(), fmt.Sprintf(format, args...))
}

// AddWorker starts a worker.
func (s *Stage) AddWorker(id, zone, service, version string, slots int) (*Worker, error) {
	w, err := StartWorker(s.Store, id, zone, service, version, slots)
	if err == nil {
		s.workers = append(s.workers, w)
		s.Note("worker %s of %s, version %s, starts in %s", id, service, version, zone)
	}
	return w, err
}

// AddDesk starts a plain worker.
func (s *Stage) AddDesk(id, zone, service string, work time.Duration) (*Desk, error) {
	d, err := StartDesk(s.Store, id, zone, service, work)
	if err == nil {
		s.desks = append(s.desks, d)
		s.Note("worker %s of %s starts in %s", id, service, zone)
	}
	return d, err
}

// AddRouter chooses the addresses of a router; it does not start it.
func (s *Stage) AddRouter(name, zone string) (*Router, error) {
	r, err := NewRouter(s.Root, s.Dir, name, zone)
	if err == nil {
		s.routers = append(s.routers, r)
	}
	return r, err
}

// Close ends all processes and stand-ins.
func (s *Stage) Close() {
	for _, r := range s.routers {
		r.Kill()
	}
	for _, w := range s.workers {
		w.Close()
	}
	for _, d := range s.desks {
		d.Close()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.Dir)
	}
}

// RecordTraffic writes what was sent, answered and run.
func (s *Stage) RecordTraffic(clients *Clients) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, a := range clients.Answers() {
		lines = append(lines, line{a.Sent, fmt.Sprintf("request %s is sent to %s", a.ID, s.nameOf(a.Router))})
		text := fmt.Sprintf("request %s ends: status %d, seal %q, %d events", a.ID, a.Status, a.Seal, a.Events)
		if a.Err != "" {
			text += ", broken off: " + a.Err
		}
		lines = append(lines, line{a.Sent.Add(a.Took), text})
	}
	for _, w := range s.workers {
		for _, x := range w.Arrivals() {
			lines = append(lines, line{x.At, fmt.Sprintf("request %s arrives at worker %s", x.ID, w.ID)})
		}
	}
	for _, d := range s.desks {
		for _, x := range d.Runs() {
			lines = append(lines, line{x.At, fmt.Sprintf("worker %s runs request %s", d.ID, x.ID)})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	for _, l := range lines {
		s.NoteAt(l.at, "%s", l.text)
	}
}

func (s *Stage) nameOf(address string) string {
	for _, r := range s.routers {
		if r.Callers == address {
			return r.Name
		}
	}
	return address
}

// MostPerSecond returns the most arrivals within a second that lies between two times, and when
// that second begins.
func MostPerSecond(arrivals []Arrival, from, to time.Time) (most int, at time.Time) {
	for i, first := range arrivals {
		if first.At.Before(from) || first.At.Add(time.Second).After(to) {
			continue
		}
		n := 0
		for _, x := range arrivals[i:] {
			if x.At.Sub(first.At) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first.At
		}
	}
	return most, at
}
