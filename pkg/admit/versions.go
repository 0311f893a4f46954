package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// softwareTTL is how long software is remembered that no backend server is listed with any more. Streams
// that it began may still be taken up for as long as their callers' deadlines.
const softwareTTL = 2 * time.Minute

// softwareUse is how many listed backend servers of a service run a software.
type softwareUse struct {
	servers int
	// lastListed is when the directory last listed one of them.
	lastListed time.Duration
	// reported is the number of servers that was last reported.
	reported int
}

// softwareUses holds the software that the backend servers of a service run, or ran recently.
type softwareUses map[table.Software]*softwareUse

// add counts a backend server.
func (u softwareUses) add(software table.Software) {
	use, ok := u[software]
	if !ok {
		use = &softwareUse{}
		u[software] = use
	}
	use.servers++
}

// remove takes a backend server out of the count.
func (u softwareUses) remove(software table.Software, now time.Duration) {
	use := u[software]
	use.servers--
	use.lastListed = now
}

// reset takes all backend servers out of the counts.
func (u softwareUses) reset(now time.Duration) {
	for _, use := range u {
		if use.servers > 0 {
			use.servers, use.lastListed = 0, now
		}
	}
}

// expire forgets the software that has not been listed for a time.
func (u softwareUses) expire(now, ttl time.Duration) {
	maps.DeleteFunc(u, func(_ table.Software, use *softwareUse) bool { return use.servers == 0 && now-use.lastListed >= ttl })
}

// sorted returns the software in the order of versions as text, for reports.
func (u softwareUses) sorted() []table.Software {
	return slices.SortedFunc(maps.Keys(u), func(a, b table.Software) int { return cmp.Compare(a.String(), b.String()) })
}

// SoftwareChanged reports that the first backend server of a service with a software is listed, or that
// the last one no longer is.
type SoftwareChanged struct {
	Service  string
	Software table.Software
	// Servers is the number of backend servers that run it, Versions the number of versions in the service.
	Servers, Versions int
}

func (SoftwareChanged) action() {}

// reportSoftware emits what changed in the software of each service.
func (c *Core) reportSoftware() {
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		svc := c.services[name]
		if !svc.softwareChanged {
			continue
		}
		svc.softwareChanged = false
		svc.software.expire(c.now, softwareTTL)
		versions := 0
		for _, use := range svc.software {
			versions += min(1, use.servers)
		}
		for _, software := range svc.software.sorted() {
			use := svc.software[software]
			if (use.servers > 0) != (use.reported > 0) {
				c.emit(SoftwareChanged{Service: name, Software: software, Servers: use.servers, Versions: versions})
			}
			use.reported = use.servers
		}
	}
}
