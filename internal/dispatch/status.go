package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// statusInterval is the interval of status updates.
const statusInterval = 250 * time.Millisecond

// Status is one router's state for operators.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Table is the revision in force, 0 before there is one.
	Table uint64 `json:"table"`
	// TableAgeMillis is how long it has been in force here.
	TableAgeMillis int64 `json:"table_age_ms"`
	// RefusedTable is the newest revision that this router read and could not use, 0 if there is
	// none in this epoch; Refusal is the reason.
	RefusedTable uint64 `json:"refused_table,omitempty"`
	Refusal      string `json:"refusal,omitempty"`
	// Epoch and AsOf are the platform revision up to which everything is known,
	// VerifiedMillisAgo the time since it was last confirmed as the newest, or since the start if
	// it never was.
	Epoch             uint64 `json:"epoch"`
	AsOf              uint64 `json:"as_of"`
	VerifiedMillisAgo int64  `json:"verified_ms_ago"`
	// PlainServers are the plain servers that this router owns and that have had requests.
	PlainServers []admit.PlainServer `json:"plain_servers,omitempty"`
	// PlainDenied counts the requests that were denied at plain servers owned here since the start.
	PlainDenied int64 `json:"plain_denied,omitempty"`
	// LimitedEngines are the engines owned here that are limited by the pauses of their streams.
	// Pauses counts the reports on pauses at the engines owned here since the start.
	LimitedEngines []admit.LimitedEngine `json:"pause_limited,omitempty"`
	Pauses         admit.PauseCounts     `json:"pauses"`
	// ReaderRank is the router's position in the order of platform readers, from 0.
	ReaderRank int64 `json:"reader_turn"`
	Draining   bool  `json:"draining"`
	// Live are the live routers. Relay is true if this one is a relay of its zone.
	Live  []string `json:"live"`
	Relay bool     `json:"relay"`
	// Primary is true if this router sends its zone's totals to other zones, Seed if others know it
	// from their settings.
	Primary bool `json:"primary_relay"`
	Seed    bool `json:"seed"`
	// Owned are the backend servers that this router owns.
	Owned []string `json:"owned"`
	// Backends is the use of the backend servers that are leaving or stopping, and of those that have
	// requests of this router, or are owned by it and have requests.
	Backends map[string]admit.BackendUse `json:"backends,omitempty"`
	// CachedPrefixTokens is the size of the prompt prefixes that these have, Uneven the number of
	// engines of the fleet whose speed class is not the average one.
	CachedPrefixTokens int64 `json:"cached_prefix_tokens"`
	Uneven             int   `json:"uneven"`
	// Ejected are the backend servers that this router ejected for their failures.
	Ejected []string `json:"untrusted"`
	// EjectedForAll are the engines that this router, as their owner, ejected for all routers.
	EjectedForAll []string `json:"ejected,omitempty"`
	// Leaving are the backend servers that announced their shutdown. BackingOff maps those
	// that asked this router to pause to the remaining milliseconds.
	Leaving    []string         `json:"leaving,omitempty"`
	BackingOff map[string]int64 `json:"resting_ms,omitempty"`
	// Suspects are the requests and parts of prompts with the most backend crashes, SuspectCount is the number
	// of requests tracked.
	Suspects     []Suspect `json:"suspects,omitempty"`
	SuspectCount int       `json:"suspect_count"`
	// BlockedParts counts the parts of prompts that are the likeliest cause of crashes.
	BlockedParts int `json:"blocked_parts"`
	// CrashesCleared counts the crashes that are no longer tracked, by reason.
	CrashesCleared map[suspect.Reason]int64 `json:"ends_cleared,omitempty"`
	// ClosedZones are the closed availability zones, Warming is the number of backend
	// servers that warm up.
	ClosedZones []string `json:"closed_zones"`
	Warming     int      `json:"warming"`
	// Unusable lists directory entries that the router cannot use; it may be truncated.
	// UnusableCount is their full number. UnusableTotal counts such entries since the
	// start, by reason.
	Unusable      []UnusableEntry          `json:"unusable,omitempty"`
	UnusableCount int                      `json:"unusable_count"`
	UnusableTotal map[catalog.Reason]int64 `json:"damaged,omitempty"`
	// FirstEvents counts the predicted first events at the backend servers owned here since the
	// start, FirstEventsExceeded those that arrived after the expected time and its margin.
	FirstEvents         int64 `json:"first_events_predicted"`
	FirstEventsExceeded int64 `json:"first_events_beyond_margin"`
	// EngineCapacity is what the engines that are known can do, in prompt tokens per second, and
	// FreeEngineCapacity the unused part of it. CapacityOwners is the number of routers that own them.
	EngineCapacity     int64 `json:"engine_capacity"`
	FreeEngineCapacity int64 `json:"free_engine_capacity"`
	CapacityOwners     int   `json:"capacity_owners"`
	// CapacityShort is true while the fleet is short of capacity, so that accounts are limited to shares.
	CapacityShort bool `json:"capacity_short"`
	// Waiting is the number of waiting requests.
	Waiting int `json:"waiting"`
	// Calls is the number of platform calls, 0 if the source does not count them.
	Calls int64 `json:"platform_calls"`
	// Streams counts the streams that callers may take up, and those that they took up here.
	Streams StreamCounts `json:"streams"`
	// Returns counts what became of the promised retries at the backend servers owned here.
	Returns returns.Counts `json:"returns"`
	// SuspendedMillis is how long the machine was suspended since the start.
	SuspendedMillis int64 `json:"suspended_ms"`
}

// Role names what the router does for others, besides owning backend servers.
func (st *Status) Role() string {
	switch {
	case st.Primary:
		return "primary-relay"
	case st.Relay:
		return "relay"
	case st.ReadsPlatform():
		return "reader"
	case st.Seed:
		return "seed"
	default:
		return "router"
	}
}

// ReadsPlatform reports whether the router watches the platform for others.
func (st *Status) ReadsPlatform() bool { return st.ReaderRank < watcherCount }

// callCounter is a Source that counts its calls.
type callCounter interface{ Calls() int64 }

func (s *state) publishStatus() {
	if s.now-s.statusAt < statusInterval {
		return
	}
	s.statusAt = s.now
	s.logEjections()
	st := &Status{
		Name: s.d.id.Name, Zone: s.d.id.Zone, Incarnation: s.d.id.Incarnation, Epoch: s.catalog.AsOf().Epoch, AsOf: s.catalog.AsOf().Number, ReaderRank: s.d.shared.readerRank.Load(),
		VerifiedMillisAgo: (s.now - s.verifiedAt()).Milliseconds(),
		Live:              s.roster.Live(s.now), Relay: s.peerPlan.Relay, Primary: s.peerPlan.Primary, Seed: s.d.isSeed(), Owned: s.core.Owned(), Waiting: s.core.Waiting(),
		ClosedZones: s.closedZones, Warming: s.core.Warming(), SuspendedMillis: s.suspended.Milliseconds(), Returns: s.core.ReturnCounts(),
	}
	predictions := s.core.Predictions()
	st.FirstEvents, st.FirstEventsExceeded = predictions.FirstEvents, predictions.Exceeded
	st.Unusable, st.UnusableCount = s.unusableEntries()
	st.UnusableTotal = s.catalog.UnusableTotals()
	st.Ejected = slices.Sorted(maps.Keys(s.ejected))
	st.EjectedForAll = slices.Sorted(maps.Keys(s.core.EjectedForAll()))
	st.CachedPrefixTokens, st.Uneven = s.core.CachedPrefixTokens(), s.core.Uneven()
	s.setBackendNotices(st)
	s.setCapacity(st)
	s.setPlainStatus(st)
	s.setPauseStatus(st)
	st.Streams = s.origins.counts()
	st.Suspects, st.SuspectCount = s.suspects()
	st.BlockedParts = s.core.BlockedParts()
	st.CrashesCleared = maps.Clone(s.clearedCrashes)
	if c, ok := s.d.source.(callCounter); ok {
		st.Calls = c.Calls()
	}
	st.Backends = s.core.BackendUses(s.now)
	s.setTableStatus(st)
	s.d.shared.status.Store(st)
}

// verifiedAt returns when the known revision was last confirmed as the newest, the start if it never was.
func (s *state) verifiedAt() time.Duration {
	if at := s.lastVerified(); at > 0 {
		return at
	}
	return clockStart
}

// setBackendNotices adds the backend servers that announced a shutdown or a pause.
func (s *state) setBackendNotices(st *Status) {
	leaving, backingOff := s.core.Notices()
	st.Leaving, st.BackingOff = leaving, make(map[string]int64, len(backingOff))
	for name, remaining := range backingOff {
		st.BackingOff[name] = remaining.Milliseconds()
	}
}

// logEjections logs which backend servers were ejected or readmitted since the last call.
func (s *state) logEjections() {
	current := s.core.Ejected()
	for name, e := range current {
		if _, before := s.ejected[name]; !before {
			s.d.opt.log.Warn("backend_untrusted", "backend", name, "failed_part", e.FailureRate, "strikes", e.Count)
		}
	}
	for name := range s.ejected {
		if _, still := current[name]; !still {
			s.d.opt.log.Info("backend_trusted", "backend", name)
		}
	}
	s.ejected = current
}

// State returns Status for the admin listener.
func (d *Dispatcher) State() any { return d.Status() }

// Status returns the last published status.
func (d *Dispatcher) Status() Status {
	st := Status{Name: d.id.Name, Zone: d.id.Zone, Incarnation: d.id.Incarnation}
	if p := d.shared.status.Load(); p != nil {
		st = *p
	}
	st.Draining = d.Draining()
	return st
}
