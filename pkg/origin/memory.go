package origin

import (
	"maps"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// Memory tracks for how long a router has known every software version that the platform listed. The zero
// value knows none. It is not safe for concurrent use.
type Memory struct {
	// period is the latest time without a gap. It ends at the last verification.
	period
	current bool
	// earlier is the period before the last gap, until something bridges that gap.
	earlier period
	// starts holds when other routers started, at the latest, that were heard of for the first time after the last
	// verification.
	starts map[string]time.Duration
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
	// to is the revision known at the end.
	to catalog.Revision
}

// Observe updates the memory. verified is when the router's revision, asOf, was last known to be the newest, 0 if never.
// It counts as current until that is within old. The time between two verifications that are further apart is a gap,
// whether or not the memory was updated in between. It reports whether a period begins.
func (m *Memory) Observe(now, verified, within time.Duration, asOf catalog.Revision) (begins bool) {
	isCurrent := verified > 0 && now-verified < within
	begins = isCurrent && (!m.current || verified-m.until >= within)
	switch {
	case begins:
		m.earlier = m.period
		m.period = period{since: now, until: verified, from: asOf, to: asOf}
	case isCurrent && m.from.Epoch != asOf.Epoch:
		// Revisions of different epochs cannot be compared.
		m.from, m.to, m.until = asOf, asOf, verified
	case isCurrent:
		m.to, m.until = asOf, verified
	}
	m.current = isCurrent
	maps.DeleteFunc(m.starts, func(_ string, at time.Duration) bool { return at <= m.until })
	return begins
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

// KnownTo returns the revision up to which the router knew every change before the last gap, zero if it knew none.
func (m *Memory) KnownTo() catalog.Revision { return m.earlier.to }

// RecordNewcomer records that another router was heard of for the first time since its start. It may have begun
// streams, before that start, at versions that were listed after this router's last verification.
func (m *Memory) RecordNewcomer(router string, now time.Duration) {
	if m.starts == nil {
		m.starts = map[string]time.Duration{}
	}
	m.starts[router] = now
}

// RecordStart records when a router that was heard started, at the latest.
func (m *Memory) RecordStart(router string, at time.Duration) {
	if known, ok := m.starts[router]; ok {
		m.starts[router] = min(known, at)
	}
}

// hasNewcomer reports whether another router may have started after the last verification.
func (m *Memory) hasNewcomer() bool {
	for _, at := range m.starts {
		if at > m.until {
			return true
		}
	}
	return false
}

// RecordUnknown records that a backend server was listed whose version is not known, and whose streams may
// be taken up until the given time.
func (m *Memory) RecordUnknown(until time.Duration) { m.unknownUntil = max(m.unknownUntil, until) }

// ForgetUnknown records that the versions of all backend servers that were listed have become known.
func (m *Memory) ForgetUnknown() { m.unknownUntil = 0 }

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
// stream. That is every version that was listed until the last verification, provided that no other router has
// started since.
func (m *Memory) Reach(now time.Duration) time.Duration {
	if m.IsEmpty() || m.hasNewcomer() {
		return 0
	}
	return now - m.since
}
