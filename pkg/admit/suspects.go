package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// mostTold bounds the ends that routers tell each other of in one message: 256 of
	// 21 bytes take 5 kB, and are those of four backend servers.
	mostTold = 256
	// mostWaitTold bounds those that wait to be told.
	mostWaitTold = 4 * mostTold
)

// SuspectAdded is an action: a backend server ended while a request was under way there.
type SuspectAdded struct {
	Digest  suspect.Digest
	Backend string
	// Crashes is how many backend servers ended under the request.
	Crashes int
	// From is the router that told of it, "" if the request was this router's.
	From string
}

func (SuspectAdded) action() {}

// SuspectCleared is an action: ends of a request are not remembered any more.
type SuspectCleared struct{ suspect.Cleared }

func (SuspectCleared) action() {}

// tellCleared says what has been forgotten of ends, or taken back.
func (c *Core) tellCleared() {
	for _, x := range c.suspects.DrainCleared() {
		c.act(SuspectCleared{x})
	}
}

// noteEnd takes in that a backend server ended while a request of this router was under way
// there.
func (c *Core) noteEnd(s *server, e suspect.Crash) {
	e.Server = suspect.Server(s.key)
	if c.suspects.Record(c.now, e) {
		c.act(SuspectAdded{Digest: e.Digest, Backend: s.Name, Crashes: c.suspects.Status(c.now, e.Digest).Crashes})
		e.Extra = c.suspects.ExtraAllowed(e.Digest)
		addBounded(&c.ownNews.ends, e)
	}
}

// suspectNews is what other routers are to be told of ends.
type suspectNews struct {
	ends []suspect.Crash
	ran  []uint64
	// begun, answers and over are requests of which a try runs, has begun to answer, or
	// does not run any more.
	begun, answers, over []uint64
}

func (n *suspectNews) empty() bool {
	return len(n.ends)+len(n.ran)+len(n.begun)+len(n.answers)+len(n.over) == 0
}

// addBounded adds to a list of what waits to be told.
func addBounded[T any](list *[]T, x T) {
	if len(*list) < mostWaitTold {
		*list = append(*list, x)
	}
}

// ranWhole takes in that a request has run to its end.
func (c *Core) ranWhole(d suspect.Digest) {
	if c.suspects.MarkCompleted(c.now, d) {
		addBounded(&c.ownNews.ran, uint64(d))
	}
}

// toldSuspects takes in what another router knows of ends. What is news is passed on.
func (c *Core) toldSuspects(from string, m *wire.SuspectUpdate) {
	for _, x := range m.Crashes[:min(mostTold, len(m.Crashes))] {
		c.toldEnd(from, x)
	}
	for _, d := range m.Completed[:min(mostTold, len(m.Completed))] {
		if c.suspects.MarkCompleted(c.now, suspect.Digest(d)) {
			addBounded(&c.heardNews.ran, d)
		}
	}
	c.toldTrials(from, m)
}

func (c *Core) toldEnd(from string, x wire.SuspectCrash) {
	if !isAgo(x.AgoMillis) || !isAgo(x.SentBeforeMillis) {
		return
	}
	at := c.now - time.Duration(x.AgoMillis)*time.Millisecond
	e := suspect.Crash{
		Digest: suspect.Digest(x.Digest), Server: suspect.Server(x.Server), At: at, Sent: at - time.Duration(x.SentBeforeMillis)*time.Millisecond,
		Unanswered: x.Unanswered, Extra: x.Extra,
	}
	name := ""
	if s, ok := c.servers[x.Server]; ok {
		name = s.Name
		if s.alive.holds(e.At) {
			return
		}
	}
	if c.suspects.Record(c.now, e) {
		c.act(SuspectAdded{Digest: e.Digest, Backend: name, Crashes: c.suspects.Status(c.now, e.Digest).Crashes, From: from})
		addBounded(&c.heardNews.ends, e)
	}
}

// isAgo reports whether an end may be told of that was so long ago.
func isAgo(millis int64) bool { return millis >= 0 && millis <= suspect.MaxRetention.Milliseconds() }

// HasSuspectUpdates reports whether other routers are to be told of something at once.
func (c *Core) HasSuspectUpdates() bool { return !c.ownNews.empty() }

// TakeSuspectUpdates returns what other routers are to be told of ends since the last time: a
// relay passes on what it heard.
func (c *Core) TakeSuspectUpdates(now time.Duration, relay bool) []*wire.SuspectUpdate {
	news := c.ownNews
	if relay {
		news.ends = append(news.ends, c.heardNews.ends...)
		news.ran = append(news.ran, c.heardNews.ran...)
		news.begun = append(news.begun, c.heardNews.begun...)
		news.answers = append(news.answers, c.heardNews.answers...)
		news.over = append(news.over, c.heardNews.over...)
	}
	c.ownNews, c.heardNews = suspectNews{}, suspectNews{}
	var list []*wire.SuspectUpdate
	for !news.empty() {
		list = append(list, &wire.SuspectUpdate{
			Crashes: toTell(now, cutFrom(&news.ends)), Completed: cutFrom(&news.ran),
			Retrying: cutFrom(&news.begun), Responding: cutFrom(&news.answers), Ended: cutFrom(&news.over),
		})
	}
	return list
}

// cutFrom takes from a list what one message holds.
func cutFrom[T any](list *[]T) []T {
	n := min(mostTold, len(*list))
	cut := (*list)[:n]
	*list = (*list)[n:]
	return cut
}

// WorstSuspects returns the worst of what is known of ends, for a router that has just been
// heard or that may have missed something; nil if nothing is known.
func (c *Core) WorstSuspects(now time.Duration) *wire.SuspectUpdate {
	worst := c.suspects.TopCrashes(mostTold)
	if len(worst) == 0 {
		return nil
	}
	return &wire.SuspectUpdate{Crashes: toTell(now, worst)}
}

func toTell(now time.Duration, ends []suspect.Crash) []wire.SuspectCrash {
	list := make([]wire.SuspectCrash, 0, len(ends))
	for _, e := range ends {
		list = append(list, wire.SuspectCrash{Digest: uint64(e.Digest), Server: wire.NameHash(e.Server), AgoMillis: (now - e.At).Milliseconds(), SentBeforeMillis: (e.At - e.Sent).Milliseconds(), Unanswered: e.Unanswered, Extra: e.Extra})
	}
	return list
}

// SuspectCount returns how many requests are remembered that were at an end.
func (c *Core) SuspectCount() int { return c.suspects.Len() }

// Suspects returns the ends of the requests under which the most servers ended.
func (c *Core) Suspects(most int) []suspect.Crash { return c.suspects.TopCrashes(most) }
