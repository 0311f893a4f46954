package catalog

import "github.com/yarrowmast/yarrowmast/pkg/table"

// Streams of a service that runs several software versions are pinned in part: they may begin at its senior version
// only. Which ones follows from the directory, so that a later fleet of routers finds it out again.

const (
	// maxPinnedShare bounds the part of the streams that is pinned.
	maxPinnedShare = 0.7
	// pinnedPerSlot is the part of the streams that is pinned, as a multiple of the senior version's part of the slots.
	pinnedPerSlot = 2
)

// Senior is the software version of a service whose entry has not changed for longest.
type Senior struct {
	// Software is the version. It is unknown if it cannot be told.
	Software table.Software
	// Slots are the slots of its backend servers, Others those of the other versions.
	Slots, Others int
}

// PinnedShare returns the part of the streams that may begin at the senior version only, 1 if it is the only one.
func (s Senior) PinnedShare() float64 {
	switch {
	case s.Software.Unknown:
		return 0
	case s.Others == 0:
		return 1
	default:
		return min(maxPinnedShare, pinnedPerSlot*float64(s.Slots)/float64(s.Slots+s.Others))
	}
}

// openEntry is an entry whose backend server takes new requests.
type openEntry struct {
	revision uint64
	software table.Software
	slots    int
}

// openEntries returns the open entries by service.
func (c *Catalog) openEntries() map[string][]openEntry {
	open := map[string][]openEntry{}
	for _, name := range c.sortedNames() {
		s, ok := c.current(name)
		if !ok || s.Gone || s.Unusable.IsSet() || s.Backend.Mark != table.Serving || c.isClosed(s.Backend.Zone) {
			continue
		}
		for _, service := range s.Backend.Models {
			open[service] = append(open[service], openEntry{s.Revision, s.Backend.Software(), s.Backend.Slots})
		}
	}
	return open
}

// ListedServers returns the entries that are not removed.
func (c *Catalog) ListedServers() []Server {
	var list []Server
	for _, name := range c.sortedNames() {
		if s, ok := c.current(name); ok && !s.Gone {
			list = append(list, s)
		}
	}
	return list
}

// Seniors returns the senior version of each service that has open backend servers.
func (c *Catalog) Seniors() map[string]Senior {
	seniors := map[string]Senior{}
	for service, entries := range c.openEntries() {
		seniors[service] = seniorOf(entries)
	}
	return seniors
}

func seniorOf(entries []openEntry) Senior {
	oldest := entries[0]
	for _, e := range entries {
		if e.revision < oldest.revision {
			oldest = e
		}
	}
	senior := Senior{Software: oldest.software}
	for _, e := range entries {
		if e.software == oldest.software {
			senior.Slots += e.slots
		} else {
			senior.Others += e.slots
		}
	}
	return senior
}
