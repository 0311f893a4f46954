package front

import (
	"net/http"
	"sync/atomic"
)

// reservedHeaders removes headers that only routers may send to backend servers.
type reservedHeaders struct {
	// dropped counts the removed headers since the start.
	dropped     atomic.Int64
	logThrottle throttle
}

// drop removes the named headers and returns the names of those that were present.
func (rs *reservedHeaders) drop(h http.Header, names []string) []string {
	var dropped []string
	for _, name := range names {
		if _, sent := h[http.CanonicalHeaderKey(name)]; !sent {
			continue
		}
		h.Del(name)
		dropped = append(dropped, name)
	}
	rs.dropped.Add(int64(len(dropped)))
	return dropped
}

// dropReservedHeaders removes the reserved headers from a request and logs this, rate limited.
func (s *Server) dropReservedHeaders(r *http.Request) {
	dropped := s.reservedHeaders.drop(r.Header, s.opt.headers.Reserved)
	if len(dropped) == 0 {
		return
	}
	if added, due := s.reservedHeaders.logThrottle.due(s.clock().Now(), s.reservedHeaders.dropped.Load()); due {
		s.opt.log.Warn("reserved_headers_dropped", "request", r.Header.Get(s.opt.headers.RequestID), "headers", dropped, "since_last", added)
	}
}

// ReservedDropped returns the number of reserved headers removed from requests since the
// start.
func (s *Server) ReservedDropped() int64 { return s.reservedHeaders.dropped.Load() }
