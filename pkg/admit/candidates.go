package admit

import (
	"net/http"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Routes and accounts may be restricted to some regions, and a stream goes on only at the software that
// began it. A restricted request goes only to backend servers that meet this, and its prompt prefix is
// copied only between these.

var errNoRegion = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-region",
	"no backend server in the regions that the route and the client account allow takes requests; come back as told")

var errNoVersion = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-version",
	"no backend server of the software version that began the stream takes requests")

// candidateSet is the set of backend servers that may process a request. The zero value contains all.
type candidateSet struct {
	regions table.RegionSet
	// bound says that only servers that run the software are in the set.
	bound    bool
	software table.Software
}

// candidates returns the set of backend servers that may process a request.
func (r *request) candidates() candidateSet {
	set := candidateSet{regions: r.Regions}
	if r.Software != nil {
		set.bound, set.software = true, *r.Software
	}
	return set
}

// isLimited reports whether the set does not contain every backend server.
func (set *candidateSet) isLimited() bool { return set.bound || set.regions.IsLimited() }

// mayProcess reports whether a backend server may process a request.
func (c *Core) mayProcess(s *server, set candidateSet) bool {
	return set.regions.Contains(c.opt.regions[s.Zone]) && (!set.bound || s.runs(set.software))
}

// runs reports whether a backend server certainly runs a software.
func (s *server) runs(software table.Software) bool {
	return !software.Unknown && s.Software() == software
}

// restrictRegions applies the rows of the current table to a request. It never lifts a
// restriction, since an earlier table may still be in force elsewhere.
func (c *Core) restrictRegions(r *request) {
	if c.table == nil {
		return
	}
	r.Regions = r.Regions.Intersect(c.table.RegionsFor(r.Route, r.Account))
}

// serversFor returns the backend servers of a service that are in a set, in the order of the table.
func (c *Core) serversFor(svc *service, set candidateSet) []*server {
	if !set.isLimited() {
		return svc.servers
	}
	if list, ok := svc.limited[set]; ok {
		return list
	}
	list := []*server{}
	for _, s := range svc.servers {
		if c.mayProcess(s, set) {
			list = append(list, s)
		}
	}
	if svc.limited == nil {
		svc.limited = map[candidateSet][]*server{}
	}
	svc.limited[set] = list
	return list
}
