package admit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// SoftwareTTL is how long software is remembered that no backend server is listed with any more. Streams
// that it began may still be taken up for as long as their callers' deadlines.
const SoftwareTTL = 2 * time.Minute

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

// remove takes a backend server out of the count. That a version was not known is not remembered.
func (u softwareUses) remove(software table.Software, now time.Duration) {
	u[software].servers--
	u.recordUnlisted(software, now)
}

// recordUnlisted records that the directory no longer lists a software, if it does not.
func (u softwareUses) recordUnlisted(software table.Software, now time.Duration) {
	use := u[software]
	switch {
	case use.servers > 0:
	case software.Unknown:
		delete(u, software)
	default:
		use.lastListed = now
	}
}

// recordListed records that a software was listed lately.
func (u softwareUses) recordListed(software table.Software, now time.Duration) {
	use, ok := u[software]
	if !ok {
		use = &softwareUse{}
		u[software] = use
	}
	use.lastListed = now
}

// reset takes all backend servers out of the counts.
func (u softwareUses) reset(now time.Duration) {
	for software, use := range u {
		if use.servers > 0 {
			use.servers = 0
			u.recordUnlisted(software, now)
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
		svc.software.expire(c.now, SoftwareTTL)
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

// SoleSoftware returns the software that all backend servers of a service run, and ran for SoftwareTTL. It
// returns false if there were several, or none, or one that is unknown.
func (c *Core) SoleSoftware(service string) (table.Software, bool) {
	svc, ok := c.services[service]
	if !ok {
		return table.Software{}, false
	}
	svc.software.expire(c.now, SoftwareTTL)
	if len(svc.software) != 1 {
		return table.Software{}, false
	}
	sole := svc.software.sorted()[0]
	return sole, !sole.Unknown
}

// MixesSoftware reports whether the backend servers of a service run several software versions, or did
// within SoftwareTTL.
func (c *Core) MixesSoftware(service wire.NameHash) bool {
	for name, svc := range c.services {
		if wire.HashName(name) == service {
			svc.software.expire(c.now, SoftwareTTL)
			return len(svc.software) > 1
		}
	}
	return false
}

// SoftwareListed tells of software versions that were listed lately, by services. Their backend servers may
// have gone since. Services that the table lacks are ignored.
type SoftwareListed struct{ Versions []catalog.ServiceVersion }

func (e SoftwareListed) apply(c *Core) {
	for _, v := range e.Versions {
		if svc, ok := c.services[v.Service]; ok {
			svc.software.recordListed(table.Software{Version: v.Version}, c.now)
		}
	}
}

// RecentSoftware returns the known software versions of all services, listed now or within SoftwareTTL.
func (c *Core) RecentSoftware() []catalog.ServiceVersion {
	var list []catalog.ServiceVersion
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		software := c.services[name].software
		software.expire(c.now, SoftwareTTL)
		for _, x := range software.sorted() {
			if !x.Unknown {
				list = append(list, catalog.ServiceVersion{Service: name, Version: x.Version})
			}
		}
	}
	return list
}

// CanContinue reports whether a stream that a software began may go on at a backend server other than the
// one that it leaves, "" for none.
func (c *Core) CanContinue(service string, regions table.RegionSet, software table.Software, leaves string) bool {
	set := candidateSet{regions: regions, bound: true, software: software}
	return slices.ContainsFunc(c.serversFor(c.service(service), set), func(s *server) bool {
		return c.isReachable(s) && s.Name != leaves
	})
}
