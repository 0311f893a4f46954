package catalog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// historySize is of how many recent revisions is remembered what they were of: at 20 changes
// a second, those of 100 s.
const historySize = 2048

// history remembers what was published with recent revisions of an epoch. In the next one a
// number may be of something else, which shows that it was given out again.
type history struct {
	ring [historySize]published
}

type published struct{ number, digest uint64 }

// note remembers what a revision was of. It is not for removals: that of one that was found out
// by a list bears the number of the list, which was of something else.
func (h *history) note(number, digest uint64) {
	if at := &h.ring[number%historySize]; at.number <= number {
		*at = published{number, digest}
	}
}

// same reports whether a revision was of something with a digest, if that is known.
func (h *history) same(number, digest uint64) (same, isKnown bool) {
	at := h.ring[number%historySize]
	return at.digest == digest, at.number == number && number > 0
}

// digest is of what does not change while an entry does not.
func (s *Server) digest() uint64 {
	if s.Unusable.IsSet() {
		return digestWords("server", s.Backend.Name)
	}
	b := &s.Backend
	return digestWords("server", b.Name, string(b.Mark), b.Address, strconv.FormatInt(b.StartTime, 10), strconv.Itoa(b.Slots))
}

func (z *Zone) digest() uint64 { return digestWords("zone", z.Name) }

func digestOf(t *table.Table) uint64 {
	return digestWords("table", strconv.FormatUint(t.Edition, 10))
}

func digestWords(words ...string) uint64 {
	d := xxhash.New()
	for _, w := range words {
		// Writing to a digest never fails.
		_, _ = d.WriteString(w)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
