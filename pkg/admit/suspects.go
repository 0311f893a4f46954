package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// maxPerMessage bounds each list in a message about crashes. 256 crashes, those of four backend
	// servers with 64 requests each, take 5 kB.
	maxPerMessage = 256
	// maxQueuedUpdates bounds each list of queued updates.
	maxQueuedUpdates = 4 * maxPerMessage
)

// SuspectAdded is an action: a backend server crashed while a request, or requests with a part of a prompt,
// were in flight there.
type SuspectAdded struct {
	Digest  suspect.Digest
	Part    bool
	Backend string
	// Crashes is the number of backend servers that crashed under it.
	Crashes int
	// From is the router that reported it, "" if this router held the request.
	From string
}

func (SuspectAdded) action() {}

// SuspectCleared is an action: the crashes recorded for a request or a part were removed.
type SuspectCleared struct{ suspect.Cleared }

func (SuspectCleared) action() {}

// PartChanged is an action: a part became the likeliest cause of crashes, or ceased to be it.
type PartChanged struct{ suspect.Change }

func (PartChanged) action() {}

// emitSuspectChanges emits an action for each item whose crashes were removed, and for each part that is
// blocked or no longer blocked.
func (c *Core) emitSuspectChanges() {
	for _, cleared := range c.suspects.DrainCleared() {
		c.emit(SuspectCleared{cleared})
	}
	for _, change := range c.suspects.Changes() {
		c.emit(PartChanged{change})
	}
}

// recordCrash records that a backend server crashed while a request of this router was in
// flight there. It accuses the request and all parts of its prompt.
func (c *Core) recordCrash(s *server, subject suspect.Subject, crash suspect.Crash) {
	crash.Server = suspect.Server(s.key)
	crash.Digest = subject.Request
	c.accuse(s.Name, crash)
	crash.Part = true
	for _, crash.Digest = range subject.Parts {
		c.accuse(s.Name, crash)
	}
}

// accuse records a crash that this router observed, and queues it for other routers.
func (c *Core) accuse(backend string, crash suspect.Crash) {
	if !c.suspects.Record(c.now, crash) {
		return
	}
	c.emitAdded(crash, backend, "")
	crash.Extra = c.suspects.ExtraAllowed(crash.Digest)
	c.ownUpdates.add(crash)
}

func (c *Core) emitAdded(crash suspect.Crash, backend, from string) {
	c.emit(SuspectAdded{Digest: crash.Digest, Part: crash.Part, Backend: backend, Crashes: c.suspects.Crashes(crash.Digest), From: from})
}

// suspectUpdates are changes to send to other routers.
type suspectUpdates struct {
	// crashes are those under requests, partCrashes those under parts.
	crashes, partCrashes []suspect.Crash
	completed            []uint64
	// started, answered and ended are suspect requests of which an attempt started, began to
	// respond, or ended without a response.
	started, answered, ended []uint64
}

func (u *suspectUpdates) empty() bool {
	return len(u.crashes)+len(u.partCrashes)+len(u.completed)+len(u.started)+len(u.answered)+len(u.ended) == 0
}

// add queues a crash.
func (u *suspectUpdates) add(crash suspect.Crash) {
	if crash.Part {
		appendBounded(&u.partCrashes, crash)
		return
	}
	appendBounded(&u.crashes, crash)
}

// appendBounded appends to a list of queued updates unless it is full.
func appendBounded[T any](list *[]T, x T) {
	if len(*list) < maxQueuedUpdates {
		*list = append(*list, x)
	}
}

// markCompleted records that a request completed, which clears it and the parts of its prompt.
func (c *Core) markCompleted(subject suspect.Subject) {
	c.clearItem(subject.Request)
	for _, p := range subject.Parts {
		c.clearItem(p)
	}
}

func (c *Core) clearItem(d suspect.Digest) {
	if c.suspects.MarkCompleted(c.now, d) {
		appendBounded(&c.ownUpdates.completed, uint64(d))
	}
}

// handleSuspects applies another router's crash records, and queues those that were unknown for
// relaying.
func (c *Core) handleSuspects(from string, m *wire.SuspectUpdate) {
	c.applyCrashes(from, m.Crashes, false)
	for _, d := range m.Completed[:min(maxPerMessage, len(m.Completed))] {
		if c.suspects.MarkCompleted(c.now, suspect.Digest(d)) {
			appendBounded(&c.relayUpdates.completed, d)
		}
	}
	c.handleTrials(from, m)
}

// applyCrashes records crashes under requests, or under parts, that another router reports.
func (c *Core) applyCrashes(from string, crashes []wire.SuspectCrash, parts bool) {
	for _, x := range crashes[:min(maxPerMessage, len(crashes))] {
		c.applyCrash(from, x, parts)
	}
}

func (c *Core) applyCrash(from string, m wire.SuspectCrash, part bool) {
	if !isValidAge(m.AgoMillis) || !isValidAge(m.SentBeforeMillis) {
		return
	}
	at := c.now - time.Duration(m.AgoMillis)*time.Millisecond
	crash := suspect.Crash{
		Digest: suspect.Digest(m.Digest), Server: suspect.Server(m.Server), At: at, Sent: at - time.Duration(m.SentBeforeMillis)*time.Millisecond,
		Unanswered: m.Unanswered, Extra: m.Extra, Part: part,
	}
	name := ""
	if s, ok := c.servers[m.Server]; ok {
		name = s.Name
		if s.alive.contains(crash.At) {
			return
		}
		c.crashUnconfirmedNear(s, crash.At)
	}
	if c.suspects.Record(c.now, crash) {
		c.emitAdded(crash, name, from)
		c.relayUpdates.add(crash)
	}
}

// isValidAge reports whether an age in a message is within the time for which crashes are kept.
func isValidAge(millis int64) bool {
	return millis >= 0 && millis <= suspect.MaxRetention.Milliseconds()
}

// HasSuspectUpdates reports whether there are updates to send to other routers at once.
func (c *Core) HasSuspectUpdates() bool { return !c.ownUpdates.empty() }

// TakeSuspectUpdates returns the queued updates as messages, and clears them. A relay includes those that it
// received.
func (c *Core) TakeSuspectUpdates(now time.Duration, relay bool) []any {
	updates := c.ownUpdates
	if relay {
		updates.crashes = append(updates.crashes, c.relayUpdates.crashes...)
		updates.partCrashes = append(updates.partCrashes, c.relayUpdates.partCrashes...)
		updates.completed = append(updates.completed, c.relayUpdates.completed...)
		updates.started = append(updates.started, c.relayUpdates.started...)
		updates.answered = append(updates.answered, c.relayUpdates.answered...)
		updates.ended = append(updates.ended, c.relayUpdates.ended...)
	}
	c.ownUpdates, c.relayUpdates = suspectUpdates{}, suspectUpdates{}
	var list []any
	for len(updates.partCrashes) > 0 {
		list = append(list, &wire.PartCrashes{Crashes: crashMessages(now, takeChunk(&updates.partCrashes))})
	}
	for !updates.empty() {
		list = append(list, &wire.SuspectUpdate{
			Crashes: crashMessages(now, takeChunk(&updates.crashes)), Completed: takeChunk(&updates.completed),
			Retrying: takeChunk(&updates.started), Responding: takeChunk(&updates.answered), Ended: takeChunk(&updates.ended),
		})
	}
	return list
}

// takeChunk removes up to maxPerMessage items from a list and returns them.
func takeChunk[T any](list *[]T) []T {
	n := min(maxPerMessage, len(*list))
	chunk := (*list)[:n]
	*list = (*list)[n:]
	return chunk
}

// WorstSuspects returns the crashes of the requests and parts with the most crashes as messages, none if there are
// no crashes. They are for routers that are new or may have missed updates.
func (c *Core) WorstSuspects(now time.Duration) []any {
	var worst suspectUpdates
	for _, crash := range c.suspects.TopCrashes(maxPerMessage) {
		worst.add(crash)
	}
	var list []any
	if len(worst.partCrashes) > 0 {
		list = append(list, &wire.PartCrashes{Crashes: crashMessages(now, worst.partCrashes)})
	}
	if len(worst.crashes) > 0 {
		list = append(list, &wire.SuspectUpdate{Crashes: crashMessages(now, worst.crashes)})
	}
	return list
}

func crashMessages(now time.Duration, crashes []suspect.Crash) []wire.SuspectCrash {
	list := make([]wire.SuspectCrash, 0, len(crashes))
	for _, crash := range crashes {
		list = append(list, wire.SuspectCrash{
			Digest: uint64(crash.Digest), Server: wire.NameHash(crash.Server), AgoMillis: (now - crash.At).Milliseconds(),
			SentBeforeMillis: (crash.At - crash.Sent).Milliseconds(), Unanswered: crash.Unanswered, Extra: crash.Extra,
		})
	}
	return list
}

// SuspectCount returns the number of requests and parts with recorded crashes.
func (c *Core) SuspectCount() int { return c.suspects.Len() }

// BlockedParts returns the number of prompt parts that are the likeliest cause of crashes.
func (c *Core) BlockedParts() int { return c.suspects.BlockedParts() }

// Suspects returns the crashes of the requests and parts with the most crashes.
func (c *Core) Suspects(limit int) []suspect.Crash { return c.suspects.TopCrashes(limit) }
