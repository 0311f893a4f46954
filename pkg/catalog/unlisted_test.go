package catalog_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// TestUnlistedAtAsOf guards against a state that depends on the order of updates: what was published at
// the last revision that an update covers, and is not listed there, is gone in either order.
func TestUnlistedAtAsOf(t *testing.T) {
	start := catalog.Update{AsOf: 3, Table: tableAt(1), Servers: []catalog.Server{server("a", 2)}}
	unlisted := catalog.Update{After: 3, AsOf: 6}
	tests := map[string]catalog.Update{
		"closed zone":    {After: 4, AsOf: 6, Zones: []catalog.Zone{closed("z", 6)}},
		"backend server": {After: 4, AsOf: 6, Servers: []catalog.Server{server("b", 6)}},
		"both":           {After: 4, AsOf: 6, Servers: []catalog.Server{server("b", 6)}, Zones: []catalog.Zone{closed("z", 6)}},
	}
	for name, published := range tests {
		t.Run(name, func(t *testing.T) {
			for order, updates := range map[string][]catalog.Update{"published first": {published, unlisted}, "unlisted first": {unlisted, published}} {
				c, want := catalog.New(), catalog.New()
				c.Merge(0, start)
				want.Merge(0, start)
				want.Merge(0, unlisted)
				for _, u := range updates {
					c.Merge(0, u)
				}
				if diff := cmp.Diff(stateOf(want), stateOf(c)); diff != "" {
					t.Errorf("%s (-want +got):\n%s", order, diff)
				}
			}
		})
	}
}
