package backend

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/yarrowmast/yarrowmast/internal/bodymemory"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// forward checks the response and forwards it according to its type.
func (x *roundTrip) forward(resp *http.Response) {
	headers := &x.client.opt.headers
	if headers.hasOtherID(resp, x.call.RequestID) {
		x.fail(verdict.PhaseHeader, http.StatusBadGateway, "crossed-answer", "the backend server answered another request", nil)
		return
	}
	x.recordNotice(headers.notice(resp, time.Now()))
	if headers.notRun(resp) {
		x.failRefused(resp)
		return
	}
	removeHopHeaders(resp.Header)
	if err := headers.checkOrigin(resp); err != nil {
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "bad-answer", "the backend server's answer is not its own", err)
		return
	}
	if x.withholds(resp) {
		x.fail(verdict.PhaseDone, http.StatusBadGateway, "backend-failed", "the backend server failed", nil)
		return
	}
	switch {
	case !x.call.MayStream || x.call.Opaque && !isSuccess(resp):
		x.copyPlain(resp)
	case isEventStream(resp):
		x.copyEvents(resp)
	case x.call.Opaque:
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "bad-answer", "the backend server's answer is no stream", errNoStream)
	default:
		x.copyJSON(resp)
	}
}

func (x *roundTrip) recordNotice(n Notice) {
	x.result.Notice = n
	if x.call.OnNotice != nil && n != (Notice{}) {
		x.call.OnNotice(n)
	}
}

// withholds reports whether the response must not reach the caller: a server error after
// which the request may be retried, or a response that does not continue a resumed stream.
func (x *roundTrip) withholds(resp *http.Response) bool {
	if x.call.Resume {
		return resp.StatusCode != http.StatusOK || !isEventStream(resp)
	}
	return x.call.WithholdServerErrors && resp.StatusCode >= http.StatusInternalServerError
}

func (x *roundTrip) failRefused(resp *http.Response) {
	code, detail := "backend-refused", "the backend server refused the request and did not run it"
	if resp.StatusCode == http.StatusMisdirectedRequest {
		code, detail = "backend-replaced", "another backend server has the address; the request was not run"
	}
	x.result.Err = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, code, detail)
}

func isSuccess(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
}

func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

func (x *roundTrip) begin(resp *http.Response) {
	x.recordFirstByte()
	x.result.Began = true
	if !x.call.Resume {
		x.sink.Begin(resp.StatusCode, resp.Header)
	}
}

// recordFirstByte has an effect only at the first call.
func (x *roundTrip) recordFirstByte() {
	if !x.result.FirstByte.IsZero() {
		return
	}
	x.result.FirstByte = x.client.opt.clock.Now()
	x.stall.responding.Store(true)
	if x.call.OnFirstByte != nil {
		x.call.OnFirstByte()
	}
}

// copyPlain forwards a response unparsed. Up to Call.BufferLimit bytes are read before
// the first is forwarded.
func (x *roundTrip) copyPlain(resp *http.Response) {
	buf := make([]byte, max(copyBufSize, x.call.BufferLimit))
	n, err := x.fill(resp, buf[:x.call.BufferLimit])
	if x.failsAtEnd(err) {
		return
	}
	x.begin(resp)
	if n > 0 && !x.deliver(buf[:n], true) {
		return
	}
	for !errors.Is(err, io.EOF) {
		n, err = resp.Body.Read(buf)
		x.stall.recordRead()
		if n > 0 && !x.deliver(buf[:n], true) {
			return
		}
		if x.failsAtEnd(err) {
			return
		}
	}
	x.forwardTrailer(resp)
}

// failsAtEnd fails the call and returns true if an error of a read means that the response ended before its end.
func (x *roundTrip) failsAtEnd(err error) bool {
	if errors.Is(err, io.EOF) {
		err = x.checkClosed()
	}
	if err != nil {
		x.failIncomplete(err)
	}
	return err != nil
}

// fill reads until the buffer is full. It returns io.EOF if the response ends first.
func (x *roundTrip) fill(resp *http.Response, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := resp.Body.Read(buf[n:])
		n += m
		x.stall.recordRead()
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// copyJSON forwards a JSON response after it has been read completely and checked.
func (x *roundTrip) copyJSON(resp *http.Response) {
	body, err := bodymemory.ReadUnstated(io.LimitReader(resp.Body, x.client.opt.maxResponse+1), x.reserveMemory)
	isTooLarge := int64(len(body)) > x.client.opt.maxResponse || errors.Is(err, bodymemory.ErrFull)
	if err == nil && !isTooLarge {
		err = x.checkClosed()
	}
	switch {
	case isTooLarge:
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "answer-too-large", "the backend server's answer is over the limit", err)
		return
	case err != nil:
		x.failIncomplete(err)
		return
	}
	if err := x.checkJSON(resp, body); err != nil {
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "bad-answer", "the backend server's answer is not what was asked for", err)
		return
	}
	x.begin(resp)
	if x.deliver(body, true) {
		x.forwardTrailer(resp)
	}
}

func (x *roundTrip) checkJSON(resp *http.Response, body []byte) error {
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	info, err := parseChunk(body)
	if err != nil {
		return err
	}
	if info.isEmpty() || !utf8.Valid(body) {
		return errNoCompletion
	}
	if info.Usage != nil {
		x.call.Served.Store(info.Usage.CompletionTokens)
	}
	return nil
}

// reserveMemory reserves memory for what is held of the response, and reports whether there is enough.
func (x *roundTrip) reserveMemory(n int64) bool {
	return x.call.ReserveMemory == nil || x.call.ReserveMemory(n)
}

// eventsOf returns the events of a response.
func (x *roundTrip) eventsOf(resp *http.Response) eventReader {
	if !x.call.Opaque {
		completion := NewCompletionReader(resp.Body)
		completion.reserve = x.reserveMemory
		return completion
	}
	numbered := newNumberedReader(resp.Body, x.call.LastEvent, x.client.opt.headers.EventField)
	numbered.reserve = x.reserveMemory
	return numbered
}

// copyEvents forwards a stream event by event.
func (x *roundTrip) copyEvents(resp *http.Response) {
	events := x.eventsOf(resp)
	if !x.call.Opaque {
		x.begin(resp)
	}
	for {
		event, err := events.Next()
		now := x.stall.recordRead()
		if !errors.Is(err, io.EOF) {
			x.pauses.end(now)
		}
		if err != nil {
			x.finishEvents(resp, events, err)
			return
		}
		if !x.result.Began {
			x.begin(resp)
		}
		x.call.Served.Store(events.Tokens())
		x.client.stats.events.Add(1)
		if !x.deliver(event, !events.Buffered()) {
			return
		}
		x.result.LastEvent = events.LastEvent()
		if !events.Buffered() {
			x.waitForBatch()
		}
		x.beginPause()
	}
}

// waitForBatch waits for further events, so that they are sent to the caller together. Each send takes 13
// to 16 us of processor time, and a router at its limit has 2,000 events a second: with batches of 66 ms
// it answered 1.17 times as many requests of a flooding account.
func (x *roundTrip) waitForBatch() {
	if x.call.BatchDelay == nil {
		return
	}
	if wait := x.call.BatchDelay(); wait > 0 {
		time.Sleep(wait)
	}
}

func (x *roundTrip) finishEvents(resp *http.Response, events eventReader, err error) {
	x.result.Empty = events.Tokens() == 0
	if x.result.Began {
		_ = x.sink.Flush()
	}
	if invalid, ok := errors.AsType[*InvalidEventError](err); ok {
		x.failInvalid(invalid)
		return
	}
	if x.failsAtEnd(err) {
		return
	}
	if !events.Done() || x.mayBeCut() {
		x.failIncomplete(io.ErrUnexpectedEOF)
		return
	}
	if !x.result.Began {
		x.begin(resp)
	}
	x.forwardTrailer(resp)
}

// mayBeCut reports whether a stream that ended between events shows no sign of being whole: it had no event,
// and nothing but the end of its connection marks its end. Completions have an end marker.
func (x *roundTrip) mayBeCut() bool {
	return x.call.Opaque && x.result.Framing == FramingClose && x.result.Empty
}

// deliver writes bytes to the caller. It fails the call and returns false if the caller
// has disconnected.
func (x *roundTrip) deliver(p []byte, flush bool) bool {
	_, err := x.sink.Write(p)
	if err == nil && flush {
		x.client.stats.flushes.Add(1)
		err = x.sink.Flush()
	}
	if err != nil {
		x.fail(verdict.PhaseStream, statusClientClosedRequest, "caller-gone", "the caller went away", err)
		return false
	}
	return true
}

// statusClientClosedRequest is only logged, since the caller has disconnected.
const statusClientClosedRequest = 499

// failInvalid fails a call whose response holds bytes that are no event of it. Unlike a response that ends early,
// that is no sign of a crash.
func (x *roundTrip) failInvalid(err *InvalidEventError) {
	x.result.Invalid = err
	x.client.stats.invalidStreams.Add(1)
	x.fail(verdict.PhaseStream, http.StatusBadGateway, "bad-answer", "the backend server's answer holds bytes that are no part of it", err)
}

func (x *roundTrip) failIncomplete(err error) {
	if x.recordStall() || x.failIfCanceled(verdict.PhaseStream, err) {
		return
	}
	x.result.Malformed = x.conn.isMalformed(err)
	x.fail(verdict.PhaseStream, http.StatusBadGateway, "answer-cut", "the backend server's answer ended before its end", err)
}
