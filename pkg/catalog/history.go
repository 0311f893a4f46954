package catalog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// historySize is the number of recent revisions that a history holds.
const historySize = 2048

// history holds digests of what was published at recent revisions of an epoch. If a later
// epoch has other content at the same number, it assigned that number anew.
type history struct {
	ring [historySize]published
}

type published struct{ number, digest uint64 }

// add records the content of a revision. Do not add removals: one inferred from a full update
// has the number of that update, which belongs to another change.
func (h *history) add(number, digest uint64) {
	if slot := &h.ring[number%historySize]; slot.number <= number {
		*slot = published{number, digest}
	}
}

// matches reports whether a revision had the content with the given digest, and whether the
// history holds that revision.
func (h *history) matches(number, digest uint64) (same, isKnown bool) {
	slot := h.ring[number%historySize]
	return slot.digest == digest, slot.number == number && number > 0
}

// digest covers the fields that change only with a new revision.
func (s *Server) digest() uint64 {
	if s.Unusable.IsSet() {
		return hashStrings("server", s.Backend.Name)
	}
	b := &s.Backend
	return hashStrings("server", b.Name, string(b.Mark), b.Address, strconv.FormatInt(b.StartTime, 10), strconv.Itoa(b.Slots), b.Version)
}

func (z *Zone) digest() uint64 { return hashStrings("zone", z.Name) }

func tableDigest(t *table.Table) uint64 {
	return hashStrings("table", strconv.FormatUint(t.Edition, 10))
}

func hashStrings(parts ...string) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		// Writing to a digest never fails.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
