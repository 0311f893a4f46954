package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/origin"
	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The router at which a stream begins tells a few others which software began it, so that they can say so
// when it is lost or cannot be reached: two of its own zone, whose callers reach that zone again, and one
// in each of two others, for the loss of a zone.

const (
	// zoneReplicas is the number of other routers of the own zone that are told, remoteReplicas the number
	// of other zones of which one router is told.
	zoneReplicas   = 2
	remoteReplicas = 2
	// originSlack is how long after the deadline of its caller a stream is remembered, for requests that
	// were sent just before it.
	originSlack = 2 * time.Second
	// maxOriginTTL bounds how long a stream is remembered.
	maxOriginTTL = 10 * time.Minute
	// replicationInterval is the least interval at which streams are sent to routers that have joined.
	replicationInterval = 500 * time.Millisecond
	// originSweepInterval is the interval at which expired own streams are forgotten.
	originSweepInterval = 5 * time.Second
	// maxOriginsPerMessage bounds the streams in one message.
	maxOriginsPerMessage = 1000
)

// streamOrigins remembers what began streams, and finds it out for others.
type streamOrigins struct {
	store *origin.Store
	// own are the streams that began here, with the routers that were told.
	own map[origin.Key]*ownStream
	// routersByZone are the other routers, zones the zones that have some.
	routersByZone map[string][]string
	zones         []string
	// replicatedAt is when all own streams were last looked at, incomplete says that some routers may
	// have to be told of them since.
	replicatedAt time.Duration
	incomplete   bool
	queries      map[uint64]*originQuery
	lastSeq      uint64
	// outcomes counts the decisions on streams that callers take up.
	outcomes map[resumeOutcome]int64
}

// StreamCounts counts the streams whose origins a router remembers, and what became of those that callers
// took up there since its start.
type StreamCounts struct {
	Known    int                     `json:"known"`
	Evicted  int64                   `json:"evicted"`
	Resumed  int64                   `json:"resumed"`
	Refused  int64                   `json:"refused"`
	Outcomes map[resumeOutcome]int64 `json:"outcomes,omitempty"`
}

func (o *streamOrigins) counts() StreamCounts {
	c := StreamCounts{Known: o.store.Len(), Evicted: o.store.Evicted(), Outcomes: maps.Clone(o.outcomes)}
	for outcome, n := range o.outcomes {
		if outcome == resumeRecorded || outcome == resumeSoleVersion || outcome == resumePinned {
			c.Resumed += n
		} else {
			c.Refused += n
		}
	}
	return c
}

// ownStream is a stream that began at this router.
type ownStream struct {
	origin.Origin
	until  time.Duration
	sentTo []string
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{
		store: origin.New(origin.MaxStreams), own: map[origin.Key]*ownStream{}, queries: map[uint64]*originQuery{},
		outcomes: map[resumeOutcome]int64{},
	}
}

// StreamBegan implements front.Scheduler.
func (d *Dispatcher) StreamBegan(b front.StreamStart) { d.post(streamBeganEvent{b}) }

type streamBeganEvent struct{ front.StreamStart }

func (e streamBeganEvent) apply(s *state) {
	left := min(s.d.opt.clock.Until(e.Deadline)+originSlack, maxOriginTTL)
	key := origin.KeyOf(e.Account, e.Request)
	own := &ownStream{Origin: origin.Origin{Service: wire.HashName(e.Service), Software: e.Software}, until: s.now + left}
	s.origins.store.Add(s.now, key, own.Origin, own.until)
	if len(s.origins.own) < origin.MaxStreams {
		s.origins.own[key] = own
	}
	for _, to := range s.replicasOf(key) {
		s.d.transport.Send(to, &wire.StreamOrigins{Streams: []wire.StreamOrigin{own.message(key, s.now)}})
		own.sentTo = append(own.sentTo, to)
	}
}

// message returns what other routers are told of a stream.
func (o *ownStream) message(key origin.Key, now time.Duration) wire.StreamOrigin {
	m := originMessage(key, o.Origin)
	m.LeftMillis = (o.until - now).Milliseconds()
	return m
}

func originMessage(key origin.Key, o origin.Origin) wire.StreamOrigin {
	return wire.StreamOrigin{Key: uint64(key), Service: o.Service, Version: o.Software.Version, Unknown: o.Software.Unknown}
}

// originOf returns what a message of another router tells of a stream.
func originOf(m *wire.StreamOrigin) origin.Origin {
	if m.Unknown {
		return origin.Origin{Service: m.Service, Software: table.Software{Unknown: true}}
	}
	return origin.Origin{Service: m.Service, Software: table.Software{Version: table.CanonicalVersion(m.Version)}}
}

// addAll remembers streams that began at another router.
func (o *streamOrigins) addAll(now time.Duration, m *wire.StreamOrigins) {
	for i := range m.Streams {
		x := &m.Streams[i]
		left := min(time.Duration(x.LeftMillis)*time.Millisecond, maxOriginTTL)
		o.store.Add(now, origin.Key(x.Key), originOf(x), now+left)
	}
}

// setRouters replaces the routers that may remember streams.
func (o *streamOrigins) setRouters(routers []admit.Router) {
	o.routersByZone, o.zones = map[string][]string{}, nil
	for i := range routers {
		r := &routers[i]
		if o.routersByZone[r.Zone] == nil {
			o.zones = append(o.zones, r.Zone)
		}
		o.routersByZone[r.Zone] = append(o.routersByZone[r.Zone], r.Address)
	}
	o.incomplete = true
}

// replicasOf returns the routers that remember a stream that begins here. The choice depends on the stream and
// is the same at every router, so that they are found again.
func (s *state) replicasOf(key origin.Key) []string {
	o := s.origins
	replicas := rendezvous.OwnersHashed(uint64(key), o.routersByZone[s.d.id.Zone], zoneReplicas)
	remote := remoteReplicas
	for _, zone := range rendezvous.OwnersHashed(uint64(key), o.zones, remoteReplicas+1) {
		if zone != s.d.id.Zone && remote > 0 {
			replicas = append(replicas, rendezvous.OwnersHashed(uint64(key), o.routersByZone[zone], 1)...)
			remote--
		}
	}
	return replicas
}

// forgetRecipient notes that a router may have lost what it was told, so that it is told again.
func (o *streamOrigins) forgetRecipient(address string) {
	for _, own := range o.own {
		own.sentTo = slices.DeleteFunc(own.sentTo, func(to string) bool { return to == address })
	}
	o.incomplete = true
}

// replicateOrigins sends own streams to routers that have come to remember them, as others were lost or a
// partition ended, and forgets those that have expired.
func (s *state) replicateOrigins() {
	o := s.origins
	age := s.now - o.replicatedAt
	if !o.incomplete && age < originSweepInterval || age < replicationInterval {
		return
	}
	o.replicatedAt, o.incomplete = s.now, false
	maps.DeleteFunc(o.own, func(_ origin.Key, own *ownStream) bool { return own.until <= s.now })
	due := map[string][]wire.StreamOrigin{}
	for key, own := range o.own {
		for _, to := range s.replicasOf(key) {
			if !slices.Contains(own.sentTo, to) {
				own.sentTo = append(own.sentTo, to)
				due[to] = append(due[to], own.message(key, s.now))
			}
		}
	}
	for to, list := range due {
		for part := range slices.Chunk(list, maxOriginsPerMessage) {
			s.d.transport.Send(to, &wire.StreamOrigins{Streams: part})
		}
	}
}
