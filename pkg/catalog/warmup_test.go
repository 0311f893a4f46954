package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const warmupTime = 3 * time.Second

// warmTable is a table whose service warms up.
func warmTable(revision uint64) *table.Table {
	t := &table.Table{Revision: revision, Services: []table.ServiceRow{{Name: "reader", Engine: true, WarmupRate: 18, WarmupTime: warmupTime}}}
	t.Index()
	return t
}

func warming(name string, revision uint64, left time.Duration) catalog.Server {
	s := serving(name, revision)
	s.Backend.Zone, s.Backend.WarmupLeft = "x", left
	return s
}

// leftOf returns for how much longer a backend server warms up by the view.
func leftOf(c *catalog.Catalog, name string) time.Duration {
	for _, b := range c.View().Backends {
		if b.Name == name {
			return b.WarmupLeft
		}
	}
	return -1
}

// TestWarmup follows what entries, zones and lapses say of a warm-up.
func TestWarmup(t *testing.T) {
	start := catalog.Update{AsOf: 10, Table: warmTable(4), Servers: []catalog.Server{warming("a", 7, 0), warming("b", 8, 0)}}
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	type heard struct {
		at   time.Duration
		news catalog.Update
		// changed says that the view is another one.
		changed bool
	}
	tests := map[string]struct {
		heard []heard
		want  time.Duration
	}{
		"warm": {nil, 0},
		"turns cold": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 11, Servers: []catalog.Server{warming("a", 11, second(2))}}, true},
		}, second(2)},
		"counts down, which is no change": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 11, Servers: []catalog.Server{warming("a", 11, second(3))}}, true},
			{second(2.3), catalog.Update{After: 11, AsOf: 12, Servers: []catalog.Server{warming("a", 12, second(1.8))}}, false},
		}, second(3)},
		"says early that it is warm": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 11, Servers: []catalog.Server{warming("a", 11, second(3))}}, true},
			{second(2), catalog.Update{After: 11, AsOf: 12, Servers: []catalog.Server{warming("a", 12, 0)}}, true},
		}, 0},
		"turns cold once more": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 11, Servers: []catalog.Server{warming("a", 11, second(2))}}, true},
			{second(2), catalog.Update{After: 11, AsOf: 12, Servers: []catalog.Server{warming("a", 12, second(3))}}, true},
		}, second(3)},
		"its zone is opened": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 11, Zones: []catalog.Zone{closed("x", 11)}}, true},
			{second(2), catalog.Update{After: 11, AsOf: 12, Zones: []catalog.Zone{opened("x", 12)}}, true},
		}, warmupTime},
		"lapses": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 11), gone("b", 12)}}, true},
		}, warmupTime},
		"lapses and comes back": {[]heard{
			{second(1), catalog.Update{After: 10, AsOf: 12, Servers: []catalog.Server{gone("a", 11), gone("b", 12)}}, true},
			{second(2), catalog.Update{After: 12, AsOf: 13, Servers: []catalog.Server{warming("a", 13, 0)}}, true},
		}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := catalog.New(catalog.WithRemovalGrace(5 * time.Second))
			c.Merge(0, start)
			for i, h := range tc.heard {
				if got := c.Merge(h.at, h.news); got != h.changed {
					t.Errorf("news %d: changed %v, want %v", i, got, h.changed)
				}
			}
			if got := leftOf(c, "a"); got != tc.want {
				t.Errorf("warms up for %v more, want %v", got, tc.want)
			}
		})
	}
}

// TestWarmupIsToldOn has a catalog tell another one of a warm-up later: what is left
// then is told.
func TestWarmupIsToldOn(t *testing.T) {
	c, other := catalog.New(), catalog.New()
	c.Merge(0, catalog.Update{AsOf: 10, Table: warmTable(4), Servers: []catalog.Server{warming("a", 7, 3*time.Second)}})
	c.Refresh(time.Second)
	other.Merge(0, c.Since(0))
	if got := leftOf(other, "a"); got != 2*time.Second {
		t.Errorf("told that it warms up for %v, want 2s", got)
	}
}

// TestManyChangesAreJoinedTogether changes entries of a large directory in quick
// succession: the view shows the first at once, and the others together a moment later.
func TestManyChangesAreJoinedTogether(t *testing.T) {
	const servers = 1000
	c := catalog.New()
	start := catalog.Update{AsOf: 10, Table: warmTable(4)}
	for i := range servers {
		start.Servers = append(start.Servers, serving(fmt.Sprintf("i-%d", i), 9))
	}
	c.Merge(time.Second, start)
	leave := func(now time.Duration, name string) bool {
		s := serving(name, c.AsOf().Number+1)
		s.Backend.Mark = table.Leaving
		return c.Merge(now, catalog.Update{After: c.AsOf().Number, AsOf: c.AsOf().Number + 1, Servers: []catalog.Server{s}})
	}
	if !leave(2*time.Second, "i-1") {
		t.Error("the first change does not show at once")
	}
	if leave(2*time.Second+time.Millisecond, "i-2") || leave(2*time.Second+2*time.Millisecond, "i-3") {
		t.Error("changes a millisecond later show at once, want them together")
	}
	if !c.Refresh(2*time.Second + 50*time.Millisecond) {
		t.Error("the changes do not show after a while")
	}
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		if b, _ := c.View().Backend(name); b.Mark != table.Leaving {
			t.Errorf("%s is %q, want it leaving", name, b.Mark)
		}
	}
}
