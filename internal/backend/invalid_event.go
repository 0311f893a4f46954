package backend

import "fmt"

// InvalidReason says why bytes of a stream are no event of it.
type InvalidReason string

// The reasons.
const (
	// InvalidUnnumbered: an event without a number.
	InvalidUnnumbered InvalidReason = "unnumbered"
	// InvalidOrder: a number other than the one that was due.
	InvalidOrder InvalidReason = "out-of-order"
	// InvalidNumber: a number that cannot be read, or two in one event.
	InvalidNumber InvalidReason = "bad-number"
	// InvalidNoData: an event without data, which callers would ignore.
	InvalidNoData InvalidReason = "no-data"
	// InvalidField: a line that is no field of an event.
	InvalidField InvalidReason = "unknown-field"
	// InvalidText: a line that is not UTF-8, or has a CR inside, which callers take for its end.
	InvalidText InvalidReason = "not-text"
	// InvalidData: data that is no chunk of a completion.
	InvalidData InvalidReason = "bad-data"
	// InvalidOrigin: a chunk of another response, or one that does not say of which.
	InvalidOrigin InvalidReason = "other-response"
	// InvalidAfterEnd: an event after the end marker.
	InvalidAfterEnd InvalidReason = "after-end"
	// InvalidSize: an event over the size limit.
	InvalidSize InvalidReason = "too-large"
)

// InvalidEventError means that a backend server sent bytes that are no event of its response.
type InvalidEventError struct {
	Reason InvalidReason
	// After is the number of the last valid event, 0 if there was none or events have no numbers.
	After uint64
}

// Error implements error.
func (e *InvalidEventError) Error() string {
	return fmt.Sprintf("backend: stream holds an invalid event after event %d: %s", e.After, e.Reason)
}
