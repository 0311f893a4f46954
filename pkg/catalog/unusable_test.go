package catalog_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func usable(name string, revision uint64, mark table.Mark) catalog.Server {
	return catalog.Server{Revision: revision, Backend: table.Backend{
		Name: name, Zone: "a", Address: "10.0.0.9:80", Models: []string{"reader"}, Slots: 8, Mark: mark,
	}}
}

func unreadable(name string, revision uint64) catalog.Server {
	return catalog.Server{Revision: revision, Unusable: catalog.Unusable{Reason: catalog.Unreadable}, Backend: table.Backend{Name: name}}
}

func removed(name string, revision uint64) catalog.Server {
	return catalog.Server{Revision: revision, Gone: true, Backend: table.Backend{Name: name}}
}

// TestUnusableEntries guards against sending new requests to a backend server whose entry became
// unusable, here and in catalogs that are updated from this one.
func TestUnusableEntries(t *testing.T) {
	const none = table.Mark("")
	tests := map[string]struct {
		entries []catalog.Server
		// want is the mark in this catalog's view, none if the server is not in it. wantOther
		// is the mark in a catalog that knew a usable entry before.
		want, wantOther table.Mark
	}{
		"never usable":                 {[]catalog.Server{unreadable("x", 5)}, none, table.Leaving},
		"unusable later":               {[]catalog.Server{usable("x", 5, table.Serving), unreadable("x", 6)}, table.Leaving, table.Leaving},
		"unusable earlier":             {[]catalog.Server{usable("x", 6, table.Serving), unreadable("x", 5)}, table.Serving, table.Serving},
		"unusable twice":               {[]catalog.Server{usable("x", 5, table.Serving), unreadable("x", 6), unreadable("x", 7)}, table.Leaving, table.Leaving},
		"usable again":                 {[]catalog.Server{usable("x", 5, table.Serving), unreadable("x", 6), usable("x", 7, table.Serving)}, table.Serving, table.Serving},
		"usable again, received first": {[]catalog.Server{usable("x", 7, table.Serving), unreadable("x", 6)}, table.Serving, table.Serving},
		"unusable, then gone":          {[]catalog.Server{usable("x", 5, table.Serving), unreadable("x", 6), removed("x", 7)}, none, none},
		"gone, then unusable":          {[]catalog.Server{usable("x", 5, table.Serving), removed("x", 6), unreadable("x", 7)}, none, table.Leaving},
		"leaving, then unusable":       {[]catalog.Server{usable("x", 5, table.Leaving), unreadable("x", 6)}, table.Leaving, table.Leaving},
	}
	markIn := func(c *catalog.Catalog) table.Mark {
		b, _ := c.View().Backend("x")
		return b.Mark
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithRemovalGrace(time.Minute))
			c.Merge(0, catalog.Update{AsOf: 4, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{usable("y", 4, table.Serving)}})
			for _, s := range tc.entries {
				c.Merge(0, catalog.Update{After: 4, AsOf: s.Revision, Servers: []catalog.Server{s}})
			}
			if got := markIn(c); got != tc.want {
				t.Errorf("mark %q, want %q", got, tc.want)
			}
			started, knew := catalog.New(), catalog.New()
			knew.Merge(0, catalog.Update{AsOf: 4, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{usable("x", 4, table.Serving)}})
			started.Merge(0, c.Since(0))
			knew.Merge(0, c.Since(4))
			if got := markIn(knew); got != tc.wantOther {
				t.Errorf("mark %q in a catalog that knew a usable entry, want %q", got, tc.wantOther)
			}
			want := tc.want
			if list, _ := c.Unusable(); len(list) > 0 {
				want = none
			}
			if got := markIn(started); got != want {
				t.Errorf("mark %q in a new catalog, want %q", got, want)
			}
			if y, ok := c.View().Backend("y"); !ok || y.Mark != table.Serving {
				t.Errorf("the other backend server changed: %+v", y)
			}
		})
	}
}

// TestUndefinedService guards against using a backend server before the table defines its service.
func TestUndefinedService(t *testing.T) {
	c := catalog.New()
	other := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: "desk"}}}
	other.Index()
	c.Merge(0, catalog.Update{AsOf: 2, Table: other, Servers: []catalog.Server{usable("x", 2, table.Serving)}})
	if _, ok := c.View().Backend("x"); ok {
		t.Error("the view has a backend server whose service is not defined")
	}
	defined := &table.Table{Revision: 3, Services: []table.ServiceRow{{Name: "desk"}, {Name: "reader"}}}
	defined.Index()
	c.Merge(0, catalog.Update{After: 2, AsOf: 3, Table: defined})
	if _, ok := c.View().Backend("x"); !ok {
		t.Error("the view lacks a backend server whose service is defined")
	}
}

// TestChecked guards against accepting invalid rows from another router.
func TestChecked(t *testing.T) {
	update := catalog.Update{AsOf: 3, Servers: []catalog.Server{usable("x", 2, table.Serving), usable("y", 3, table.Serving)}}
	update.Servers[1].Backend.Address = "nowhere"
	got := update.Checked()
	if got.Servers[0].Unusable.IsSet() || got.Servers[1].Unusable != (catalog.Unusable{Reason: catalog.BadValue, Field: "address"}) {
		t.Errorf("checked servers: %+v", got.Servers)
	}
	if update.Servers[1].Unusable.IsSet() {
		t.Error("Checked changed its argument")
	}
}

// TestOwnAddress guards against request loops through an entry with a router's own address.
func TestOwnAddress(t *testing.T) {
	c := catalog.New(catalog.WithOwnAddress(func(address string) bool { return address == "10.0.0.9:80" }))
	c.Merge(0, catalog.Update{AsOf: 2, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{usable("x", 2, table.Serving)}})
	if _, ok := c.View().Backend("x"); ok {
		t.Error("the view has an entry with a router's own address")
	}
	if list, n := c.Unusable(); n != 1 || list["x"].Reason != catalog.OwnAddress {
		t.Errorf("unusable entries: %+v", list)
	}
	if drained := c.DrainUnusable(); len(drained) != 1 || len(c.DrainUnusable()) != 0 || c.UnusableTotals()[catalog.OwnAddress] != 1 {
		t.Errorf("drained %+v, totals %+v", drained, c.UnusableTotals())
	}
}
