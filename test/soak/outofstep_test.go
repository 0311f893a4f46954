package main

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// TestOutOfStepPlan checks that each service is released once, that some routers stay in step, and that both ways occur.
func TestOutOfStepPlan(t *testing.T) {
	seen, ways := 0, map[bool]int{}
	for seed := range uint64(20) {
		var services []int
		for _, s := range onlyFaults(newPlan(seed, 12*time.Second, defaultRouters, workers), []Fault{RouterOutOfStep}) {
			sep := drawSeparation(s, defaultRouters)
			if slices.Contains(services, s.Target) || s.Target >= releases {
				t.Errorf("seed %d: service %d after %v", seed, s.Target, services)
			}
			if s.Duration < minOutOfStep || s.Duration > maxOutOfStep || len(sep.Targets) == 0 || len(sep.Targets)+len(sep.Others) != defaultRouters || len(sep.Others) < 2 {
				t.Errorf("seed %d: %+v, %+v", seed, s, sep)
			}
			services = append(services, s.Target)
			ways[sep.Paused]++
			seen++
		}
	}
	if seen < 20 || ways[true] == 0 || ways[false] == 0 {
		t.Errorf("%d times, by way: %v", seen, ways)
	}
}

// TestCutIsMutualAndEnds checks that a cut separates a router from the store and from the others in both directions, that cuts may
// overlap, and that nothing is cut after the last one.
func TestCutIsMutualAndEnds(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	f := &fleet{}
	for _, name := range []string{"a", "b", "c"} {
		endpoint, err := store.Listen()
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, &router{name: name, dir: t.TempDir(), peersAddr: name + ":1", endpoint: endpoint})
	}
	a, b, c := f.routers[0], f.routers[1], f.routers[2]
	cutOf := func(r *router) []string {
		data, err := os.ReadFile(r.cutFile())
		if err != nil {
			t.Fatal(err)
		}
		return strings.Fields(string(data))
	}
	check := func(when string, r *router, want ...string) {
		t.Helper()
		slices.Sort(want)
		if got := cutOf(r); !slices.Equal(got, want) {
			t.Errorf("%s: %s is cut off from %v, want %v", when, r.name, got, want)
		}
	}
	first := f.cutOff([]*router{a})
	check("one cut", a, a.endpoint.Address(), "b:1", "c:1")
	check("one cut", b, "a:1")
	second := f.cutOff([]*router{a, b})
	check("two cuts", a, a.endpoint.Address(), "b:1", "c:1")
	check("two cuts", c, "a:1", "b:1")
	first()
	check("the second cut", a, a.endpoint.Address(), "c:1")
	check("the second cut", b, b.endpoint.Address(), "c:1")
	second()
	for _, r := range f.routers {
		check("no cut", r)
	}
}
