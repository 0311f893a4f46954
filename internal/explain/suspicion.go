package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// Events that name a request by what it asks for, whichever try it is.
const (
	eventAtEnd    = "request_at_end"
	eventHeldBack = "request_held_back"
	eventCleared  = "request_cleared"
)

// mostSuspicion bounds the lines that are shown of other tries.
const mostSuspicion = 20

// tellSuspicion shows which backend servers ended under the request, in any of its tries
// and at any router, and why it was held back.
func (s *story) tellSuspicion(b *strings.Builder) {
	var digests []string
	for _, r := range s.records {
		if d := r.Fields["digest"]; r.Fields["request"] == s.id && d != "" && !slices.Contains(digests, d) {
			digests = append(digests, d)
		}
	}
	for _, d := range digests {
		lines := s.ofDigest(d)
		_, _ = fmt.Fprintf(b, "backend servers that ended while it was under way there, in any of its tries (digest %s):\n", d)
		for _, r := range lines[:min(mostSuspicion, len(lines))] {
			_, _ = fmt.Fprintf(b, "  %s\n", r.Line)
		}
		if more := len(lines) - mostSuspicion; more > 0 {
			_, _ = fmt.Fprintf(b, "  and %d more\n", more)
		}
	}
}

// ofDigest returns the lines on a digest, the oldest first by the request's router's clock.
func (s *story) ofDigest(d string) []logread.Record {
	var lines []logread.Record
	for _, r := range s.records {
		if slices.Contains([]string{eventAtEnd, eventHeldBack, eventCleared}, r.Event) && r.Fields["digest"] == d {
			lines = append(lines, r)
		}
	}
	slices.SortStableFunc(lines, func(a, b logread.Record) int {
		return a.Time.Add(-s.ahead[a.Router]).Compare(b.Time.Add(-s.ahead[b.Router]))
	})
	return lines
}
