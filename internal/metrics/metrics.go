// Package metrics defines the metrics of a router and exports them to Prometheus.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/yarrowmast/yarrowmast/internal/front"
)

// The names of all metrics. A test compares them with docs/METRICS.md.
const (
	Requests           = "requests"
	Refusals           = "refusals"
	Tokens             = "tokens"
	Retries            = "retries"
	WaitSeconds        = "wait_seconds"
	FirstByteSeconds   = "first_byte_seconds"
	RequestSeconds     = "request_seconds"
	TableRevision      = "table_revision"
	TableChanges       = "table_changes"
	OpenRequests       = "open_requests"
	Leases             = "leases"
	IdleLeases         = "idle_leases"
	Members            = "members"
	PeerBytesOut       = "peer_bytes_out"
	PeerBytesIn        = "peer_bytes_in"
	PeerMsgsOut        = "peer_messages_out"
	PeerMsgsIn         = "peer_messages_in"
	PeerDropped        = "peer_messages_dropped"
	PlatformCalls      = "platform_calls"
	WaitingRequests    = "waiting_requests"
	OwnedServers       = "owned_backends"
	CachedPrefixTokens = "cached_prefix_tokens"
	UnevenServers      = "uneven_backends"
	EjectedServers     = "untrusted_backends"
	EjectedForAll      = "ejected_backends"
	CrashSuspects      = "crash_suspects"
	BlockedParts       = "blocked_parts"
	LeavingServers     = "leaving_backends"
	BackingOffServers  = "resting_backends"
	UnverifiedSeconds  = "unverified_seconds"
	ClosedZones        = "closed_zones"
	WarmingServers     = "warming_backends"
	UnusableEntries    = "unusable_entries"
	EngineCapacity     = "engine_capacity"
	FreeCapacity       = "free_engine_capacity"
	CapacityOwners     = "capacity_owners"
	CapacityShort      = "capacity_short"
	PlainLimit         = "plain_limit"
	PlainWaiting       = "plain_waiting_requests"
	PlainDenied        = "plain_denied_requests"
	PauseLimited       = "pause_limited_backends"
	LongPauses         = "long_pauses"
	StreamsKept        = "streams_without_long_pause"
	KnownStreams       = "known_streams"
	EvictedStreams     = "evicted_streams"
	ResumedStreams     = "resumed_streams"
	UnresumedStreams   = "unresumed_streams"
	ReservedHeaders    = "reserved_headers_dropped"
	Connections        = "caller_connections"
	IdleConnections    = "idle_caller_connections"
	RefusedConnections = "caller_connections_refused"
	EvictedConnections = "caller_connections_evicted"
	// UnansweredConnections were closed without a response to a request that had been read.
	UnansweredConnections = "caller_connections_unanswered"
	StreamEvents          = "stream_events_passed"
	// InvalidStreams were broken off for bytes that were no event of them.
	InvalidStreams   = "streams_invalid"
	CallerWrites     = "caller_sends"
	RefusedEarly     = "refused_unseen"
	ProcessorSeconds = "processor_seconds"
	LagSeconds       = "late_seconds"
	PredictedEvents  = "first_events_predicted"
	ExceededEvents   = "first_events_beyond_margin"
	ReturnsPromised  = "returns_promised"
	ReturnsKept      = "returns_kept"
	ReturnsEarly     = "returns_early"
	ReturnsMissed    = "returns_missed"
	ReturnsDropped   = "returns_dropped"
	Events           = "events"
)

// Names returns the names of all metrics.
func Names() []string {
	return []string{
		Requests, Refusals, Tokens, Retries, WaitSeconds, FirstByteSeconds, RequestSeconds, TableRevision,
		TableChanges, OpenRequests, Leases, IdleLeases, Members, PeerBytesOut, PeerBytesIn, PeerMsgsOut,
		PeerMsgsIn, PeerDropped, PlatformCalls, WaitingRequests, OwnedServers, CachedPrefixTokens, UnevenServers, EjectedServers, EjectedForAll, CrashSuspects, BlockedParts, LeavingServers, BackingOffServers, UnverifiedSeconds, ClosedZones, WarmingServers, UnusableEntries, EngineCapacity, FreeCapacity, CapacityOwners, CapacityShort, ReservedHeaders,
		PlainLimit, PlainWaiting, PlainDenied, PauseLimited, LongPauses, StreamsKept,
		KnownStreams, EvictedStreams, ResumedStreams, UnresumedStreams,
		Connections, IdleConnections, RefusedConnections, EvictedConnections, UnansweredConnections, StreamEvents, InvalidStreams, CallerWrites, RefusedEarly, ProcessorSeconds,
		LagSeconds, PredictedEvents, ExceededEvents, ReturnsPromised, ReturnsKept, ReturnsEarly, ReturnsMissed, ReturnsDropped, Events,
	}
}

// reportInterval is the interval at which tally updates the exported values.
const reportInterval = time.Second

const prefix = "yarrowmast"

// Metrics holds the metrics of a router.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
	// wait, total and first are the histograms of all requests.
	wait, total, first tally.Histogram

	mu sync.Mutex
	// accounts is the set of accounts with their own label.
	accounts map[string]bool
	// series caches the counters by label, since a lookup in scope is slow.
	series map[labels]*series
}

// labels are the labels of a request. code and verdict are "" for a success.
type labels struct{ account, model, code, verdict string }

// series holds the counters of requests with the same labels.
type series struct{ requests, tokens, retries, refusals tally.Counter }

// New returns metrics with the zone as a label.
func New(zone string) (*Metrics, error) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            map[string]string{"zone": zone},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,

		OmitCardinalityMetrics: true,
	}, reportInterval)
	buckets, err := tally.ExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	if err != nil {
		return nil, fmt.Errorf("metrics: buckets: %w", err)
	}
	return &Metrics{
		scope: scope, handler: reporter.HTTPHandler(), closer: closer, accounts: map[string]bool{}, series: map[labels]*series{},
		wait: scope.Histogram(WaitSeconds, buckets), total: scope.Histogram(RequestSeconds, buckets), first: scope.Histogram(FirstByteSeconds, buckets),
	}, nil
}

// The histogram buckets start at 1 ms and grow by bucketFactor.
const (
	firstBucket  = time.Millisecond
	bucketFactor = 1.8
	bucketCount  = 20
)

// Handler returns the handler for Prometheus scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close exports the last values and stops.
func (m *Metrics) Close() error { return m.closer.Close() }

const (
	// maxAccounts limits the accounts with their own label, to bound the number of series.
	// Later accounts share the label otherAccounts.
	maxAccounts   = 256
	otherAccounts = "(others)"
)

// label returns the label of an account. The caller holds m.mu.
func (m *Metrics) label(account string) string {
	if !m.accounts[account] {
		if len(m.accounts) >= maxAccounts {
			return otherAccounts
		}
		m.accounts[account] = true
	}
	return account
}

// RequestEnded implements front.Observer.
func (m *Metrics) RequestEnded(o front.Outcome) {
	s := m.seriesOf(o)
	if s.refusals != nil {
		s.refusals.Inc(1)
	}
	s.requests.Inc(1)
	s.tokens.Inc(o.Tokens)
	if o.Attempts > 1 {
		s.retries.Inc(int64(o.Attempts - 1))
	}
	m.wait.RecordDuration(o.Waited)
	m.total.RecordDuration(o.Total)
	if o.FirstByte > 0 {
		m.first.RecordDuration(o.FirstByte)
	}
}

// seriesOf returns the counters of a request.
func (m *Metrics) seriesOf(o front.Outcome) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := labels{account: m.label(o.Account), model: o.Model}
	if o.Code != "" {
		l.code, l.verdict = o.Code, o.Verdict
	}
	if s, ok := m.series[l]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"account": l.account, "model": l.model})
	s := &series{requests: scope.Counter(Requests), tokens: scope.Counter(Tokens), retries: scope.Counter(Retries)}
	if l.code != "" {
		s.refusals = scope.Tagged(map[string]string{"code": l.code, "verdict": l.verdict}).Counter(Refusals)
	}
	m.series[l] = s
	return s
}

// TableInForce implements router.Observer.
func (m *Metrics) TableInForce(revision uint64) {
	m.scope.Gauge(TableRevision).Update(float64(revision))
	m.scope.Counter(TableChanges).Inc(1)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

// Event sets the total of a named event.
func (m *Metrics) Event(name string, total int64) {
	m.scope.Tagged(map[string]string{"event": name}).Gauge(Events).Update(float64(total))
}
