package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// answer writes to one caller. It implements backend.Sink.
type answer struct {
	w       http.ResponseWriter
	dialect *HeaderConfig
	id      string
	// routed answers are passed on as they came.
	routed bool
	slow   time.Duration
	began  bool
	// events says that the answer is a stream of events.
	events  bool
	control *http.ResponseController
}

func (s *Server) answerTo(w http.ResponseWriter, a *ask) *answer {
	return &answer{w: w, dialect: &s.opt.dialect, id: a.id, routed: a.route != nil, slow: s.callers.Load().IOTimeout}
}

// Begin implements backend.Sink.
func (a *answer) Begin(status int, header http.Header) {
	h := a.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if a.routed {
		keepAsItCame(h, a.dialect.RequestID, a.id)
	} else {
		h.Set(verdict.Header, verdict.Ran.String())
		h.Set(backend.HeaderRequestID, a.id)
	}
	a.events = h.Get("Content-Type") == "text/event-stream"
	a.control = http.NewResponseController(a.w)
	a.began = true
	a.w.WriteHeader(status)
}

// keepAsItCame keeps the server from adding a content type by its own guess.
func keepAsItCame(h http.Header, idHeader, id string) {
	if _, given := h["Content-Type"]; !given {
		h["Content-Type"] = nil
	}
	h.Set(idHeader, id)
}

// Write implements backend.Sink. A caller that does not read is cut off.
func (a *answer) Write(p []byte) (int, error) {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.slow))
	n, err := a.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("front: write answer: %w", err)
	}
	return n, nil
}

// Flush implements backend.Sink.
func (a *answer) Flush() error {
	if err := a.control.Flush(); err != nil {
		return fmt.Errorf("front: flush answer: %w", err)
	}
	return nil
}

// Trailer implements backend.Sink.
func (a *answer) Trailer(header http.Header) {
	for name, values := range header {
		a.w.Header()[http.TrailerPrefix+name] = values
	}
}

// fail tells the caller of a failure: by a whole refusal if nothing was sent
// yet, else by an error event at the end of a stream that is then cut.
func (a *answer) fail(e *verdict.Error) {
	if !a.began {
		if e.Status != statusClientGone {
			writeProblem(a.w, a.dialect, a.id, e)
		}
		return
	}
	if a.routed || !a.events || e.Status == statusClientGone {
		return
	}
	data, err := json.Marshal(problemOf(a.id, e))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
	_ = a.control.Flush()
}
