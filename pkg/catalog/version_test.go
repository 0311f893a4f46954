package catalog_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestVersionLearnedLater: an entry that another router sent without its software version gets it from a
// read of the same revision, and none from an older one.
func TestVersionLearnedLater(t *testing.T) {
	entry := func(revision uint64, version string, unknown bool) catalog.Server {
		return catalog.Server{Revision: revision, Backend: table.Backend{Name: "a", Version: version, VersionUnknown: unknown}}
	}
	tests := map[string]struct {
		second catalog.Server
		want   table.Software
		// missing says that the version is still not known then.
		missing bool
	}{
		"read at the same revision": {entry(7, "v1", false), table.Software{Version: "v1"}, false},
		"read without a version":    {entry(7, "", false), table.Software{}, false},
		"sent again without":        {entry(7, "", true), table.Software{Unknown: true}, true},
		"an older revision":         {entry(6, "v0", false), table.Software{Unknown: true}, true},
		"a later one":               {entry(8, "v2", false), table.Software{Version: "v2"}, false},
		"removed":                   {gone("a", 8), table.Software{}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New()
			c.Merge(time.Second, catalog.Update{AsOf: 7, Table: tableAt(4), Servers: []catalog.Server{entry(7, "", true)}})
			if !c.VersionsMissing() {
				t.Error("the missing version is not noticed")
			}
			c.Merge(2*time.Second, catalog.Update{AsOf: 8, Table: tableAt(4), Servers: []catalog.Server{tc.second}})
			row, _ := c.View().Backend("a")
			if got := row.Software(); got != tc.want || c.VersionsMissing() != tc.missing {
				t.Errorf("software %+v, want %+v; missing: %v, want %v", got, tc.want, c.VersionsMissing(), tc.missing)
			}
		})
	}
}
