package explain

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// Events that identify a request by the digest of its content, the same for all its retries.
const (
	eventCrash   = "request_at_end"
	eventBlocked = "request_held_back"
	eventCleared = "request_cleared"
)

// maxCrashLines limits the lines per digest.
const maxCrashLines = 20

// writeCrashes writes which backend servers crashed while they ran the request or a retry of it,
// at any router, and why a router blocked it.
func (s *trace) writeCrashes(b *strings.Builder) {
	var digests []string
	for _, r := range s.records {
		if digest := r.Fields["digest"]; r.Fields["request"] == s.id && digest != "" && !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	for _, digest := range digests {
		related := s.crashRecords(digest)
		_, _ = fmt.Fprintf(b, "backend servers that ended while it was under way there, in any of its tries (digest %s):\n", digest)
		for _, r := range related[:min(maxCrashLines, len(related))] {
			_, _ = fmt.Fprintf(b, "  %s\n", r.Line)
		}
		if omitted := len(related) - maxCrashLines; omitted > 0 {
			_, _ = fmt.Fprintf(b, "  and %d more\n", omitted)
		}
	}
}

// crashRecords returns the records with the digest, oldest first, after correction of the clock
// offsets.
func (s *trace) crashRecords(digest string) []logread.Record {
	var related []logread.Record
	for _, r := range s.records {
		if slices.Contains([]string{eventCrash, eventBlocked, eventCleared}, r.Event) && r.Fields["digest"] == digest {
			related = append(related, r)
		}
	}
	slices.SortStableFunc(related, func(a, b logread.Record) int {
		return a.Time.Add(-s.clockOffset[a.Router]).Compare(b.Time.Add(-s.clockOffset[b.Router]))
	})
	return related
}
