package catalog_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func tableAt(revision uint64) *table.Table {
	return &table.Table{Revision: revision, Accounts: []table.Account{{Name: "moka", Weight: 1}}}
}

func server(name string, revision uint64) catalog.Server {
	return catalog.Server{Revision: revision, Backend: table.Backend{Name: name}}
}

func gone(name string, revision uint64) catalog.Server {
	s := server(name, revision)
	s.Gone = true
	return s
}

// state is the content of a catalog's view.
type state struct {
	AsOf     uint64
	Table    uint64
	Backends []string
	Closed   []string
}

func closed(zone string, revision uint64) catalog.Zone {
	return catalog.Zone{Revision: revision, Name: zone, Closed: true}
}

func opened(zone string, revision uint64) catalog.Zone {
	return catalog.Zone{Revision: revision, Name: zone}
}

func stateOf(c *catalog.Catalog) state {
	s := state{AsOf: c.AsOf().Number}
	if v := c.View(); v != nil {
		s.Table = v.Revision
		for b := range v.AllBackends() {
			s.Backends = append(s.Backends, b.Name)
		}
		s.Closed = v.ClosedZones()
	}
	return s
}

// TestMerge guards against late or incomplete updates that restore old state.
func TestMerge(t *testing.T) {
	full := catalog.Update{AsOf: 10, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9)}}
	tests := map[string]struct {
		updates []catalog.Update
		want    state
	}{
		"full update": {[]catalog.Update{full}, state{10, 4, []string{"a", "b"}, nil}},
		"zone closed": {[]catalog.Update{full, {After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}}, state{11, 4, []string{"a", "b"}, []string{"x"}}},
		"zone opened": {
			[]catalog.Update{full, {After: 10, AsOf: 12, Zones: []catalog.Zone{closed("x", 11), closed("y", 12)}}, {After: 12, AsOf: 13, Zones: []catalog.Zone{opened("x", 13)}}},
			state{13, 4, []string{"a", "b"}, []string{"y"}}},
		"older closing after opening": {
			[]catalog.Update{full, {After: 10, AsOf: 13, Zones: []catalog.Zone{opened("x", 13)}}, {After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}},
			state{13, 4, []string{"a", "b"}, nil}},
		"full update without the mark opens the zone": {
			[]catalog.Update{full, {After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}, {AsOf: 20, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9)}}},
			state{20, 4, []string{"a", "b"}, nil}},
		"full update before a closing": {
			[]catalog.Update{full, {After: 10, AsOf: 12, Zones: []catalog.Zone{closed("x", 12)}}, {AsOf: 11, Servers: []catalog.Server{server("a", 7), server("b", 9)}}},
			state{12, 4, []string{"a", "b"}, []string{"x"}}},
		"older table":   {[]catalog.Update{full, {After: 10, AsOf: 11, Table: tableAt(3)}}, state{11, 4, []string{"a", "b"}, nil}},
		"entry removed": {[]catalog.Update{full, {After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 12)}}}, state{12, 4, []string{"b"}, nil}},
		"late update does not restore an entry": {
			[]catalog.Update{full, {After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 12)}}, full}, state{12, 4, []string{"b"}, nil}},
		"late full update with a removed entry": {
			[]catalog.Update{{AsOf: 9, Table: tableAt(4), Servers: []catalog.Server{server("b", 9)}}, {AsOf: 8, Table: tableAt(4), Servers: []catalog.Server{server("a", 7)}, Zones: []catalog.Zone{closed("x", 6)}}},
			state{9, 4, []string{"b"}, nil}},
		"late update with an entry added and removed in a jump": {
			[]catalog.Update{full, {After: 10, AsOf: 11, Servers: []catalog.Server{gone("a", 11)}}, {AsOf: 14, Table: tableAt(4), Servers: []catalog.Server{server("b", 9)}}, {After: 11, AsOf: 12, Servers: []catalog.Server{server("a", 12)}}},
			state{14, 4, []string{"b"}, nil}},
		"full update has what an incremental one missed": {
			[]catalog.Update{full, {After: 10, AsOf: 13}, {AsOf: 14, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9), server("c", 12)}, Zones: []catalog.Zone{closed("x", 13)}}},
			state{14, 4, []string{"a", "b", "c"}, []string{"x"}}},
		"full update at the same revision": {
			[]catalog.Update{full, {After: 10, AsOf: 13}, {AsOf: 13, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9), server("c", 12)}}},
			state{13, 4, []string{"a", "b", "c"}, nil}},
		"entry written again": {
			[]catalog.Update{full, {After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 12)}}, {After: 12, AsOf: 13, Servers: []catalog.Server{server("a", 13)}}},
			state{13, 4, []string{"a", "b"}, nil}},
		"full update removes unlisted entries": {
			[]catalog.Update{full, {AsOf: 20, Table: tableAt(4), Servers: []catalog.Server{server("b", 9)}}}, state{20, 4, []string{"b"}, nil}},
		"full update before an addition": {
			[]catalog.Update{full, {After: 10, AsOf: 12, Servers: []catalog.Server{server("c", 12)}}, {AsOf: 11, Servers: []catalog.Server{server("a", 7), server("b", 9)}}},
			state{12, 4, []string{"a", "b", "c"}, nil}},
		"update after a gap does not advance AsOf": {
			[]catalog.Update{full, {After: 14, AsOf: 15, Servers: []catalog.Server{server("c", 15)}}}, state{10, 4, []string{"a", "b", "c"}, nil}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			for _, u := range tc.updates {
				c.Merge(0, u)
			}
			if diff := cmp.Diff(tc.want, stateOf(c)); diff != "" {
				t.Errorf("catalog (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnyOrder guards against catalogs that diverge when they merge the same updates in different
// orders.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []catalog.Update
		last := uint64(1)
		updates = append(updates, catalog.Update{AsOf: 1, Table: tableAt(1)})
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			u := catalog.Update{After: last, AsOf: last + 1}
			last++
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				u.Table = tableAt(last)
			case 1:
				u.Servers = []catalog.Server{server(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), last)}
			case 2:
				u.Servers = []catalog.Server{gone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), last)}
			case 3:
				u.Zones = []catalog.Zone{closed(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), last)}
			case 4:
				u.Zones = []catalog.Zone{opened(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), last)}
			}
			updates = append(updates, u)
		}
		ordered, shuffled := catalog.New(), catalog.New()
		for _, u := range updates {
			ordered.Merge(0, u)
		}
		for _, u := range rapid.Permutation(updates).Draw(t, "order") {
			shuffled.Merge(time.Second, u)
		}
		shuffled.Merge(time.Second, ordered.Since(shuffled.AsOf().Number))
		if diff := cmp.Diff(stateOf(ordered), stateOf(shuffled)); diff != "" {
			t.Errorf("catalogs differ (-ordered +shuffled):\n%s", diff)
		}
	})
}

// serving is the entry of a backend server that serves a service.
func serving(name string, revision uint64) catalog.Server {
	s := server(name, revision)
	s.Backend.Mark, s.Backend.Models = table.Serving, []string{"reader"}
	return s
}

// TestRemovalGrace guards against dropping backend servers when the directory loses many entries
// at once, and against keeping them for longer than the grace period.
func TestRemovalGrace(t *testing.T) {
	const grace = time.Second
	leaving := serving("a", 8)
	leaving.Backend.Mark = table.Leaving
	all := []catalog.Server{serving("a", 1), serving("b", 2), serving("c", 3), serving("d", 4)}
	tests := map[string]struct {
		updates []catalog.Update
		before  []string
		after   []string
		changes bool
	}{
		"all at once":      {[]catalog.Update{{After: 5, AsOf: 9, Servers: []catalog.Server{gone("a", 6), gone("b", 7), gone("c", 8), gone("d", 9)}}}, []string{"a", "b", "c", "d"}, nil, true},
		"by a full update": {[]catalog.Update{{AsOf: 9, Table: tableAt(1)}}, []string{"a", "b", "c", "d"}, nil, true},
		"half":             {[]catalog.Update{{After: 5, AsOf: 7, Servers: []catalog.Server{gone("a", 6), gone("b", 7)}}}, []string{"a", "b", "c", "d"}, []string{"c", "d"}, true},
		"one":              {[]catalog.Update{{After: 5, AsOf: 6, Servers: []catalog.Server{gone("a", 6)}}}, []string{"b", "c", "d"}, []string{"b", "c", "d"}, false},
		"some return":      {[]catalog.Update{{AsOf: 9, Table: tableAt(1)}, {After: 9, AsOf: 11, Servers: []catalog.Server{serving("b", 10), serving("a", 11)}}}, []string{"a", "b", "c", "d"}, []string{"a", "b"}, true},
		"one was leaving":  {[]catalog.Update{{After: 5, AsOf: 8, Servers: []catalog.Server{leaving}}, {AsOf: 9, Table: tableAt(1)}}, []string{"b", "c", "d"}, nil, true},
		"late update":      {[]catalog.Update{{AsOf: 9, Table: tableAt(1)}, {After: 0, AsOf: 5, Servers: all}}, []string{"a", "b", "c", "d"}, nil, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithRemovalGrace(grace))
			c.Merge(0, catalog.Update{AsOf: 5, Table: tableAt(1), Servers: all})
			for _, u := range tc.updates {
				c.Merge(0, u)
			}
			if diff := cmp.Diff(tc.before, stateOf(c).Backends); diff != "" {
				t.Errorf("before the grace period ends (-want +got):\n%s", diff)
			}
			if c.Refresh(grace / 2) {
				t.Error("the view changed before the grace period ended")
			}
			if got := c.Refresh(grace); got != tc.changes {
				t.Errorf("the view changed at the end of the grace period: %v", got)
			}
			if diff := cmp.Diff(tc.after, stateOf(c).Backends); diff != "" {
				t.Errorf("after the grace period (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSinceDroppedTombstone guards against an incremental update that lacks a removal because its
// tombstone was dropped: the receiver would keep the entry forever.
func TestSinceDroppedTombstone(t *testing.T) {
	start := catalog.Update{AsOf: 5, Table: tableAt(1), Servers: []catalog.Server{server("a", 2), server("b", 3)}}
	sender, receiver := catalog.New(), catalog.New()
	sender.Merge(0, start)
	receiver.Merge(0, start)
	sender.Merge(0, catalog.Update{After: 5, AsOf: 6, Servers: []catalog.Server{gone("a", 6)}})
	sender.Merge(time.Hour, catalog.Update{After: 6, AsOf: 7, Servers: []catalog.Server{server("c", 7)}})
	receiver.Merge(time.Hour, sender.Since(receiver.AsOf().Number))
	if diff := cmp.Diff(stateOf(sender), stateOf(receiver)); diff != "" {
		t.Errorf("catalogs differ (-sender +receiver):\n%s", diff)
	}
}

// TestSinceUnknownRemoval guards against an incremental update from a catalog that missed a
// removal because it started later or received a full update instead.
func TestSinceUnknownRemoval(t *testing.T) {
	before := catalog.Update{AsOf: 5, Table: tableAt(1), Servers: []catalog.Server{server("a", 2), server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}}
	after := catalog.Update{AsOf: 8, Table: tableAt(1), Servers: []catalog.Server{server("b", 3), server("c", 8)}}
	tests := map[string][]catalog.Update{
		"sender just started":                        {after},
		"sender started, then followed the platform": {after, {After: 8, AsOf: 9, Servers: []catalog.Server{server("d", 9)}}},
		"sender got a jump from another router": {
			{AsOf: 6, Table: tableAt(1), Servers: []catalog.Server{server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}},
			{After: 6, AsOf: 8, Jumps: []catalog.Jump{{From: 6, To: 8}}, Servers: []catalog.Server{server("c", 8)}, Zones: []catalog.Zone{opened("x", 8)}}},
		"sender got a second full update":         {{AsOf: 6, Table: tableAt(1), Servers: []catalog.Server{server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}}, after},
		"sender missed an addition and a removal": {{AsOf: 5, Table: tableAt(1), Servers: []catalog.Server{server("a", 2), server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}}, after},
		"sender got the same full update twice":   {after, after},
	}
	for name, updates := range tests {
		t.Run(name, func(t *testing.T) {
			sender, receiver := catalog.New(), catalog.New()
			for _, u := range updates {
				sender.Merge(0, u)
			}
			receiver.Merge(0, before)
			// The receiver learns that e was added, but not that it was removed.
			receiver.Merge(0, catalog.Update{After: 5, AsOf: 7, Servers: []catalog.Server{gone("a", 6), server("e", 7)}})
			receiver.Merge(0, sender.Since(receiver.AsOf().Number))
			if diff := cmp.Diff(stateOf(sender), stateOf(receiver)); diff != "" {
				t.Errorf("catalogs differ (-sender +receiver):\n%s", diff)
			}
			late := catalog.New()
			late.Merge(0, before)
			late.Merge(0, sender.Since(late.AsOf().Number))
			if diff := cmp.Diff(stateOf(sender), stateOf(late)); diff != "" {
				t.Errorf("catalogs differ (-sender +late):\n%s", diff)
			}
		})
	}
}
