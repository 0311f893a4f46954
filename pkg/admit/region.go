package admit

import (
	"net/http"

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Routes and accounts may be restricted to some regions. A restricted request goes only to backend
// servers there, and its prompt prefix is copied only between these.

var errNoRegion = verdict.New(verdict.PhaseQueue, http.StatusServiceUnavailable, "no-region",
	"no backend server in the regions that the route and the client account allow takes requests; come back as told")

// restrictRegions applies the rows of the current table to a request. It never lifts a
// restriction, since an earlier table may still be in force elsewhere.
func (c *Core) restrictRegions(r *request) {
	if c.table == nil {
		return
	}
	r.Regions = r.Regions.Intersect(c.table.RegionsFor(r.Route, r.Account))
}

// mayProcess reports whether a backend server is in one of the regions.
func (c *Core) mayProcess(s *server, regions table.RegionSet) bool {
	return regions.Contains(c.opt.regions[s.Zone])
}

// serversFor returns the backend servers of a service that are in one of the regions, in the order
// of the table.
func (c *Core) serversFor(svc *service, regions table.RegionSet) []*server {
	if !regions.IsLimited() {
		return svc.servers
	}
	if list, ok := svc.regional[regions]; ok {
		return list
	}
	list := []*server{}
	for _, s := range svc.servers {
		if c.mayProcess(s, regions) {
			list = append(list, s)
		}
	}
	if svc.regional == nil {
		svc.regional = map[table.RegionSet][]*server{}
	}
	svc.regional[regions] = list
	return list
}
