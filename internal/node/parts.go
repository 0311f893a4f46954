package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/metrics"
	"github.com/yarrowmast/yarrowmast/internal/tlsconf"
)

// listeners are the sockets of a router. The readiness listener is nil unless the settings
// configure its address.
type listeners struct{ callers, peers, admin, readiness net.Listener }

// noKeepAlive disables TCP keep-alive, which costs system calls for each connection. Callers'
// connections have timeouts for reads, writes and idle time.
var noKeepAlive = net.ListenConfig{KeepAlive: -1}

func listenAll(l config.Listen) (*listeners, error) {
	ls := &listeners{}
	for _, x := range []struct {
		name, address string
		ln            *net.Listener
	}{{"callers", l.Callers, &ls.callers}, {"peers", l.Peers, &ls.peers}, {"admin", l.Admin, &ls.admin}, {"readiness", l.Readiness, &ls.readiness}} {
		if x.address == "" {
			continue
		}
		lc := net.ListenConfig{}
		if x.ln == &ls.callers {
			lc = noKeepAlive
		}
		ln, err := lc.Listen(context.Background(), "tcp", x.address)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("listen for %s: %w", x.name, err), ls.close())
		}
		*x.ln = ln
	}
	return ls, nil
}

func (ls *listeners) addresses() []string {
	var list []string
	for _, ln := range []net.Listener{ls.callers, ls.peers, ls.admin, ls.readiness} {
		if ln != nil {
			list = append(list, ln.Addr().String())
		}
	}
	return list
}

func (ls *listeners) close() error {
	var errs []error
	for _, ln := range []net.Listener{ls.callers, ls.peers, ls.admin, ls.readiness} {
		if ln != nil {
			errs = append(errs, ln.Close())
		}
	}
	return errors.Join(errs...)
}

type tlsConfigs struct{ callers, peers, admin *tls.Config }

func loadTLS(s config.TLSAll) (t tlsConfigs, err error) {
	if t.callers, err = tlsconf.New(s.Callers); err != nil {
		return t, fmt.Errorf("tls for callers: %w", err)
	}
	if t.peers, err = tlsconf.New(s.Peers); err != nil {
		return t, fmt.Errorf("tls for peers: %w", err)
	}
	if t.admin, err = tlsconf.New(s.Admin); err != nil {
		return t, fmt.Errorf("tls for admin: %w", err)
	}
	return t, nil
}

// observers calls several observers and skips nil ones.
type observers []front.Observer

// RequestEnded implements front.Observer.
func (os observers) RequestEnded(o front.Outcome) {
	for _, ob := range os {
		if ob != nil {
			ob.RequestEnded(o)
		}
	}
}

const gaugeInterval = time.Second

// runGauges updates the metrics periodically until ctx is done.
func (n *Node) runGauges(ctx context.Context) {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.updateGauges()
		}
	}
}

func (n *Node) updateGauges() {
	p := n.Peers.Counters()
	callers := n.Front.Connections()
	n.setGauges(map[string]int64{
		metrics.OpenRequests:       n.Front.OpenRequests(),
		metrics.ReservedHeaders:    n.Front.ReservedDropped(),
		metrics.Connections:        int64(callers.Open),
		metrics.IdleConnections:    int64(callers.Idle),
		metrics.RefusedConnections: callers.Refused,
		metrics.EvictedConnections: callers.Evicted, metrics.UnansweredConnections: callers.Unanswered,
		metrics.PeerBytesOut: p.BytesOut.Load(),
		metrics.PeerBytesIn:  p.BytesIn.Load(),
		metrics.PeerMsgsOut:  p.MessagesOut.Load(),
		metrics.PeerMsgsIn:   p.MessagesIn.Load(),
		metrics.PeerDropped:  p.Dropped.Load(),
	})
	if n.Router != nil {
		n.updateRouterGauges()
	} else {
		n.updateDispatchGauges()
		n.updateWorkGauges()
	}
}

func (n *Node) updateRouterGauges() {
	s := n.Router.Status()
	n.setGauges(map[string]int64{
		metrics.Leases:        int64(s.Leases),
		metrics.IdleLeases:    int64(s.IdleLeases),
		metrics.Members:       int64(len(s.Members) + 1),
		metrics.PlatformCalls: n.Platform.Calls(),
	})
	for name, total := range s.Counts {
		n.metrics.Event(name, total)
	}
}

func (n *Node) updateDispatchGauges() {
	s := n.Dispatch.Status()
	limit, waiting := 0, 0
	for _, p := range s.PlainServers {
		limit += p.Limit
		waiting += p.Waiting
	}
	n.setGauges(map[string]int64{
		metrics.Members:            int64(len(s.Live) + 1),
		metrics.PlatformCalls:      s.Calls,
		metrics.TableRevision:      int64(s.Table),
		metrics.WaitingRequests:    int64(s.Waiting),
		metrics.OwnedServers:       int64(len(s.Owned)),
		metrics.EjectedServers:     int64(len(s.Ejected)),
		metrics.EjectedForAll:      int64(len(s.EjectedForAll)),
		metrics.CrashSuspects:      int64(s.SuspectCount),
		metrics.BlockedParts:       int64(s.BlockedParts),
		metrics.LeavingServers:     int64(len(s.Leaving)),
		metrics.BackingOffServers:  int64(len(s.BackingOff)),
		metrics.ClosedZones:        int64(len(s.ClosedZones)),
		metrics.WarmingServers:     int64(s.Warming),
		metrics.PredictedEvents:    s.FirstEvents,
		metrics.ExceededEvents:     s.FirstEventsExceeded,
		metrics.UnverifiedSeconds:  s.VerifiedMillisAgo / time.Second.Milliseconds(),
		metrics.UnusableEntries:    int64(s.UnusableCount),
		metrics.CachedPrefixTokens: s.CachedPrefixTokens,
		metrics.UnevenServers:      int64(s.Uneven),
		metrics.EngineCapacity:     s.EngineCapacity,
		metrics.FreeCapacity:       s.FreeEngineCapacity,
		metrics.CapacityOwners:     int64(s.CapacityOwners),
		metrics.CapacityShort:      boolToInt(s.CapacityShort),
		metrics.PlainLimit:         int64(limit),
		metrics.PlainWaiting:       int64(waiting),
		metrics.PlainDenied:        s.PlainDenied,
		metrics.PauseLimited:       int64(len(s.LimitedEngines)),
		metrics.LongPauses:         s.Pauses.Exceeded,
		metrics.StreamsKept:        s.Pauses.Kept,
		metrics.KnownStreams:       int64(s.Streams.Known),
		metrics.EvictedStreams:     s.Streams.Evicted,
		metrics.ResumedStreams:     s.Streams.Resumed,
		metrics.UnresumedStreams:   s.Streams.Refused,
		metrics.ReturnsPromised:    s.Returns.Promised,
		metrics.ReturnsKept:        s.Returns.Kept,
		metrics.ReturnsEarly:       s.Returns.Early,
		metrics.ReturnsMissed:      s.Returns.Missed,
		metrics.ReturnsDropped:     s.Returns.Dropped,
	})
	for reason, total := range s.UnusableTotal {
		n.metrics.Event("unusable_"+string(reason), total)
	}
}

// boolToInt returns 1 for true.
func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (n *Node) setGauges(values map[string]int64) {
	for name, v := range values {
		n.metrics.Gauge(name, float64(v))
	}
}

// readiness also reports overload while callers' connections are refused, so that load
// balancers choose another router.
type readiness struct {
	admin.Source
	front *front.Server
}

// Overloaded implements admin.Source.
func (r readiness) Overloaded() bool { return r.Source.Overloaded() || r.front.ConnectionsFull() }
