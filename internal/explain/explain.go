// Package explain tells from the logs of routers what became of one request
// and why: what its router believed when it came, where it was sent, and what
// others saw of the same backend servers at that time.
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

// ErrNotFound says that no line names the request.
var ErrNotFound = errors.New("no line names the request; are these the logs of the router that it came to, from before its end?")

// Events of a request.
const (
	eventEnd     = "request_end"
	eventAttempt = "attempt_end"
)

// beliefs are the events that tell what a router believes; of each, the last
// before the request came is shown.
var beliefs = []string{
	"router_started", "router_leaving", "router_was_paused", eventTable, "members", "platform_read_failed",
	"platform_read_again", "router_pace", "router_work", "router_overloaded", "router_recovered", "shares", "settings_reloaded",
}

// around is how long before and after an attempt others' attempts at the same
// backend server are counted.
const around = 2 * time.Second

// story is what the logs tell of one request.
type story struct {
	id       string
	records  []logread.Record
	end      *logread.Record
	attempts []logread.Record
	// arrived is when the request came, on its router's clock.
	arrived time.Time
	router  string
	// ahead is how far other routers' clocks are ahead of its router's.
	ahead map[string]time.Duration
}

// Explain writes the story of a request.
func Explain(w io.Writer, id string, records []logread.Record) error {
	s, err := gather(id, records)
	if err != nil {
		return err
	}
	var b strings.Builder
	s.tellEnd(&b)
	s.tellBeliefs(&b)
	s.tellAttempts(&b)
	s.tellSuspicion(&b)
	s.tellLines(&b)
	_, err = io.WriteString(w, b.String())
	return err
}

func gather(id string, records []logread.Record) (*story, error) {
	s := &story{id: id, records: records}
	for i, r := range records {
		if r.Fields["request"] != id {
			continue
		}
		s.router, s.arrived = r.Router, beginOf(&r)
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
		s.arrived = beginOf(s.end)
	}
	s.ahead = align(records, s.router)
	return s, nil
}

func (s *story) tellEnd(b *strings.Builder) {
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
	_, _ = fmt.Fprintf(b, "  means: %s\n  look at: %s\n", c.Means, c.Look)
}

// tellBeliefs shows what the router believed when the request came, the oldest
// first.
func (s *story) tellBeliefs(b *strings.Builder) {
	last := map[string]logread.Record{}
	for _, r := range s.records {
		if r.Router == s.router && !r.Time.After(s.arrived) && slices.Contains(beliefs, r.Event) {
			last[r.Event] = r
		}
	}
	list := slices.SortedFunc(maps.Values(last), func(a, b logread.Record) int { return a.Time.Compare(b.Time) })
	b.WriteString("what its router believed then:\n")
	for _, r := range list {
		_, _ = fmt.Fprintf(b, "  %8.1f s before: %s\n", s.arrived.Sub(r.Time).Seconds(), r.Line)
	}
}

func (s *story) tellAttempts(b *strings.Builder) {
	for _, a := range s.attempts {
		f := a.Fields
		_, _ = fmt.Fprintf(b, "attempt %s at %s (%s): %s requests and %s tokens ahead, first event expected in %s ms and seen in %s, ended after %s ms, code %q\n",
			f["attempt"], f["backend"], f["why"], f["running"], f["ahead"], f["expected_ms"], f["first_ms"], f["total_ms"], f["code"])
		_, _ = fmt.Fprintf(b, "  there within %s of its end: %s\n", around, s.others(a))
	}
}

// others counts how the other attempts at the same backend server ended about
// the same time.
func (s *story) others(a logread.Record) string {
	codes := map[string]int{}
	routers := map[string]bool{}
	for _, r := range s.records {
		if r.Event != eventAttempt || r.Fields["backend"] != a.Fields["backend"] || r.Fields["request"] == s.id {
			continue
		}
		apart := r.Time.Add(-s.ahead[r.Router]).Sub(a.Time).Abs()
		if apart > around {
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

// tellLines shows the request's own lines.
func (s *story) tellLines(b *strings.Builder) {
	b.WriteString("its lines:\n")
	for _, r := range s.records {
		if r.Fields["request"] == s.id {
			_, _ = fmt.Fprintf(b, "  %s\n", r.Line)
		}
	}
}
