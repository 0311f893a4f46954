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

// state is what a catalog shows.
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
		for _, b := range v.Backends {
			s.Backends = append(s.Backends, b.Name)
		}
		s.Closed = v.ClosedZones()
	}
	return s
}

func TestMerge(t *testing.T) {
	whole := catalog.Update{AsOf: 10, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9)}}
	tests := map[string]struct {
		news []catalog.Update
		want state
	}{
		"whole":       {[]catalog.Update{whole}, state{10, 4, []string{"a", "b"}, nil}},
		"zone closed": {[]catalog.Update{whole, {After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}}, state{11, 4, []string{"a", "b"}, []string{"x"}}},
		"zone opened": {
			[]catalog.Update{whole, {After: 10, AsOf: 12, Zones: []catalog.Zone{closed("x", 11), closed("y", 12)}}, {After: 12, AsOf: 13, Zones: []catalog.Zone{opened("x", 13)}}},
			state{13, 4, []string{"a", "b"}, []string{"y"}}},
		"an older closing does not overtake an opening": {
			[]catalog.Update{whole, {After: 10, AsOf: 13, Zones: []catalog.Zone{opened("x", 13)}}, {After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}},
			state{13, 4, []string{"a", "b"}, nil}},
		"a whole read without a mark opens": {
			[]catalog.Update{whole, {After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}, {AsOf: 20, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9)}}},
			state{20, 4, []string{"a", "b"}, nil}},
		"a whole read says nothing of a later closing": {
			[]catalog.Update{whole, {After: 10, AsOf: 12, Zones: []catalog.Zone{closed("x", 12)}}, {AsOf: 11, Servers: []catalog.Server{server("a", 7), server("b", 9)}}},
			state{12, 4, []string{"a", "b"}, []string{"x"}}},
		"older table":   {[]catalog.Update{whole, {After: 10, AsOf: 11, Table: tableAt(3)}}, state{11, 4, []string{"a", "b"}, nil}},
		"entry removed": {[]catalog.Update{whole, {After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 12)}}}, state{12, 4, []string{"b"}, nil}},
		"late news do not bring an entry back": {
			[]catalog.Update{whole, {After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 12)}}, whole}, state{12, 4, []string{"b"}, nil}},
		"late news of an entry that went unheard of": {
			[]catalog.Update{{AsOf: 9, Table: tableAt(4), Servers: []catalog.Server{server("b", 9)}}, {AsOf: 8, Table: tableAt(4), Servers: []catalog.Server{server("a", 7)}, Zones: []catalog.Zone{closed("x", 6)}}},
			state{9, 4, []string{"b"}, nil}},
		"late news of an entry that came and went unheard of": {
			[]catalog.Update{whole, {After: 10, AsOf: 11, Servers: []catalog.Server{gone("a", 11)}}, {AsOf: 14, Table: tableAt(4), Servers: []catalog.Server{server("b", 9)}}, {After: 11, AsOf: 12, Servers: []catalog.Server{server("a", 12)}}},
			state{14, 4, []string{"b"}, nil}},
		"a whole read tells what a watch left out": {
			[]catalog.Update{whole, {After: 10, AsOf: 13}, {AsOf: 14, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9), server("c", 12)}, Zones: []catalog.Zone{closed("x", 13)}}},
			state{14, 4, []string{"a", "b", "c"}, []string{"x"}}},
		"a whole read at the same revision tells it, too": {
			[]catalog.Update{whole, {After: 10, AsOf: 13}, {AsOf: 13, Table: tableAt(4), Servers: []catalog.Server{server("a", 7), server("b", 9), server("c", 12)}}},
			state{13, 4, []string{"a", "b", "c"}, nil}},
		"an entry written anew comes back": {
			[]catalog.Update{whole, {After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 12)}}, {After: 12, AsOf: 13, Servers: []catalog.Server{server("a", 13)}}},
			state{13, 4, []string{"a", "b"}, nil}},
		"unlisted entries of a whole read are gone": {
			[]catalog.Update{whole, {AsOf: 20, Table: tableAt(4), Servers: []catalog.Server{server("b", 9)}}}, state{20, 4, []string{"b"}, nil}},
		"a whole read says nothing of what came after it": {
			[]catalog.Update{whole, {After: 10, AsOf: 12, Servers: []catalog.Server{server("c", 12)}}, {AsOf: 11, Servers: []catalog.Server{server("a", 7), server("b", 9)}}},
			state{12, 4, []string{"a", "b", "c"}, nil}},
		"news with a gap before them do not complete": {
			[]catalog.Update{whole, {After: 14, AsOf: 15, Servers: []catalog.Server{server("c", 15)}}}, state{10, 4, []string{"a", "b", "c"}, nil}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			for _, n := range tc.news {
				c.Merge(0, n)
			}
			if diff := cmp.Diff(tc.want, stateOf(c)); diff != "" {
				t.Errorf("catalog (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnyOrder lets two catalogs hear the same history in different orders,
// with repetitions and through each other, and compares where they end.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []catalog.Update
		last := uint64(1)
		history = append(history, catalog.Update{AsOf: 1, Table: tableAt(1)})
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			n := catalog.Update{After: last, AsOf: last + 1}
			last++
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				n.Table = tableAt(last)
			case 1:
				n.Servers = []catalog.Server{server(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), last)}
			case 2:
				n.Servers = []catalog.Server{gone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), last)}
			case 3:
				n.Zones = []catalog.Zone{closed(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), last)}
			case 4:
				n.Zones = []catalog.Zone{opened(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), last)}
			}
			history = append(history, n)
		}
		straight, shuffled := catalog.New(), catalog.New()
		for _, n := range history {
			straight.Merge(0, n)
		}
		for _, n := range rapid.Permutation(history).Draw(t, "order") {
			shuffled.Merge(time.Second, n)
		}
		shuffled.Merge(time.Second, straight.Since(shuffled.AsOf().Number))
		if diff := cmp.Diff(stateOf(straight), stateOf(shuffled)); diff != "" {
			t.Errorf("catalogs differ (-straight +shuffled):\n%s", diff)
		}
	})
}

// serving is an entry of a backend server of a service.
func serving(name string, revision uint64) catalog.Server {
	s := server(name, revision)
	s.Backend.Mark, s.Backend.Models = table.Serving, []string{"reader"}
	return s
}

// TestEntriesThatVanishTogether looks for how long backend servers are kept
// whose entries are removed without a mark.
func TestEntriesThatVanishTogether(t *testing.T) {
	const keep = time.Second
	leaving := serving("a", 8)
	leaving.Backend.Mark = table.Leaving
	all := []catalog.Server{serving("a", 1), serving("b", 2), serving("c", 3), serving("d", 4)}
	tests := map[string]struct {
		news   []catalog.Update
		soon   []string
		later  []string
		expire bool
	}{
		"all at once":       {[]catalog.Update{{After: 5, AsOf: 9, Servers: []catalog.Server{gone("a", 6), gone("b", 7), gone("c", 8), gone("d", 9)}}}, []string{"a", "b", "c", "d"}, nil, true},
		"in a whole read":   {[]catalog.Update{{AsOf: 9, Table: tableAt(1)}}, []string{"a", "b", "c", "d"}, nil, true},
		"half":              {[]catalog.Update{{After: 5, AsOf: 7, Servers: []catalog.Server{gone("a", 6), gone("b", 7)}}}, []string{"c", "d", "a", "b"}, []string{"c", "d"}, true},
		"one":               {[]catalog.Update{{After: 5, AsOf: 6, Servers: []catalog.Server{gone("a", 6)}}}, []string{"b", "c", "d"}, []string{"b", "c", "d"}, false},
		"some come back":    {[]catalog.Update{{AsOf: 9, Table: tableAt(1)}, {After: 9, AsOf: 11, Servers: []catalog.Server{serving("b", 10), serving("a", 11)}}}, []string{"a", "b", "c", "d"}, []string{"a", "b"}, true},
		"one was to leave":  {[]catalog.Update{{After: 5, AsOf: 8, Servers: []catalog.Server{leaving}}, {AsOf: 9, Table: tableAt(1)}}, []string{"b", "c", "d"}, nil, true},
		"old word of a one": {[]catalog.Update{{AsOf: 9, Table: tableAt(1)}, {After: 0, AsOf: 5, Servers: all}}, []string{"a", "b", "c", "d"}, nil, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithRemovalGrace(keep))
			c.Merge(0, catalog.Update{AsOf: 5, Table: tableAt(1), Servers: all})
			for _, n := range tc.news {
				c.Merge(0, n)
			}
			if diff := cmp.Diff(tc.soon, stateOf(c).Backends); diff != "" {
				t.Errorf("at first (-want +got):\n%s", diff)
			}
			if c.Refresh(keep / 2) {
				t.Error("the view changes too soon")
			}
			if got := c.Refresh(keep); got != tc.expire {
				t.Errorf("the view changes in the end: %v", got)
			}
			if diff := cmp.Diff(tc.later, stateOf(c).Backends); diff != "" {
				t.Errorf("in the end (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRemovalThatIsForgotten asks a catalog for what came after a revision before a removal
// which it has forgotten meanwhile: the entry does not stay for ever with who asks.
func TestRemovalThatIsForgotten(t *testing.T) {
	start := catalog.Update{AsOf: 5, Table: tableAt(1), Servers: []catalog.Server{server("a", 2), server("b", 3)}}
	told, suspended := catalog.New(), catalog.New()
	told.Merge(0, start)
	suspended.Merge(0, start)
	told.Merge(0, catalog.Update{After: 5, AsOf: 6, Servers: []catalog.Server{gone("a", 6)}})
	told.Merge(time.Hour, catalog.Update{After: 6, AsOf: 7, Servers: []catalog.Server{server("c", 7)}})
	suspended.Merge(time.Hour, told.Since(suspended.AsOf().Number))
	if diff := cmp.Diff(stateOf(told), stateOf(suspended)); diff != "" {
		t.Errorf("catalogs differ (-told +suspended):\n%s", diff)
	}
}

// TestRemovalThatTheTellerNeverHeardOf asks a catalog that knows nothing from before a removal
// for what came after a revision before it.
func TestRemovalThatTheTellerNeverHeardOf(t *testing.T) {
	before := catalog.Update{AsOf: 5, Table: tableAt(1), Servers: []catalog.Server{server("a", 2), server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}}
	after := catalog.Update{AsOf: 8, Table: tableAt(1), Servers: []catalog.Server{server("b", 3), server("c", 8)}}
	tests := map[string][]catalog.Update{
		"who has just started":           {after},
		"and follows the platform since": {after, {After: 8, AsOf: 9, Servers: []catalog.Server{server("d", 9)}}},
		"who was told by one that read all again": {
			{AsOf: 6, Table: tableAt(1), Servers: []catalog.Server{server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}},
			{After: 6, AsOf: 8, Jumps: []catalog.Jump{{From: 6, To: 8}}, Servers: []catalog.Server{server("c", 8)}, Zones: []catalog.Zone{opened("x", 8)}}},
		"who read all again":                  {{AsOf: 6, Table: tableAt(1), Servers: []catalog.Server{server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}}, after},
		"who never knew what came and went":   {{AsOf: 5, Table: tableAt(1), Servers: []catalog.Server{server("a", 2), server("b", 3)}, Zones: []catalog.Zone{closed("x", 4)}}, after},
		"who was told all by one of the same": {after, after},
	}
	for name, heard := range tests {
		t.Run(name, func(t *testing.T) {
			teller, asks := catalog.New(), catalog.New()
			for _, n := range heard {
				teller.Merge(0, n)
			}
			asks.Merge(0, before)
			// It hears of what comes and goes again meanwhile, and not that it goes.
			asks.Merge(0, catalog.Update{After: 5, AsOf: 7, Servers: []catalog.Server{gone("a", 6), server("e", 7)}})
			asks.Merge(0, teller.Since(asks.AsOf().Number))
			if diff := cmp.Diff(stateOf(teller), stateOf(asks)); diff != "" {
				t.Errorf("catalogs differ (-teller +asks):\n%s", diff)
			}
			late := catalog.New()
			late.Merge(0, before)
			late.Merge(0, teller.Since(late.AsOf().Number))
			if diff := cmp.Diff(stateOf(teller), stateOf(late)); diff != "" {
				t.Errorf("catalogs differ (-teller +late):\n%s", diff)
			}
		})
	}
}
