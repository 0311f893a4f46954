package front

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Problem is the body of a refusal in the format application/problem+json (RFC 9457).
type Problem struct {
	// Type is about:blank, so Title is the standard text of Status.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is the short stable identifier of the cause.
	Code string `json:"code"`
	// Verdict is the verdict as text: not-run, may-have-run or ran.
	Verdict string `json:"verdict"`
	// RequestID is the request's ID in the logs.
	RequestID string `json:"request_id"`
}

// Refusals before a request is scheduled. Their verdict is NotRun.
var (
	errNoKey           = verdict.New(verdict.PhaseAdmit, http.StatusUnauthorized, "no-key", "send the account's key as Authorization: Bearer")
	errWrongKey        = verdict.New(verdict.PhaseAdmit, http.StatusForbidden, "wrong-key", "the key belongs to no client account")
	errNoSuchPath      = verdict.New(verdict.PhaseAdmit, http.StatusNotFound, "no-such-path", "this path is not served")
	errNoSuchModel     = verdict.New(verdict.PhaseAdmit, http.StatusNotFound, "no-such-model", "no backend server serves this model or service")
	errBadJSON         = verdict.New(verdict.PhaseAdmit, http.StatusBadRequest, "bad-json", "the body is not a JSON object with a model")
	errBadHeader       = verdict.New(verdict.PhaseAdmit, http.StatusBadRequest, "bad-header", "a header of the request cannot be read")
	errBodyCut         = verdict.New(verdict.PhaseAdmit, http.StatusBadRequest, "body-cut", "the body ended before its end or came too slowly")
	errBodyTooLarge    = verdict.New(verdict.PhaseAdmit, http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the limit")
	errDraining        = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "draining", "this entry instance is stopping; send the request again")
	errEndsTooLate     = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, codeEndsTooLate, "this entry instance is stopping, and would end before the response does; send the request again")
	errTooManyOpen     = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "too-many-open", "this entry instance has too many open requests")
	errConnectionsFull = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "connections-full", "this entry instance has too many connections in use; send the request again, another one may have fewer")
	errBodiesFull      = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "bodies-full", "this entry instance holds too many large bodies; send the request again, another one may have room")
	errNoTable         = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "no-table", "this entry instance has no table yet")
)

// codeEndsTooLate is the code of requests that a planned stop would cut.
const codeEndsTooLate = "ends-too-late"

// toVerdictError returns the *verdict.Error in err's chain. Other errors become an internal
// error with the verdict MayHaveRun.
func toVerdictError(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.PhaseStream, http.StatusInternalServerError, "internal", "the entry instance failed").Wrap(err)
}

func writeProblem(w http.ResponseWriter, headers *HeaderConfig, id string, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(headers.RequestID, id)
	h.Set("Cache-Control", "no-store")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", headers.retryAfter(e.RetryAfter))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(problemOf(id, e))
}

func problemOf(id string, e *verdict.Error) Problem {
	return Problem{
		Type: "about:blank", Title: http.StatusText(e.Status), Status: e.Status, Detail: e.Detail,
		Code: e.Code, Verdict: e.Verdict.String(), RequestID: id,
	}
}
