package catalog_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestSetGracePeriods guards against keeping the former grace periods after a change.
func TestSetGracePeriods(t *testing.T) {
	const former = time.Second
	start := catalog.Update{Epoch: 1, AsOf: 2, Table: tableAt(1), Servers: []catalog.Server{serving("a", 1), serving("b", 2)}}
	restored := catalog.Update{Epoch: 2, AsOf: 1, Table: tableAt(1), Servers: []catalog.Server{serving("a", 1)}}
	vanish := func(c *catalog.Catalog) {
		c.Merge(0, catalog.Update{Epoch: 1, After: 2, AsOf: 4, Servers: []catalog.Server{gone("a", 3), gone("b", 4)}})
	}
	restore := func(c *catalog.Catalog) { c.Merge(0, restored) }
	setUnlisted := func(d time.Duration) func(*catalog.Catalog) {
		return func(c *catalog.Catalog) { c.SetGracePeriods(former, d) }
	}
	setRemoval := func(d time.Duration) func(*catalog.Catalog) {
		return func(c *catalog.Catalog) { c.SetGracePeriods(d, former) }
	}
	tests := map[string]struct {
		steps []func(*catalog.Catalog)
		// last is the time until which b stays in the view.
		last time.Duration
	}{
		"removal, longer":                {[]func(*catalog.Catalog){setRemoval(3 * former), vanish}, 3 * former},
		"removal, shorter":               {[]func(*catalog.Catalog){setRemoval(former / 2), vanish}, former / 2},
		"removal, longer, vanished":      {[]func(*catalog.Catalog){vanish, setRemoval(3 * former)}, 3 * former},
		"removal, shorter, vanished":     {[]func(*catalog.Catalog){vanish, setRemoval(former / 2)}, former / 2},
		"unlisted, longer":               {[]func(*catalog.Catalog){setUnlisted(3 * former), restore}, 3 * former},
		"unlisted, shorter":              {[]func(*catalog.Catalog){setUnlisted(former / 2), restore}, former / 2},
		"unlisted, longer, in an epoch":  {[]func(*catalog.Catalog){restore, setUnlisted(3 * former)}, former},
		"unlisted, shorter, in an epoch": {[]func(*catalog.Catalog){restore, setUnlisted(former / 2)}, former},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithRemovalGrace(former), catalog.WithUnlistedGrace(former))
			c.Merge(0, start)
			for _, step := range tc.steps {
				step(c)
			}
			c.Refresh(tc.last - time.Millisecond)
			before := viewStateOf(c).Backends["b"]
			c.Refresh(tc.last)
			got := []table.Mark{before, viewStateOf(c).Backends["b"]}
			if diff := cmp.Diff([]table.Mark{table.Serving, ""}, got); diff != "" {
				t.Errorf("b before and after the grace period (-want +got):\n%s", diff)
			}
		})
	}
}
