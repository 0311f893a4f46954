package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// A backend server whose machine is lost breaks no connection off: its requests fall silent,
// and some seconds later the directory does not list it any more. That is an end like any
// other, for which a silence alone is no sign: a server may be slow, or the way to it cut.

const (
	// silenceKept is for how long a silence may be an end: leases of entries last some
	// seconds.
	silenceKept = 10 * time.Second
	// mostSilences bounds those that are remembered of a backend server: as many as an
	// engine runs requests.
	mostSilences = 64
)

// silence is a try that ended without a word of its backend server since it was sent.
type silence struct {
	digest   suspect.Digest
	sent, at time.Duration
}

// noteSilence takes in that a try ended without an answer.
func (c *Core) noteSilence(r *request, d suspect.Digest) {
	s := r.at
	if d == 0 || s.heard >= r.started {
		return
	}
	if len(s.silences) == mostSilences {
		s.silences = s.silences[1:]
	}
	s.silences = append(s.silences, silence{digest: d, sent: r.started, at: c.now})
	c.endSilences(s)
}

// noteVanished takes in that the directory does not list a backend server any more.
func (c *Core) noteVanished(s *server) {
	s.vanished = s.vanished || s.Mark == table.Serving && !s.saysLeaving()
	c.endSilences(s)
}

// endSilences takes the silences of a backend server for its end if its entry has gone
// unannounced. That of one in a zone that is cut off goes, too. When it ended is not known, so
// that none of its requests stands out by it.
func (c *Core) endSilences(s *server) {
	if !s.vanished || c.cutOff[s.Zone] {
		return
	}
	for _, x := range s.silences {
		if c.now-x.at < silenceKept && s.heard < x.sent {
			c.noteEnd(s, suspect.Crash{Digest: x.digest, At: x.at, Sent: x.sent})
		}
	}
	s.silences = nil
}
