package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// awaited; a longer one is written beside, since a backend server may
	// answer before it has read it.
	inlineBody = 4 << 10
	// maxStray is how many answers to other requests are passed over.
	maxStray = 3
	// maxStrayBody bounds the body of such an answer.
	maxStrayBody = 1 << 20
)

var (
	errNotStarted = errors.New("backend: the lease ran out before the first byte")
	errStray      = errors.New("backend: too many answers to other requests")
	errSilent     = errors.New("backend: nothing came for too long")
	errUnproven   = errors.New("backend: the answer is not the backend server's own")
)

// exchange is the state of one call.
type exchange struct {
	client *Client
	call   Call
	sink   Sink
	conn   *conn
	result Result
	// written delivers the end of the writing, once.
	written chan error
	// reuse says that the answer ended where the next one may begin.
	reuse bool
	// silent is set when the connection was closed for its silence.
	silence *silence
	// calledOff returns why the call itself has ended, nil while it has not.
	calledOff func() error
}

func (x *exchange) run(ctx context.Context) {
	x.calledOff = func() error { return context.Cause(ctx) }
	if x.call.MayStart != nil && !x.call.MayStart() {
		x.notStarted()
		return
	}
	conn, err := x.client.conns.take(ctx, &x.call)
	if err != nil {
		x.unreached("the backend server could not be reached", err)
		return
	}
	x.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() && x.reuse && x.writtenWhole() {
			x.client.conns.put(&x.call, conn)
			return
		}
		x.client.conns.drop(x.call.connKey(), conn)
	}()
	x.exchange()
}

func (x *exchange) notStarted() {
	x.fail(verdict.PhaseDial, http.StatusServiceUnavailable, "lease-expired", "the lease ran out before the request was sent", errNotStarted)
}

func (x *exchange) exchange() {
	if x.call.MayStart != nil && !x.call.MayStart() {
		x.notStarted()
		return
	}
	if err := x.send(); err != nil && !x.result.Sent {
		x.unreached("the connection was closed before the request was sent", err)
		return
	}
	key := x.call.connKey()
	h := x.client.hearings.use(key)
	defer x.client.hearings.leave(key, h)
	x.silence = watchSilence(x.client.opt.clock, x.conn, h, x.client.opt.idle, x.call.Failover)
	defer x.silence.stop()
	resp, err := x.receive()
	if err != nil {
		x.failBeforeAnswer(err)
		return
	}
	x.silence.heard()
	defer func() { _ = resp.Body.Close() }()
	x.result.Status = resp.StatusCode
	x.conn.learnKeepAlive(resp.Header)
	x.answer(resp)
	x.reuse = x.result.Err == nil && !resp.Close && x.conn.reader.Buffered() == 0
}

// send writes the request. A long body is written by a task of its own.
func (x *exchange) send() error {
	head := x.head()
	x.written = make(chan error, 1)
	if len(x.call.Body) <= inlineBody {
		err := x.write(append(head, x.call.Body...))
		x.written <- err
		return err
	}
	if err := x.write(head); err != nil {
		x.written <- err
		return err
	}
	go func() {
		_, err := x.conn.Write(x.call.Body)
		x.written <- err
	}()
	return nil
}

// write writes the first bytes. Only if the network took none of them is the
// request known not to have been sent.
func (x *exchange) write(p []byte) error {
	n, err := x.conn.Write(p)
	x.result.Sent = n > 0
	return err
}

// writtenWhole reports whether the whole request was written. It does not
// wait: after an early answer, the rest of the body is due on the connection.
func (x *exchange) writtenWhole() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// head returns the request's first line and header.
func (x *exchange) head() []byte {
	h := x.call.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeHopHeaders(h)
	h.Del("Content-Length")
	h.Del("Host")
	x.setHeaders(h)
	var buf bytes.Buffer
	host := x.call.Host
	if host == "" {
		host = x.call.Address
	}
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.call.Method, x.call.Path, host)
	_ = h.Write(&buf)
	if len(x.call.Body) > 0 || x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(x.call.Body))
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}

func (x *exchange) setHeaders(h http.Header) {
	d := &x.client.opt.dialect
	set(h, d.RequestID, x.call.RequestID)
	if x.call.MayStream && !x.call.Opaque {
		set(h, d.Priority, formatPriority(x.call.Priority))
	}
	setOrDrop(h, d.Account, x.call.Account)
	setOrDrop(h, d.Instance, x.call.Instance)
	setOrDrop(h, d.CopyPrefixFrom, x.call.CopyPrefixFrom)
	if !x.call.Deadline.IsZero() {
		set(h, d.Deadline, strconv.FormatInt(max(1, x.client.opt.clock.Until(x.call.Deadline).Milliseconds()), 10))
	}
	if x.call.LastEvent > 0 {
		set(h, d.LastEvent, strconv.FormatUint(x.call.LastEvent, 10))
	}
}

// receive reads the answer's header. Late answers to other requests may come
// first; the id tells.
func (x *exchange) receive() (*http.Response, error) {
	req := &http.Request{Method: x.call.Method}
	for range maxStray {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := resp.Header.Get(x.client.opt.dialect.RequestID)
		if id == "" || id == x.call.RequestID || !x.conn.kept {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
		_ = resp.Body.Close()
		if err != nil || n == maxStrayBody || resp.Close {
			return nil, errors.Join(errStray, err)
		}
	}
	return nil, errStray
}

// unreached notes that no byte could be sent.
func (x *exchange) unreached(detail string, err error) {
	if x.wasCalledOff(verdict.PhaseDial, err) {
		return
	}
	x.result.Unreachable = true
	x.fail(verdict.PhaseDial, http.StatusBadGateway, "backend-unreachable", detail, err)
}

// failBeforeAnswer finds the verdict of a call that got no response header.
func (x *exchange) failBeforeAnswer(err error) {
	if x.silent() || x.wasCalledOff(verdict.PhaseHeader, err) {
		return
	}
	x.fail(verdict.PhaseHeader, http.StatusBadGateway, "backend-broke", "the connection broke before the backend server answered", err)
}

// wasCalledOff notes that the caller left or the deadline passed, if that is so: the
// connection is closed then, which says nothing of the backend server.
func (x *exchange) wasCalledOff(phase verdict.Phase, err error) bool {
	switch why := x.calledOff(); {
	case why == nil:
		return false
	case errors.Is(why, context.DeadlineExceeded):
		x.fail(phase, http.StatusGatewayTimeout, "deadline", "the deadline passed before the backend server's answer ended", err)
	default:
		x.fail(phase, statusClientGone, "caller-gone", "the caller went away", err)
	}
	return true
}

// silent notes that the connection was closed for its silence; it reports
// whether that was to try another backend server.
func (x *exchange) silent() bool {
	x.result.Stalled = x.silence.fired.Load()
	if x.silence.left.Load() {
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "backend-silent", "the backend server fell silent", errSilent)
	}
	return x.silence.left.Load()
}

func (x *exchange) fail(phase verdict.Phase, status int, code, detail string, err error) {
	x.result.Err = verdict.New(phase, status, code, detail).Wrap(err)
}
