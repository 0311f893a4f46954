package backend

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// answer passes a response on, by its kind.
func (x *exchange) answer(resp *http.Response) {
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != x.call.RequestID {
		x.fail(verdict.PhaseHeader, http.StatusBadGateway, "crossed-answer", "the backend server answered another request", nil)
		return
	}
	if refusedByBackend(resp) {
		x.result.Err = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "backend-refused",
			"the backend server refused the request and did not run it")
		return
	}
	removeHopHeaders(resp.Header)
	switch {
	case !x.call.Events:
		x.copyPlain(resp)
	case isEventStream(resp):
		x.copyEvents(resp)
	default:
		x.copyWhole(resp)
	}
}

// refusedByBackend reports whether the backend server itself says that it did
// not run the request.
func refusedByBackend(resp *http.Response) bool {
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return busy && resp.Header.Get(HeaderNotRun) == "true"
}

func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

func (x *exchange) begin(resp *http.Response) {
	x.result.Began = true
	x.result.FirstByte = time.Now()
	x.sink.Begin(resp.StatusCode, resp.Header)
}

// copyPlain passes the answer of a plain service on as it comes.
func (x *exchange) copyPlain(resp *http.Response) {
	x.begin(resp)
	silence := x.watchSilence()
	defer silence.Stop()
	buf := make([]byte, copyBufSize)
	for {
		n, err := resp.Body.Read(buf)
		silence.Reset(x.client.opt.idle)
		if n > 0 && !x.pass(buf[:n], true) {
			return
		}
		if errors.Is(err, io.EOF) {
			x.sink.Trailer(resp.Trailer)
			return
		}
		if err != nil {
			x.broken(err)
			return
		}
	}
}

// copyWhole takes an answer that is one piece of JSON, checks it, and passes
// it on only if all of it came.
func (x *exchange) copyWhole(resp *http.Response) {
	silence := x.watchSilence()
	defer silence.Stop()
	body, err := io.ReadAll(io.LimitReader(resp.Body, x.client.opt.maxAnswer+1))
	if err != nil {
		x.broken(err)
		return
	}
	if int64(len(body)) > x.client.opt.maxAnswer {
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "answer-too-large", "the backend server's answer is over the limit", nil)
		return
	}
	if err := x.checkWhole(resp, body); err != nil {
		x.fail(verdict.PhaseStream, http.StatusBadGateway, "bad-answer", "the backend server's answer is not what was asked for", err)
		return
	}
	x.begin(resp)
	if x.pass(body, true) {
		x.sink.Trailer(resp.Trailer)
	}
}

func (x *exchange) checkWhole(resp *http.Response, body []byte) error {
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	info, err := parseChunk(body)
	if err != nil {
		return err
	}
	if info.Usage != nil {
		x.call.Served.Store(info.Usage.CompletionTokens)
	}
	return nil
}

// copyEvents passes a stream of events on, event by event.
func (x *exchange) copyEvents(resp *http.Response) {
	x.begin(resp)
	silence := x.watchSilence()
	defer silence.Stop()
	events := NewEvents(resp.Body)
	for {
		ev, err := events.Next()
		silence.Reset(x.client.opt.idle)
		if err != nil {
			x.endEvents(resp, events, err)
			return
		}
		x.call.Served.Store(events.Tokens())
		if !x.pass(ev, !events.Waiting()) {
			return
		}
	}
}

func (x *exchange) endEvents(resp *http.Response, events *Events, err error) {
	_ = x.sink.Flush()
	if !errors.Is(err, io.EOF) {
		x.broken(err)
		return
	}
	if !events.Done() {
		x.broken(io.ErrUnexpectedEOF)
		return
	}
	x.sink.Trailer(resp.Trailer)
}

// pass hands bytes to the caller and reports whether it still listens.
func (x *exchange) pass(p []byte, flush bool) bool {
	_, err := x.sink.Write(p)
	if err == nil && flush {
		err = x.sink.Flush()
	}
	if err != nil {
		x.fail(verdict.PhaseStream, statusClientGone, "caller-gone", "the caller went away", err)
		return false
	}
	return true
}

// statusClientGone is logged for callers that left; nobody receives it.
const statusClientGone = 499

// broken notes an answer that ended before its end.
func (x *exchange) broken(err error) {
	x.fail(verdict.PhaseStream, http.StatusBadGateway, "answer-cut", "the backend server's answer ended before its end", err)
}

// watchSilence ends a call whose backend server sends nothing for too long.
func (x *exchange) watchSilence() *time.Timer {
	return time.AfterFunc(x.client.opt.idle, x.cancel)
}
