package catalog_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func sound(name string, revision uint64, mark table.Mark) catalog.Server {
	return catalog.Server{Revision: revision, Backend: table.Backend{
		Name: name, Zone: "a", Address: "10.0.0.9:80", Models: []string{"reader"}, Slots: 8, Mark: mark,
	}}
}

func spoilt(name string, revision uint64) catalog.Server {
	return catalog.Server{Revision: revision, Unusable: catalog.Unusable{Reason: catalog.Unreadable}, Backend: table.Backend{Name: name}}
}

func removed(name string, revision uint64) catalog.Server {
	return catalog.Server{Revision: revision, Gone: true, Backend: table.Backend{Name: name}}
}

// TestUnusableEntries has entries of one backend server heard in some order; what is
// known at the end crosses to a catalog that knows nothing and to one that knew a good
// entry before.
func TestUnusableEntries(t *testing.T) {
	const none = table.Mark("")
	tests := map[string]struct {
		heard []catalog.Server
		// want is its mark in the view, none if it is not there.
		want, atOthers table.Mark
	}{
		"never a good one":        {[]catalog.Server{spoilt("x", 5)}, none, table.Leaving},
		"spoilt later":            {[]catalog.Server{sound("x", 5, table.Serving), spoilt("x", 6)}, table.Leaving, table.Leaving},
		"spoilt earlier":          {[]catalog.Server{sound("x", 6, table.Serving), spoilt("x", 5)}, table.Serving, table.Serving},
		"spoilt twice":            {[]catalog.Server{sound("x", 5, table.Serving), spoilt("x", 6), spoilt("x", 7)}, table.Leaving, table.Leaving},
		"good again":              {[]catalog.Server{sound("x", 5, table.Serving), spoilt("x", 6), sound("x", 7, table.Serving)}, table.Serving, table.Serving},
		"good again, heard first": {[]catalog.Server{sound("x", 7, table.Serving), spoilt("x", 6)}, table.Serving, table.Serving},
		"spoilt and gone":         {[]catalog.Server{sound("x", 5, table.Serving), spoilt("x", 6), removed("x", 7)}, none, none},
		"gone and spoilt":         {[]catalog.Server{sound("x", 5, table.Serving), removed("x", 6), spoilt("x", 7)}, none, table.Leaving},
		"leaving and spoilt":      {[]catalog.Server{sound("x", 5, table.Leaving), spoilt("x", 6)}, table.Leaving, table.Leaving},
	}
	markIn := func(c *catalog.Catalog) table.Mark {
		b, _ := c.View().Backend("x")
		return b.Mark
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithRemovalGrace(time.Minute))
			c.Merge(0, catalog.Update{AsOf: 4, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{sound("y", 4, table.Serving)}})
			for _, s := range tc.heard {
				c.Merge(0, catalog.Update{After: 4, AsOf: s.Revision, Servers: []catalog.Server{s}})
			}
			if got := markIn(c); got != tc.want {
				t.Errorf("it is %q, want %q", got, tc.want)
			}
			starts, knew := catalog.New(), catalog.New()
			knew.Merge(0, catalog.Update{AsOf: 4, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{sound("x", 4, table.Serving)}})
			starts.Merge(0, c.Since(0))
			knew.Merge(0, c.Since(4))
			if got := markIn(knew); got != tc.atOthers {
				t.Errorf("at one that knew a good entry it is %q, want %q", got, tc.atOthers)
			}
			want := tc.want
			if list, _ := c.Unusable(); len(list) > 0 {
				want = none
			}
			if got := markIn(starts); got != want {
				t.Errorf("at one that starts it is %q, want %q", got, want)
			}
			if y, ok := c.View().Backend("y"); !ok || y.Mark != table.Serving {
				t.Errorf("its neighbour is %+v", y)
			}
		})
	}
}

// TestServiceThatTheTableDoesNotName leaves a backend server out until a table names its
// service.
func TestServiceThatTheTableDoesNotName(t *testing.T) {
	c := catalog.New()
	other := &table.Table{Revision: 1, Services: []table.ServiceRow{{Name: "desk"}}}
	other.Index()
	c.Merge(0, catalog.Update{AsOf: 2, Table: other, Servers: []catalog.Server{sound("x", 2, table.Serving)}})
	if _, ok := c.View().Backend("x"); ok {
		t.Error("it is used though the table does not name its service")
	}
	named := &table.Table{Revision: 3, Services: []table.ServiceRow{{Name: "desk"}, {Name: "reader"}}}
	named.Index()
	c.Merge(0, catalog.Update{After: 2, AsOf: 3, Table: named})
	if _, ok := c.View().Backend("x"); !ok {
		t.Error("it is not used though the table names its service")
	}
}

// TestPeersNewsAreChecked has another router tell rows that cannot be used.
func TestPeersNewsAreChecked(t *testing.T) {
	told := catalog.Update{AsOf: 3, Servers: []catalog.Server{sound("x", 2, table.Serving), sound("y", 3, table.Serving)}}
	told.Servers[1].Backend.Address = "nowhere"
	got := told.Checked()
	if got.Servers[0].Unusable.IsSet() || got.Servers[1].Unusable != (catalog.Unusable{Reason: catalog.BadValue, Field: "address"}) {
		t.Errorf("%+v", got.Servers)
	}
	if told.Servers[1].Unusable.IsSet() {
		t.Error("what was told was changed")
	}
}

// TestOwnAddress leaves out an entry whose address is a router's own.
func TestOwnAddress(t *testing.T) {
	c := catalog.New(catalog.WithOwnAddress(func(address string) bool { return address == "10.0.0.9:80" }))
	c.Merge(0, catalog.Update{AsOf: 2, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{sound("x", 2, table.Serving)}})
	if _, ok := c.View().Backend("x"); ok {
		t.Error("requests would go round")
	}
	if list, n := c.Unusable(); n != 1 || list["x"].Reason != catalog.OwnAddress {
		t.Errorf("%+v", list)
	}
	if noted := c.DrainUnusable(); len(noted) != 1 || len(c.DrainUnusable()) != 0 || c.UnusableTotals()[catalog.OwnAddress] != 1 {
		t.Errorf("noted %+v, counted %+v", noted, c.UnusableTotals())
	}
}
