package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

// A response without a length and without chunks ends with its connection, and so it does if the backend
// server crashes between two events. Such a completion clears no crashes until the server is known to
// have been alive after it, and counts as a crash if the server crashed then.

const (
	// confirmAfter is the time after which a completion is taken for one, if nothing shows that the server
	// crashed. The directory ceases to list a crashed server in less: entries have leases of up to 4 s.
	confirmAfter = 5 * time.Second
	// maxUnconfirmed bounds the completions remembered per backend server.
	maxUnconfirmed = 64
	// sameCrash is the maximum time between a completion and a crash that ended it. Routers learn of a
	// crash from the ends of their connections, within milliseconds of each other.
	sameCrash = 150 * time.Millisecond
)

// unconfirmed is a completion that may be a crash.
type unconfirmed struct {
	subject     suspect.Subject
	sentAt, end time.Duration
}

// subject returns what a crash accuses in a request.
func (r *request) subject(d suspect.Digest) suspect.Subject {
	return suspect.Subject{Request: d, Parts: r.Parts}
}

// deferCompletion remembers a completion that may be a crash.
func (c *Core) deferCompletion(r *request, subject suspect.Subject) {
	s := r.server
	if len(s.unconfirmed) == maxUnconfirmed {
		s.unconfirmed = s.unconfirmed[1:]
	}
	s.unconfirmed = append(s.unconfirmed, unconfirmed{subject: subject, sentAt: r.startedAt, end: c.now})
}

// confirmCompletions records the completions of a backend server that ended before a request was sent to
// which it responded.
func (c *Core) confirmCompletions(s *server, sent time.Duration) {
	if !c.opt.uniqueIncarnations || s.StartTime != 0 {
		// The response may be that of a new incarnation.
		return
	}
	c.confirmWhile(s, func(x unconfirmed) bool { return x.end <= sent })
}

// confirmOld records the completions after which nothing showed a crash for long.
func (c *Core) confirmOld() {
	for _, s := range c.servers {
		c.confirmWhile(s, func(x unconfirmed) bool { return c.now-x.end >= confirmAfter })
	}
}

// confirmWhile records the oldest completions for which a condition holds.
func (c *Core) confirmWhile(s *server, holds func(unconfirmed) bool) {
	for len(s.unconfirmed) > 0 && holds(s.unconfirmed[0]) {
		x := s.unconfirmed[0]
		s.unconfirmed = s.unconfirmed[1:]
		c.markCompleted(x.subject)
	}
}

// crashUnconfirmed records that all unconfirmed completions of a backend server were crashes.
func (c *Core) crashUnconfirmed(s *server) {
	c.crashUnconfirmedWhere(s, func(unconfirmed) bool { return true })
}

// crashUnconfirmedNear records that the unconfirmed completions of a backend server at about the time of a crash were
// crashes, too.
func (c *Core) crashUnconfirmedNear(s *server, at time.Duration) {
	c.crashUnconfirmedWhere(s, func(x unconfirmed) bool { return (at - x.end).Abs() < sameCrash })
}

// crashUnconfirmedWhere records that the matching unconfirmed completions of a backend server were crashes.
func (c *Core) crashUnconfirmedWhere(s *server, match func(unconfirmed) bool) {
	var crashed, others []unconfirmed
	for _, x := range s.unconfirmed {
		if match(x) {
			crashed = append(crashed, x)
			continue
		}
		others = append(others, x)
	}
	s.unconfirmed = others
	for _, x := range crashed {
		c.recordCrash(s, x.subject, suspect.Crash{At: x.end, Sent: x.sentAt})
	}
}
