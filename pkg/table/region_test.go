package table_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func TestRegionSet(t *testing.T) {
	set := table.NewRegionSet
	tests := map[string]struct {
		set         table.RegionSet
		contains    []string
		lacks       []string
		limited     bool
		description string
	}{
		"zero value":         {set: table.RegionSet{}, contains: []string{"north", ""}, description: "any"},
		"empty list":         {set: set([]string{}), contains: []string{"north", ""}, description: "any"},
		"two":                {set: set([]string{"south", "north", "south"}), contains: []string{"north", "south"}, lacks: []string{"", "nor", "north,south"}, limited: true, description: "north,south"},
		"intersection":       {set: set([]string{"south", "north"}).Intersect(set([]string{"west", "north"})), contains: []string{"north"}, lacks: []string{"south", "west", ""}, limited: true, description: "north"},
		"with any":           {set: set([]string{"north"}).Intersect(table.RegionSet{}), contains: []string{"north"}, lacks: []string{"south"}, limited: true, description: "north"},
		"any with one":       {set: table.RegionSet{}.Intersect(set([]string{"north"})), contains: []string{"north"}, lacks: []string{"south"}, limited: true, description: "north"},
		"empty intersection": {set: set([]string{"south"}).Intersect(set([]string{"north"})), lacks: []string{"south", "north", ""}, limited: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for _, region := range tc.contains {
				if !tc.set.Contains(region) {
					t.Errorf("lacks %q", region)
				}
			}
			for _, region := range tc.lacks {
				if tc.set.Contains(region) {
					t.Errorf("contains %q", region)
				}
			}
			if tc.set.IsLimited() != tc.limited || tc.set.String() != tc.description {
				t.Errorf("limited %v, %q", tc.set.IsLimited(), tc.set)
			}
		})
	}
	if set([]string{"a", "b"}) != set([]string{"b", "a"}) {
		t.Error("sets of the same regions differ")
	}
}

// TestRegionsInParse checks that the rows' regions are read, and that a name that cannot be one of a
// region is an error with its line.
func TestRegionsInParse(t *testing.T) {
	text := sample() + strings.Replace(routes, "public: true", "public: true\n    regions: [north]", 1)
	got, err := table.Parse("t.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if set := got.RegionsFor("rest", ""); set.String() != "north" {
		t.Errorf("route rest: %s", set)
	}
	if set := got.RegionsFor("read", "no-such-account"); set.IsLimited() {
		t.Errorf("route read: %s", set)
	}
	if !got.LimitsRegions() || parseRoutes(t).LimitsRegions() {
		t.Error("LimitsRegions is wrong")
	}
	_, err = table.Parse("t.yaml", []byte(strings.Replace(text, "[north]", `[north, ""]`, 1)))
	var problems *strictyaml.Problems
	if !errors.As(err, &problems) || !strings.Contains(err.Error(), "name of a region") {
		t.Errorf("an empty name: %v", err)
	}
}
