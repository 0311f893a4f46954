package table

import (
	"strconv"
	"strings"
)

// startSeparator precedes the start time in the text of an incarnation.
const startSeparator = "@"

// Incarnation identifies one process of a backend server. A restarted server has the same name
// but another StartTime, and none of the state of the former process.
//
// Incarnations can only be compared for equality: if a server's clock was set back, the later
// process has the lower StartTime. The revisions of table entries tell which one is later.
type Incarnation struct {
	Name string
	// StartTime is in Unix milliseconds by the server's clock; 0 if unknown.
	StartTime int64
}

// Incarnation returns the incarnation of the backend server that the row describes.
func (b *Backend) Incarnation() Incarnation { return Incarnation{b.Name, b.StartTime} }

// String returns a string that is unique to the incarnation.
func (i Incarnation) String() string {
	if i.StartTime == 0 && !strings.Contains(i.Name, startSeparator) {
		return i.Name
	}
	return i.Name + startSeparator + strconv.FormatInt(i.StartTime, 10)
}
