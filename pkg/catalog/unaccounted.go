package catalog

// EntryNumbers is the number of revisions that an entry takes at least that was created and removed.
const EntryNumbers = 2

// Unaccounted returns how many revision numbers after one, up to another, none of the updates accounts for. Each is that
// of a change which something has replaced since: a removal, a removed item's last change, or an earlier change of an item
// that is still listed.
func Unaccounted(after, upTo uint64, updates ...*Update) uint64 {
	if upTo <= after {
		return 0
	}
	accounted := map[uint64]bool{}
	for _, u := range updates {
		for _, n := range u.Numbers {
			if n > after && n <= upTo {
				accounted[n] = true
			}
		}
	}
	return upTo - after - uint64(len(accounted))
}
