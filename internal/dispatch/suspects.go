package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
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

// sendAllSuspects sends a router the suspects with the most crashes.
func (s *state) sendAllSuspects(to string) {
	for _, m := range s.core.WorstSuspects(s.now) {
		s.d.transport.Send(to, m)
	}
}

// logCrash logs that a backend server crashed while it ran a request. Crashes of parts, and those that other
// routers report, are logged from the second one on, since most of what was at one crash is harmless.
func (s *state) logCrash(a admit.SuspectAdded) {
	switch {
	case a.Crashes < 2 && (a.Part || a.From != ""):
	case a.Part:
		s.d.opt.log.Info("part_at_end", "part", a.Digest.String(), "backend", a.Backend, "ends", a.Crashes, "from", a.From)
	default:
		s.d.opt.log.Info("request_at_end", "request", s.endingRequest, "digest", a.Digest.String(), "backend", a.Backend, "ends", a.Crashes, "from", a.From)
	}
}

// recordCleared counts crashes that are no longer tracked. It logs them if the request or the part had
// several.
func (s *state) recordCleared(a admit.SuspectCleared) {
	s.clearedCrashes[a.Reason] += int64(a.Crashes)
	switch {
	case a.Crashes < 2:
	case a.Part:
		s.d.opt.log.Info("part_cleared", "part", a.Digest.String(), "ends", a.Crashes, "reason", string(a.Reason))
	default:
		s.d.opt.log.Info("request_cleared", "digest", a.Digest.String(), "ends", a.Crashes, "reason", string(a.Reason))
	}
}

// logPart logs that a part became the likeliest cause of crashes, or ceased to be it.
func (s *state) logPart(a admit.PartChanged) {
	if a.Crashes == 0 {
		s.d.opt.log.Info("part_unblocked", "part", a.Part.String())
		return
	}
	s.d.opt.log.Warn("part_blocked", "part", a.Part.String(), "ends", a.Crashes, "certain", a.Certain)
}

// logBlocked logs that a request was refused because of the crashes under it or under a part of its prompt.
func (s *state) logBlocked(a admit.Refuse) {
	w, ok := s.waiting[a.ID]
	if !ok || a.Crashes == 0 {
		return
	}
	part, id := "", ""
	for _, p := range w.request.Parts {
		if p.Digest == a.Part {
			part, id = p.Digest.String(), p.LoggedID()
		}
	}
	s.d.opt.log.Warn("request_held_back", "request", w.request.ID, "digest", w.digest.String(), "ends", a.Crashes, "part", part, "part_id", id, "code", a.Err.Code,
		"retry_after_ms", a.Err.RetryAfter.Milliseconds())
}

// partDigests returns the digests of parts.
func partDigests(parts []front.Part) []suspect.Digest {
	if len(parts) == 0 {
		return nil
	}
	list := make([]suspect.Digest, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.Digest)
	}
	return list
}

// Suspect is a request, or a part of prompts, that was in flight at backend servers when they crashed.
type Suspect struct {
	// Digest identifies it, Part says that it is a part. Crashes is the number of backend servers that crashed,
	// LastMillisAgo the age of the last crash.
	Digest        string `json:"digest"`
	Part          bool   `json:"part,omitempty"`
	Crashes       int    `json:"ends"`
	LastMillisAgo int64  `json:"last_ms_ago"`
}

// suspects lists the requests and parts with the most crashes, and counts all that are tracked.
func (s *state) suspects() (list []Suspect, count int) {
	for _, c := range s.core.Suspects(maxStatusSuspects) {
		if n := len(list); n == 0 || list[n-1].Digest != c.Digest.String() {
			list = append(list, Suspect{Digest: c.Digest.String(), Part: c.Part})
		}
		last := &list[len(list)-1]
		last.Crashes++
		last.LastMillisAgo = (s.now - c.At).Milliseconds()
	}
	return list, s.core.SuspectCount()
}
