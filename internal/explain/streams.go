package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// eventResumed is the decision on a stream that its caller takes up.
const eventResumed = "stream_resumed"

// writeStream writes the tries of a caller at the stream of the request, with the software version of each
// attempt. It writes nothing if no try takes up another one.
func (s *trace) writeStream(b *strings.Builder) {
	first, tries := s.streamTries()
	if len(tries) == 1 {
		return
	}
	var list []logread.Record
	for _, r := range s.records {
		if tries[r.Fields["request"]] && (r.Event == eventAttempt || r.Event == eventResumed) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b logread.Record) int {
		return cmp.Or(s.aligned(a).Compare(s.aligned(b)), cmp.Compare(a.Event, b.Event))
	})
	_, _ = fmt.Fprintf(b, "its stream, which request %s began:\n", first)
	for _, r := range list {
		_, _ = fmt.Fprintf(b, "  %+8.3f s at %s: request %s %s\n", s.aligned(r).Sub(s.aligned(list[0])).Seconds(), r.Router, r.Fields["request"], describeTry(r))
	}
}

// streamTries returns the request that began the stream, and all requests of the caller at it.
func (s *trace) streamTries() (first string, tries map[string]bool) {
	first = s.id
	if s.end != nil {
		first = cmp.Or(s.end.Fields["resumes"], s.id)
	}
	tries = map[string]bool{first: true}
	for _, r := range s.records {
		if r.Fields["resumes"] == first {
			tries[r.Fields["request"]] = true
		}
	}
	return first, tries
}

func describeTry(r logread.Record) string {
	f := r.Fields
	if r.Event == eventResumed {
		return fmt.Sprintf("takes it up: %s, version %q, known by %q, %s routers asked, %s did not reply", f["outcome"], f["version"], f["from"], f["asked"], f["no_reply"])
	}
	return fmt.Sprintf("attempt %s at %s, version %q, up to event %s, code %q", f["attempt"], f["backend"], f["version"], f["events"], f["code"])
}

// aligned returns when a line was logged, on the clock of the request's router.
func (s *trace) aligned(r logread.Record) time.Time { return r.Time.Add(-s.clockOffset[r.Router]) }
