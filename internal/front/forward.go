package front

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Forwarder hands callers' connections on to other routers.
type Forwarder interface {
	Forward(caller net.Conn, first []byte, by table.Version, until time.Time) forward.Result
}

// WithForwarder sets what hands on the connections that this router has no time for.
func WithForwarder(f Forwarder) Option { return func(o *options) { o.forwarder = f } }

// errRouterLost is told the caller of a request that was handed on to a router which was
// lost before its answer began.
var errRouterLost = verdict.New(verdict.PhaseStream, http.StatusBadGateway, "router-lost",
	"the entry instance that worked on the request was lost; it may have run")

// CodeOverloaded is the code of a refusal for want of time: another router may have some.
const CodeOverloaded = "overloaded"

// forwardGrace is how long after its deadline a request that was handed on is given up.
const forwardGrace = 500 * time.Millisecond

// forward hands a connection on whose request this router has no time for. It returns all
// that was read of it, and why the request ends here, nil if it has been answered.
func (s *Server) forward(c *conn, h *head, all []byte, refusal *verdict.Error) ([]byte, *verdict.Error) {
	if s.opt.forwarder == nil || refusal.Code != CodeOverloaded || !s.scheduler.MayForward(h.request) {
		return all, refusal
	}
	begun := s.clock().Now()
	did := s.opt.forwarder.Forward(c, bytes.Clone(all), s.scheduler.Table().Version(), h.request.Deadline.Add(forwardGrace))
	s.opt.log.LogAttrs(context.Background(), slog.LevelInfo, "request_forwarded", slog.String("request", h.request.ID),
		slog.String("account", h.request.Account), slog.String("to", did.To), slog.String("outcome", did.Outcome.String()),
		slog.Int64("total_ms", s.clock().Since(begun).Milliseconds()))
	switch did.Outcome {
	case forward.Ended:
		return nil, nil
	case forward.Unknown:
		return did.Read, errRouterLost
	default:
		return did.Read, refusal
	}
}

// AcceptsForwarded implements forward.Server.
func (s *Server) AcceptsForwarded(by table.Version) bool {
	t := s.scheduler.Table()
	return t != nil && !by.NewerThan(t.Version()) && !s.scheduler.Shedding() && !s.scheduler.Overloaded() &&
		!s.leaving.Load() && !s.draining.Load() && !s.connections.crowded(s.callers.Load().MaxConnections)
}

// ServeForwarded implements forward.Server: it serves a connection that another router
// handed on. It ends with its first answer.
func (s *Server) ServeForwarded(nc net.Conn) {
	c := s.admitted(nc)
	if c == nil {
		return
	}
	c.forwarded = true
	s.current(nc.LocalAddr()).serveConn(c)
}
