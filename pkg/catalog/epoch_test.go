package catalog_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// tableEdition is an edition of the operators' table.
func tableEdition(number, revision uint64) *table.Table {
	t := tableAt(revision)
	t.Edition = number
	return t
}

func leaving(name string, revision uint64) catalog.Server {
	s := serving(name, revision)
	s.Backend.Mark = table.Leaving
	return s
}

func startedAt(at int64, s catalog.Server) catalog.Server {
	s.Backend.StartTime = at
	return s
}

// viewState is the content of a view with the backend servers' marks.
type viewState struct {
	Edition  uint64
	Backends map[string]table.Mark
	Closed   []string
}

func viewStateOf(c *catalog.Catalog) viewState {
	v := c.View()
	s := viewState{Edition: v.Edition, Backends: map[string]table.Mark{}, Closed: v.ClosedZones()}
	for b := range v.AllBackends() {
		s.Backends[b.Name] = b.Mark
	}
	return s
}

const (
	unlistedGrace = time.Second
	expired       = time.Minute
)

// TestRestore guards against going back to old state when the platform restarts from a backup that
// lacks recent changes, and against keeping lost state forever.
func TestRestore(t *testing.T) {
	type servers = []catalog.Server
	// The backup is as of revision 5: edition 10 at 1, a at 2, b at 3, c at 4, z closed at 5.
	start := catalog.Update{Epoch: 1, AsOf: 5, Table: tableEdition(10, 1), Servers: servers{serving("a", 2), serving("b", 3), serving("c", 4)}, Zones: []catalog.Zone{closed("z", 5)}}
	restored := func(asOf uint64, list servers, zones ...catalog.Zone) catalog.Update {
		return catalog.Update{Epoch: 2, AsOf: asOf, Table: tableEdition(10, 1), Servers: list, Zones: append(zones, closed("z", 5))}
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
		then  []catalog.Update
		first viewState
		// later is the view after all retained items expired.
		later viewState
	}{
		"nothing was lost": {nil, []catalog.Update{restored(5, abc)}, viewState{10, all, z}, viewState{10, all, z}},
		"table edition lost": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 6, Table: tableEdition(12, 6)}}, []catalog.Update{restored(5, abc)},
			viewState{12, all, z}, viewState{12, all, z}},
		"newer edition at a reused number": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Table: tableEdition(12, 9)}},
			[]catalog.Update{restored(5, abc), {Epoch: 2, After: 5, AsOf: 6, Table: tableEdition(14, 6)}},
			viewState{14, all, z}, viewState{14, all, z}},
		"older edition written again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Table: tableEdition(12, 9)}},
			[]catalog.Update{restored(5, abc), {Epoch: 2, After: 5, AsOf: 6, Table: tableEdition(11, 6)}},
			viewState{12, all, z}, viewState{12, all, z}},
		"leaving server, then removed": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}}},
			[]catalog.Update{restored(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{gone("a", 6)}}},
			viewState{10, with(map[string]table.Mark{"a": ""}), z}, viewState{10, with(map[string]table.Mark{"a": ""}), z}},
		"leaving server": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}}}, []catalog.Update{restored(5, abc)},
			viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}, viewState{10, all, z}},
		"leaving server registers again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}}},
			[]catalog.Update{restored(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{leaving("a", 6)}}},
			viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}, viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"leaving server registers before the list is read": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Servers: servers{serving("b", 9)}}},
			[]catalog.Update{restored(6, servers{leaving("a", 6), serving("b", 3), serving("c", 4)})},
			viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}, viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"removed server": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{gone("a", 8)}}}, []catalog.Update{restored(5, abc)},
			viewState{10, with(map[string]table.Mark{"a": ""}), z}, viewState{10, all, z}},
		"removed server starts again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{gone("a", 8)}}},
			[]catalog.Update{restored(6, servers{startedAt(7, serving("a", 6)), serving("b", 3), serving("c", 4)})},
			viewState{10, all, z}, viewState{10, all, z}},
		"other incarnation at a reused number": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Servers: servers{serving("b", 7), startedAt(1, serving("a", 9))}}},
			[]catalog.Update{restored(7, servers{startedAt(2, leaving("a", 7)), serving("b", 3), serving("c", 4)})},
			viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}, viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"other incarnation of unknown order": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 9, Servers: servers{startedAt(1, serving("a", 9))}}},
			[]catalog.Update{restored(7, servers{startedAt(2, leaving("a", 7)), serving("b", 3), serving("c", 4)})},
			viewState{10, all, z}, viewState{10, with(map[string]table.Mark{"a": table.Leaving}), z}},
		"new server not in the backup": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{serving("d", 8)}}}, []catalog.Update{restored(5, abc)},
			viewState{10, with(map[string]table.Mark{"d": table.Serving}), z}, viewState{10, all, z}},
		"new server not in the backup registers again": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{serving("d", 8)}}},
			[]catalog.Update{restored(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{serving("d", 6)}}},
			viewState{10, with(map[string]table.Mark{"d": table.Serving}), z}, viewState{10, with(map[string]table.Mark{"d": table.Serving}), z}},
		"server in the backup removed before the list is read": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{serving("c", 8)}}},
			[]catalog.Update{restored(6, servers{serving("b", 3), serving("c", 4)})},
			viewState{10, with(map[string]table.Mark{"a": ""}), z}, viewState{10, with(map[string]table.Mark{"a": ""}), z}},
		"leaving server, zone opening inferred from a list": {
			[]catalog.Update{
				{Epoch: 1, After: 5, AsOf: 6, Servers: servers{serving("a", 6)}},
				{Epoch: 1, AsOf: 6, Table: tableEdition(10, 1), Servers: servers{serving("a", 6), serving("b", 3), serving("c", 4)}},
				{Epoch: 1, AsOf: 7, Table: tableEdition(10, 1), Servers: servers{serving("a", 6), serving("b", 7), serving("c", 4)}},
				{Epoch: 1, After: 7, AsOf: 8, Servers: servers{leaving("a", 8)}},
			},
			[]catalog.Update{{Epoch: 2, AsOf: 7, Table: tableEdition(10, 1), Servers: servers{serving("a", 6), serving("b", 7), serving("c", 4)}}},
			viewState{10, with(map[string]table.Mark{"a": table.Leaving}), nil}, viewState{10, all, nil}},
		"zone opened": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Zones: []catalog.Zone{opened("z", 8)}}}, []catalog.Update{restored(5, abc)},
			viewState{10, all, nil}, viewState{10, all, z}},
		"zone closed": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Zones: []catalog.Zone{closed("y", 8)}}}, []catalog.Update{restored(5, abc)},
			viewState{10, all, []string{"y", "z"}}, viewState{10, all, z}},
		"zone closed, then opened": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Zones: []catalog.Zone{closed("y", 8)}}},
			[]catalog.Update{restored(5, abc), {Epoch: 2, After: 5, AsOf: 7, Zones: []catalog.Zone{opened("y", 7)}}},
			viewState{10, all, z}, viewState{10, all, z}},
		"two restores": {
			[]catalog.Update{{Epoch: 1, After: 5, AsOf: 8, Servers: servers{leaving("a", 8)}, Table: tableEdition(12, 7)}},
			[]catalog.Update{
				restored(5, abc), {Epoch: 2, After: 5, AsOf: 6, Servers: servers{leaving("b", 6)}},
				{Epoch: 3, AsOf: 5, Table: tableEdition(10, 1), Servers: abc, Zones: []catalog.Zone{closed("z", 5)}},
			},
			viewState{12, with(map[string]table.Mark{"a": table.Leaving, "b": table.Leaving}), z}, viewState{12, all, z}},
		"late update of the previous epoch": {
			nil, []catalog.Update{restored(5, abc), {Epoch: 1, After: 5, AsOf: 9, Table: tableEdition(9, 9), Servers: servers{gone("a", 9)}}},
			viewState{10, all, z}, viewState{10, all, z}},
		"incremental update of a later epoch": {
			nil, []catalog.Update{{Epoch: 2, After: 5, AsOf: 6, Servers: servers{leaving("a", 6)}}},
			viewState{10, all, z}, viewState{10, all, z}},
		"platform begins to report its epoch": {
			nil, []catalog.Update{{Epoch: 7, AsOf: 5, Table: tableEdition(10, 1), Servers: abc, Zones: []catalog.Zone{closed("z", 5)}}},
			viewState{10, all, z}, viewState{10, all, z}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithUnlistedGrace(unlistedGrace))
			c.Merge(0, start)
			for _, u := range append(tc.lost, tc.then...) {
				c.Merge(0, u)
			}
			if diff := cmp.Diff(tc.first, viewStateOf(c)); diff != "" {
				t.Errorf("after the restore (-want +got):\n%s", diff)
			}
			c.MarkVerified(expired)
			c.Refresh(expired)
			if diff := cmp.Diff(tc.later, viewStateOf(c)); diff != "" {
				t.Errorf("after expiry (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnlistedGrace guards against dropping a backend server that a restored platform does not list
// before it can register again, and against keeping it for longer, here and in a catalog that
// learned of it from this one.
func TestUnlistedGrace(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 2, Table: tableEdition(10, 1), Servers: []catalog.Server{serving("a", 2)}}
	restored := catalog.Update{Epoch: 2, AsOf: 2, Table: tableEdition(10, 1), Servers: []catalog.Server{serving("a", 2)}}
	knew, other := catalog.New(catalog.WithUnlistedGrace(unlistedGrace)), catalog.New(catalog.WithUnlistedGrace(unlistedGrace))
	knew.Merge(0, start)
	knew.Merge(0, catalog.Update{Epoch: 1, After: 2, AsOf: 3, Servers: []catalog.Server{serving("b", 3)}})
	knew.Merge(0, restored)
	other.Merge(0, restored)
	retained := catalog.Update{Epoch: 2, After: 2, AsOf: 2, Retained: knew.Retained()}
	other.Merge(unlistedGrace/2, retained)
	for name, c := range map[string]*catalog.Catalog{"knew": knew, "learned": other} {
		if got := viewStateOf(c).Backends; got["b"] != table.Serving {
			t.Errorf("%s: within the grace period %v", name, got)
		}
		c.Refresh(unlistedGrace * 3 / 2)
		if got := viewStateOf(c).Backends; got["b"] != "" || got["a"] != table.Serving {
			t.Errorf("%s: after the grace period %v", name, got)
		}
		c.Merge(2*unlistedGrace, retained)
	}
}

// TestEpochFromOtherRouter guards against losing changes that only one of two catalogs knew when the
// epoch changes, and against catalogs that diverge then.
func TestEpochFromOtherRouter(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 4, Table: tableEdition(10, 1), Servers: []catalog.Server{serving("a", 2), serving("b", 3), serving("c", 4)}}
	reader, cutOff := catalog.New(), catalog.New()
	reader.Merge(0, start)
	cutOff.Merge(0, start)
	cutOff.Merge(0, catalog.Update{Epoch: 1, After: 4, AsOf: 6, Table: tableEdition(13, 6), Servers: []catalog.Server{leaving("a", 5)}})
	restored := start
	restored.Epoch = 2
	reader.Merge(0, restored)
	reader.Merge(0, catalog.Update{Epoch: 2, After: 4, AsOf: 5, Servers: []catalog.Server{gone("b", 5)}})
	cutOff.Merge(0, reader.Since(0))
	reader.Merge(0, catalog.Update{Epoch: 2, After: 5, AsOf: 5, Retained: cutOff.Retained()})
	want := viewState{Edition: 13, Backends: map[string]table.Mark{"a": table.Leaving, "c": table.Serving}}
	for name, c := range map[string]*catalog.Catalog{"reader": reader, "cut off": cutOff} {
		if diff := cmp.Diff(want, viewStateOf(c)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestRetainedUntilVerified guards against going back to the backup's state only because time
// passes while the router is cut off.
func TestRetainedUntilVerified(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 3, Table: tableEdition(10, 1), Servers: []catalog.Server{serving("a", 2), serving("b", 3)}}
	restored := start
	restored.Epoch = 2
	c := catalog.New(catalog.WithUnlistedGrace(unlistedGrace))
	c.Merge(0, start)
	c.Merge(0, catalog.Update{Epoch: 1, After: 3, AsOf: 5, Servers: []catalog.Server{leaving("a", 4), gone("b", 5)}})
	c.Merge(0, restored)
	c.Refresh(expired)
	want := viewState{Edition: 10, Backends: map[string]table.Mark{"a": table.Leaving}}
	if diff := cmp.Diff(want, viewStateOf(c)); diff != "" {
		t.Errorf("before it is verified (-want +got):\n%s", diff)
	}
	c.MarkVerified(expired)
	c.Refresh(expired)
	want.Backends = map[string]table.Mark{"a": table.Serving, "b": table.Serving}
	if diff := cmp.Diff(want, viewStateOf(c)); diff != "" {
		t.Errorf("after it is verified (-want +got):\n%s", diff)
	}
}

// TestMergeRetained guards against replacing newer state by what another router retains from
// earlier epochs.
func TestMergeRetained(t *testing.T) {
	start := catalog.Update{Epoch: 1, AsOf: 3, Table: tableEdition(10, 1), Servers: []catalog.Server{serving("a", 2)}}
	restored := start
	restored.Epoch = 2
	retained := func(s catalog.Server, over uint64) catalog.Update {
		override := catalog.Override{Origin: catalog.Revision{Epoch: 1, Number: s.Revision}, Over: over, Left: time.Second}
		return catalog.Update{Epoch: 2, After: 3, AsOf: 3, Retained: &catalog.Retained{Servers: []catalog.RetainedServer{{Server: s, Override: override}}}}
	}
	tests := map[string]struct {
		before, after []catalog.Update
		received      catalog.Update
		want          map[string]table.Mark
	}{
		"no change known":       {nil, nil, retained(leaving("a", 5), 2), map[string]table.Mark{"a": table.Leaving}},
		"later change known":    {[]catalog.Update{{Epoch: 1, After: 3, AsOf: 6, Servers: []catalog.Server{gone("a", 6)}}}, nil, retained(leaving("a", 5), 2), map[string]table.Mark{}},
		"earlier change known":  {[]catalog.Update{{Epoch: 1, After: 3, AsOf: 4, Servers: []catalog.Server{leaving("a", 4)}}}, nil, retained(gone("a", 5), 2), map[string]table.Mark{}},
		"written again":         {nil, []catalog.Update{{Epoch: 2, After: 3, AsOf: 4, Servers: []catalog.Server{serving("a", 4)}}}, retained(leaving("a", 5), 2), map[string]table.Mark{"a": table.Serving}},
		"not listed, gone here": {[]catalog.Update{{Epoch: 1, After: 3, AsOf: 7, Servers: []catalog.Server{gone("c", 7)}}}, nil, retained(serving("c", 5), 0), map[string]table.Mark{"a": table.Serving}},
		"not listed":            {nil, nil, retained(serving("c", 5), 0), map[string]table.Mark{"a": table.Serving, "c": table.Serving}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			for _, u := range append(append([]catalog.Update{start}, tc.before...), restored) {
				c.Merge(0, u)
			}
			for _, u := range append(tc.after, tc.received) {
				c.Merge(0, u)
			}
			if diff := cmp.Diff(tc.want, viewStateOf(c).Backends); diff != "" {
				t.Errorf("backend servers (-want +got):\n%s", diff)
			}
		})
	}
}
