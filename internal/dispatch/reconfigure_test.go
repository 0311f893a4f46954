package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestGracePeriodsAfterReload guards against keeping the grace periods of the former apply time.
func TestGracePeriodsAfterReload(t *testing.T) {
	const former = 2 * time.Second
	tests := map[string]struct{ applyWithin, grace time.Duration }{
		"longer":  {6 * time.Second, 3600 * time.Millisecond},
		"shorter": {time.Second, 600 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(New(Identity{Name: "a", Address: "10.0.0.1:7", Zone: "x"}, &countingSource{}, &recordingTransport{}, WithApplyWithin(former)))
			setApplyWithinEvent{tc.applyWithin}.apply(s)
			row := func(name string, revision uint64) catalog.Server {
				return catalog.Server{Revision: revision, Backend: table.Backend{Name: name, Zone: "x", Mark: table.Serving, Models: []string{"reader"}}}
			}
			s.catalog.Merge(s.now, catalog.Update{Epoch: 1, AsOf: 3, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{row("i-1", 2), row("i-2", 3)}})
			start := s.now
			s.catalog.Merge(start, catalog.Update{Epoch: 1, AsOf: 5, Table: &table.Table{Revision: 1}})
			if diff := cmp.Diff([]int{2, 0}, countsAround(s.catalog, start+tc.grace)); diff != "" {
				t.Errorf("backend servers around the end of the grace period (-want +got):\n%s", diff)
			}
		})
	}
}

// countsAround returns the number of backend servers in the view just before a time, and at it.
func countsAround(c *catalog.Catalog, at time.Duration) []int {
	c.Refresh(at - time.Millisecond)
	before := c.View().BackendCount()
	c.Refresh(at)
	return []int{before, c.View().BackendCount()}
}

// TestRouterWithStaleSeedsJoinsAfterReload guards against routers that serve beside the fleet for good, as owners of the
// same backend servers, because their seeds were gone when they started.
func TestRouterWithStaleSeedsJoinsAfterReload(t *testing.T) {
	const within = 2 * time.Second
	f := newEmulator(9, 3, within)
	right, added := f.seeds, f.order[7:]
	f.seeds = []string{"10.9.9.1:8785", "10.9.9.2:8785", "10.9.9.3:8785"}
	for _, address := range added {
		f.routers[address].start()
	}
	f.seeds = right
	f.startAll()
	f.run(f.now+3*time.Second, func() {})
	if f.allKnowAll() {
		t.Fatal("the routers know each other without a seed")
	}
	for _, address := range added {
		r := f.routers[address]
		r.d.shared.seeds.Store(&right)
		r.apply(setSeedsEvent{right})
	}
	if took := f.runUntil(settled, f.allKnowAll); took > within {
		t.Errorf("the routers know each other %v after the settings name the right seeds", took)
	}
}
