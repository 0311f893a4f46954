package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// Events that identify a request by the digest of its content, the same for all its retries, or a part of prompts.
const (
	eventCrash         = "request_at_end"
	eventBlocked       = "request_held_back"
	eventCleared       = "request_cleared"
	eventPartCrash     = "part_at_end"
	eventPartBlocked   = "part_blocked"
	eventPartUnblocked = "part_unblocked"
	eventPartCleared   = "part_cleared"
)

var (
	requestEvents = []string{eventCrash, eventBlocked, eventCleared}
	partEvents    = []string{eventPartCrash, eventPartBlocked, eventPartUnblocked, eventPartCleared}
)

// maxCrashLines limits the lines per digest or part.
const maxCrashLines = 20

// writeCrashes writes which backend servers crashed while they ran the request, a retry of it or requests with
// the part of its prompt that is blocked, at any router, and why a router blocked it.
func (s *trace) writeCrashes(b *strings.Builder) {
	for _, digest := range s.fieldValues("digest") {
		_, _ = fmt.Fprintf(b, "backend servers that ended while it was under way there, in any of its tries (digest %s):\n", digest)
		writeLines(b, s.related(requestEvents, "digest", digest))
	}
	for _, part := range s.fieldValues("part") {
		_, _ = fmt.Fprintf(b, "backend servers that ended while requests with a part of its prompt were under way there (part %s):\n", part)
		writeLines(b, s.related(partEvents, "part", part))
	}
}

// fieldValues returns the distinct values of a field in the lines of the request.
func (s *trace) fieldValues(field string) []string {
	var values []string
	for _, r := range s.records {
		if v := r.Fields[field]; r.Fields["request"] == s.id && v != "" && !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	return values
}

// writeLines writes the lines of records, maxCrashLines at most.
func writeLines(b *strings.Builder, records []logread.Record) {
	for _, r := range records[:min(maxCrashLines, len(records))] {
		_, _ = fmt.Fprintf(b, "  %s\n", r.Line)
	}
	if omitted := len(records) - maxCrashLines; omitted > 0 {
		_, _ = fmt.Fprintf(b, "  and %d more\n", omitted)
	}
}

// related returns the records of some events whose field has a value, oldest first, after correction of the clock
// offsets.
func (s *trace) related(events []string, field, value string) []logread.Record {
	var related []logread.Record
	for _, r := range s.records {
		if slices.Contains(events, r.Event) && r.Fields[field] == value {
			related = append(related, r)
		}
	}
	slices.SortStableFunc(related, func(a, b logread.Record) int {
		return a.Time.Add(-s.clockOffset[a.Router]).Compare(b.Time.Add(-s.clockOffset[b.Router]))
	})
	return related
}
