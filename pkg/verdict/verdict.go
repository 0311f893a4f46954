// Package verdict classifies failed requests by whether a backend server may have run them.
// The retry policy and the callers rely on this verdict.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/returns"
)

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts. The zero value is MayHaveRun, so that an unset verdict is the cautious one.
const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run: no byte of it was sent, or the
	// backend server reported that it did not run it.
	NotRun
	// Ran means that the backend server answered the request.
	Ran
)

// Header is the HTTP response header that carries the verdict.
const Header = "Yarrowmast-Verdict"

// String returns the verdict as written in headers, logs and reports.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Phase is the step of a request at which a failure occurred.
type Phase string

// The phases of a request, in order.
const (
	PhaseAdmit  Phase = "admit"
	PhaseQueue  Phase = "queue"
	PhaseDial   Phase = "dial"
	PhaseSend   Phase = "send"
	PhaseHeader Phase = "header"
	PhaseStream Phase = "stream"
	PhaseDone   Phase = "done"
)

// Verdict returns the verdict implied by the phase alone: a request that failed before its
// first byte was sent did not run.
func (p Phase) Verdict() Verdict {
	switch p {
	case PhaseAdmit, PhaseQueue, PhaseDial:
		return NotRun
	case PhaseDone:
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is a failed request with its verdict.
type Error struct {
	// Verdict is NotRun or Ran only if that is certain.
	Verdict Verdict
	// Phase is the step at which the request failed.
	Phase Phase
	// Status is the HTTP status of the response to the caller.
	Status int
	// Code is a short stable identifier of the cause, used in metrics and responses.
	Code string
	// Detail is one sentence for people that says what happened and what to do.
	Detail string
	// RetryAfter is the delay after which the caller may retry; 0 means unspecified.
	RetryAfter time.Duration
	// Return says what the caller can expect of a retry after that, if that is known.
	Return returns.Case
	// Err is the underlying cause, if any.
	Err error
}

// New returns an error with the verdict implied by its phase.
func New(phase Phase, status int, code, detail string) *Error {
	return &Error{Verdict: phase.Verdict(), Phase: phase, Status: status, Code: code, Detail: detail}
}

// Wrap returns a copy of e with err as its cause.
func (e *Error) Wrap(err error) *Error {
	c := *e
	c.Err = err
	return &c
}

// WithRetryAfter returns a copy of e with the given retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithReturn returns a copy of e with the given retry delay and what the caller can expect of it.
func (e *Error) WithReturn(what returns.Case, after time.Duration) *Error {
	c := *e
	c.Return, c.RetryAfter = what, after
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s, %s): %s", e.Code, e.Phase, e.Verdict, e.Detail)
	}
	return fmt.Sprintf("%s (%s, %s): %s: %v", e.Code, e.Phase, e.Verdict, e.Detail, e.Err)
}

// Unwrap returns the underlying cause.
func (e *Error) Unwrap() error { return e.Err }

// From returns the verdict of err, or MayHaveRun if it carries none.
func From(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// MayRetry reports whether a request with verdict v may be sent again. A request that is not
// repeatable is retried only if it did not run.
func MayRetry(v Verdict, repeatable bool) bool {
	switch v {
	case NotRun:
		return true
	case MayHaveRun:
		return repeatable
	default:
		return false
	}
}
