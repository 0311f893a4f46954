package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Scheduler decides when and on which backend server a request runs.
type Scheduler interface {
	// Table returns the current table, nil before the first one.
	Table() *table.Table
	// CheckAdmission refuses a request that would be refused anyway, before its body is read.
	CheckAdmission(r Request) *verdict.Error
	// MayForward reports whether a request that CheckAdmission refused for lack of capacity
	// may be forwarded to another router.
	MayForward(r Request) bool
	// Overloaded reports whether this router cannot keep up and callers should use another
	// one.
	Overloaded() bool
	// Shedding reports whether this router is refusing many requests or lacks processor time.
	Shedding() bool
	// Acquire waits for a slot. Its error is a *verdict.Error or the error of ctx.
	Acquire(ctx context.Context, r Request) (Grant, error)
	// Release returns the slot.
	Release(g Grant, u Usage)
	// SpendRetry takes a retry from the budget and reports whether one was left. It takes none for a
	// request that no backend server may continue.
	SpendRetry(r Request) bool
	// Resume returns where a stream that its caller takes up may go on. Its error is a *verdict.Error
	// or the error of ctx.
	Resume(ctx context.Context, r Resumption) (Continuation, error)
	// StreamBegan records what began a stream, before the caller receives its first event.
	StreamBegan(b StreamStart)
	// Claim reserves the idempotency key for this request. If the key is in use, the error is
	// a *verdict.Error that describes the state of the earlier request.
	Claim(ctx context.Context, c Claim) error
	// Unclaim releases a claim whose request did not run.
	Unclaim(c Claim)
}

// Request describes a request to the scheduler.
type Request struct {
	// Forwarded says that another router forwarded the request after checking its account's
	// share.
	Forwarded bool

	Account string
	// Route is the name of the route, "" if there is none.
	Route string
	// Regions are the regions in which the rows of the route and the account allow the request.
	Regions  table.RegionSet
	Model    string
	Priority int
	Deadline time.Time
	// Waited is how long the request has waited for earlier attempts.
	Waited time.Duration
	// Attempt is the number of earlier attempts.
	Attempt int
	// Prefix is a hash of the prompt's start, 0 if there is none.
	Prefix uint64
	// ID is the request's ID, for logs.
	ID string
	// AccountRank and Rank order waiting requests, by account before route; lower ranks go
	// first.
	AccountRank, Rank int
	// Prompt and Output are the stated sizes in tokens, 0 if unknown. Shared is the part of
	// the prompt that other requests share.
	Prompt, Shared, Output int64
	// Target is the latency target for the first event, or for the whole response of a plain
	// service; 0 means none.
	Target time.Duration
	// MaxWait is how long the request may wait before it is refused; 0 means until its
	// deadline.
	MaxWait time.Duration
	// MayHaveRun says that an earlier attempt may have run.
	MayHaveRun bool
	// Avoid lists the backend servers on which earlier attempts failed.
	Avoid []string
	// Software is the only software that the request may run on, nil for any. Continues says that the
	// request continues a stream that the fleet remembers.
	Software  *table.Software
	Continues bool
	// MayResume says that the request begins a stream that its caller may take up.
	MayResume bool
	// Leaves is the backend server that SpendRetry is asked to move the request away from, "" for none.
	Leaves string
	// Resuming says that part of the response was sent, so the next attempt must continue it.
	Resuming bool
	// Key identifies the request across the attempts of its caller. It is 0 if it is unknown until
	// the body has been read.
	Key uint64
	// Digest returns a hash that is equal for all attempts of the request; it may be nil.
	Digest func() uint64
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
}

// Resumption is a request of a caller to take up a stream that broke off.
type Resumption struct {
	Account string
	// Request is the ID of the request, for logs.
	Request string
	// Resumes is the ID of the caller's attempt that brought the first event, "" if it is not stated.
	Resumes string
	// Services are those that the route allows; Service is the one chosen if several may continue it.
	Services []string
	Service  string
	// Regions are the regions in which the request is allowed.
	Regions table.RegionSet
}

// Continuation says where a stream may go on.
type Continuation struct {
	Service string
	// Software is the only software at which it may go on, nil for any.
	Software *table.Software
	// Recorded says that the fleet remembers the stream.
	Recorded bool
}

// StreamStart describes the first event of a stream.
type StreamStart struct {
	Account string
	// Request is the ID of the caller's attempt that brings the first event.
	Request  string
	Service  string
	Software table.Software
	// Deadline is until when the caller may take the stream up.
	Deadline time.Time
}

// Grant is permission to run a request on a backend server.
type Grant struct {
	ID      uint64
	Backend string
	Address string
	// Software is what the backend server runs, according to its row.
	Software table.Software
	// StartTime is when the backend server started, 0 if unknown.
	StartTime int64
	// CopyPrefixFrom is the address of a backend server from which to copy the prompt's cached
	// prefix, "" for none.
	CopyPrefixFrom string
	// Reason is a short code for why the backend server was chosen.
	Reason string
	// TokensAhead is the number of tokens that the backend server processes before the
	// request's first event, ExpectedFirstEvent the estimated time until then, FirstEventMargin
	// how much later it may arrive (0 if unknown), Running the number of requests on it.
	TokensAhead        int64
	ExpectedFirstEvent time.Duration
	FirstEventMargin   time.Duration
	Running            int
	// MaxConnections is this router's share of the backend server's connections; 0 means no
	// limit.
	MaxConnections int
	// MayStart reports whether the lease still permits sending the first byte.
	MayStart func() bool
	// Served counts the tokens or events received so far.
	Served *atomic.Int64
	// Waited is the total time that the request has waited.
	Waited time.Duration
	// OnFirstEvent is called when the first event arrives; it may be nil.
	OnFirstEvent func()
	// OnPause is called when a pause between two events exceeds the target of the route; it may be
	// nil.
	OnPause func(pause, target time.Duration)
	// OnNotice is called with what the backend server announces about itself; it may be nil.
	OnNotice func(backend.Notice)
	// Saturated reports whether this router lacks processor time to relay each event
	// separately. It may be nil.
	Saturated func() bool
}

// Usage reports how a slot was used.
type Usage struct {
	Tokens int64
	// Sent says that at least one byte of the request was sent.
	Sent bool
	// Unreachable says that no byte could be sent to the backend server.
	Unreachable bool
	// Status is the status of the response, 0 if there was none.
	Status int
	// Error is the failure of the attempt, nil if the response was relayed completely.
	Error *verdict.Error
	// Stalled says that the backend server sent nothing for too long.
	Stalled bool
	// Unframed says that only the end of its connection marked the end of the response. Empty says that the
	// response was a stream without events.
	Unframed, Empty bool
	// Malformed says that the response broke off for bytes that are none of it, and not for the end of its connection.
	Malformed bool
	// LongestPause is the longest pause between two events, PauseTarget that which the route desires,
	// 0 if no pause was measured.
	LongestPause, PauseTarget time.Duration
	// Request is the request's ID. Digest is as in Request.
	Request string
	Digest  func() uint64
}

// Claim is the use of an idempotency key by a request.
type Claim struct {
	Account string
	// Request is the ID of the request that uses the key.
	Request string
	Key     string
	// FirstUsed is when the caller first used the key, zero if unknown.
	FirstUsed time.Time
}

// ScopedKey returns the key together with its account, since accounts choose their keys independently.
func (c Claim) ScopedKey() string { return c.Account + "\x00" + c.Key }

// Message returns the message that asks the homes of the key for the claim.
func (c Claim) Message() *wire.Claim {
	m := &wire.Claim{Key: c.ScopedKey(), Request: c.Request}
	if !c.FirstUsed.IsZero() {
		m.At = c.FirstUsed.UnixMilli()
	}
	return m
}
