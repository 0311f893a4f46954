package suspect

import (
	"math/bits"
	"time"
)

const (
	// completedFor is the minimum time for which completions are counted, and maxCompleted
	// bounds the items in each of the two generations of counts; both take 0.5 MB.
	completedFor = 30 * time.Second
	maxCompleted = 4096
	// maxExtra bounds the crashes beyond MaxCrashes that an item may have.
	maxExtra = 5
)

// completion counts the recent completions of an item.
type completion struct {
	count int
	at    time.Duration
}

// completions counts the recent completions of all items.
type completions struct {
	current, before map[Digest]completion
	// since is when the current generation began.
	since time.Duration
}

func newCompletions() completions { return completions{current: map[Digest]completion{}} }

// add counts a completion.
func (c *completions) add(now time.Duration, d Digest) {
	if len(c.current) >= maxCompleted || now-c.since >= completedFor {
		c.current, c.before, c.since = make(map[Digest]completion, len(c.current)), c.current, now
	}
	c.current[d] = completion{count: c.current[d].count + 1, at: now}
}

// last returns when an item completed last, if it did recently.
func (c *completions) last(d Digest) (time.Duration, bool) {
	if x, ok := c.current[d]; ok {
		return x.at, true
	}
	x, ok := c.before[d]
	return x.at, ok
}

// extraTrials returns how many crashes beyond MaxCrashes an item may have because it
// completed recently: one for the first completion and one more for each doubling. What callers
// send often is in flight at most crashes, whatever their cause.
func (c *completions) extraTrials(d Digest) int {
	return min(maxExtra, bits.Len(uint(c.current[d].count+c.before[d].count)))
}
