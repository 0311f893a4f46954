package catalog

import (
	"cmp"
	"slices"
)

// revisionLog lists which entry each revision changed, so that the changes after a revision are found
// without a look at all entries.
type revisionLog []entryRevision

type entryRevision struct {
	number uint64
	name   string
}

// minCompaction is the length from which outdated entries are removed.
const minCompaction = 64

func compareNumbers(x entryRevision, number uint64) int { return cmp.Compare(x.number, number) }

// add records a change. Most changes come in the order of their revisions.
func (l *revisionLog) add(number uint64, name string) {
	at, _ := slices.BinarySearchFunc(*l, number+1, compareNumbers)
	*l = slices.Insert(*l, at, entryRevision{number, name})
}

// after returns the changes after a revision number.
func (l revisionLog) after(number uint64) []entryRevision {
	at, _ := slices.BinarySearchFunc(l, number+1, compareNumbers)
	return l[at:]
}

// setServer replaces an entry.
func (c *Catalog) setServer(name string, s Server) {
	c.uncount(name)
	c.servers[name] = s
	if !s.Gone {
		countModels(c.listed, &s.Backend, 1)
		c.versionsMissing += count(s.Backend.VersionUnknown)
	}
	if s.Revision == 0 {
		return
	}
	c.revisions.add(s.Revision, name)
	if len(c.revisions) > max(minCompaction, 2*len(c.servers)) {
		c.revisions = slices.DeleteFunc(c.revisions, func(x entryRevision) bool {
			s, ok := c.servers[x.name]
			return !ok || s.Revision != x.number
		})
	}
}

// deleteServer forgets an entry.
func (c *Catalog) deleteServer(name string) {
	c.uncount(name)
	delete(c.servers, name)
}

// uncount takes an entry out of the counts by model.
func (c *Catalog) uncount(name string) {
	if old, ok := c.servers[name]; ok && !old.Gone {
		countModels(c.listed, &old.Backend, -1)
		c.versionsMissing -= count(old.Backend.VersionUnknown)
	}
}

// count returns 1 if a condition holds.
func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// changedAfter returns the entries that changed after a revision number, sorted by name.
func (c *Catalog) changedAfter(number uint64) []Server {
	var list []Server
	for _, x := range c.revisions.after(number) {
		if s, ok := c.servers[x.name]; ok && s.Revision == x.number {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
	return slices.CompactFunc(list, func(a, b Server) bool { return a.Backend.Name == b.Backend.Name })
}
