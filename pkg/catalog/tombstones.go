package catalog

import "time"

// tombstones are the removed entries that are still remembered, in the order of their removal.
type tombstones struct {
	// removedAt is when this catalog learned of an entry's removal, by name.
	removedAt map[string]time.Duration
	// queue holds all removals, also those of entries that have returned since.
	queue []removal
}

type removal struct {
	name string
	at   time.Duration
}

func newTombstones() tombstones { return tombstones{removedAt: map[string]time.Duration{}} }

// add records the removal of an entry.
func (t *tombstones) add(name string, now time.Duration) {
	t.removedAt[name] = now
	t.queue = append(t.queue, removal{name, now})
}

// remove forgets an entry that is listed again.
func (t *tombstones) remove(name string) { delete(t.removedAt, name) }

// expired forgets the entries that were removed up to a time, and returns their names.
func (t *tombstones) expired(upTo time.Duration) []string {
	var names []string
	for len(t.queue) > 0 && t.queue[0].at <= upTo {
		x := t.queue[0]
		t.queue = t.queue[1:]
		if at, ok := t.removedAt[x.name]; ok && at == x.at {
			delete(t.removedAt, x.name)
			names = append(names, x.name)
		}
	}
	return names
}
