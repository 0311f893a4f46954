// Package verdict states, for every request that failed, whether a backend
// server may have run it. Callers and the retry policy act on this alone.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts. The zero value is MayHaveRun, so a forgotten verdict errs on
// the side that never promises too much.
const (
	// MayHaveRun is given whenever any doubt is left.
	MayHaveRun Verdict = iota
	// NotRun is given only when it is provable: no byte of the request was
	// handed to the network, or the backend server itself said so.
	NotRun
	// Ran is given when the backend server answered the request.
	Ran
)

// Header is the HTTP response header that carries the verdict to a caller.
const Header = "Yarrowmast-Verdict"

// String returns the verdict as it stands in headers, logs and reports.
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

// Phase names the step of a request in which a failure fell.
type Phase string

// The phases of a request, in the order in which they are passed.
const (
	PhaseAdmit  Phase = "admit"
	PhaseQueue  Phase = "queue"
	PhaseDial   Phase = "dial"
	PhaseSend   Phase = "send"
	PhaseHeader Phase = "header"
	PhaseStream Phase = "stream"
	PhaseDone   Phase = "done"
)

// Verdict returns the verdict that the phase alone allows: only failures before
// the first byte is sent are provably not run.
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

// Error is a request's failure together with its verdict.
type Error struct {
	// Verdict is never stronger than what is provable at Phase.
	Verdict Verdict
	// Phase is the step in which the failure fell.
	Phase Phase
	// Status is the HTTP status a caller is answered with.
	Status int
	// Code is a short stable name of the cause, for metrics and callers.
	Code string
	// Detail is one sentence for people: what happened and what to do.
	Detail string
	// RetryAfter is when the caller may come back; 0 means not stated.
	RetryAfter time.Duration
	// Err is the underlying cause, if any.
	Err error
}

// New returns an error whose verdict is the one its phase allows.
func New(phase Phase, status int, code, detail string) *Error {
	return &Error{Verdict: phase.Verdict(), Phase: phase, Status: status, Code: code, Detail: detail}
}

// Wrap returns a copy of e that carries the cause err.
func (e *Error) Wrap(err error) *Error {
	c := *e
	c.Err = err
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error on one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s, %s): %s", e.Code, e.Phase, e.Verdict, e.Detail)
	}
	return fmt.Sprintf("%s (%s, %s): %s: %v", e.Code, e.Phase, e.Verdict, e.Detail, e.Err)
}

// Unwrap returns the underlying cause.
func (e *Error) Unwrap() error { return e.Err }

// From returns the verdict of err. An error without one leaves doubt.
func From(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// MayRetry reports whether another attempt is safe: a request not to be
// repeated is sent again only when it provably did not run.
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
