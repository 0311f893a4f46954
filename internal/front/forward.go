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

// Forwarder forwards callers' connections to other routers.
type Forwarder interface {
	Forward(caller net.Conn, head []byte, version table.Version, deadline time.Time) forward.Result
}

// WithForwarder sets the forwarder for connections that this router has no capacity for.
func WithForwarder(f Forwarder) Option { return func(o *options) { o.forwarder = f } }

// errRouterLost is the refusal when the router that accepted a forwarded request is lost
// before its response begins.
var errRouterLost = verdict.New(verdict.PhaseStream, http.StatusBadGateway, "router-lost",
	"the entry instance that worked on the request was lost; it may have run")

// CodeOverloaded is the code of refusals for lack of capacity. Such requests may be forwarded.
const CodeOverloaded = "overloaded"

// forwardGrace is the time after its deadline at which a forwarded request is abandoned.
const forwardGrace = 500 * time.Millisecond

// forward forwards a connection whose request was refused for lack of capacity, unless its caller has left. It returns all
// bytes read from the connection and the refusal to send, nil if the request was answered.
func (s *Server) forward(c *conn, early *earlyRequest, read []byte, refusal *verdict.Error) ([]byte, *verdict.Error) {
	if s.opt.forwarder == nil || refusal.Code != CodeOverloaded || !s.scheduler.MayForward(early.request) {
		return read, refusal
	}
	if hasLeft(c.Conn) {
		return read, refusal
	}
	start := s.clock().Now()
	result := s.opt.forwarder.Forward(c, bytes.Clone(read), s.scheduler.Table().Version(), early.request.Deadline.Add(forwardGrace))
	s.opt.log.LogAttrs(context.Background(), slog.LevelInfo, "request_forwarded", slog.String("request", early.request.ID),
		slog.String("account", early.request.Account), slog.String("to", result.To), slog.Bool("remote", result.Remote), slog.String("outcome", result.Outcome.String()), slog.String("reason", string(result.Reason)),
		slog.Uint64("messages", result.Messages), slog.Int64("idle_ms", result.Idle.Milliseconds()),
		slog.Int64("total_ms", s.clock().Since(start).Milliseconds()))
	switch result.Outcome {
	case forward.Ended:
		return nil, nil
	case forward.Unknown:
		return result.Read, errRouterLost
	default:
		return result.Read, refusal
	}
}

// AcceptsForwarded implements forward.Server.
func (s *Server) AcceptsForwarded(version table.Version) bool {
	t := s.scheduler.Table()
	return t != nil && !version.NewerThan(t.Version()) && !s.scheduler.Shedding() && !s.scheduler.Overloaded() &&
		!s.keepAlivesOff.Load() && !s.draining.Load() && !s.connections.nearLimit(s.limits.Load().MaxConnections)
}

// ServeForwarded implements forward.Server. The connection closes after its first response.
func (s *Server) ServeForwarded(nc net.Conn) {
	c := s.trackConn(nc)
	if c == nil {
		return
	}
	c.forwarded = true
	s.currentGeneration(nc.LocalAddr()).serveConn(c)
}
