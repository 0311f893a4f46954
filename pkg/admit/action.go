package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Action is an output of Core.Step, which the caller carries out.
type Action interface{ action() }

// Start sends a request to a backend server.
type Start struct {
	ID      uint64
	Backend table.Backend
	// CopyPrefixFrom is the address of the backend server from which to copy the cached prompt
	// prefix, "" if no copy is needed.
	CopyPrefixFrom string
	// Reason is a code for why this backend server was chosen.
	Reason string
	// TokensAhead is the number of prompt tokens that the backend server processes before the first
	// event of the response; ExpectedFirstEvent is the predicted time to that event, FirstEventMargin how
	// much later it may arrive, 0 if unknown.
	TokensAhead        int64
	ExpectedFirstEvent time.Duration
	FirstEventMargin   time.Duration
	// Running is the number of requests in flight at the backend server.
	Running int
	// Waited is how long the request waited at this router.
	Waited time.Duration
}

// Refuse rejects a request that was not sent to any backend server.
type Refuse struct {
	ID  uint64
	Err *verdict.Error
	// Waited is how long the request waited at this router.
	Waited time.Duration
	// Crashes is the number of backend servers that crashed under the request, if it is refused
	// for that. Part is the part of its prompt that is blocked, 0 if it is refused for itself.
	Crashes int
	Part    suspect.Digest
	// Expected is the shortest time to a response that the Asked owners of plain servers stated, Left
	// the time until the deadline. They are 0 if the request is not refused for that.
	Expected, Left time.Duration
	Asked          int
}

// Send sends a message to another router.
type Send struct {
	To  string
	Msg any
}

func (Start) action()  {}
func (Refuse) action() {}
func (Send) action()   {}
