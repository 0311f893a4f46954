// Package explain reconstructs from the logs of routers how a request ended and why: the state
// of its router at arrival, the attempts, and the outcome of other attempts at the same backend
// servers at that time.
package explain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// ErrNotFound is returned if no log line contains the request ID.
var ErrNotFound = errors.New("request not found; pass the logs of the router that received it, written until the request ended")

// Events of a request.
const (
	eventEnd     = "request_end"
	eventAttempt = "attempt_end"
)

// stateEvents are the events that describe the state of a router. Explain shows the last one of
// each kind before the request arrived.
var stateEvents = []string{
	"router_started", "router_leaving", "router_was_paused", eventTable, "members", "platform_read_failed",
	"platform_read_again", "router_pace", "router_work", "router_overloaded", "router_recovered", "shares", "shortage", "returns", "settings_reloaded",
}

// proximity is the maximum time between the ends of two attempts at the same backend server
// that are compared.
const proximity = 2 * time.Second

// trace holds what the logs contain about one request.
type trace struct {
	id       string
	records  []logread.Record
	end      *logread.Record
	attempts []logread.Record
	// arrived is the arrival time on the clock of the request's router.
	arrived time.Time
	router  string
	// clockOffset is how far the clocks of other routers are ahead of that clock.
	clockOffset map[string]time.Duration
}

// Explain writes a report on the request with the ID.
func Explain(w io.Writer, id string, records []logread.Record) error {
	s, err := collect(id, records)
	if err != nil {
		return err
	}
	var b strings.Builder
	s.writeEnd(&b)
	s.writeRouterState(&b)
	s.writeAttempts(&b)
	s.writeStream(&b)
	s.writeCrashes(&b)
	s.writeLines(&b)
	_, err = io.WriteString(w, b.String())
	return err
}

func collect(id string, records []logread.Record) (*trace, error) {
	s := &trace{id: id, records: records}
	for i, r := range records {
		if r.Fields["request"] != id {
			continue
		}
		s.router, s.arrived = r.Router, startTime(&r)
		switch r.Event {
		case eventEnd:
			s.end = &records[i]
		case eventAttempt:
			s.attempts = append(s.attempts, r)
		}
	}
	if s.router == "" {
		return nil, ErrNotFound
	}
	if s.end != nil {
		s.arrived = startTime(s.end)
	}
	s.clockOffset = clockOffsets(records, s.router)
	return s, nil
}

func (s *trace) writeEnd(b *strings.Builder) {
	if s.end == nil {
		_, _ = fmt.Fprintf(b, "request %s came to %s at %s; its end is not in these logs\n", s.id, s.router, s.arrived.Format(time.RFC3339Nano))
		return
	}
	f := s.end.Fields
	_, _ = fmt.Fprintf(b, "request %s came to %s at %s and ended after %s ms: status %s, code %q, %s\n",
		s.id, s.router, s.arrived.Format(time.RFC3339Nano), f["total_ms"], f["status"], f["code"], f["verdict"])
	c, ok := causes[f["code"]]
	if !ok {
		c = unknownCause
	}
	_, _ = fmt.Fprintf(b, "  means: %s\n  look at: %s\n", c.Meaning, c.NextStep)
	writeReturn(b, f)
}

// writeRouterState writes the state of the router when the request arrived, oldest event first.
func (s *trace) writeRouterState(b *strings.Builder) {
	last := map[string]logread.Record{}
	for _, r := range s.records {
		if r.Router == s.router && !r.Time.After(s.arrived) && slices.Contains(stateEvents, r.Event) {
			last[r.Event] = r
		}
	}
	list := slices.SortedFunc(maps.Values(last), func(a, b logread.Record) int { return a.Time.Compare(b.Time) })
	b.WriteString("what its router believed then:\n")
	for _, r := range list {
		_, _ = fmt.Fprintf(b, "  %8.1f s before: %s\n", s.arrived.Sub(r.Time).Seconds(), r.Line)
	}
}

func (s *trace) writeAttempts(b *strings.Builder) {
	for _, a := range s.attempts {
		f := a.Fields
		_, _ = fmt.Fprintf(b, "attempt %s at %s (%s): %s requests and %s tokens ahead, first event expected in %s ms and seen in %s, ended after %s ms, code %q\n",
			f["attempt"], f["backend"], f["why"], f["running"], f["ahead"], f["expected_ms"], f["first_ms"], f["total_ms"], f["code"])
		_, _ = fmt.Fprintf(b, "  there within %s of its end: %s\n", proximity, s.otherAttempts(a))
	}
}

// otherAttempts counts the outcomes of other attempts at the same backend server that ended at
// about the same time.
func (s *trace) otherAttempts(a logread.Record) string {
	codes := map[string]int{}
	routers := map[string]bool{}
	for _, r := range s.records {
		if r.Event != eventAttempt || r.Fields["backend"] != a.Fields["backend"] || r.Fields["request"] == s.id {
			continue
		}
		distance := s.aligned(r).Sub(a.Time).Abs()
		if distance > proximity {
			continue
		}
		codes[r.Fields["code"]]++
		routers[r.Router] = true
	}
	if len(codes) == 0 {
		return "no other attempt"
	}
	names := slices.SortedFunc(maps.Keys(codes), func(x, y string) int {
		return cmp.Or(cmp.Compare(codes[y], codes[x]), cmp.Compare(x, y))
	})
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", codes[name], cmp.Or(name, "answered")))
	}
	return fmt.Sprintf("%s, by %d routers", strings.Join(parts, ", "), len(routers))
}

// writeLines writes the log lines of the request.
func (s *trace) writeLines(b *strings.Builder) {
	b.WriteString("its lines:\n")
	for _, r := range s.records {
		if r.Fields["request"] == s.id {
			_, _ = fmt.Fprintf(b, "  %s\n", r.Line)
		}
	}
}
