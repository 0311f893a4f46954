package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Scheduler says when and where a request runs.
type Scheduler interface {
	// Table returns the table in force, nil before there is one.
	Table() *table.Table
	// CheckAdmission refuses a request that has no chance, before its body is read.
	CheckAdmission(r Request) *verdict.Error
	// MayForward reports whether a request that CheckAdmission refused for want of time may be
	// handed on to a router that has some.
	MayForward(r Request) bool
	// Overloaded reports whether this router cannot keep up with its requests,
	// so that callers had better come by another one.
	Overloaded() bool
	// Shedding reports whether many requests are refused here now, or this router is
	// short of time.
	Shedding() bool
	// Acquire waits for a slot. Its error is a *verdict.Error, or ctx's.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Release gives the slot back.
	Release(g Grant, u Usage)
	// SpendRetry takes one retry of the request out of the budget.
	SpendRetry(r Request) bool
	// Claim takes a caller's idempotency key for this request. Its error is
	// a *verdict.Error that says what became of the request.
	Claim(ctx context.Context, c Claim) error
	// Unclaim takes a claim back, because its request did not run.
	Unclaim(c Claim)
}

// Request is what the scheduler needs to know of a request.
type Request struct {
	// Forwarded says that another router handed it on: its account's share was looked
	// at there.
	Forwarded bool

	Account  string
	Model    string
	Priority int
	Deadline time.Time
	// Waited is how long the request waited before an earlier attempt.
	Waited time.Duration
	// Attempt counts from 0.
	Attempt int
	// Prefix is a hash of the prompt's beginning, 0 if there is none.
	Prefix uint64
	// ID is the request's id, for logs.
	ID string
	// Rank orders waiting requests, account before route: lower goes first.
	AccountRank, Rank int
	// Prompt and Output are the stated sizes in tokens, 0 if not stated;
	// Shared is the part of the prompt that other requests share.
	Prompt, Shared, Output int64
	// Target is the time within which the first event, or the whole answer of
	// a plain service, is worth most; 0 if not stated.
	Target time.Duration
	// MaxWait is how long the request may wait before it is refused; 0 means
	// until its deadline.
	MaxWait time.Duration
	// MayHaveRun says that the request may have run at one of the backend servers
	// that it was sent to.
	MayHaveRun bool
	// Avoid lists backend servers that failed the request.
	Avoid []string
	// Resuming says that its answer has begun, so that it goes on where that ended.
	Resuming bool
	// Digest works out what identifies the request, whichever try it is; nil if nobody
	// can.
	Digest func() uint64
}

// Grant is a slot of a backend server.
type Grant struct {
	ID      uint64
	Backend string
	Address string
	// StartTime is when the backend server started, 0 if it does not say.
	StartTime int64
	// CopyPrefixFrom is the address of a backend server from which the prompt's shared
	// parts are copied, "" if they need not be.
	CopyPrefixFrom string
	// Reason says in a word how the backend server was chosen.
	Reason string
	// TokensAhead is the tokens that are to be read there before the first event,
	// Expected when that is expected, Running how many requests are there.
	TokensAhead        int64
	ExpectedFirstEvent time.Duration
	Running            int
	// MaxConnections is this router's part of the connections that the backend server
	// takes, 0 if that is not known.
	MaxConnections int
	// MayStart reports whether the lease allows the first byte now.
	MayStart func() bool
	// Served counts the tokens as they come.
	Served *atomic.Int64
	// Waited is how long the request has waited in all.
	Waited time.Duration
	// OnFirstEvent is called when the first event came; nil if nobody asks.
	OnFirstEvent func()
	// OnNotice is called with what the backend server says of itself, when that comes; nil
	// if nobody asks.
	OnNotice func(backend.Notice)
	// Saturated reports whether this router has no time to pass each event on by
	// itself; nil if it always has.
	Saturated func() bool
}

// Usage is how a slot was used.
type Usage struct {
	Tokens int64
	// Sent says whether any byte of the request was sent.
	Sent bool
	// Unreachable says that the backend server could not be reached.
	Unreachable bool
	// Status is the answer's status, 0 if none came.
	Status int
	// Error is how the attempt failed, nil if the answer was passed on.
	Error *verdict.Error
	// Stalled says that the backend server said nothing for too long.
	Stalled bool
	// Request is the request's id, Digest works out what identifies it whichever try it
	// is; nil if nobody can.
	Request string
	Digest  func() uint64
}

// Claim is a caller's idempotency key.
type Claim struct {
	Account string
	// Request is the id of the request that uses the key.
	Request string
	Key     string
	// FirstUsed is when the caller first used the key, the zero time if not said.
	FirstUsed time.Time
}
