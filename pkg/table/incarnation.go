package table

import "strconv"

// Incarnation is one start of a backend server. It may start again under the name that
// it had; it then knows nothing of what its former start did or held.
//
// Starts are only compared for being the same: a clock that was set back gives a newer
// start the smaller number, and which of two entries is the later one is known by their
// revisions.
type Incarnation struct {
	Name string
	// StartTime is when it started, in Unix milliseconds by its own clock; 0 if it does not
	// say, so that the name alone tells.
	StartTime int64
}

// Incarnation returns which start of a backend server a row is of.
func (b *Backend) Incarnation() Incarnation { return Incarnation{b.Name, b.StartTime} }

// String returns a name that no other start has.
func (i Incarnation) String() string {
	if i.StartTime == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.StartTime, 10)
}
