package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxItems bounds the number of items kept. Most have one crash: 4,096 of 150 bytes take 0.6 MB, and 5 MB
	// if each had maxCrashesKept. A backend server that crashes has up to 64 requests in flight.
	maxItems = 4096
	// An eviction drops maxItems/evictDivisor items.
	evictDivisor = 8
)

// TopCrashes returns the crashes of the items that have the most, at most limit of them. It
// includes all crashes of an item or none.
func (t *Tracker) TopCrashes(limit int) []Crash {
	var list []Crash
	for _, x := range t.byCrashCount() {
		if len(list)+len(x.crashes) > limit {
			break
		}
		for _, c := range x.crashes {
			c.Extra, c.Part = x.extra, x.part
			list = append(list, c)
		}
	}
	return list
}

// byCrashCount returns the items with the most crashes first, the most recent first among
// equals.
func (t *Tracker) byCrashCount() []*item {
	list := make([]*item, 0, len(t.items))
	for _, x := range t.items {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *item) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.lastCrash(), a.lastCrash()), cmp.Compare(a.digest, b.digest))
	})
	return list
}

// evict makes room in a full tracker. It drops the items with the fewest crashes, oldest
// first, so that many new items do not displace the likeliest culprits.
func (t *Tracker) evict(now time.Duration) {
	if len(t.items) < maxItems {
		return
	}
	t.Expire(now)
	if len(t.items) < maxItems {
		return
	}
	list := t.byCrashCount()
	for _, x := range list[len(list)-maxItems/evictDivisor:] {
		t.removeCrashes(x, ReasonEvicted, allCrashes)
	}
}
