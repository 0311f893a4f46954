package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// If a machine is lost, connections to its backend server do not break: requests stall, and
// some seconds later the directory no longer lists the server. That counts as a crash under
// these requests. A stall alone does not, since the server or the network may be slow.

const (
	// stallTTL bounds the time between a stall and the removal of the directory entry. Entries
	// have leases of some seconds.
	stallTTL = 10 * time.Second
	// maxStalls bounds the stalls remembered per backend server.
	maxStalls = 64
)

// stall is an attempt that ended without any response of its backend server after the attempt
// was sent.
type stall struct {
	subject           suspect.Subject
	sentAt, stalledAt time.Duration
}

// recordStall records that an attempt ended without a response.
func (c *Core) recordStall(r *request, subject suspect.Subject) {
	s := r.server
	if subject.Request == 0 || s.answeredAt >= r.startedAt {
		return
	}
	if len(s.stalls) == maxStalls {
		s.stalls = s.stalls[1:]
	}
	s.stalls = append(s.stalls, stall{subject: subject, sentAt: r.startedAt, stalledAt: c.now})
	c.crashFromStalls(s)
}

// recordVanished records that the directory no longer lists a backend server.
func (c *Core) recordVanished(s *server) {
	s.vanished = s.vanished || s.Mark == table.Serving && !s.announcedLeaving()
	if s.vanished && !c.unreachableZones[s.Zone] {
		c.crashUnconfirmed(s)
	}
	c.crashFromStalls(s)
}

// crashFromStalls records a crash under the stalled requests of a backend server that vanished
// from the directory without having announced that it leaves. It does nothing in unreachable
// zones, whose entries vanish as well. Since the time of the crash is unknown, Unanswered stays
// unset.
func (c *Core) crashFromStalls(s *server) {
	if !s.vanished || c.unreachableZones[s.Zone] {
		return
	}
	for _, x := range s.stalls {
		if c.now-x.stalledAt < stallTTL && s.answeredAt < x.sentAt {
			c.recordCrash(s, x.subject, suspect.Crash{At: x.stalledAt, Sent: x.sentAt})
		}
	}
	s.stalls = nil
}
