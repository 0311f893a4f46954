package dispatch

import (
	"fmt"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

const (
	// allSuspectsEvery is the interval at which one other router in turn is told of all
	// suspects, so that a message which was lost does no lasting harm.
	allSuspectsEvery = 2 * time.Second
	// suspectsShown bounds the ends that the status lists.
	suspectsShown = 32
)

// tellSuspects tells other routers which requests were at ends of backend servers: what
// this router saw itself to all it talks with, and a relay passes on what it was told.
func (s *state) tellSuspects() {
	count := s.core.SuspectCount()
	for _, m := range s.core.TakeSuspectUpdates(s.now, s.talk.Relay) {
		s.sendToAll(m, "")
	}
	if all := s.talk.Peers; count > 0 && len(all) > 0 && s.now-s.suspectsAt >= allSuspectsEvery {
		s.suspectsAt = s.now
		s.suspectsTo++
		s.tellAllSuspects(all[s.suspectsTo%len(all)])
	}
}

// tellAllSuspects tells a router of all suspects, as far as one message holds them.
func (s *state) tellAllSuspects(to string) {
	if m := s.core.WorstSuspects(s.now); m != nil {
		s.d.net.Send(to, m)
	}
}

// logSuspected logs that a backend server ended while a request was under way there.
// What another router tells is logged from the second end on: the first are those of all
// that was under way there.
func (s *state) logSuspected(a admit.SuspectAdded) {
	if a.From != "" && a.Crashes < 2 {
		return
	}
	s.d.opt.log.Info("request_at_end", "request", s.ending, "digest", digestText(a.Digest), "backend", a.Backend, "ends", a.Crashes, "from", a.From)
}

// noteCleared counts ends of a request that are not remembered any more, and logs them
// where there were several: one is what each request has that was there at an end.
func (s *state) noteCleared(a admit.SuspectCleared) {
	s.cleared[a.Reason] += int64(a.Crashes)
	if a.Crashes > 1 {
		s.d.opt.log.Info("request_cleared", "digest", digestText(a.Digest), "ends", a.Crashes, "reason", string(a.Reason))
	}
}

// logHeldBack logs that a request gets no backend server since servers ended under it.
func (s *state) logHeldBack(a admit.Refuse) {
	if w, ok := s.waiting[a.ID]; ok && a.Crashes > 0 {
		s.d.opt.log.Warn("request_held_back", "request", w.request.ID, "digest", digestText(w.digest), "ends", a.Crashes, "code", a.Err.Code,
			"retry_after_ms", a.Err.RetryAfter.Milliseconds())
	}
}

func digestText(d suspect.Digest) string { return fmt.Sprintf("%016x", uint64(d)) }

// Suspect is a request that was running on backend servers when they terminated.
type Suspect struct {
	// Digest identifies the request, Terminations is the number of backend servers that
	// terminated, LastMillisAgo the age of the last termination.
	Digest        string `json:"digest"`
	Terminations  int    `json:"ends"`
	LastMillisAgo int64  `json:"last_ms_ago"`
}

// suspects lists the worst requests, and counts all that are remembered.
func (s *state) suspects() (list []Suspect, count int) {
	for _, e := range s.core.Suspects(suspectsShown) {
		if n := len(list); n == 0 || list[n-1].Digest != digestText(e.Digest) {
			list = append(list, Suspect{Digest: digestText(e.Digest)})
		}
		last := &list[len(list)-1]
		last.Terminations++
		last.LastMillisAgo = (s.now - e.At).Milliseconds()
	}
	return list, s.core.SuspectCount()
}
