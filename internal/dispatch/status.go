package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// statusEvery is the interval at which the status for operators is renewed.
const statusEvery = 250 * time.Millisecond

// Status is one router's state, for operators.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Table is the revision in force, 0 before there is one.
	Table uint64 `json:"table"`
	// Epoch and AsOf are the platform's revision up to which all is known, and
	// VerifiedMillisAgo how long ago that was known to be the newest.
	Epoch             uint64 `json:"epoch"`
	AsOf              uint64 `json:"as_of"`
	VerifiedMillisAgo int64  `json:"verified_ms_ago"`
	// ReaderRank is the router's position in the order of platform readers, from 0.
	ReaderRank int64 `json:"reader_turn"`
	Draining   bool  `json:"draining"`
	// Live are the routers that live, Relay says that this one is a relay of
	// its zone.
	Live  []string `json:"live"`
	Relay bool     `json:"relay"`
	// Owned are the backend servers that this router owns.
	Owned []string `json:"owned"`
	// Untrusted are the backend servers that this router does not trust.
	Untrusted []string `json:"untrusted"`
	// Leaving are the backend servers that announced their shutdown. BackingOff maps those
	// that asked this router to pause to the remaining milliseconds.
	Leaving    []string         `json:"leaving,omitempty"`
	BackingOff map[string]int64 `json:"resting_ms,omitempty"`
	// Suspects are the requests with the most backend terminations, SuspectCount is the
	// number of requests tracked.
	Suspects     []Suspect `json:"suspects,omitempty"`
	SuspectCount int       `json:"suspect_count"`
	// TerminationsCleared counts the backend terminations that are no longer tracked, by
	// reason.
	TerminationsCleared map[suspect.Reason]int64 `json:"ends_cleared,omitempty"`
	// ClosedZones are the availability zones that operators have closed, Warming how
	// many backend servers warm up.
	ClosedZones []string `json:"closed_zones"`
	Warming     int      `json:"warming"`
	// Unusable lists directory entries that the router cannot use; it may be truncated.
	// UnusableCount is their full number. UnusableTotal counts such entries since the
	// start, by reason.
	Unusable      []UnusableEntry          `json:"unusable,omitempty"`
	UnusableCount int                      `json:"unusable_count"`
	UnusableTotal map[catalog.Reason]int64 `json:"damaged,omitempty"`
	// Waiting is how many requests wait.
	Waiting int `json:"waiting"`
	// Calls is how many calls of the platform were made, 0 if its source does
	// not tell.
	Calls int64 `json:"platform_calls"`
	// SuspendedMillis is for how long the machine was suspended since the start.
	SuspendedMillis int64 `json:"suspended_ms"`
}

// counter is a Source that counts its calls.
type counter interface{ Calls() int64 }

func (s *state) publish() {
	if s.now-s.status < statusEvery {
		return
	}
	s.status = s.now
	s.logTrust()
	st := &Status{
		Name: s.d.id.Name, Zone: s.d.id.Zone, Incarnation: s.d.id.Incarnation, Epoch: s.catalog.AsOf().Epoch, AsOf: s.catalog.AsOf().Number, ReaderRank: s.d.shared.turn.Load(),
		VerifiedMillisAgo: (s.now - time.Duration(s.d.shared.verified.Load())).Milliseconds(),
		Live:              s.roster.Live(s.now), Relay: s.talk.Relay, Owned: s.core.Owned(), Waiting: s.core.Waiting(),
		ClosedZones: s.closed, Warming: s.core.Warming(), SuspendedMillis: s.suspended.Milliseconds(),
	}
	st.Unusable, st.UnusableCount = s.unusableEntries()
	st.UnusableTotal = s.catalog.UnusableTotals()
	st.Untrusted = slices.Sorted(maps.Keys(s.untrusted))
	s.publishWords(st)
	st.Suspects, st.SuspectCount = s.suspects()
	st.TerminationsCleared = maps.Clone(s.cleared)
	if c, ok := s.d.source.(counter); ok {
		st.Calls = c.Calls()
	}
	if v := s.catalog.View(); v != nil {
		st.Table = v.Revision
	}
	s.d.shared.status.Store(st)
}

// publishWords tells which backend servers leave or rest by their own word.
func (s *state) publishWords(st *Status) {
	leaving, resting := s.core.Notices()
	st.Leaving, st.BackingOff = leaving, make(map[string]int64, len(resting))
	for name, left := range resting {
		st.BackingOff[name] = left.Milliseconds()
	}
}

// logTrust logs which backend servers this router has ceased or begun again to
// trust.
func (s *state) logTrust() {
	now := s.core.Ejected()
	for name, u := range now {
		if _, before := s.untrusted[name]; !before {
			s.d.opt.log.Warn("backend_untrusted", "backend", name, "failed_part", u.FailureRate, "strikes", u.Count)
		}
	}
	for name := range s.untrusted {
		if _, still := now[name]; !still {
			s.d.opt.log.Info("backend_trusted", "backend", name)
		}
	}
	s.untrusted = now
}

// State is the router's state for operators.
func (d *Dispatcher) State() any { return d.Status() }

// Status is the same.
func (d *Dispatcher) Status() Status {
	st := Status{Name: d.id.Name, Zone: d.id.Zone, Incarnation: d.id.Incarnation}
	if p := d.shared.status.Load(); p != nil {
		st = *p
	}
	st.Draining = d.Draining()
	return st
}
