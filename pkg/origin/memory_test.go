package origin

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// current records that a router has not been behind since it was last observed, behind that it is.
func current(m *Memory, now time.Duration, asOf catalog.Revision) {
	m.Observe(now, now, time.Hour, asOf)
}

func behind(m *Memory, now time.Duration, asOf catalog.Revision) { m.Observe(now, 0, time.Hour, asOf) }

// TestMemoryHasNoGaps: a router must not claim to know what was listed while it was out of date, unless the platform's
// history covers that time.
func TestMemoryHasNoGaps(t *testing.T) {
	const s = time.Second
	at := func(n uint64) catalog.Revision { return catalog.Revision{Epoch: 1, Number: n} }
	tests := map[string]struct {
		run func(m *Memory)
		// span and reach are expected at 100 s, listedAfter for what is known since 75 s.
		span, reach time.Duration
		listedAfter uint64
	}{
		"never current": {func(*Memory) {}, 0, 0, 0},
		"current": {func(m *Memory) {
			current(m, 60*s, at(5))
			current(m, 100*s, at(9))
		}, 40 * s, 40 * s, 5},
		"read the history": {func(m *Memory) {
			current(m, 99*s, at(5))
			m.Extend(80 * s)
		}, 20 * s, 20 * s, 5},
		"read a shorter history": {func(m *Memory) {
			current(m, 60*s, at(5))
			m.Extend(80 * s)
		}, 40 * s, 40 * s, 5},
		"out of date": {func(m *Memory) {
			current(m, 60*s, at(5))
			behind(m, 70*s, at(5))
		}, 0, 40 * s, 5},
		"out of date, told": {func(m *Memory) {
			current(m, 60*s, at(5))
			behind(m, 70*s, at(5))
			m.Extend(10 * s)
		}, 0, 40 * s, 5},
		"out of date, another router started": {func(m *Memory) {
			current(m, 60*s, at(5))
			behind(m, 70*s, at(5))
			m.RecordNewcomer("b", 71*s)
		}, 0, 0, 5},
		"another router started before": {func(m *Memory) {
			m.RecordNewcomer("b", 59*s)
			current(m, 60*s, at(5))
			behind(m, 70*s, at(5))
		}, 0, 40 * s, 5},
		"after a gap": {func(m *Memory) {
			current(m, 60*s, at(5))
			behind(m, 70*s, at(5))
			current(m, 95*s, at(9))
		}, 5 * s, 5 * s, 9},
		"a gap that the history bridges": {func(m *Memory) {
			current(m, 50*s, at(5))
			current(m, 78*s, at(6))
			behind(m, 79*s, at(6))
			current(m, 95*s, at(9))
			m.Extend(76 * s)
		}, 50 * s, 50 * s, 5},
		"a gap longer than the history": {func(m *Memory) {
			current(m, 50*s, at(5))
			behind(m, 60*s, at(5))
			current(m, 95*s, at(9))
			m.Extend(76 * s)
		}, 24 * s, 24 * s, 9},
		"a gap with another epoch": {func(m *Memory) {
			current(m, 50*s, at(5))
			current(m, 78*s, at(6))
			behind(m, 79*s, at(6))
			current(m, 95*s, catalog.Revision{Epoch: 2, Number: 3})
			m.Extend(76 * s)
		}, 24 * s, 24 * s, 3},
		"verified again in time": {func(m *Memory) {
			m.Observe(60*s, 59*s, 2*s, at(5))
			m.Observe(61*s, 60*s, 2*s, at(5))
			m.Observe(62*s, 61*s+900*time.Millisecond, 2*s, at(9))
		}, 40 * s, 40 * s, 5},
		"verified again too late, not observed in between": {func(m *Memory) {
			m.Observe(60*s, 60*s, 2*s, at(5))
			m.Observe(62*s, 62*s, 2*s, at(9))
		}, 38 * s, 38 * s, 9},
		"not verified in time": {func(m *Memory) {
			m.Observe(60*s, 60*s, 2*s, at(5))
			m.Observe(62*s, 60*s, 2*s, at(5))
		}, 0, 40 * s, 5},
		"another router started after the last verification": {func(m *Memory) {
			m.Observe(60*s, 60*s, 2*s, at(5))
			m.Observe(61*s, 60*s, 2*s, at(5))
			m.RecordNewcomer("b", 60*s+500*time.Millisecond)
		}, 40 * s, 0, 5},
		"another router, started before the last verification, was heard after it": {func(m *Memory) {
			m.Observe(60*s, 60*s, 2*s, at(5))
			m.RecordNewcomer("b", 61*s)
			m.RecordStart("b", 59*s)
			m.RecordStart("c", 61*s)
		}, 40 * s, 40 * s, 5},
		"it started anew since": {func(m *Memory) {
			m.Observe(60*s, 60*s, 2*s, at(5))
			m.RecordNewcomer("b", 61*s)
			m.RecordStart("b", 59*s)
			m.RecordNewcomer("b", 62*s)
		}, 40 * s, 0, 5},
		"another epoch while current": {func(m *Memory) {
			current(m, 50*s, at(5))
			current(m, 60*s, catalog.Revision{Epoch: 2, Number: 3})
		}, 50 * s, 50 * s, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := &Memory{}
			tc.run(m)
			if got := m.Span(100 * s); got != tc.span {
				t.Errorf("span %v, want %v", got, tc.span)
			}
			if got := m.Reach(100 * s); got != tc.reach {
				t.Errorf("reach %v, want %v", got, tc.reach)
			}
			if got := m.ListedAfter(75 * s); got != tc.listedAfter {
				t.Errorf("entries removed after %d were listed, want %d", got, tc.listedAfter)
			}
		})
	}
}

// TestGapIsBridgedBeforeItsRemovalsCount: which removals are known must follow from whether the history reaches the
// time before a gap.
func TestGapIsBridgedBeforeItsRemovalsCount(t *testing.T) {
	m := &Memory{}
	current(m, 50*time.Second, catalog.Revision{Number: 5})
	behind(m, 60*time.Second, catalog.Revision{Number: 5})
	current(m, 70*time.Second, catalog.Revision{Number: 9})
	for since, want := range map[time.Duration]uint64{49 * time.Second: 5, 50 * time.Second: 5, 51 * time.Second: 9, 65 * time.Second: 9} {
		if got := m.ListedAfter(since); got != want {
			t.Errorf("known since %v: entries removed after %d were listed, want %d", since, got, want)
		}
	}
}

// TestUnknownVersionExpires: a removed backend server of an unknown version matters for as long as its streams.
func TestUnknownVersionExpires(t *testing.T) {
	m := &Memory{}
	m.RecordUnknown(20 * time.Second)
	m.RecordUnknown(10 * time.Second)
	for now, want := range map[time.Duration]time.Duration{5 * time.Second: 15 * time.Second, 20 * time.Second: 0, time.Hour: 0} {
		if got := m.UnknownLeft(now); got != want {
			t.Errorf("at %v: matters for %v, want %v", now, got, want)
		}
	}
}
