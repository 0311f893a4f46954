package front

import (
	"net/http"
	"sync/atomic"
)

// reserved drops the headers that only the fleet may set on what it sends to
// backend servers. A backend server would obey them as the fleet's orders.
type reserved struct {
	// dropped counts the headers since the start.
	dropped atomic.Int64
	logged  throttle
}

// drop removes the reserved headers of a request and returns their names.
func (rs *reserved) drop(h http.Header, names []string) []string {
	var found []string
	for _, name := range names {
		if _, sent := h[http.CanonicalHeaderKey(name)]; !sent {
			continue
		}
		h.Del(name)
		found = append(found, name)
	}
	rs.dropped.Add(int64(len(found)))
	return found
}

// dropReserved removes what a caller may not set, before anything is read
// from the request, and logs it once in a while.
func (s *Server) dropReserved(r *http.Request) {
	found := s.reserved.drop(r.Header, s.opt.dialect.Reserved)
	if len(found) == 0 {
		return
	}
	if since, due := s.reserved.logged.due(s.clock().Now(), s.reserved.dropped.Load()); due {
		s.opt.log.Warn("reserved_headers_dropped", "request", r.Header.Get(s.opt.dialect.RequestID), "headers", found, "since_last", since)
	}
}

// ReservedDropped returns how many headers of callers were dropped since the
// start because only the fleet may set them.
func (s *Server) ReservedDropped() int64 { return s.reserved.dropped.Load() }
