package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// response writes the response to one caller. It implements backend.Sink.
type response struct {
	w       http.ResponseWriter
	headers *HeaderConfig
	id      string
	// routed says that the request matched a route; its response is relayed unchanged.
	routed       bool
	writeTimeout time.Duration
	started      bool
	// eventStream says that the response is a stream of server-sent events.
	eventStream bool
	controller  *http.ResponseController
}

func (s *Server) newResponse(w http.ResponseWriter, in *inboundRequest) *response {
	return &response{w: w, headers: &s.opt.headers, id: in.id, routed: in.route != nil, writeTimeout: s.limits.Load().IOTimeout}
}

// Begin implements backend.Sink.
func (resp *response) Begin(status int, header http.Header) {
	h := resp.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if resp.routed {
		setRoutedHeaders(h, resp.headers.RequestID, resp.id)
	} else {
		h.Set(verdict.Header, verdict.Ran.String())
		h.Set(backend.HeaderRequestID, resp.id)
	}
	resp.eventStream = h.Get("Content-Type") == "text/event-stream"
	resp.controller = http.NewResponseController(resp.w)
	resp.started = true
	resp.w.WriteHeader(status)
}

// setRoutedHeaders sets the request ID and stops net/http from guessing a content type.
func setRoutedHeaders(h http.Header, idHeader, id string) {
	if _, present := h["Content-Type"]; !present {
		h["Content-Type"] = nil
	}
	h.Set(idHeader, id)
}

// Write implements backend.Sink. A caller that does not read within the write timeout is
// disconnected.
func (resp *response) Write(p []byte) (int, error) {
	_ = resp.controller.SetWriteDeadline(time.Now().Add(resp.writeTimeout))
	n, err := resp.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("front: write response: %w", err)
	}
	return n, nil
}

// Flush implements backend.Sink.
func (resp *response) Flush() error {
	if err := resp.controller.Flush(); err != nil {
		return fmt.Errorf("front: flush response: %w", err)
	}
	return nil
}

// Trailer implements backend.Sink.
func (resp *response) Trailer(header http.Header) {
	for name, values := range header {
		resp.w.Header()[http.TrailerPrefix+name] = values
	}
}

// fail reports a failure to the caller: as a problem document if nothing has been sent,
// otherwise as an error event at the end of the stream.
func (resp *response) fail(failure *verdict.Error) {
	if !resp.started {
		if failure.Status != statusClientClosedRequest {
			writeProblem(resp.w, resp.headers, resp.id, failure)
		}
		return
	}
	if resp.routed || !resp.eventStream || failure.Status == statusClientClosedRequest {
		return
	}
	data, err := json.Marshal(problemOf(resp.id, failure))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(resp.w, "event: error\ndata: %s\n\n", data)
	_ = resp.controller.Flush()
}
