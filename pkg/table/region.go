package table

import (
	"iter"
	"slices"
	"strings"
)

// RegionSet is a set of regions in which a request may be processed. The zero value contains every
// region. Sets can be compared and used as keys.
type RegionSet struct {
	// limited says that the set contains only the listed regions.
	limited bool
	// names are the sorted names, each followed by a separator.
	names string
}

const regionSeparator = "\x00"

// NewRegionSet returns the set of the regions that a row lists. A row that lists none allows every
// region.
func NewRegionSet(regions []string) RegionSet {
	if len(regions) == 0 {
		return RegionSet{}
	}
	var names strings.Builder
	for _, name := range slices.Compact(slices.Sorted(slices.Values(regions))) {
		names.WriteString(name + regionSeparator)
	}
	return RegionSet{limited: true, names: names.String()}
}

// Intersect returns the regions that are in both sets.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	if !s.limited {
		return other
	}
	var names strings.Builder
	for name := range s.all() {
		if other.Contains(name) {
			names.WriteString(name + regionSeparator)
		}
	}
	return RegionSet{limited: true, names: names.String()}
}

// Contains reports whether requests may be processed in a region. An empty name, for the region of
// an unknown zone, is only in the set of every region.
func (s RegionSet) Contains(region string) bool {
	if !s.limited {
		return true
	}
	for name := range s.all() {
		if name == region {
			return true
		}
	}
	return false
}

// all yields the names of a limited set.
func (s RegionSet) all() iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range strings.SplitSeq(s.names, regionSeparator) {
			if name != "" && !yield(name) {
				return
			}
		}
	}
}

// IsLimited reports whether the set does not contain every region.
func (s RegionSet) IsLimited() bool { return s.limited }

// String lists the regions for logs.
func (s RegionSet) String() string {
	if !s.limited {
		return "any"
	}
	return strings.Join(slices.Collect(s.all()), ",")
}

// RegionsFor returns the regions in which the table allows a request of a route and an account, each
// of which may be "" if there is none.
func (t *Table) RegionsFor(route, account string) RegionSet {
	var set RegionSet
	if i, ok := t.routeNames[route]; ok {
		set = NewRegionSet(t.Routes[i].Regions)
	}
	if a, ok := t.Account(account); ok {
		set = set.Intersect(NewRegionSet(a.Regions))
	}
	return set
}

// Restrictions are the regions that rows list, by the name of the row. Between routers they travel
// apart from the rows, whose encoding never changes.
type Restrictions struct {
	Routes, Accounts map[string][]string
}

// Restrictions returns the regions of all rows that list some.
func (t *Table) Restrictions() Restrictions {
	r := Restrictions{Routes: map[string][]string{}, Accounts: map[string][]string{}}
	for i := range t.Routes {
		if row := &t.Routes[i]; len(row.Regions) > 0 {
			r.Routes[row.Name] = row.Regions
		}
	}
	for i := range t.Accounts {
		if row := &t.Accounts[i]; len(row.Regions) > 0 {
			r.Accounts[row.Name] = row.Regions
		}
	}
	return r
}

// Restrict sets the regions of all rows. Only the goroutine that made the table may call it.
func (t *Table) Restrict(r Restrictions) {
	for i := range t.Routes {
		t.Routes[i].Regions = r.Routes[t.Routes[i].Name]
	}
	for i := range t.Accounts {
		t.Accounts[i].Regions = r.Accounts[t.Accounts[i].Name]
	}
}

// LimitsRegions reports whether any row restricts the regions of requests.
func (t *Table) LimitsRegions() bool {
	return slices.ContainsFunc(t.Routes, func(r Route) bool { return len(r.Regions) > 0 }) ||
		slices.ContainsFunc(t.Accounts, func(a Account) bool { return len(a.Regions) > 0 })
}

// regions validates the regions that a row lists.
func (c *checker) regions(list []string, path ...any) {
	for i, name := range list {
		if name == "" || len(name) > maxName || strings.Contains(name, regionSeparator) {
			c.doc.Add("needs the name of a region, as the routers' settings have it", append(path, i)...)
		}
	}
}
