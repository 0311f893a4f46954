package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Scheduler says when and where a request runs.
type Scheduler interface {
	// Table returns the table in force, nil before there is one.
	Table() *table.Table
	// Acquire waits for a slot. Its error is a *verdict.Error, or ctx's.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Release gives the slot back.
	Release(g Grant, u Usage)
	// MayRetry takes one retry out of the budget.
	MayRetry() bool
	// Claim takes a caller's idempotency key for this request. Its error is
	// a *verdict.Error that says what became of the request.
	Claim(ctx context.Context, c Claim) error
	// Unclaim takes a claim back, because its request did not run.
	Unclaim(c Claim)
}

// Request is what the scheduler needs to know of a request.
type Request struct {
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
}

// Grant is a slot of a backend server.
type Grant struct {
	ID      uint64
	Backend string
	Address string
	// MayStart reports whether the lease allows the first byte now.
	MayStart func() bool
	// Served counts the tokens as they come.
	Served *atomic.Int64
	// Waited is how long the request has waited in all.
	Waited time.Duration
}

// Usage is how a slot was used.
type Usage struct {
	Tokens int64
	// Sent says whether any byte of the request was sent.
	Sent bool
	// Failed says that the backend server could not be reached.
	Failed bool
}

// Claim is a caller's idempotency key.
type Claim struct {
	Account string
	// Request is the id of the request that uses the key.
	Request string
	Key     string
	// At is when the caller first used the key, the zero time if not said.
	At time.Time
}
