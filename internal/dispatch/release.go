package dispatch

import (
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// Release implements front.Scheduler.
func (d *Dispatcher) Release(g front.Grant, u front.Usage) {
	e := endEvent{
		id: g.ID, tokens: u.Tokens, result: resultOf(u), request: u.Request,
		disconnected: wasDisconnected(u), completed: isCompleted(u), unframed: u.Unframed,
		longestPause: u.LongestPause, pauseTarget: u.PauseTarget,
	}
	if u.Digest != nil && u.Sent {
		// No crash accuses a request of which the backend server received nothing.
		e.digest = suspect.Digest(u.Digest())
	}
	d.post(e)
}

// wasDisconnected reports whether the backend server closed the connection while the request
// was in flight. A stalled server does not count: it may only be slow. Nor does one whose bytes were no response.
func wasDisconnected(u front.Usage) bool {
	return u.Error != nil && u.Sent && !u.Stalled && !u.Malformed && (u.Error.Code == "answer-cut" || u.Error.Code == "backend-broke")
}

// isCompleted reports whether the request ran to its end. An error of the caller or an empty stream does not show
// that the backend server has begun to respond to the prompt.
func isCompleted(u front.Usage) bool {
	return u.Error == nil && u.Status >= http.StatusOK && u.Status < http.StatusMultipleChoices && !u.Empty
}

// resultOf classifies the outcome of an attempt with respect to the backend server.
func resultOf(u front.Usage) admit.Result {
	switch {
	case u.Error == nil && u.Status >= http.StatusInternalServerError:
		return admit.Failed
	case u.Error == nil:
		return admit.Succeeded
	case u.Stalled:
		return admit.Stalled
	case u.Unreachable:
		return admit.Unreachable
	}
	switch u.Error.Code {
	case "backend-refused":
		return admit.Refused
	case "backend-failed":
		return admit.Failed
	case "backend-replaced":
		return admit.Unreachable
	case "caller-gone", "deadline", "lease-expired", "ends-too-late":
		return admit.Unknown
	default:
		return admit.Broken
	}
}

type endEvent struct {
	id     uint64
	result admit.Result
	// request is the request's id, digest identifies it across attempts, 0 if unknown.
	request                 string
	digest                  suspect.Digest
	disconnected, completed bool
	// unframed says that only the end of the connection marked the end of the response.
	unframed bool
	tokens   int64
	// longestPause is the longest pause between two events, pauseTarget that which the route
	// desires, 0 if no pause was measured.
	longestPause, pauseTarget time.Duration
}

func (e endEvent) apply(s *state) {
	result := adjustResult(e.result, s.d.Saturated())
	s.endingRequest = e.request
	delete(s.tokenCounts, e.id)
	s.step(admit.AttemptEnd{
		ID:           e.id,
		Tokens:       e.tokens,
		Result:       result,
		Digest:       e.digest,
		Disconnected: e.disconnected && result != admit.Unknown,
		Completed:    e.completed,
		Unframed:     e.unframed,
		LongestPause: e.longestPause,
		PauseTarget:  e.pauseTarget,
	})
	s.endingRequest = ""
}

// adjustResult discards stalls and connection failures while this router is saturated, since
// its own lag may have caused them.
func adjustResult(result admit.Result, saturated bool) admit.Result {
	if saturated && (result == admit.Stalled || result == admit.Unreachable) {
		return admit.Unknown
	}
	return result
}
