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

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// A router that refuses much, for want of time or of the account's share, does so before
// a connection reaches the HTTP server: from the bytes of the request's head, without a map of its
// headers, a context, or tasks beside. What is not plain, and what is not refused, goes
// to the HTTP server as it came. The load that this answers is a flood of one account
// whose callers all come to one small router, each on a connection of its own: 1,500 to
// 2,200 refusals a second at 35 to 41 us each took the time for the account's own share.

const (
	// earlyHead is the largest request that is looked at: its head, and as much of its
	// body as came with it.
	earlyHead = 16 << 10
	// earlyBody is the largest body that is read to its end for an early refusal: to
	// close a connection with bytes unread would lose the answer.
	earlyBody = 64 << 10
	// earlyReads is in how many pieces a head may come.
	earlyReads = 2
	// earlyTime is how long a caller may take to send a head or a body. What takes
	// longer goes to the HTTP server, whose bounds hold then.
	earlyTime = time.Second
)

var earlyBuffers = sync.Pool{New: func() any { return new([earlyHead]byte) }}

// serveNew serves a new connection: refused early, or by the HTTP server.
func (s *Server) serveNew(c *conn, addr net.Addr) {
	if s.refusesEarly(c) {
		s.early.Add(1)
		go func() {
			defer s.early.Add(-1)
			s.lookAt(c, addr)
		}()
		return
	}
	s.current(addr).serveConn(c)
}

// refusesEarly reports whether a new connection's request is looked at before the HTTP
// server has it.
func (s *Server) refusesEarly(c *conn) bool {
	return s.scheduler.Shedding() && !c.refuse && s.opt.tls == nil && !s.leaving.Load() && !s.draining.Load()
}

// lookAt refuses a connection's first request where the scheduler says so, and gives all
// other connections to the HTTP server with what was read of them.
func (s *Server) lookAt(c *conn, addr net.Addr) {
	buf := earlyBuffers.Get().(*[earlyHead]byte)
	defer earlyBuffers.Put(buf)
	arrived := s.clock().Now()
	_ = c.Conn.SetReadDeadline(time.Now().Add(earlyTime))
	n, head := readHead(c.Conn, buf[:])
	if h, plain := s.plainHead(buf[:n], head); plain {
		if s.endEarly(c, h, buf, n, n-head, arrived) {
			return
		}
		c.screened = true
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.unread = bytes.Clone(buf[:n])
	s.current(addr).serveConn(c)
}

// readHead reads until a head is whole. It returns how many bytes came and how long the
// head is, 0 if it is not whole.
func readHead(c net.Conn, buf []byte) (n, head int) {
	for range earlyReads {
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

// head is what an early refusal needs of a request.
type head struct {
	request Request
	body    int
	stated  prompt
}

// plainHead reads a request's head. It reports false for whatever is not plain: the HTTP
// server and the rest of this package then find out what it is.
func (s *Server) plainHead(all []byte, length int) (*head, bool) {
	t := s.scheduler.Table()
	if length == 0 || t == nil {
		return nil, false
	}
	f, ok := s.plainFields(all[:length])
	if !ok || len(all)-length > f.body {
		return nil, false
	}
	route, ok := t.RouteFor(f.host, f.path)
	if !ok || route.Public || f.id == "" {
		return nil, false
	}
	return s.describeHead(t, route, f)
}

// describeHead makes out whose request it is and what it asks for.
func (s *Server) describeHead(t *table.Table, route *table.Route, f *fields) (*head, bool) {
	account, ok := accountOf(t, f.key)
	if !ok {
		return nil, false
	}
	stated, ok := statedTokens(f.tokens)
	if !ok {
		return nil, false
	}
	wait := boundedWait(f.deadline)
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return &head{
		request: Request{
			ID: f.id, Account: account.Name, Model: route.Pick(rand.Float64()), Deadline: s.clock().Now().Add(wait),
			Prompt: stated.tokens, Output: stated.output, Target: route.TargetLatency,
		},
		body: f.body, stated: stated,
	}, true
}

// endEarly refuses a request where the scheduler says so, or hands it on to a router with
// more time, and closes its connection. Of n bytes that were read, some are the body's.
func (s *Server) endEarly(c *conn, h *head, buf *[earlyHead]byte, n, body int, arrived time.Time) bool {
	err := s.scheduler.CheckAdmission(h.request)
	if err == nil {
		return false
	}
	all, err := s.forward(c, h, buf[:n], err)
	if err == nil {
		return true
	}
	s.refuseEarly(c, h, buf[:], body+len(all)-n, arrived, err)
	return true
}

// refuseEarly refuses a request of whose body so much came, and closes its connection.
func (s *Server) refuseEarly(c *conn, h *head, buf []byte, came int, arrived time.Time, err *verdict.Error) {
	s.requests.Add(1)
	a := &ask{id: h.request.ID, arrived: arrived, model: h.request.Model, route: &routing{prompt: h.stated}}
	a.account.Name = h.request.Account
	err = a.final(err)
	if drain(c.Conn, buf, h.body-came) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(earlyTime))
		// A caller that left does not hear of it; the line below tells of the refusal.
		_, _ = c.Conn.Write(appendRefusal(buf[:0], &s.opt.dialect, a.id, err))
	}
	_ = c.Close()
	out := Outcome{Account: h.request.Account, Model: a.model, Status: err.Status, Code: err.Code, Verdict: err.Verdict.String(), Total: s.clock().Since(arrived)}
	s.opt.observer.RequestEnded(out)
	s.log(a, &out)
}

// drain reads what is left of a body and reports whether all of it came.
func drain(c net.Conn, buf []byte, left int) bool {
	for left > 0 {
		n, err := c.Read(buf[:min(len(buf), left)])
		left -= n
		if err != nil {
			return left <= 0
		}
	}
	return true
}

// appendRefusal appends an answer that refuses a request and ends its connection, as
// writeProblem writes it.
func appendRefusal(b []byte, d *HeaderConfig, id string, e *verdict.Error) []byte {
	body, err := json.Marshal(problemOf(id, e))
	if err != nil {
		body = nil
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(e.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(e.Status)...)
	b = append(b, "\r\nCache-Control: no-store\r\nConnection: close\r\nContent-Type: application/problem+json"...)
	b = appendField(b, d.RequestID, id)
	if e.RetryAfter > 0 {
		b = appendField(b, "Retry-After", d.retryAfter(e.RetryAfter))
	}
	b = appendField(b, verdict.Header, e.Verdict.String())
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)+1), 10)
	b = append(b, headEnd...)
	b = append(b, body...)
	return append(b, '\n')
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, lineEnd...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}
