package front

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/returns"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Early refusal: while the router sheds load, it checks new connections before they reach the
// HTTP server. It parses only the needed fields of the request head, which costs much less
// than net/http. Requests that this parser does not handle, and requests that are not refused,
// go to the HTTP server unchanged. This keeps the refusals of an overloading account from
// using up the processor time for other requests: 1,500 to 2,200 refusals a second at 35 to 41 us each
// by the HTTP server took the time for the requests of the account that were within its share.

const (
	// maxEarlyRequest bounds the bytes read for the check: the head and the part of the body
	// that arrived with it.
	maxEarlyRequest = 16 << 10
	// maxEarlyBody bounds the body of a request that is refused early. The body must be read
	// to its end: closing a connection with unread bytes can lose the response.
	maxEarlyBody = 64 << 10
	// maxEarlyReads is the number of reads in which the head must arrive.
	maxEarlyReads = 2
	// earlyTimeout bounds the time to send the head or the body. Slower connections go to the
	// HTTP server, which has its own timeouts.
	earlyTimeout = time.Second
)

var earlyBuffers = sync.Pool{New: func() any { return new([maxEarlyRequest]byte) }}

// serveAccepted serves a new connection, with the early check if it applies.
func (s *Server) serveAccepted(c *conn, addr net.Addr) {
	if s.checksEarly(c) {
		s.earlyConns.Add(1)
		go func() {
			defer s.earlyConns.Add(-1)
			s.checkEarly(c, addr)
		}()
		return
	}
	s.currentGeneration(addr).serveConn(c)
}

// checksEarly reports whether new connections are checked before the HTTP server gets them.
func (s *Server) checksEarly(c *conn) bool {
	return s.scheduler.Shedding() && !c.refuse && s.opt.tls == nil && !s.keepAlivesOff.Load() && !s.draining.Load()
}

// checkEarly refuses or forwards the connection's first request if the scheduler refuses it.
// Otherwise it passes the connection and the bytes read so far to the HTTP server.
func (s *Server) checkEarly(c *conn, addr net.Addr) {
	buf := earlyBuffers.Get().(*[maxEarlyRequest]byte)
	defer earlyBuffers.Put(buf)
	arrived := s.clock().Now()
	_ = c.Conn.SetReadDeadline(time.Now().Add(earlyTimeout))
	n, head := readHead(c, buf[:])
	s.connections.markActive(c)
	if early, ok := s.parseHead(buf[:n], head); ok {
		if s.rejectEarly(c, early, buf, n, n-head, arrived) {
			return
		}
		c.admissionChecked = true
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.buffered = bytes.Clone(buf[:n])
	s.currentGeneration(addr).serveConn(c)
}

// readHead reads until the end of the head. It returns the number of bytes read and the length
// of the head, 0 if the head is incomplete.
func readHead(c net.Conn, buf []byte) (n, head int) {
	for range maxEarlyReads {
		m, err := c.Read(buf[n:])
		n += m
		if i := bytes.Index(buf[:n], headEnd); i >= 0 {
			return n, i + len(headEnd)
		}
		if err != nil || n == len(buf) {
			break
		}
	}
	return n, 0
}

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// earlyRequest is a request as parsed for the early check.
type earlyRequest struct {
	request    Request
	route      *table.Route
	bodyLength int
	prompt     prompt
}

// parseHead parses a request head. It returns false for requests that the HTTP server must
// handle, valid or not.
func (s *Server) parseHead(data []byte, headLength int) (*earlyRequest, bool) {
	t := s.scheduler.Table()
	if headLength == 0 || t == nil {
		return nil, false
	}
	fields, ok := s.parseFields(data[:headLength])
	if !ok || len(data)-headLength > fields.contentLength {
		return nil, false
	}
	route, ok := t.RouteFor(fields.host, fields.path)
	if !ok || route.Public || fields.id == "" {
		return nil, false
	}
	return s.newEarlyRequest(t, route, fields)
}

// newEarlyRequest identifies the account and fills in the request for the scheduler.
func (s *Server) newEarlyRequest(t *table.Table, route *table.Route, fields *headFields) (*earlyRequest, bool) {
	account, ok := accountByKey(t, fields.key)
	if !ok {
		return nil, false
	}
	sizes, ok := parseTokens(fields.tokens)
	if !ok || fields.parts != "" && sizes.addParts(fields.parts, "") != nil {
		return nil, false
	}
	timeout := clampTimeout(fields.deadline)
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return &earlyRequest{
		request: Request{
			ID: fields.id, Account: account.Name, Model: route.Pick(rand.Float64()), Deadline: s.clock().Now().Add(timeout),
			Prompt: sizes.tokens, Shared: sizes.shared, Output: sizes.output, Target: route.TargetLatency,
			Route: route.Name, Regions: table.NewRegionSet(account.Regions).Intersect(table.NewRegionSet(route.Regions)),
			Prefix: sizes.prefix, Key: requestKey(account.Name, fields.path, fields.parts),
		},
		route: route, bodyLength: fields.contentLength, prompt: sizes,
	}, true
}

// rejectEarly asks the scheduler to admit the request and returns false if it does. Otherwise
// it forwards the connection to another router or refuses the request. n is the number of
// bytes read, bodyRead how many of them belong to the body.
func (s *Server) rejectEarly(c *conn, early *earlyRequest, buf *[maxEarlyRequest]byte, n, bodyRead int, arrived time.Time) bool {
	err := s.scheduler.CheckAdmission(early.request)
	if err == nil {
		return false
	}
	read, err := s.forward(c, early, buf[:n], err)
	if err == nil {
		return true
	}
	s.refuseEarly(c, early, buf[:], bodyRead+len(read)-n, arrived, err)
	return true
}

// refuseEarly refuses a request and closes its connection. bodyRead is the number of bytes of
// the body read so far.
func (s *Server) refuseEarly(c *conn, early *earlyRequest, buf []byte, bodyRead int, arrived time.Time, err *verdict.Error) {
	s.requests.Add(1)
	in := &inboundRequest{id: early.request.ID, arrived: arrived, model: early.request.Model, route: &routeState{Route: early.route, prompt: early.prompt}}
	in.account.Name = early.request.Account
	err = in.finalError(err)
	_ = c.SetReadDeadline(time.Now().Add(earlyTimeout))
	whole := discardBody(c, buf, early.bodyLength-bodyRead)
	_ = c.SetWriteDeadline(time.Now().Add(earlyTimeout))
	// Ignore write errors: the caller may have disconnected. The refusal is logged below.
	_, _ = c.Write(appendRefusal(buf[:0], &s.opt.headers, in.id, err))
	if !whole {
		lingerClose(c, buf)
	}
	_ = c.Close()
	outcome := Outcome{Account: early.request.Account, Model: in.model, Status: err.Status, Code: err.Code, Verdict: err.Verdict.String(), Total: s.clock().Since(arrived), RetryAfter: err.RetryAfter, Return: err.Return}
	s.opt.observer.RequestEnded(outcome)
	s.logEnd(in, &outcome)
}

// lingerClose reads what else the caller sends after a refusal, for a bounded time: closing a connection with
// unread bytes can lose the response.
func lingerClose(c *conn, buf []byte) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(earlyTimeout))
	discardBody(c, buf, maxEarlyBody)
}

// refuseStalled refuses a request whose header is late for a planned stop.
func (s *Server) refuseStalled(c *conn) {
	if s.opt.tls != nil {
		return
	}
	err := errDraining.WithReturn(returns.Elsewhere(s.limits.Load().Deadline, rand.Float64()))
	_ = c.SetWriteDeadline(time.Now().Add(earlyTimeout))
	// Ignore write errors: the caller may have disconnected.
	_, _ = c.Write(appendRefusal(nil, &s.opt.headers, "", err))
}

// discardBody reads the rest of a body and reports whether all of it arrived.
func discardBody(c net.Conn, buf []byte, remaining int) bool {
	for remaining > 0 {
		n, err := c.Read(buf[:min(len(buf), remaining)])
		remaining -= n
		if err != nil {
			return remaining <= 0
		}
	}
	return true
}

// appendRefusal appends the same response that writeProblem sends, with Connection: close.
func appendRefusal(b []byte, headers *HeaderConfig, id string, e *verdict.Error) []byte {
	body, err := json.Marshal(problemOf(id, e))
	if err != nil {
		body = nil
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(e.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(e.Status)...)
	b = append(b, "\r\nCache-Control: no-store\r\nConnection: close\r\nContent-Type: application/problem+json"...)
	b = appendHeader(b, headers.RequestID, id)
	if e.RetryAfter > 0 {
		b = appendHeader(b, "Retry-After", headers.retryAfter(e.RetryAfter))
	}
	b = appendHeader(b, verdict.Header, e.Verdict.String())
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)+1), 10)
	b = append(b, headEnd...)
	b = append(b, body...)
	return append(b, '\n')
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, lineEnd...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}
