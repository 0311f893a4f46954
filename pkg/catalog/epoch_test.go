package catalog_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// edition is a version of the operators' table.
func edition(number, revision uint64) *table.Table {
	t := tableAt(revision)
	t.Edition = number
	return t
}

func leaving(name string, revision uint64) catalog.Server {
	s := serving(name, revision)
	s.Backend.Mark = table.Leaving
	return s
}

func born(at int64, s catalog.Server) catalog.Server {
	s.Backend.StartTime = at
	return s
}

// shown is what a catalog shows, with the backend servers' marks.
type shown struct {
	Edition  uint64
	Backends map[string]table.Mark
	Closed   []string
}

func show(c *catalog.Catalog) shown {
	v := c.View()
	s := shown{Edition: v.Edition, Backends: map[string]table.Mark{}, Closed: v.ClosedZones()}
	for _, b := range v.Backends {
		s.Backends[b.Name] = b.Mark
	}
	return s
}

const (
	missingFor = time.Second
	settled    = time.Minute
)

// TestCopy lets a catalog know of changes that the platform then lost, and of what it lists
// when it is back.
func TestCopy(t *testing.T) {
	type servers = []catalog.Server
	// The copy holds revision 5: edition 10 at 1, a at 2, b at 3, c at 4, zone z closed at 5.
	start := catalog.Update{Epoch: 1, AsOf: 5, Table: edition(10, 1), Servers: servers{serving("a", 2), serving("b", 3), serving("c", 4)}, Zones: []catalog.Zone{closed("z", 5)}}
	back := func(asOf uint64, list servers, zones ...catalog.Zone) catalog.Update {
		return catalog.Update{Epoch: 2, AsOf: asOf, Table: edition(10, 1), Servers: list, Zones: append(zones, closed("z", 5))}
	}
	abc := servers{serving("a", 2), serving("b", 3), serving("c", 4)}
	all := map[string]table.Mark{"a": table.Serving, "b": table.Serving, "c": table.Serving}
	with := func(more map[string]table.Mark) map[string]table.Mark {
		m := map[string]table.Mark{"a": table.Serving, "b": table.Serving, "c": table.Serving}
		for name, mark := range more {
			if m[name] = mark; mark == "" {
				delete(m, name)
			}
		}
		return m
	}
	z := []string{"z"}
	tests := map[string]struct {
		lost  []catalog.Update
		back  []catalog.Update
		first shown
		// later is what is shown when all that is kept has ended.
		later shown
	}{
		"nothing was lost": {nil, []catalog.Update{back(5, abc)}, shown{10, all, z}, shown{10, all, z}},
		"a version": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 6, Table: edition(12, 6)}}, []catalog.Update{back(5, abc)},
			shown{12, all, z}, shown{12, all, z}},
		"a version is written with a known number": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Table: edition(12, 9)}},
			[]catalog.Update{back(5, abc), {Epoch: 2, After: 5, AsOf: 6, Table: edition(14, 6)}},
			shown{14, all, z}, shown{14, all, z}},
		"an older version is written again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Table: edition(12, 9)}},
			[]catalog.Update{back(5, abc), {Epoch: 2, After: 5, AsOf: 6, Table: edition(11, 6)}},
			shown{12, all, z}, shown{12, all, z}},
		"a server that leaves, which then lapses": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}}},
			[]catalog.Update{back(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{gone("a", 6)}}},
			shown{10, with(map[string]table.Mark{"a": ""}), z}, shown{10, with(map[string]table.Mark{"a": ""}), z}},
		"a server that leaves": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}}}, []catalog.Update{back(5, abc)},
			shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}, shown{10, all, z}},
		"a server that leaves says it again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}}},
			[]catalog.Update{back(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{leaving("a", 6)}}},
			shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}, shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"a server that leaves says it before the list is read": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Servers: servers{serving("b", 9)}}},
			[]catalog.Update{back(6, servers{leaving("a", 6), serving("b", 3), serving("c", 4)})},
			shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}, shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"a server that has gone": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{gone("a", 8)}}}, []catalog.Update{back(5, abc)},
			shown{10, with(map[string]table.Mark{"a": ""}), z}, shown{10, all, z}},
		"a server that has gone starts again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{gone("a", 8)}}},
			[]catalog.Update{back(6, servers{born(7, serving("a", 6)), serving("b", 3), serving("c", 4)})},
			shown{10, all, z}, shown{10, all, z}},
		"another start, with a number that was something else's": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Servers: servers{serving("b", 7), born(1, serving("a", 9))}}},
			[]catalog.Update{back(7, servers{born(2, leaving("a", 7)), serving("b", 3), serving("c", 4)})},
			shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}, shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"another start, of which nobody knows whether it is the later": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Servers: servers{born(1, serving("a", 9))}}},
			[]catalog.Update{back(7, servers{born(2, leaving("a", 7)), serving("b", 3), serving("c", 4)})},
			shown{10, all, z}, shown{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"a new server that is not in the copy": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{serving("d", 8)}}}, []catalog.Update{back(5, abc)},
			shown{10, with(map[string]table.Mark{"d": table.Serving}), z}, shown{10, all, z}},
		"a new server that is not in the copy enters itself again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{serving("d", 8)}}},
			[]catalog.Update{back(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{serving("d", 6)}}},
			shown{10, with(map[string]table.Mark{"d": table.Serving}), z}, shown{10, with(map[string]table.Mark{"d": table.Serving}), z}},
		"a server that the copy held goes before the list is read": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{serving("c", 8)}}},
			[]catalog.Update{back(6, servers{serving("b", 3), serving("c", 4)})},
			shown{10, with(map[string]table.Mark{"a": ""}), z}, shown{10, with(map[string]table.Mark{"a": ""}), z}},
		"a server that leaves, beside an opening found out by a list": {
			[]catalog.Update{
				{Epoch: 1, After: 5, AsOf: 6, Servers: servers{serving("a", 6)}},
				{Epoch: 1, AsOf: 6, Table: edition(10, 1), Servers: servers{serving("a", 6), serving("b", 3), serving("c", 4)}},
				{Epoch: 1, AsOf: 7, Table: edition(10, 1), Servers: servers{serving("a", 6), serving("b", 7), serving("c", 4)}},
				{Epoch: 1, After: 7, AsOf: 8, Servers: servers{leaving("a", 8)}},
			},
			[]catalog.Update{{Epoch: 2, AsOf: 7, Table: edition(10, 1), Servers: servers{serving("a", 6), serving("b", 7), serving("c", 4)}}},
			shown{10, with(map[string]table.Mark{"a": table.Leaving}), nil}, shown{10, all, nil}},
		"a zone that was opened": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Zones: []catalog.Zone{opened("z", 8)}}}, []catalog.Update{back(5, abc)},
			shown{10, all, nil}, shown{10, all, z}},
		"a zone that was closed": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Zones: []catalog.Zone{closed("y", 8)}}}, []catalog.Update{back(5, abc)},
			shown{10, all, []string{"y", "z"}}, shown{10, all, z}},
		"a zone that was closed is opened": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Zones: []catalog.Zone{closed("y", 8)}}},
			[]catalog.Update{back(5, abc), {Epoch: 2, After: 5, AsOf: 7, Zones: []catalog.Zone{opened("y", 7)}}},
			shown{10, all, z}, shown{10, all, z}},
		"twice": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}, Table: edition(12, 7)}},
			[]catalog.Update{
				back(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{leaving("b", 6)}},
				{Epoch: 3, AsOf: 5, Table: edition(10, 1), Servers: abc, Zones: []catalog.Zone{closed("z", 5)}},
			},
			shown{12, with(map[string]table.Mark{"a": table.Leaving, "b": table.Leaving}), z}, shown{12, all, z}},
		"late news of the epoch before": {
			nil, []catalog.Update{back(5, abc), {Epoch: 1, After: 5, AsOf: 9, Table: edition(9, 9), Servers: servers{gone("a", 9)}}},
			shown{10, all, z}, shown{10, all, z}},
		"a part of a later epoch": {
			nil, []catalog.Update{{Epoch: 2, After: 5, AsOf: 6, Servers: servers{leaving("a", 6)}}},
			shown{10, all, z}, shown{10, all, z}},
		"a platform that begins to tell its epoch": {
			nil, []catalog.Update{{Epoch: 7, AsOf: 5, Table: edition(10, 1), Servers: abc, Zones: []catalog.Zone{closed("z", 5)}}},
			shown{10, all, z}, shown{10, all, z}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithUnlistedGrace(missingFor))
			c.Merge(0, start)
			for _, n := range append(tc.lost, tc.back...) {
				c.Merge(0, n)
			}
			if diff := cmp.Diff(tc.first, show(c)); diff != "" {
				t.Errorf("at first (-want +got):\n%s", diff)
			}
			c.MarkVerified(settled)
			c.Refresh(settled)
			if diff := cmp.Diff(tc.later, show(c)); diff != "" {
				t.Errorf("in the end (-want +got):\n%s", diff)
			}
		})
	}
}

// TestServerThatTheCopyLacks looks for how long a backend server is kept that the copy does not
// list: until it can have entered itself again, also where another router tells of it.
func TestServerThatTheCopyLacks(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 2, Table: edition(10, 1), Servers: []catalog.Server{serving("a", 2)}}
	back := catalog.Update{Epoch: 2, AsOf: 2, Table: edition(10, 1), Servers: []catalog.Server{serving("a", 2)}}
	knew, other := catalog.New(catalog.WithUnlistedGrace(missingFor)), catalog.New(catalog.WithUnlistedGrace(missingFor))
	knew.Merge(0, start)
	knew.Merge(0, catalog.Update{Epoch: 1, After: 2, AsOf: 3, Servers: []catalog.Server{serving("b", 3)}})
	knew.Merge(0, back)
	other.Merge(0, back)
	told := catalog.Update{Epoch: 2, After: 2, AsOf: 2, Retained: knew.Retained()}
	other.Merge(missingFor/2, told)
	for name, c := range map[string]*catalog.Catalog{"it knew": knew, "it was told": other} {
		if got := show(c).Backends; got["b"] != table.Serving {
			t.Errorf("%s: at first %v", name, got)
		}
		c.Refresh(missingFor * 3 / 2)
		if got := show(c).Backends; got["b"] != "" || got["a"] != table.Serving {
			t.Errorf("%s: later %v", name, got)
		}
		c.Merge(2*missingFor, told)
	}
}

// TestWhoIsToldOfALaterEpoch has one catalog tell another, which knows of lost changes that the
// first does not, all that it has: neither goes back, and both show the same.
func TestWhoIsToldOfALaterEpoch(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 4, Table: edition(10, 1), Servers: []catalog.Server{serving("a", 2), serving("b", 3), serving("c", 4)}}
	read, cut := catalog.New(), catalog.New()
	read.Merge(0, start)
	cut.Merge(0, start)
	cut.Merge(0, catalog.Update{Epoch: 1, After: 4, AsOf: 6, Table: edition(13, 6), Servers: []catalog.Server{leaving("a", 5)}})
	back := start
	back.Epoch = 2
	read.Merge(0, back)
	read.Merge(0, catalog.Update{Epoch: 2, After: 4, AsOf: 5, Servers: []catalog.Server{gone("b", 5)}})
	cut.Merge(0, read.Since(0))
	read.Merge(0, catalog.Update{Epoch: 2, After: 5, AsOf: 5, Retained: cut.Retained()})
	want := shown{Edition: 13, Backends: map[string]table.Mark{"a": table.Leaving, "c": table.Serving}}
	for name, c := range map[string]*catalog.Catalog{"read": read, "cut": cut} {
		if diff := cmp.Diff(want, show(c)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestKeptWhileCutOff has a router that heard of a new epoch hear of nothing else: it does not
// go back to what the copy lists because time passes.
func TestKeptWhileCutOff(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 3, Table: edition(10, 1), Servers: []catalog.Server{serving("a", 2), serving("b", 3)}}
	back := start
	back.Epoch = 2
	c := catalog.New(catalog.WithUnlistedGrace(missingFor))
	c.Merge(0, start)
	c.Merge(0, catalog.Update{Epoch: 1, After: 3, AsOf: 5, Servers: []catalog.Server{leaving("a", 4), gone("b", 5)}})
	c.Merge(0, back)
	c.Refresh(settled)
	want := shown{Edition: 10, Backends: map[string]table.Mark{"a": table.Leaving}}
	if diff := cmp.Diff(want, show(c)); diff != "" {
		t.Errorf("while it is cut off (-want +got):\n%s", diff)
	}
	c.MarkVerified(settled)
	c.Refresh(settled)
	want.Backends = map[string]table.Mark{"a": table.Serving, "b": table.Serving}
	if diff := cmp.Diff(want, show(c)); diff != "" {
		t.Errorf("once it has heard that this is still listed (-want +got):\n%s", diff)
	}
}

// TestKeptByOthers has other routers tell what they keep of earlier epochs, which counts only
// where nothing later is known here.
func TestKeptByOthers(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 3, Table: edition(10, 1), Servers: []catalog.Server{serving("a", 2)}}
	back := start
	back.Epoch = 2
	kept := func(s catalog.Server, over uint64) catalog.Update {
		override := catalog.Override{Origin: catalog.Revision{Epoch: 1, Number: s.Revision}, Over: over, Left: time.Second}
		return catalog.Update{Epoch: 2, After: 3, AsOf: 3, Retained: &catalog.Retained{Servers: []catalog.RetainedServer{{Server: s, Override: override}}}}
	}
	tests := map[string]struct {
		before, after []catalog.Update
		told          catalog.Update
		want          map[string]table.Mark
	}{
		"nothing is known of it":         {nil, nil, kept(leaving("a", 5), 2), map[string]table.Mark{"a": table.Leaving}},
		"later is known":                 {[]catalog.Update{{Epoch: 1, After: 3, AsOf: 6, Servers: []catalog.Server{gone("a", 6)}}}, nil, kept(leaving("a", 5), 2), map[string]table.Mark{}},
		"earlier is known":               {[]catalog.Update{{Epoch: 1, After: 3, AsOf: 4, Servers: []catalog.Server{leaving("a", 4)}}}, nil, kept(gone("a", 5), 2), map[string]table.Mark{}},
		"it was written again meanwhile": {nil, []catalog.Update{{Epoch: 2, After: 3, AsOf: 4, Servers: []catalog.Server{serving("a", 4)}}}, kept(leaving("a", 5), 2), map[string]table.Mark{"a": table.Serving}},
		"not listed, and gone here":      {[]catalog.Update{{Epoch: 1, After: 3, AsOf: 7, Servers: []catalog.Server{gone("c", 7)}}}, nil, kept(serving("c", 5), 0), map[string]table.Mark{"a": table.Serving}},
		"not listed":                     {nil, nil, kept(serving("c", 5), 0), map[string]table.Mark{"a": table.Serving, "c": table.Serving}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			for _, n := range append(append([]catalog.Update{start}, tc.before...), back) {
				c.Merge(0, n)
			}
			for _, n := range append(tc.after, tc.told) {
				c.Merge(0, n)
			}
			if diff := cmp.Diff(tc.want, show(c).Backends); diff != "" {
				t.Errorf("it shows (-want +got):\n%s", diff)
			}
		})
	}
}
