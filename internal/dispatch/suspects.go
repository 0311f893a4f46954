package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

const (
	// suspectSyncInterval is the interval of sending all suspects to one router in turn,
	// which repairs lost messages.
	suspectSyncInterval = 2 * time.Second
	// maxStatusSuspects bounds the crashes in the status.
	maxStatusSuspects = 32
)

// sendSuspectUpdates sends new crashes to other routers. A router sends what it observed itself
// to all its peers; a relay also passes on what it received.
func (s *state) sendSuspectUpdates() {
	count := s.core.SuspectCount()
	for _, m := range s.core.TakeSuspectUpdates(s.now, s.peerPlan.Relay) {
		s.broadcast(m, "")
	}
	if all := s.peerPlan.Peers; count > 0 && len(all) > 0 && s.now-s.suspectsSentAt >= suspectSyncInterval {
		s.suspectsSentAt = s.now
		s.suspectsSent++
		s.sendAllSuspects(all[s.suspectsSent%len(all)])
	}
}

// sendAllSuspects sends a router the suspects that fit one message.
func (s *state) sendAllSuspects(to string) {
	if m := s.core.WorstSuspects(s.now); m != nil {
		s.d.transport.Send(to, m)
	}
}

// logCrash logs that a backend server crashed while it ran a request. Crashes that other
// routers report are logged from the second one of a request on, since most requests with one
// crash are harmless.
func (s *state) logCrash(a admit.SuspectAdded) {
	if a.From != "" && a.Crashes < 2 {
		return
	}
	s.d.opt.log.Info("request_at_end", "request", s.endingRequest, "digest", a.Digest.String(), "backend", a.Backend, "ends", a.Crashes, "from", a.From)
}

// recordCleared counts crashes that are no longer tracked. It logs them if the request had
// several.
func (s *state) recordCleared(a admit.SuspectCleared) {
	s.clearedCrashes[a.Reason] += int64(a.Crashes)
	if a.Crashes > 1 {
		s.d.opt.log.Info("request_cleared", "digest", a.Digest.String(), "ends", a.Crashes, "reason", string(a.Reason))
	}
}

// logBlocked logs that a request was refused because of the crashes under it.
func (s *state) logBlocked(a admit.Refuse) {
	if w, ok := s.waiting[a.ID]; ok && a.Crashes > 0 {
		s.d.opt.log.Warn("request_held_back", "request", w.request.ID, "digest", w.digest.String(), "ends", a.Crashes, "code", a.Err.Code,
			"retry_after_ms", a.Err.RetryAfter.Milliseconds())
	}
}

// Suspect is a request that was running on backend servers when they crashed.
type Suspect struct {
	// Digest identifies the request, Crashes is the number of backend servers that crashed,
	// LastMillisAgo the age of the last crash.
	Digest        string `json:"digest"`
	Crashes       int    `json:"ends"`
	LastMillisAgo int64  `json:"last_ms_ago"`
}

// suspects lists the requests with the most crashes, and counts all that are tracked.
func (s *state) suspects() (list []Suspect, count int) {
	for _, c := range s.core.Suspects(maxStatusSuspects) {
		if n := len(list); n == 0 || list[n-1].Digest != c.Digest.String() {
			list = append(list, Suspect{Digest: c.Digest.String()})
		}
		last := &list[len(list)-1]
		last.Crashes++
		last.LastMillisAgo = (s.now - c.At).Milliseconds()
	}
	return list, s.core.SuspectCount()
}
