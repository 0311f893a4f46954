package origin

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// Memory tracks for how long a router has known every software version that the platform listed. The zero
// value knows none. It is not safe for concurrent use.
type Memory struct {
	// period is the latest time without a gap. It ends when this router was last current.
	period
	current bool
	// earlier is the period before the last gap, until something bridges that gap.
	earlier period
	// newcomerAt is when a router was last heard that has started, 0 if none was.
	newcomerAt time.Duration
	// unknownUntil is until when backend servers matter that were removed and whose versions are unknown.
	unknownUntil time.Duration
}

// period is a time in which a router knew every version that was listed.
type period struct {
	// since and until are the bounds of the period, both 0 if there is none.
	since, until time.Duration
	// from is the revision known when the router's own observation began. It listed each entry that was
	// removed later.
	from catalog.Revision
}

// Observe updates the memory. isCurrent says that the router's revision, asOf, is the newest now.
func (m *Memory) Observe(now time.Duration, isCurrent bool, asOf catalog.Revision) {
	switch {
	case isCurrent && !m.current:
		m.earlier = m.period
		m.period = period{since: now, until: now, from: asOf}
	case isCurrent && m.from.Epoch != asOf.Epoch:
		// Revisions of different epochs cannot be compared.
		m.from, m.until = asOf, now
	case isCurrent:
		m.until = now
	}
	m.current = isCurrent
}

// Extend records that every version listed between since and now is known. It reports whether that
// extends the memory. It has no effect unless the router is current.
func (m *Memory) Extend(since time.Duration) bool {
	if !m.current || since >= m.since {
		return false
	}
	m.since = since
	if m.bridges(since) {
		m.since, m.from = min(since, m.earlier.since), m.earlier.from
	}
	m.earlier = period{}
	return true
}

// bridges reports whether there is no gap between the earlier period and a time.
func (m *Memory) bridges(since time.Duration) bool {
	return m.earlier.until > 0 && since <= m.earlier.until && m.earlier.from.Epoch == m.from.Epoch
}

// ListedAfter returns the revision number after which this router has listed every entry that was removed,
// once it knows the versions listed since the given time.
func (m *Memory) ListedAfter(since time.Duration) uint64 {
	if m.bridges(since) {
		return m.earlier.from.Number
	}
	return m.from.Number
}

// RecordNewcomer records that another router has started. If this one is not current, that router may have
// begun streams, before its start, at versions that this one has not read.
func (m *Memory) RecordNewcomer(now time.Duration) { m.newcomerAt = now }

// RecordUnknown records that a backend server was listed whose version is not known, and whose streams may
// be taken up until the given time.
func (m *Memory) RecordUnknown(until time.Duration) { m.unknownUntil = max(m.unknownUntil, until) }

// UnknownLeft returns for how much longer streams may be taken up that began at a backend server whose version
// is not known, 0 if there is none.
func (m *Memory) UnknownLeft(now time.Duration) time.Duration { return max(0, m.unknownUntil-now) }

// IsEmpty reports whether the router has never been current.
func (m *Memory) IsEmpty() bool { return m.until == 0 }

// Current reports whether the router is current.
func (m *Memory) Current() bool { return m.current }

// Span returns for how long, up to now, the router has known every version that was listed.
func (m *Memory) Span(now time.Duration) time.Duration {
	if !m.current {
		return 0
	}
	return now - m.since
}

// Reach returns how far back the router has known every version at which a running router may have begun a
// stream. If it is not current, that is every version that was listed until it last was, provided that no
// other router has started since.
func (m *Memory) Reach(now time.Duration) time.Duration {
	if m.IsEmpty() || !m.current && m.newcomerAt > m.until {
		return 0
	}
	return now - m.since
}
