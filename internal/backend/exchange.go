package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before reading
	// the response. Larger bodies are written concurrently, since a backend server
	// may respond before it has read the body.
	maxInlineBody = 4 << 10
	// maxStale is the number of responses read in search of the matching one.
	maxStale = 3
	// maxStaleBody is the largest body of a discarded response, in bytes.
	maxStaleBody = 1 << 20
)

var (
	errLeaseExpired      = errors.New("backend: lease expired before the first byte was sent")
	errStaleResponses    = errors.New("backend: too many responses to other requests on the connection")
	errFieldName         = errors.New("backend: response head has a line that begins with no field name")
	errHeadTooLarge      = errors.New("backend: response head exceeds the size limit")
	errResetWhileWriting = errors.New("backend: the connection was reset while the request was written")
	errNoID              = errors.New("backend: response has no request id, unlike earlier ones")
	errStalled           = errors.New("backend: no data received before the timeout")
	errNoStream          = errors.New("backend: response to a streaming call is no event stream")
	errNotFinal          = errors.New("backend: response has a status that ends no request")
	errNoCompletion      = errors.New("backend: response holds no completion")
	errNoProof           = errors.New("backend: response has no valid proof of origin")
)

// roundTrip is the state of a call.
type roundTrip struct {
	client *Client
	call   Call
	sink   Sink
	conn   *conn
	result Result
	// written receives one result when the request is written or has failed.
	written chan error
	// announced are the fields that the response announces for its trailer.
	announced []string
	// reusable is set if the connection may carry another request.
	reusable bool
	stall    *stallDetector
	pauses   pauseMeter
	// cancelCause returns the cause of the call's cancellation, nil while it runs.
	cancelCause func() error
}

func (x *roundTrip) run(ctx context.Context) {
	x.cancelCause = func() error { return cancelCause(ctx) }
	if x.call.MayStart != nil && !x.call.MayStart() {
		x.failLeaseExpired()
		return
	}
	conn, err := x.client.pool.acquire(ctx, &x.call)
	if err != nil {
		x.failUnreachable("the backend server could not be reached", err)
		return
	}
	x.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		if stop() && x.reusable && x.requestWritten() {
			x.client.pool.release(&x.call, conn)
			return
		}
		x.client.pool.discard(x.call.connKey(), conn)
	}()
	x.exchange()
}

func (x *roundTrip) failLeaseExpired() {
	x.fail(verdict.PhaseDial, http.StatusServiceUnavailable, "lease-expired", "the lease ran out before the request was sent", errLeaseExpired)
}

func (x *roundTrip) exchange() {
	if x.call.MayStart != nil && !x.call.MayStart() {
		x.failLeaseExpired()
		return
	}
	if err := x.send(); err != nil && !x.result.Sent {
		x.failUnreachable("the connection was closed before the request was sent", err)
		return
	}
	key := x.call.connKey()
	activity := x.client.activity.acquire(key)
	defer x.client.activity.release(key, activity)
	x.stall = newStallDetector(x.client.opt.clock, x.conn, activity, x.client.opt.idleTimeout, x.call.Failover)
	defer x.stall.stop()
	resp, err := x.readResponse()
	if err != nil {
		x.failBeforeResponse(err)
		return
	}
	x.stall.recordRead()
	// The body is not closed: Close would read it to its end, which may never come. A connection whose
	// response was not read to its end is closed.
	x.result.Status, x.result.Framing = resp.StatusCode, framingOf(resp)
	x.announced = announcedTrailer(resp)
	x.conn.applyKeepAlive(resp.Header)
	x.forward(resp)
	x.reusable = x.result.Err == nil && !resp.Close && x.conn.reader.Buffered() == 0
}

// send writes the request. A large body is written by another goroutine.
func (x *roundTrip) send() error {
	head := x.requestHead()
	x.written = make(chan error, 1)
	if len(x.call.Body) <= maxInlineBody {
		err := x.writeStart(append(head, x.call.Body...))
		x.written <- err
		return err
	}
	if err := x.writeStart(head); err != nil {
		x.written <- err
		return err
	}
	go func() {
		_, err := x.conn.Write(x.call.Body)
		x.written <- err
	}()
	return nil
}

// writeStart writes the first bytes and records whether any were sent. Only if none
// were is it certain that the request did not run.
func (x *roundTrip) writeStart(p []byte) error {
	n, err := x.conn.Write(p)
	x.result.Sent = n > 0
	return err
}

// requestWritten reports whether the whole request has been written. It does not
// block: after an early response, the body may still be in transit.
func (x *roundTrip) requestWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// checkClosed returns an error unless the end of the connection, if that alone marks the end of the response, was a regular
// one. The system reports a reset once, and if the writer of the request gets it, a read returns a regular end.
func (x *roundTrip) checkClosed() error {
	if x.result.Framing != FramingClose {
		return nil
	}
	// A write that waits for the backend server to read ends now, one that met the reset has done so.
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
	err := <-x.written
	x.written <- err
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("%w: %w", errResetWhileWriting, err)
}

// requestHead returns the request line and the headers.
func (x *roundTrip) requestHead() []byte {
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

func (x *roundTrip) setHeaders(h http.Header) {
	names := &x.client.opt.headers
	set(h, names.RequestID, x.call.RequestID)
	if x.call.MayStream && !x.call.Opaque {
		set(h, names.Priority, formatPriority(x.call.Priority))
	}
	setOrDelete(h, names.Account, x.call.Account)
	setOrDelete(h, names.Instance, x.call.Instance)
	setOrDelete(h, names.CopyPrefixFrom, x.call.CopyPrefixFrom)
	if !x.call.Deadline.IsZero() {
		set(h, names.Deadline, strconv.FormatInt(max(1, x.client.opt.clock.Until(x.call.Deadline).Milliseconds()), 10))
	}
	if x.call.LastEvent > 0 {
		set(h, names.LastEvent, strconv.FormatUint(x.call.LastEvent, 10))
	}
}

// readResponse reads the header of the response. On a reused connection it discards
// late responses to earlier requests, which it recognizes by their request id. It fails on one
// without an id if the backend server has stated ids on the connection, unless it is a refusal.
func (x *roundTrip) readResponse() (*http.Response, error) {
	req := &http.Request{Method: x.call.Method}
	for range maxStale {
		resp, err := x.conn.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := resp.Header.Get(x.client.opt.headers.RequestID)
		if id == "" && x.conn.repeatsIDs {
			return resp, x.checkWithoutID(resp)
		}
		if id == "" || id == x.call.RequestID || !x.conn.reused {
			x.conn.repeatsIDs = id != ""
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody))
		if err != nil || n == maxStaleBody || resp.Close {
			return nil, errors.Join(errStaleResponses, err)
		}
	}
	return nil, errStaleResponses
}

// checkWithoutID decides on a response without an id from a backend server that states ids: it may be a late one to an
// earlier request. A refusal is believed, since servers refuse before they know the request. If it is a late one, the
// connection is closed while the request runs, which may be repeated: others get connections of their own.
func (x *roundTrip) checkWithoutID(resp *http.Response) error {
	if !x.client.opt.headers.notRun(resp) {
		return errNoID
	}
	resp.Close = true
	return nil
}

func (x *roundTrip) failUnreachable(detail string, err error) {
	if x.failIfCanceled(verdict.PhaseDial, err) {
		return
	}
	x.result.Unreachable = true
	x.fail(verdict.PhaseDial, http.StatusBadGateway, "backend-unreachable", detail, err)
}

func (x *roundTrip) failBeforeResponse(err error) {
	if x.recordStall() || x.failIfCanceled(verdict.PhaseHeader, err) {
		return
	}
	x.result.Malformed = x.conn.isMalformed(err)
	x.fail(verdict.PhaseHeader, http.StatusBadGateway, "backend-broke", "the connection broke before the backend server answered", err)
}

// failIfCanceled fails the call if the caller disconnected or the deadline passed, and
// reports whether it did. The error is not the backend server's fault then, since
// cancellation closes the connection.
func (x *roundTrip) failIfCanceled(phase verdict.Phase, err error) bool {
	switch cause := x.cancelCause(); {
	case cause == nil:
		return false
	case errors.Is(cause, context.DeadlineExceeded):
		x.fail(phase, http.StatusGatewayTimeout, "deadline", "the deadline passed before the backend server's answer ended", err)
	default:
		x.fail(phase, statusClientClosedRequest, "caller-gone", "the caller went away", err)
	}
	return true
}

// cancelCause returns why a context ended, nil if it did not. A dialer sets a timer of its own for
// the context's deadline, which may fire before the context's.
func cancelCause(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && ctx.Err() == nil && time.Until(deadline) <= 0 {
		return context.DeadlineExceeded
	}
	return context.Cause(ctx)
}

// recordStall records whether the connection timed out. It fails the call and returns
// true if the request is to move to another backend server.
func (x *roundTrip) recordStall() bool {
	x.result.Stalled = x.stall.timedOut.Load()
	if x.stall.failedOver.Load() {
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "backend-silent", "the backend server fell silent", errStalled)
	}
	return x.stall.failedOver.Load()
}

func (x *roundTrip) fail(phase verdict.Phase, status int, code, detail string, err error) {
	x.result.Err = verdict.New(phase, status, code, detail).Wrap(err)
}
