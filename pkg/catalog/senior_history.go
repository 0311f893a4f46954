package catalog

import (
	"cmp"
	"math"
	"slices"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Which versions were senior before a router started follows from what it reads: entries and changes have an order, and no times.

// SeniorsSince returns for each service the version that was senior in every state of the directory since a revision number,
// with the slots at which the fewest streams were pinned to it. It is unknown if there may be none. The entries are
// those that are listed and the changes that are known; others may have come before these, and which zones were open is
// unknown where one was closed. Entries that were removed and that no change states are left out.
func (c *Catalog) SeniorsSince(since uint64, entries []Server, zones []Zone) map[string]Senior {
	isReadable := len(zones) == 0
	histories := map[string]map[string]*entryHistory{}
	for i := range entries {
		s := &entries[i]
		isReadable = isReadable && !s.Unusable.IsSet()
		for _, service := range s.Backend.Models {
			if histories[service] == nil {
				histories[service] = map[string]*entryHistory{}
			}
			histories[service][s.Backend.Name] = histories[service][s.Backend.Name].with(s.Made, c.statementOf(s))
		}
	}
	for i := range entries {
		if s := &entries[i]; s.Gone {
			for _, byName := range histories {
				if h, ok := byName[s.Backend.Name]; ok {
					h.with(0, statement{revision: s.Revision})
				}
			}
		}
	}
	seniors := c.Seniors()
	for service, senior := range seniors {
		if !isReadable {
			seniors[service] = Senior{Software: table.Software{Unknown: true}}
			continue
		}
		seniors[service] = senior.throughout(since, histories[service])
	}
	return seniors
}

// statement is what an entry stated from a revision on.
type statement struct {
	revision uint64
	isOpen   bool
	software table.Software
	slots    int
}

func (c *Catalog) statementOf(s *Server) statement {
	b := &s.Backend
	return statement{s.Revision, b.Mark == table.Serving && !c.isClosed(b.Zone), b.Software(), b.Slots}
}

// entryHistory is what is known of an entry: when it was created, 0 if unknown, and what it has stated since some revision,
// in order.
type entryHistory struct {
	made       uint64
	statements []statement
}

// with adds a statement. The history may be nil.
func (h *entryHistory) with(made uint64, x statement) *entryHistory {
	if h == nil {
		h = &entryHistory{made: made}
	}
	i, isKnown := slices.BinarySearchFunc(h.statements, x.revision, func(x statement, r uint64) int { return cmp.Compare(x.revision, r) })
	if !isKnown {
		h.statements = slices.Insert(h.statements, i, x)
	}
	return h
}

// at returns what the entry stated at a revision. If that is not certain, it may have stated it at any revision since its creation.
func (h *entryHistory) at(revision uint64) (x statement, isCertain, isPossible bool) {
	i, isKnown := slices.BinarySearchFunc(h.statements, revision, func(x statement, r uint64) int { return cmp.Compare(x.revision, r) })
	switch {
	case isKnown:
		return h.statements[i], true, h.statements[i].isOpen
	case i > 0:
		return h.statements[i-1], true, h.statements[i-1].isOpen
	case revision < h.made:
		return statement{}, true, false
	default:
		x = h.statements[0]
		x.revision = h.made
		return x, false, true
	}
}

// throughout returns the senior version with the slots at which the fewest streams were pinned to it since a revision number,
// given the histories of the service's entries.
func (s Senior) throughout(since uint64, histories map[string]*entryHistory) Senior {
	fewest := s
	if s.isSole(histories) {
		return s
	}
	for _, revision := range changedAt(since, histories) {
		then := s.at(revision, histories)
		if then.Software.Unknown {
			return then
		}
		if then.PinnedShare() < fewest.PinnedShare() {
			fewest = then
		}
	}
	return fewest
}

// isSole reports whether no other version is known.
func (s Senior) isSole(histories map[string]*entryHistory) bool {
	for _, h := range histories {
		for _, x := range h.statements {
			if x.software != s.Software {
				return false
			}
		}
	}
	return s.Others == 0
}

// changedAt returns a revision number and all later ones at which entries changed.
func changedAt(since uint64, histories map[string]*entryHistory) []uint64 {
	numbers := []uint64{since}
	for _, h := range histories {
		numbers = append(numbers, max(since, h.made))
		for _, x := range h.statements {
			numbers = append(numbers, max(since, x.revision))
		}
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

// at returns the version with the fewest slots that it can have had at a revision, beside the most of the others. It is unknown
// if it may not have been senior then.
func (s Senior) at(revision uint64, histories map[string]*entryHistory) Senior {
	then := Senior{Software: s.Software}
	oldest, oldestOther := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for _, h := range histories {
		x, isCertain, isPossible := h.at(revision)
		switch {
		case !isPossible:
		case x.software != s.Software:
			then.Others += x.slots
			oldestOther = min(oldestOther, x.revision)
		case isCertain:
			then.Slots += x.slots
			oldest = min(oldest, x.revision)
		}
	}
	if then.Others > 0 && oldest >= oldestOther {
		return Senior{Software: table.Software{Unknown: true}}
	}
	return then
}
